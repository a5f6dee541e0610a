import http.client
import threading
from collections.abc import Iterator

import pytest
from celeryfork_standin.service import (
    CrashPoint,
    ServiceFleet,
    ServiceSpec,
    make_service_fleet,
)

LOST = (http.client.HTTPException, ConnectionError)


@pytest.fixture
def services() -> Iterator[ServiceFleet]:
    fleet = make_service_fleet(seed=1)
    for name in ("d1", "d2"):
        fleet.add(ServiceSpec(name, "visit-desk", "westlands"))
    yield fleet
    fleet.stop()


def book(services, helpers, key="k1", target="d1"):
    address = services.target(target).address
    return helpers.call(address, "POST", "/book", {"at": 9}, Idempotency_Key=key)


def status(services, helpers, key, target="d2"):
    address = services.target(target).address
    return helpers.call(address, "GET", f"/status/{key}").status


def test_calls_are_counted_by_key(services, helpers):
    assert book(services, helpers).json["kind"] == "book"
    assert book(services, helpers, target="d2").status == 200
    assert [call.target for call in services.ran_by_key["k1"]] == ["d1", "d2"]
    assert status(services, helpers, "k1") == 200
    assert status(services, helpers, "never") == 404


@pytest.mark.parametrize(
    ("point", "ran"), [(CrashPoint.BEFORE_RUNNING, 0), (CrashPoint.AFTER_RUNNING, 1)]
)
def test_a_crash_loses_the_answer(services, helpers, point, ran):
    services.crash("d1", point)
    with pytest.raises(LOST):
        book(services, helpers)
    assert len(services.ran) == ran
    services.crash("d1", None)
    services.restart("d1")
    assert book(services, helpers, key="k2").status == 200


def test_a_lost_answer_ran_and_shows_by_key(services, helpers):
    services.lose_answers("d1", 1.0)
    with pytest.raises(LOST):
        book(services, helpers)
    assert status(services, helpers, "k1") == 200


def test_draining_and_rejecting_run_nothing(services, helpers):
    services.drain("d1")
    answer = book(services, helpers)
    assert (answer.status, answer.headers["X-Draining"]) == (503, "true")
    services.reject("d2", 1.0)
    answer = book(services, helpers, target="d2")
    assert (answer.status, "X-Draining" in answer.headers) == (503, False)
    assert services.ran == []


def test_a_failure_ran(services, helpers):
    services.fail("d1", 1.0)
    assert book(services, helpers).status == 500
    assert len(services.ran) == 1


def test_poison_kills_the_target(services, helpers):
    services.poison("d1", '"at"')
    with pytest.raises(LOST):
        book(services, helpers)
    with pytest.raises(ConnectionRefusedError):
        book(services, helpers)
    assert services.ran == []


def test_a_killed_target_runs_nothing_that_it_had_begun(services, helpers):
    services.slow("d1", 0.1)
    lost = []

    def call():
        try:
            book(services, helpers)
        except LOST:
            lost.append(True)

    caller = threading.Thread(target=call)
    caller.start()
    helpers.wait_until(lambda: services.target("d1").calls == 1)
    services.kill("d1")
    caller.join(10)
    services.slow("d2", 0.1)
    book(services, helpers, key="k2", target="d2")  # begun later, as long
    assert (lost, list(services.ran_by_key)) == ([True], ["k2"])


def test_a_stalled_target_runs_its_calls_once_it_resumes(services, helpers):
    services.stall("d1")
    statuses = []
    caller = threading.Thread(
        target=lambda: statuses.append(book(services, helpers).status)
    )
    caller.start()
    helpers.wait_until(lambda: services.target("d1").calls == 1)
    assert services.ran == []
    services.resume("d1")
    caller.join(10)
    assert (statuses, len(services.ran)) == ([200], 1)
