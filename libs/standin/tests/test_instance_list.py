from celeryfork_standin.instance_list import ListedInstance


def shown(platform, helpers):
    answer = helpers.call(platform.url, "GET", "/v1/instances")
    assert answer.status == 200
    return {one["id"]: one["state"] for one in answer.json["instances"]}


def put(platform, name):
    platform.instances.put(
        ListedInstance(name, "engine", "m", "westlands", "127.0.0.1:1")
    )


def test_instances_come_leave_and_go(platform, helpers):
    put(platform, "e1")
    assert shown(platform, helpers) == {"e1": "live"}
    platform.instances.leave("e1")
    assert shown(platform, helpers) == {"e1": "leaving"}
    platform.instances.remove("e1")
    assert shown(platform, helpers) == {}


def test_the_list_lags_goes_stale_and_empty(platform, helpers):
    put(platform, "e1")
    platform.instances.lag(600)
    assert shown(platform, helpers) == {}
    platform.instances.lag(0)
    platform.instances.stale(True)
    put(platform, "e2")
    assert shown(platform, helpers) == {"e1": "live"}
    platform.instances.stale(False)
    assert shown(platform, helpers) == {"e1": "live", "e2": "live"}
    platform.instances.empty_answers(True)
    assert shown(platform, helpers) == {}


def test_an_outage_answers_503(platform, helpers):
    platform.instances.outage(True)
    assert helpers.call(platform.url, "GET", "/v1/instances").status == 503


def test_versions_only_grow(platform, helpers):
    versions = []
    for name in ("e1", "e2", "e1"):
        put(platform, name)
        answer = helpers.call(platform.url, "GET", "/v1/instances")
        versions.append(answer.json["version"])
    assert versions == sorted(set(versions))
