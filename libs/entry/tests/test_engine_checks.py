"""Detection of engines that are down, by own checks and by reports of peers."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_base.counters import Counters
from celeryfork_entry import engine_checks
from celeryfork_entry.engine_checks import (
    SPEED_CHECK_INTERVAL_S,
    EngineChecks,
)
from celeryfork_entry.engine_speeds import SLOWNESS_TTL_S
from celeryfork_entry.ports import EngineReport, ReplyMetadata
from celeryfork_entry.target_http import LostError, NotSentError, PortClosedError
from celeryfork_entry.targets import SUSPICION_TTL_S, Listed, Target, TargetTable
from logbook import Logger

REPORT = EngineReport(None, 0, False, 1, 1.0, {})


class Engine:
    """Answers report requests in the order of ``answers``; None is no answer."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.request_count = 0
        self.forgotten = []

    async def send(self, address, question):
        self.request_count += 1
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            await asyncio.sleep(60)
        if isinstance(answer, Exception):
            raise answer

        async def read_all(most):
            return b"a report"

        return SimpleNamespace(
            status=200, headers=[], read_all=read_all, drop=lambda: None
        )

    def build_report_request(self):
        return "report?"

    def read_reply(self, status, headers):
        return ReplyMetadata(False, None, None)

    def read_report(self, body):
        return REPORT

    def forget(self, address):
        self.forgotten.append(address)


def ask(checks):
    return asyncio.run(checks.ask("x"))


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(engine_checks, "ANSWER_TIMEOUT_S", 0.02)


def make_checks(engine):
    """Return checks of one engine, its table, and two lists of engine ids.

    The lists are of engines reported to peers and of engines excluded.
    """
    table = TargetTable()
    table.apply([Listed(Target("x", "llm", "x:1", "a", born_ms=1))])
    reported, excluded_ids = [], []
    checks = EngineChecks(
        table,
        engine,
        engine,
        Logger("test"),
        Counters(),
        domain="a",
        on_down=excluded_ids.append,
        on_found_down=lambda target: reported.append(target.id),
    )
    return checks, table, reported, excluded_ids


@pytest.mark.parametrize("answer", [None, NotSentError("refused")])
def test_an_engine_that_does_not_answer_is_excluded_and_reported_to_peers(
    answer, monkeypatch
):
    monkeypatch.setattr(engine_checks, "LATE_WAKEUP_S", 60.0)
    engine = Engine(answer)
    checks, table, reported, excluded_ids = make_checks(engine)
    checks.record_progress(["y"], engine_checks.time.monotonic() + 60.0)
    assert ask(checks) is None
    assert table.health("x").excluded
    assert (reported, excluded_ids, engine.request_count) == (["x"], ["x"], 1)


@pytest.mark.parametrize(
    ("answer", "ended"),
    [(NotSentError("no route"), False), (PortClosedError("closed"), True)],
)
def test_only_a_closed_port_proves_that_an_engine_has_ended(answer, ended):
    """A silent or partitioned engine may still run the requests that it began."""
    checks, table, _, _ = make_checks(Engine(answer, "yes"))
    assert ask(checks) is None
    assert table.health("x").ended is ended
    assert ask(checks) == REPORT
    assert not table.health("x").ended


@pytest.mark.parametrize(
    ("answer", "excluded", "ended"),
    [
        (PortClosedError("closed"), True, True),
        (LostError("reset"), True, False),
        ("yes", False, False),
    ],
)
def test_an_engine_whose_report_is_lost_is_asked_again(answer, excluded, ended):
    """The report broke off as the process ended, which then counted as a pause."""
    checks, table, _, _ = make_checks(Engine(LostError("reset"), answer))
    ask(checks)
    health = table.health("x")
    assert (health.excluded, health.ended) == (excluded, ended)


def test_a_restarted_engine_counts_as_ended():
    checks, table, _, _ = make_checks(Engine("yes"))
    table.apply([Listed(Target("x", "llm", "x:1", "a", born_ms=7))])
    assert ask(checks) is None
    assert table.health("x").ended


def test_an_engine_that_answers_is_available():
    checks, table, reported, _ = make_checks(Engine("yes"))
    assert ask(checks) == REPORT
    assert not table.health("x").excluded
    assert reported == []


def test_a_timeout_while_this_process_is_starved_is_not_counted(
    monkeypatch,
):
    """A partition breaks dozens of streams, and finding new paths blocks for 50 ms."""
    monkeypatch.setattr(engine_checks, "LATE_WAKEUP_S", -1.0)
    engine = Engine(None, "yes")
    checks, table, _, _ = make_checks(engine)
    assert ask(checks) == REPORT
    assert engine.request_count == 2
    assert not table.health("x").excluded


def test_no_engine_is_excluded_by_a_process_that_is_always_starved(monkeypatch):
    """When the store returned, all instances were busy for a second.

    In that second 3,900 checks judged an engine to be down, 1,990 of them for silence.
    """
    monkeypatch.setattr(engine_checks, "LATE_WAKEUP_S", -1.0)
    engine = Engine(None, None, None, "yes")
    checks, table, reported, excluded_ids = make_checks(engine)
    assert ask(checks) is None
    assert engine.request_count == engine_checks.MAX_REPORT_REQUESTS
    assert not table.health("x").excluded
    assert (reported, excluded_ids) == ([], [])


def test_an_engine_is_asked_again_if_no_engine_answers():
    """An instance's own link is full, so that no engine's answer gets through.

    83 instances excluded 2,773 engines within a second, all of which were alive.
    """
    engine = Engine(None, "yes")
    checks, table, reported, excluded_ids = make_checks(engine)
    assert ask(checks) == REPORT
    assert engine.request_count == 2
    assert not table.health("x").excluded
    assert (reported, excluded_ids) == ([], [])


def test_one_silent_engine_is_excluded_at_once_while_others_answer():
    engine = Engine(None, "yes")
    checks, table, reported, excluded_ids = make_checks(engine)
    checks.record_progress(["y"], engine_checks.time.monotonic() + 60.0)
    assert ask(checks) is None
    assert engine.request_count == 1
    assert (reported, excluded_ids) == (["x"], ["x"])


def age_speed_report(table, seconds):
    """Make the engine's last speed report older."""
    speed = table.speeds._speed_by_id.get("x")
    if speed is not None:
        older = evolve(speed, at_s=speed.at_s - seconds)
        table.speeds._speed_by_id["x"] = older


@pytest.mark.parametrize("slow", [True, False])
def test_speeds_of_slow_engines_are_requested_at_intervals(slow):
    """Speeds stay known while engines are five times slower for 8 s."""
    engine = Engine(*[b"ok"] * 100)
    checks, table, _, _ = make_checks(engine)
    checks.spawn = lambda work: spawned.append(asyncio.ensure_future(work))
    spawned = []

    async def run():
        """Record 32 events of a slow stream, 0.25 s apart, without waiting."""
        for _ in range(32):
            checks.record_progress(["x"], time.monotonic(), slow=slow)
            while spawned:
                await spawned.pop()
            age_speed_report(table, 0.25)

    asyncio.run(run())
    assert engine.request_count <= (1 + 8.0 / SPEED_CHECK_INTERVAL_S if slow else 0)
    if slow:
        assert time.monotonic() - table.speeds.last_report_s("x") < SLOWNESS_TTL_S


class PromptEngine(Engine):
    """Answers after 40 ms, while this process is blocked from 30 to 60 ms."""

    async def send(self, address, question):
        loop = asyncio.get_running_loop()
        loop.call_later(0.03, time.sleep, 0.03)
        await asyncio.sleep(0.04)
        return await super().send(address, question)


def test_an_answer_received_by_the_end_of_the_timeout_counts():
    """A configuration of 1,400 routes reached all instances at the same moment.

    Each instance decoded it while checks were in progress, and judged engines to be
    down that had answered: 12 to 43 streams broke off.
    """
    engine = PromptEngine("yes")
    checks, table, _, excluded_ids = make_checks(engine)
    assert ask(checks) == REPORT
    assert engine.request_count == 1
    assert not table.health("x").excluded
    assert excluded_ids == []


def deliver_down_report(checks, *, uses, born_ms=1, meanwhile=lambda: None):
    """Deliver a peer's down report of the engine; run the tasks that it starts."""

    async def run():
        asyncio.get_running_loop().call_later(0.002, meanwhile)
        tasks = []
        checks.is_in_use = lambda engine_id: uses
        checks.spawn = lambda work: tasks.append(asyncio.ensure_future(work))
        checks.handle_down_report("x", born_ms, "peer")
        checks.handle_down_report("unknown", 1, "peer")
        await asyncio.gather(*tasks)

    asyncio.run(run())


def test_a_down_report_counts_if_own_streams_are_silent_too():
    """Otherwise each instance detects a silent engine by itself, up to 2 s later."""
    engine = Engine("yes")
    checks, table, reported, excluded_ids = make_checks(engine)
    deliver_down_report(checks, uses=True)
    assert table.health("x").excluded
    assert (reported, excluded_ids, engine.request_count) == ([], ["x"], 0)


def test_a_down_report_waits_for_events_that_have_already_arrived():
    checks, table, _, excluded_ids = make_checks(Engine("yes"))
    now_s = time.monotonic()
    deliver_down_report(
        checks, uses=True, meanwhile=lambda: checks.record_progress(["x"], now_s)
    )
    assert not table.health("x").excluded
    assert excluded_ids == []


def test_a_down_report_of_an_engine_with_progress_is_ignored():
    """Only the peer that reports it is cut off from the engine."""
    checks, table, _, _ = make_checks(Engine("yes"))
    checks.record_progress(["x"], engine_checks.time.monotonic() + 60.0)
    deliver_down_report(checks, uses=True)
    assert not table.health("x").excluded


@pytest.mark.parametrize(("answer", "excluded"), [("yes", False), (None, True)])
def test_an_engine_that_is_not_in_use_is_asked_after_a_down_report(
    answer, excluded, monkeypatch
):
    monkeypatch.setattr(engine_checks, "LATE_WAKEUP_S", 60.0)
    engine = Engine(answer)
    checks, table, _, _ = make_checks(engine)
    checks.record_progress(["y"], engine_checks.time.monotonic() + 60.0)
    deliver_down_report(checks, uses=False)
    assert engine.request_count == 1
    assert table.health("x").excluded == excluded


def test_an_engine_of_another_domain_that_is_not_in_use_is_not_asked():
    """Otherwise each of 690 instances sends a request when an engine is lost."""
    engine = Engine("yes")
    checks, _, _, _ = make_checks(engine)
    checks.domain = "b"
    deliver_down_report(checks, uses=False)
    assert engine.request_count == 0


def test_an_engine_of_another_domain_that_peers_report_down_is_a_last_resort():
    """Issue 21: 487 of 711 refusals of a bench trial blamed engines known to be down.

    Peers knew it; each of 60 instances offered these engines requests until they left
    the target list.
    """
    checks, table, _, _ = make_checks(Engine("yes"))
    checks.domain = "b"
    deliver_down_report(checks, uses=False)
    now_s = time.monotonic()
    assert not table.health("x").accepts_work(now_s)
    assert not table.health("x").excluded
    assert table.health("x").accepts_work(now_s + SUSPICION_TTL_S + 1)


def test_an_engine_that_answers_or_accepts_work_is_no_longer_suspected():
    checks, table, _, _ = make_checks(Engine("yes"))
    table.suspect("x", time.monotonic())
    assert ask(checks) == REPORT
    assert table.health("x").accepts_work(time.monotonic())
    table.suspect("x", time.monotonic())
    table.accepted(["x"])
    assert table.health("x").accepts_work(time.monotonic())


def test_a_down_report_of_an_earlier_start_is_ignored():
    engine = Engine("yes")
    checks, table, _, _ = make_checks(engine)
    deliver_down_report(checks, uses=True, born_ms=0)
    assert not table.health("x").excluded
    assert engine.request_count == 0
