"""Faults of the network between failure domains, and of engines over time."""

import threading
import time

import pytest
from celeryfork_standin.engine import EngineSpec, make_engine_fleet
from celeryfork_standin.platform import make_platform
from celeryfork_standin.service import ServiceSpec, make_service_fleet


@pytest.fixture
def platform():
    standin = make_platform(seed=1, client_domains=("westlands", "karen"))
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def fleet(platform):
    engines = make_engine_fleet(
        seed=1,
        instances=platform.instances,
        client_domains=("westlands", "karen"),
        link_timeout_s=0.1,
    )
    engines.add(EngineSpec("a1", "m", "westlands", 0, 12, restart_s=0.05))
    engines.add(EngineSpec("b1", "m", "karen", 12, 24, restart_s=0.05))
    yield engines
    engines.stop()


def in_background(work):
    answers = []
    thread = threading.Thread(target=lambda: answers.append(work()), daemon=True)
    thread.start()
    return thread, answers


def test_each_domain_sees_addresses_of_its_own(platform, fleet, helpers):
    seen = {}
    for url in (platform.url, platform.url_for("westlands"), platform.url_for("karen")):
        listed = helpers.call(url, "GET", "/v1/instances").json["instances"]
        seen.update({one["address"]: one["id"] for one in listed})
        assert "address_by_domain" not in listed[0]
    assert sorted(seen.values()) == ["a1"] * 3 + ["b1"] * 3


def test_a_cut_holds_a_stream_back_and_healing_delivers_it(fleet, helpers):
    engine = fleet.engine("a1")
    body = helpers.body(fleet, "a1", max_tokens=100)
    stream = helpers.stream(engine.address_by_domain["karen"], body)
    stream.event()
    fleet.partition(["westlands"], ["karen"])
    helpers.wait_until(lambda: fleet.ran_count == 100)
    thread, answers = in_background(stream.rest)
    thread.join(0.1)
    assert thread.is_alive()
    fleet.heal()
    thread.join(10)
    assert [event["p"] for event in answers[0]] == list(range(1, 101))


def test_a_cut_leaves_the_domain_itself_alone(fleet, helpers):
    fleet.partition(["westlands"], ["karen"])
    address = fleet.engine("a1").address_by_domain["westlands"]
    stream = helpers.stream(address, helpers.body(fleet, "a1"))
    assert stream.rest()[-1]["end"] == "length"


def test_the_platform_is_cut_off_from_one_domain(platform, helpers):
    platform.cut_off("karen", True)

    def ask(domain):
        return helpers.call(platform.url_for(domain), "GET", "/v1/instances").status

    thread, answers = in_background(lambda: ask("karen"))
    assert ask("westlands") == 200
    thread.join(0.1)
    assert thread.is_alive()
    platform.cut_off("karen", False)
    thread.join(10)
    assert answers == [200]


def test_services_are_cut_off_too(fleet, helpers):
    services = make_service_fleet(seed=1, links=fleet.links, client_domains=("karen",))
    target = services.add(ServiceSpec("d1", "visit-desk", "westlands"))
    fleet.partition(["westlands"], ["karen"])
    address = target.address_by_domain["karen"]
    thread, answers = in_background(
        lambda: helpers.call(address, "POST", "/book", {}, Idempotency_Key="k").status
    )
    thread.join(0.1)
    assert (thread.is_alive(), services.ran) == (True, [])
    fleet.heal()
    thread.join(10)
    assert (answers, len(services.ran_by_key["k"])) == ([200], 1)
    services.stop()


def test_a_stalled_later_stage_is_reported_after_a_while(fleet, helpers):
    stream = helpers.open(fleet, "a1", "b1", max_tokens=100_000)
    stream.event()
    fleet.stall("b1")
    assert stream.rest()[-1] == {"a": 1, "error": "stage_lost", "engine": "b1"}


def test_a_stalled_first_stage_says_nothing_until_it_resumes(fleet, helpers):
    stream = helpers.open(fleet, "a1", "b1", max_tokens=30)
    stream.event()
    fleet.stall("a1")
    thread, answers = in_background(stream.rest)
    thread.join(0.1)
    assert thread.is_alive()
    fleet.resume("a1")
    thread.join(10)
    assert answers[0][-1]["end"] == "length"


def test_a_degraded_link_slows_the_chain(fleet, helpers):
    def seconds_a_token():
        ran_before = len(fleet.ran)
        helpers.open(fleet, "a1", "b1", max_tokens=5).rest()
        tokens = fleet.ran[ran_before:]
        return (tokens[-1].ended_s - tokens[0].ended_s) / 4

    before = seconds_a_token()
    fleet.degrade("b1", 400)  # 100 ms each way
    assert seconds_a_token() > before + 0.15


def test_a_restart_is_a_new_incarnation_on_the_same_address(platform, fleet, helpers):
    address = fleet.engine("a1").address
    fleet.kill("a1", restart_s=0.05)
    helpers.wait_until(lambda: fleet.engine("a1").incarnation == 2)
    listed = {one.id: one for one in platform.instances.present()}
    assert (listed["a1"].incarnation, listed["a1"].address) == (2, address)
    assert helpers.open(fleet, "a1", "b1").rest()[-1]["end"] == "length"


def test_a_removed_engine_is_off_the_list(platform, fleet):
    fleet.remove("a1")
    assert [one.id for one in platform.instances.present()] == ["b1"]


def test_a_short_stall_does_not_speed_the_engine_up(fleet, helpers):
    stream = helpers.open(fleet, "a1", max_tokens=100_000)
    stream.event()
    for _ in range(5):
        fleet.stall("a1")
        fleet.resume("a1")
    first, ran_first = time.monotonic(), fleet.ran_count
    helpers.wait_until(lambda: fleet.ran_count >= ran_first + 40)
    spent_s = time.monotonic() - first
    stream.close()
    spec = fleet.engine("a1").spec
    assert spent_s > 40 * (spec.base_s + spec.per_sequence_s) * 0.7
