import threading
from pathlib import Path

import pytest
from celeryfork_standin.control import run_standins
from celeryfork_standin.deployment import load_deployment

EXAMPLE = Path(__file__).parents[3] / "examples" / "wanjiru.json"


@pytest.fixture
def where():
    """Where a whole running deployment listens."""
    stop, announced, found = threading.Event(), threading.Event(), []

    def announce(addresses):
        found.append(addresses)
        announced.set()

    arguments = (load_deployment(EXAMPLE), stop, announce)
    runner = threading.Thread(target=run_standins, args=arguments)
    runner.start()
    assert announced.wait(20)
    yield found[0]
    stop.set()
    runner.join(20)
    assert not runner.is_alive()


def control(where, helpers, path, body=None):
    return helpers.call(where["control"], "POST", f"/control/{path}", body or {})


def test_a_deployment_runs_and_is_controlled(where, helpers):
    platform = where["platform"]
    listed = helpers.call(platform, "GET", "/v1/instances").json["instances"]
    assert len(listed) == 43
    log = "/v1/log/configuration/records"
    assert helpers.call(platform, "GET", log).json["next_offset"] >= 10
    assert (
        control(where, helpers, "engines/leave", {"engine_id": "rw-01"}).status == 200
    )
    listed = helpers.call(platform, "GET", "/v1/instances").json["instances"]
    assert [one["id"] for one in listed if one["state"] == "leaving"] == ["rw-01"]
    assert control(where, helpers, "log/outage", {"on": True}).status == 200
    assert helpers.call(platform, "GET", log).status == 503
    groups = {"groups": [["westlands"], ["karen"]]}
    assert control(where, helpers, "links/partition", groups).status == 200
    crash = {"target_id": "vd-01", "point": "after_running", "share": 0.5}
    assert control(where, helpers, "services/crash", crash).status == 200
    records = helpers.call(where["control"], "GET", "/control/records/tokens")
    assert records.json == {"result": []}


def test_bad_control_requests_name_the_remedy(where, helpers):
    for path, body in [
        ("engines/explode", {}),
        ("engines/kill", {"engine_id": "zz"}),
        ("engines/kill", {"id": "rw-01"}),
        ("log/outage", {"on": "yes"}),
        ("engines/spoil_events", {"engine_id": "rw-01", "kind": "odd"}),
        ("nothing/outage", {"on": True}),
    ]:
        answer = control(where, helpers, path, body)
        assert (answer.status, answer.json and bool(answer.json["remedy"])) == (
            400,
            True,
        ), path
    unknown = helpers.call(where["control"], "GET", "/control/records/odd")
    assert unknown.status == 400
