import re
import textwrap
import threading
from pathlib import Path

from celeryfork_standin.deployment import load_deployment
from celeryfork_standin.standins import make_standins

ROOT = Path(__file__).parents[3]
EXAMPLE = ROOT / "examples" / "troskgille.json"


def test_the_example_in_the_docs_runs(monkeypatch):
    monkeypatch.chdir(ROOT)
    page = (ROOT / "docs" / "STANDINS.md").read_text()
    blocks = re.findall(r"(?:^    .*\n|^\n)+", page, re.MULTILINE)
    code = next(block for block in blocks if "make_standins" in block)
    names = {}
    exec(textwrap.dedent(code), names)
    assert names["standins"].services.ran == []


def test_an_isolated_domain_reaches_only_its_own(helpers):
    standins = make_standins(load_deployment(EXAMPLE))
    standins.start()
    engine = standins.engines.engines[0]
    own, other = engine.spec.domain, "mv-c"
    standins.isolate(own, from_platform=True)
    addresses = engine.address_by_domain
    assert helpers.call(addresses[own], "GET", "/v1/load").status == 200
    platform = standins.platform
    assert helpers.call(platform.url_for(other), "GET", "/v1/instances").status == 200
    answers = []
    asked = [(addresses[other], "/v1/load"), (platform.url_for(own), "/v1/instances")]
    threads = [
        threading.Thread(
            target=lambda address, path: answers.append(
                helpers.call(address, "GET", path).status
            ),
            args=pair,
        )
        for pair in asked
    ]
    for thread in threads:
        thread.start()
    threads[0].join(0.1)
    assert answers == []
    standins.heal()
    for thread in threads:
        thread.join(10)
    standins.stop()
    assert answers == [200, 200]
