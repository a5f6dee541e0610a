"""Ramp-up of targets at one instance: what begins a ramp, and what it holds back."""

import asyncio
from types import SimpleNamespace

import pytest
from attrs import define, evolve, field
from celeryfork_entry.configuration import Idempotent
from celeryfork_entry.path_selector import PathSelector
from celeryfork_entry.plain_calls import PlainCalls
from celeryfork_entry.settings import Mode
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.target_ramp_up import (
    FIRST_TARGETS_S,
    MIN_SAMPLES,
    RampRequest,
    TargetRampUp,
    make_target_ramp_up,
)
from celeryfork_entry.targets import Listed, Target, TargetTable, Unlisted
from celeryfork_routing.engine_loads import EngineLoads, LayerPath, Part
from celeryfork_routing.first_event import predicted_first_event_ms
from celeryfork_routing.layers import LayerRange
from celeryfork_routing.ramp_up import RampUp
from stream_trial import (
    LAYERS,
    SERVICE,
    SHAPE,
    Caller,
    LoseReply,
    Refuse,
    ReplyWithError,
    Trial,
)

PLAIN = evolve(SERVICE, name="desk", model=None)
ROUTE = SimpleNamespace(name="advice")
REQUEST = RampRequest(SERVICE, ROUTE, 100.0, False)
FRONT, MIDDLE, BACK = LayerRange(0, 2), LayerRange(2, 4), LayerRange(4, LAYERS)


def engine(engine_id, held=FRONT, born_ms=1, domain="a"):
    return Target(
        engine_id, "llm", f"{engine_id}:1", domain, accelerator="card", held=held,
        born_ms=born_ms,
    )  # fmt: skip


@define(eq=False)
class Fixture:
    """A table with one engine on its first list, a clock, and the lines logged."""

    instances: int = 60
    mode: Mode = Mode.AUTO
    now_s: float = 100.0
    table: TargetTable = field(init=False)
    ramp_up: TargetRampUp = field(init=False)
    lines: list = field(factory=list)
    serves: bool = True

    def __attrs_post_init__(self):
        self.table = TargetTable(clock=lambda: self.now_s)
        log = SimpleNamespace(info=lambda event, **inputs: self.lines.append(event))
        self.ramp_up = TargetRampUp(
            self.table, log, self.mode, "a", lambda: self.instances, RampUp("i1"),
            lambda: self.now_s,
        )  # fmt: skip
        self.table.on_start = self.ramp_up.target_started
        self.list(engine("old"))
        if self.serves:
            self.ramp_up.record_request()

    def list(self, *targets, after_s=0.0):
        self.now_s += after_s
        self.table.apply([Listed(each) for each in targets])

    def ramping(self):
        return set(self.ramp_up._ramp_up.target_ids)

    def answer(self, path, took_ms, request=REQUEST):
        """Send a stream over engines, and record its first event."""
        run = self.ramp_up.begin_path(request, path)
        self.now_s += took_ms / 1000
        self.ramp_up.record_answer(run)
        self.ramp_up.end(run)


def path_over(*engine_ids):
    held = (FRONT, MIDDLE, BACK)
    return LayerPath(
        tuple(
            Part(each, f"{each}:1", layers, "a")
            for each, layers in zip(engine_ids, held, strict=True)
        )
    )


def test_targets_of_the_first_list_are_not_ramped():
    """All of them would be held back by an instance that has just started."""
    trial = Fixture()
    trial.list(engine("e1"), after_s=FIRST_TARGETS_S - 1)
    assert not trial.ramp_up.active
    trial.list(engine("e2"), after_s=2.0)
    assert trial.ramping() == {"e2"}
    assert trial.lines == ["ramp_up_began"]


def test_a_fleet_that_loads_its_layers_before_the_first_request_is_not_ramped():
    """All engines were held back as the callers of a new deployment arrived."""
    trial = Fixture(serves=False)
    trial.list(engine("e1", held=None), after_s=FIRST_TARGETS_S + 1)
    trial.list(engine("e1"), after_s=5.0)
    trial.ramp_up.record_request()
    assert not trial.ramp_up.active


def test_the_mode_on_ramps_targets_listed_soon_after_the_first():
    trial = Fixture(mode=Mode.ON)
    trial.list(engine("e1"), after_s=0.5)
    trial.list(engine("e2"), after_s=0.5)
    assert trial.ramping() == {"e2"}


def test_a_new_process_new_layers_and_a_recovery_begin_a_ramp():
    trial = Fixture()
    trial.list(engine("e1"), engine("e2"), engine("e3"))
    trial.now_s += 10.0
    trial.list(engine("e1", born_ms=2))
    trial.table.record_layers("e2", ReportedLayers(BACK, 1, trial.now_s, own=True))
    trial.table.exclude("e3", "silent", trial.now_s)
    trial.table.succeeded("e3")
    trial.table.succeeded("old")
    assert trial.ramping() == {"e1", "e2", "e3"}


def test_an_engine_without_layers_and_a_renewal_begin_no_ramp():
    trial = Fixture()
    trial.list(engine("e1", held=None), after_s=10.0)
    trial.list(evolve(engine("old"), entry_number=1))
    assert not trial.ramp_up.active
    trial.list(engine("e1"))
    assert trial.ramping() == {"e1"}


def test_a_target_that_leaves_the_list_ramps_no_longer():
    trial = Fixture()
    trial.list(engine("e1"), after_s=10.0)
    trial.table.apply([Unlisted("e1")])
    assert trial.ramp_up.held_back(trial.now_s) == set()
    assert trial.ramp_up.count() == 0


def test_the_window_is_divided_among_the_instances_of_the_domain():
    trial = Fixture(instances=60)
    trial.list(engine("far", domain="b"), engine("off", domain="c"))
    trial.list(engine("near"), engine("late", domain="b"), after_s=10.0)
    ramps = trial.ramp_up._ramp_up._ramp_by_id
    assert ramps["near"].share == pytest.approx(8 / 20)
    assert ramps["late"].share == pytest.approx(8 / 60)


def test_quick_answers_end_the_ramps_of_all_engines_of_a_path():
    """With eight engines on a path, each would wait for answers of its own."""
    trial = Fixture()
    trial.list(engine("e1"), engine("e2", MIDDLE), engine("e3", BACK), after_s=10.0)
    answers = 0
    while trial.ramp_up.active and answers < 16:
        trial.answer(path_over("e1", "e2", "e3"), 1.0)
        answers += 1
    assert 3 <= answers < 16
    assert trial.lines.count("ramp_up_ended") == 3
    assert trial.ramp_up._in_flight_by_id == {}


def test_a_slow_answer_counts_against_the_least_known_engine_only():
    """One cold engine would hold up all that are on paths with it."""
    trial = Fixture()
    trial.list(engine("e1"), engine("e2", MIDDLE), engine("e3", BACK), after_s=10.0)
    trial.answer(path_over("e1", "e2", "old"), 1.0)
    trial.answer(path_over("e1", "e2", "e3"), 400.0)
    known = trial.ramp_up._ramp_up
    assert [known.answers(each) for each in ("e1", "e2", "e3")] == [1, 1, 0]
    assert known._ramp_by_id["e3"].slow_turn == 0
    assert known._ramp_by_id["e1"].slow_turn == -1


def test_the_expected_time_follows_the_paths_without_ramping_engines():
    """On a loaded fleet, all answers take longer than over idle engines."""
    trial = Fixture()
    trial.list(engine("m", MIDDLE), engine("b", BACK))
    trial.list(engine("e1"), after_s=10.0)
    for _ in range(MIN_SAMPLES):
        trial.answer(path_over("old", "m", "b"), 200.0)
    trial.answer(path_over("e1", "m", "b"), 250.0)
    assert trial.ramp_up._ramp_up.answers("e1") == 1
    trial.answer(path_over("e1", "m", "b"), 350.0)
    assert trial.ramp_up._ramp_up.answers("e1") == 0


def test_the_answer_of_a_stream_that_goes_on_elsewhere_is_not_measured():
    """Its engines process the events so far too, which takes longer."""
    trial = Fixture()
    trial.list(engine("e1"), after_s=10.0)
    path = path_over("e1", "m", "b")
    trial.answer(path, 1.0, evolve(REQUEST, is_continued=True))
    assert trial.ramp_up._ramp_up.answers("e1") == 0


def test_a_plain_target_is_compared_with_others_of_the_route():
    trial = Fixture()
    request = RampRequest(PLAIN, ROUTE, 0.0, False)
    for name in ("p1", "p2"):
        trial.list(Target(name, "desk", f"{name}:1", "a"))
    trial.list(Target("p3", "desk", "p3:1", "a"), after_s=10.0)
    outcomes = []
    for name, took_s in [("p1", 0.02), ("p2", 0.03)] * 3 + [("p3", 0.03)] * 2:
        run = trial.ramp_up.begin_plain(request, trial.table.by_id[name])
        trial.now_s += took_s
        trial.ramp_up.record_answer(run)
        trial.ramp_up.end(run)
        outcomes.append(trial.ramp_up._ramp_up.answers("p3"))
    assert outcomes == [0] * 6 + [1, 2]


def test_the_prediction_counts_accelerator_prompt_and_layers():
    accelerators = {"a": "card", "b": "card"}
    path = LayerPath((Part("a", "a:1", FRONT, "a"), Part("b", "b:1", BACK, "a")))
    short = predicted_first_event_ms(SHAPE, path, accelerators, 100)
    assert predicted_first_event_ms(SHAPE, path, accelerators, 1_000) > 2 * short
    slow = evolve(SHAPE.accelerators_by_name["card"], step_factor=3, prefill_factor=3)
    slower = evolve(SHAPE, accelerators_by_name={"card": slow})
    assert predicted_first_event_ms(slower, path, accelerators, 100) > 2 * short


def hold_back(trial, *target_ids):
    """Begin ramps whose window is full for a long time, at one of very many."""
    trial.context.ramp_up = make_target_ramp_up(
        Mode.AUTO, trial.table, trial.context.log, "i1", "a", lambda: 10**9
    )
    ramp_up = trial.context.ramp_up
    ramp_up._first_request_s = 0.0
    for each in target_ids:
        trial.table.exclude(each, "silent", 0.0)
        trial.table.succeeded(each)
    assert ramp_up.held_back(0.0) == set(target_ids)


def find(trial, *, may_have_run=False, unlimited_only=False):
    call = trial.call(Caller(), "r1", 5.0)
    call.may_have_run = may_have_run
    path = PathSelector(trial.context, EngineLoads())._find(
        call, unlimited_only=unlimited_only
    )
    return path and set(path.engine_ids)


def test_a_stream_leaves_out_a_ramping_engine_with_a_full_window():
    trial = Trial()
    trial.add("e1")
    trial.add("e2")
    before = find(trial)
    hold_back(trial, *before)
    assert find(trial) == {"e1", "e2"} - before


def test_a_stream_uses_a_ramping_engine_if_there_is_no_path_without():
    """No request waits for a starting engine."""
    trial = Trial()
    trial.add("e1", layers=(0, 4))
    trial.add("e2", layers=(4, LAYERS))
    hold_back(trial, "e2")
    assert find(trial) == {"e1", "e2"}


@pytest.mark.parametrize("reason", ["may_have_run", "unlimited_only"])
def test_a_stream_that_has_begun_is_not_held_back(reason):
    """Its caller waits for the next event, on a worse path for no reason."""
    trial = Trial()
    trial.add("e1")
    trial.add("e2")
    before = find(trial)
    hold_back(trial, *before)
    assert find(trial, **{reason: True}) == before


def serve_plain(trial):
    trial.route = evolve(trial.route, kind=Idempotent())
    caller = Caller()
    call = trial.call(caller, "r1", 2.0)
    asyncio.run(PlainCalls(trial.context, trial.guard).serve(call))
    return caller


def test_a_plain_call_leaves_out_a_ramping_target_with_a_full_window():
    trial = Trial()
    trial.add("desk-1")
    trial.add("desk-2", domain="b")
    hold_back(trial, "desk-1")
    assert serve_plain(trial).status == 200
    assert trial.engine("desk-1").arrivals == 0


def test_a_plain_call_uses_a_ramping_target_if_the_others_refuse_it():
    trial = Trial()
    trial.add("desk-1")
    trial.add("desk-2", Refuse("desk-2"), domain="b")
    hold_back(trial, "desk-1")
    assert serve_plain(trial).status == 200
    assert trial.engine("desk-1").arrivals == 1


def test_streams_record_answers_and_refusals_of_ramping_engines():
    """The window would never grow, or never shrink."""
    trial = Trial()
    trial.add("e1", Refuse("e1"))
    trial.add("e2")
    hold_back(trial, "e1", "e2")
    known = trial.context.ramp_up._ramp_up
    before = known._ramp_by_id["e1"].share
    assert trial.serve().status == 200
    assert known._ramp_by_id["e1"].share < before
    assert known._ramp_by_id["e2"].requests == 1
    assert not any(trial.context.ramp_up._in_flight_by_id.values())


@pytest.mark.parametrize("failure", [ReplyWithError(), LoseReply()])
def test_a_failed_stream_halves_the_window(failure):
    trial = Trial()
    trial.add("e1", failure)
    trial.add("e2")
    hold_back(trial, "e1")
    trial.table.exclude("e2", "silent", 1e9)
    known = trial.context.ramp_up._ramp_up
    before = known._ramp_by_id["e1"].share
    trial.serve()
    assert known._ramp_by_id["e1"].share < before
    assert not any(trial.context.ramp_up._in_flight_by_id.values())


def test_a_failed_plain_call_halves_the_window():
    trial = Trial()
    trial.add("desk-1", ReplyWithError())
    trial.add("desk-2", ReplyWithError())
    hold_back(trial, "desk-1", "desk-2")
    known = trial.context.ramp_up._ramp_up
    shares = {each: known._ramp_by_id[each].share for each in known.target_ids}
    serve_plain(trial)
    assert all(known._ramp_by_id[each].share < shares[each] for each in shares)


@define(eq=False, slots=False)
class Untouched(TargetRampUp):
    """Fails if more than the one check of a quiet time is made."""

    def held_back(self, now_s):
        raise AssertionError("held_back")

    def _begin(self, *_):
        raise AssertionError("_begin")

    def record_answer(self, run):
        raise AssertionError("record_answer")


@pytest.mark.parametrize("mode", [Mode.OFF, Mode.AUTO])
def test_nothing_changes_while_no_target_is_ramping(mode):
    """Existing deployments are served as before, at nearly the same cost."""
    trial = Trial()
    trial.add("e1")
    if mode is Mode.AUTO:
        trial.context.ramp_up = Untouched(
            trial.table, trial.context.log, mode, "a", lambda: 60, RampUp("i1")
        )
    assert trial.serve().status == 200
    assert serve_plain(trial).status == 200


def test_off_makes_no_ramp_up_and_observes_no_target():
    table = TargetTable()
    before = table.on_start
    made = make_target_ramp_up(Mode.OFF, table, None, "i1", "a", lambda: 60)
    assert made is None
    assert table.on_start is before
