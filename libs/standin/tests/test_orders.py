import pytest
from celeryfork_standin.engine import EngineSpec, make_engine_fleet
from celeryfork_standin.errors import TargetExistsError


@pytest.fixture
def fleet(platform):
    engines = make_engine_fleet(
        seed=1, instances=platform.instances, weights=platform.weights
    )
    for name, checks in (("strict", True), ("lax", False)):
        spec = EngineSpec(name, "m", "karen", 0, 12, checks_fencing=checks)
        engines.add(spec)
    yield engines
    engines.stop()


def order(fleet, helpers, name, fencing, action, order_id="o1"):
    body = {"order_id": order_id, "fencing": fencing, "holder": "h", "action": action}
    return helpers.call(fleet.engine(name).address, "POST", "/v1/orders", body)


def adapter(name):
    return {"kind": "load_adapter", "adapter": name}


def test_only_engines_that_check_refuse_an_old_fencing_number(fleet, helpers):
    for name in ("strict", "lax"):
        order(fleet, helpers, name, 7, adapter("a"), "o1")
    stale = order(fleet, helpers, "strict", 6, adapter("b"), "o2")
    assert (stale.status, stale.json["highest"]) == (409, 7)
    assert order(fleet, helpers, "lax", 6, adapter("b"), "o2").json["adapters"] == [
        "a",
        "b",
    ]
    assert [one.refused for one in fleet.ran_orders] == [False, False, True, False]


def test_the_same_order_again_is_answered_the_same(fleet, helpers):
    first = order(fleet, helpers, "lax", 1, adapter("a")).json
    order(fleet, helpers, "lax", 1, {"kind": "drop_adapter", "adapter": "x"}, "o2")
    assert order(fleet, helpers, "lax", 1, adapter("a")).json == first


def test_a_version_is_loaded_through_the_weight_store(fleet, helpers, platform):
    platform.weights.set_size("m", "v2", 3e8)
    action = {"kind": "load_version", "version": "v2"}
    assert order(fleet, helpers, "strict", 1, action).json["state"] == "loading"
    assert helpers.open(fleet, "strict").status == 409
    helpers.wait_until(lambda: fleet.engine("strict").version == "v2")
    assert [(read.engine, read.version) for read in platform.weights.reads] == [
        ("strict", "v2")
    ]
    assert helpers.open(fleet, "strict", version="v2").status == 200
    listed = {one.id: one.attributes["version"] for one in platform.instances.present()}
    assert listed == {"strict": "v2", "lax": "v1"}


def test_a_standby_engine_takes_no_work(fleet, helpers):
    action = {"kind": "set_role", "role": "standby"}
    assert order(fleet, helpers, "lax", 1, action).json["role"] == "standby"
    assert helpers.open(fleet, "lax").status == 409
    shown = helpers.call(fleet.engine("lax").address, "GET", "/v1/engine").json
    assert (shown["role"], shown["highest_fencing"]) == ("standby", 1)


def test_malformed_orders_are_refused(fleet, helpers):
    for action in ({"kind": "explode"}, {"kind": "load_version"}, None):
        assert order(fleet, helpers, "lax", 1, action).status == 400
    assert fleet.ran_orders == []


def test_a_later_version_wins_over_one_that_still_loads(fleet, helpers, platform):
    platform.weights.set_size("m", "v2", 4e8)
    platform.weights.set_size("m", "v3", 1e7)
    for number, version in enumerate(("v2", "v3")):
        action = {"kind": "load_version", "version": version}
        order(fleet, helpers, "lax", 1, action, f"o{number}")
    helpers.wait_until(lambda: fleet.engine("lax").version == "v3")
    order(fleet, helpers, "strict", 1, {"kind": "load_version", "version": "v2"})
    helpers.wait_until(lambda: fleet.engine("strict").version == "v2")
    assert fleet.engine("lax").version == "v3"


def test_two_engines_of_one_name_are_refused(fleet):
    with pytest.raises(TargetExistsError, match="'lax'"):
        fleet.add(EngineSpec("lax", "m", "karen", 0, 12))
