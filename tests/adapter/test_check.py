"""``celeryfork check`` on the users' platform's settings file."""

import json
import subprocess
import sys
from pathlib import Path

COMMAND = Path(sys.executable).parent / "celeryfork"
GOOD = {
    "nodeName": "front-1",
    "zone": "west",
    "ip": "10.1.0.40",
    "listen": {"front": "10.1.0.40:80", "ready": "10.1.0.40:81"},
    "portRange": [7340, 7355],
    "bounds": {
        "graceS": 8,
        "retryBudget": 0.2,
        "retrySlack": 198,
        "retryWindowS": 10,
    },
    "platform": {"addr": "10.200.1.7:80"},
}


def check(tmp_path, settings, module="celeryfork_adapter.settings"):
    path = tmp_path / "boot.json"
    path.write_text(json.dumps(settings))
    return subprocess.run(
        [COMMAND, "check", "--json", "--format", module, path],
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_good_settings_have_no_faults(tmp_path):
    ran = check(tmp_path, GOOD)
    assert ran.returncode == 0
    assert json.loads(ran.stdout)["faults"] == []


def test_every_fault_is_named_with_its_path_and_remedy(tmp_path):
    ran = check(tmp_path, GOOD | {"zone": 7, "listen": {"front": "10.1.0.40:80"}})
    assert ran.returncode == 2
    faults = {each["path"]: each for each in json.loads(ran.stdout)["faults"]}
    assert set(faults) == {"$['zone']", "$['listen']['ready']"}
    assert all(each["remedy"] for each in faults.values())


def test_a_module_that_reads_no_settings_is_a_fault(tmp_path):
    ran = check(tmp_path, GOOD, module="json")
    assert ran.returncode == 2
    assert "reads no settings" in ran.stderr
