"""Tests of celeryfork_entry.admission_gate and of the order of waiting searches."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import define, evolve, field
from celeryfork_admission.service_load import (
    DemandRow,
    ServiceDemand,
    ServiceLoad,
    Urgency,
)
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_entry.admission_gate import MAX_ORGANISATION_LABELS, AdmissionGate
from celeryfork_entry.capacity_sharing import CapacitySharing
from celeryfork_entry.configuration import Organisation
from celeryfork_entry.search_order import SearchOrder
from celeryfork_entry.settings import Mode
from celeryfork_routing.room import Room
from stream_trial import CALL_S, Caller, Refuse, Trial

URGENT = Organisation("urgent", 0)
USUAL = Organisation("usual", 1)


@define
class ShortLoads:
    """Knowledge of a shortage in which only the most urgent requests fit."""

    calls: list = field(factory=list)
    meter: object = field(init=False)

    def __attrs_post_init__(self):
        self.meter = SimpleNamespace(
            record_arrival=lambda *_: self.calls.append("arrival"),
            record_admission=lambda *_: self.calls.append("admission"),
            record_release=lambda *_: self.calls.append("release"),
        )

    def service_load(self, service, now_s):
        urgencies = (Urgency(0, 1), Urgency(1, 1))
        rows = tuple(DemandRow(each, None, 900.0, 1.0, 8) for each in urgencies)
        demand = ServiceDemand(service, rows, 1_000.0, 1_000.0)
        return ServiceLoad(Room(10_000.0, 100.0), demand, 0.5, 60, True)


def make_trial(*organisations, short=True, **route):
    trial = Trial()
    trial.route = evolve(trial.route, **route)
    trial.organisation_by_key = {each.name: each for each in organisations}
    if short:
        trial.context.load_knowledge = ShortLoads()
    trial.dispatcher()
    return trial


def make_gate(trial, mode=Mode.ON):
    return AdmissionGate(
        trial.context, CapacitySharing(trial.context.configuration), mode, "i1"
    )


def make_call(trial, organisation=None, request_id="r1"):
    call = trial.call(Caller(), request_id, CALL_S)
    call.organisation = organisation and organisation.name
    return call


def warm_up(trial, gate):
    """Let the policy learn how long requests hold memory."""
    for _ in range(3):
        gate.check(make_call(trial, URGENT))
        time.sleep(0.11)


@pytest.mark.parametrize("organisations", [(), (Organisation("a", 1),)])
def test_without_a_second_urgency_or_a_weight_nothing_is_looked_at(organisations):
    """Existing deployments are served as before."""
    trial = make_trial(*organisations)
    gate = make_gate(trial, Mode.AUTO)
    call = make_call(trial, *organisations)
    before = call.priority
    for _ in range(20):
        gate.check(call)
    gate.release(call)
    assert trial.context.load_knowledge.calls == [] and trial.lines == []
    assert (call.urgency, call.priority) == (None, before)
    assert trial.counters.counts() == {}


@pytest.mark.parametrize(
    ("mode", "organisations", "shared"),
    [
        (Mode.AUTO, (URGENT, USUAL), False),
        (Mode.ON, (URGENT, USUAL), True),
        (Mode.AUTO, (Organisation("a", 1, 2.0),), True),
        (Mode.ON, (), True),
        (Mode.OFF, (URGENT, USUAL), False),
    ],
)
def test_the_switch(mode, organisations, shared):
    trial = make_trial(*organisations)
    make_gate(trial, mode).check(make_call(trial))
    assert bool(trial.context.load_knowledge.calls) == shared


def test_without_information_everything_is_admitted():
    trial = make_trial(URGENT, USUAL, short=False)
    gate = make_gate(trial)
    for _ in range(50):
        gate.check(make_call(trial, USUAL))
    assert trial.counters.count("admission.admitted.urgency.1_1") == 50


def test_a_refusal_is_truthful_and_logged_with_its_inputs():
    """The log line of a refusal told neither the urgency nor what was known."""
    trial = make_trial(URGENT, USUAL)
    gate = make_gate(trial)
    warm_up(trial, gate)
    with pytest.raises(RequestRefusedError) as caught:
        for _ in range(100):
            gate.check(make_call(trial, USUAL, "r9"))
    assert caught.value.status == 503 and caught.value.outcome is Outcome.NOT_RUN
    assert caught.value.retry_after_s > 0
    [line] = trial.logged("admission_refused")
    assert (line["id"], line["organisation"]) == ("r9", "usual")
    assert line["urgency"] == [1, 1] and line["demand"] == 900
    assert line["demand_more_urgent"] == 900
    assert line["room_free"] == 100 and line["knowledge_age_ms"] == 500
    assert line["complete"] and line["retry_after_s"] == caught.value.retry_after_s
    assert trial.counters.count("admission.refused.urgency.1_1") == 1
    assert trial.counters.count("admission.refused.organisation.usual") == 1


def test_engines_get_the_rank_of_the_urgency():
    last = Organisation("last", 7)
    trial = make_trial(URGENT, USUAL, last, short=False)
    gate = make_gate(trial)
    ranks = []
    for organisation in (URGENT, USUAL, last):
        call = make_call(trial, organisation)
        gate.check(call)
        ranks.append(call.priority)
    assert ranks == [0, 1, 2]


def test_only_ended_runs_are_recorded_as_released():
    """A call that found no path would look like memory that was released."""
    trial = make_trial(URGENT, USUAL)
    gate = make_gate(trial)
    call = make_call(trial, URGENT)
    gate.check(call)
    gate.release(call)
    assert trial.context.load_knowledge.calls == ["arrival", "admission"]
    gate.check(call)
    call.progress = SimpleNamespace(started=True)
    gate.release(call)
    gate.release(call)
    assert trial.context.load_knowledge.calls[2:] == ["arrival", "admission", "release"]


def test_a_stream_is_released_at_its_end():
    trial = make_trial(URGENT, Organisation("weighted", 1, 2.0), priority=0)
    trial.add("first")
    caller = Caller()
    request = trial.request("r1", CALL_S)
    trial.run(trial.dispatcher().handle(caller, request))
    assert caller.has_complete_answer
    assert trial.context.load_knowledge.calls == ["arrival", "admission", "release"]


def test_labels_of_counters_are_bounded():
    """With 24,000 organisations the metrics would fill the memory."""
    organisations = [Organisation(f"o {n}", n % 2) for n in range(40)]
    trial = make_trial(*organisations, short=False)
    gate = make_gate(trial)
    for each in organisations:
        gate.check(make_call(trial, each))
    names = [name for name in trial.counters.counts() if "organisation" in name]
    assert len(names) == MAX_ORGANISATION_LABELS + 1
    assert trial.counters.count("admission.admitted.organisation.other") == 24


def waiting_call(name, urgency, age_s=0.0, goal_s=0.5):
    return SimpleNamespace(
        name=name,
        urgency=urgency,
        route=SimpleNamespace(latency_goal_s=goal_s),
        request=SimpleNamespace(arrived_s=time.monotonic() - age_s),
    )


def test_waiting_searches_come_in_the_order_of_urgency():
    """Whichever request happened to wake took the memory that became free."""
    calls = [
        waiting_call("late", Urgency(0, 0), age_s=1.0),
        waiting_call("usual", Urgency(1, 0)),
        waiting_call("older", Urgency(0, 0), age_s=0.2),
        waiting_call("newest", Urgency(0, 0)),
        waiting_call("urgent but late", Urgency(0, 1), age_s=1.0),
    ]
    order, woken = SearchOrder(), []

    async def wait(call):
        await order.wait_for_turn(call, 0.03, time.monotonic() + 5.0)
        woken.append(call.name)

    async def run():
        await asyncio.gather(*map(wait, calls))

    asyncio.run(run())
    assert woken == ["newest", "older", "late", "urgent but late", "usual"]


def test_a_search_that_fails_does_not_starve_those_after_it():
    order, searches = SearchOrder(), []

    async def search(call, times):
        for _ in range(times):
            await order.wait_for_turn(call, 0.02, time.monotonic() + 5.0)
            searches.append(call.name)

    async def run():
        urgent = waiting_call("urgent", Urgency(0, 0))
        usual = waiting_call("usual", Urgency(1, 0))
        await asyncio.gather(search(usual, 2), search(urgent, 20))

    asyncio.run(run())
    assert "usual" in searches[:10]


def test_a_wait_ends_with_the_time_for_it():
    async def run():
        order = SearchOrder()
        urgent = [waiting_call(f"u{n}", Urgency(0, 0)) for n in range(3)]
        usual = waiting_call("usual", Urgency(1, 0))
        begun_s = time.monotonic()
        until_s = begun_s + 0.1
        waits = [order.wait_for_turn(each, 0.5, begun_s + 2.0) for each in urgent]
        tasks = [asyncio.ensure_future(each) for each in waits]
        await order.wait_for_turn(usual, 0.05, until_s)
        waited_s = time.monotonic() - begun_s
        await asyncio.gather(*tasks)
        return waited_s

    assert asyncio.run(run()) < 0.4


def test_an_admitted_stream_that_finds_no_memory_is_refused_as_today():
    trial = make_trial(URGENT, USUAL, short=False)
    trial.add("first", *[Refuse("first")] * 50)
    caller = Caller()
    trial.run(trial.dispatcher().handle(caller, trial.request("r1", CALL_S)))
    assert caller.status == 503
    [line] = trial.logged("refused")
    assert line["code"] == "no_path"
