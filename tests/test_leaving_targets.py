"""No new work for leaving targets after 3 s, whatever the instance list does."""

import time
from collections.abc import Callable

import pytest
from celeryfork_base.outcomes import Outcome
from celeryfork_bench.checker import LEAVING_BOUND_S, Left
from celeryfork_bench.field import Event, Field
from celeryfork_bench.rig import Rig
from celeryfork_standin.engine_http import EngineSite
from celeryfork_standin.instance_list import InstanceListService
from celeryfork_standin.sequence import Sequence
from celeryfork_standin.service_http import ServiceSite
from trial import Trial, in_order, model_asks, plain_asks, run_trial, small_rig

LOAD_S = 6.0
ENGINE, TARGET = "rw-low-01", "vd-01"
LIST_FAULTS: dict[str, Callable[[InstanceListService], None]] = {
    "fresh": lambda instances: None,
    "stale": lambda instances: instances.stale(True),
    "empty": lambda instances: instances.empty_answers(True),
    "down": lambda instances: instances.outage(True),
}


@pytest.fixture
def rig():
    with small_rig() as made:
        yield made


@pytest.fixture
def turned_away_s(monkeypatch) -> list[float]:
    """Times at which a leaving target had to turn new work away."""
    times_s: list[float] = []
    refusal, fail, refuse = EngineSite._refusal, Sequence.fail, ServiceSite._refuse

    def note_refusal(server, body):
        if server.engine.leaving:
            times_s.append(time.monotonic())
        return refusal(server, body)

    def note_fail(sequence, error, engine=None):
        if error == "leaving":
            times_s.append(time.monotonic())
        return fail(sequence, error, engine)

    def note_refuse(server, reason):
        if reason == "draining":
            times_s.append(time.monotonic())
        return refuse(server, reason)

    monkeypatch.setattr(EngineSite, "_refusal", note_refusal)
    monkeypatch.setattr(Sequence, "fail", note_fail)
    monkeypatch.setattr(ServiceSite, "_refuse", note_refuse)
    return times_s


def load_through(rig: Rig, leave: Callable[[Field], None]) -> Trial:
    asks = in_order(model_asks(90, LOAD_S), plain_asks("slots", 120, LOAD_S))
    trial = run_trial(rig, asks, [Event(0.5, "leave", leave)])
    assert trial.violations == ()
    assert trial.outcomes() == {Outcome.DONE}
    return trial


@pytest.mark.parametrize("state", LIST_FAULTS)
def test_leaving_targets_get_nothing_new(
    rig: Rig, turned_away_s: list[float], state: str
) -> None:
    def leave(field: Field) -> None:
        LIST_FAULTS[state](field.rig.platform.instances)
        field.leave_engine(ENGINE)
        field.drain_service(TARGET)

    trial = load_through(rig, leave)
    limit_s = max(left.at_s for left in trial.field.left) + LEAVING_BOUND_S
    late_s = [at_s - limit_s for at_s in turned_away_s if at_s > limit_s]
    assert late_s == []
    assert trial.field.ended_s > limit_s


def test_what_only_the_list_shows_as_leaving_gets_nothing_new(rig: Rig) -> None:
    def leave(field: Field) -> None:
        for name in (ENGINE, TARGET):
            field.left.append(Left(name, time.monotonic()))
            field.rig.platform.instances.leave(name)

    load_through(rig, leave)
