"""Which engines count as down, by their own answers and by peers' news."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_base.counters import Counters
from celeryfork_entry import engine_checks
from celeryfork_entry.engine_checks import (
    SPEED_PAUSE_S,
    EngineChecks,
)
from celeryfork_entry.engine_speeds import SLOWNESS_LIFE_S
from celeryfork_entry.ports import EngineReport
from celeryfork_entry.target_http import NotSentError, PortClosedError
from celeryfork_entry.targets import DOUBTED_S, Listed, Target, TargetTable
from logbook import Logger

REPORT = EngineReport(None, 0, False, 1, 1.0, {})


class Engine:
    """Answers questions for a report; a None among ``answers`` is silence."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = 0
        self.forgotten = []

    async def send(self, address, question):
        self.asked += 1
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            await asyncio.sleep(60)
        if isinstance(answer, Exception):
            raise answer

        async def read_all(most):
            return b"a report"

        return SimpleNamespace(status=200, read_all=read_all, drop=lambda: None)

    def build_report_request(self):
        return "report?"

    def read_report(self, body):
        return REPORT

    def forget(self, address):
        self.forgotten.append(address)


def ask(checks):
    return asyncio.run(checks.ask("x"))


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(engine_checks, "ANSWER_TIMEOUT_S", 0.02)


def make(engine):
    """Return checks with what they told peers and streams."""
    table = TargetTable()
    table.apply([Listed(Target("x", "llm", "x:1", "a", born_ms=1))])
    told, downs = [], []
    checks = EngineChecks(
        table,
        engine,
        engine,
        Logger("test"),
        Counters(),
        domain="a",
        on_down=downs.append,
        tell=lambda target: told.append(target.id),
    )
    return checks, table, told, downs


@pytest.mark.parametrize("answer", [None, NotSentError("refused")])
def test_an_engine_that_does_not_answer_is_down_and_peers_are_told(answer, monkeypatch):
    monkeypatch.setattr(engine_checks, "LATE_S", 60.0)
    engine = Engine(answer)
    checks, table, told, downs = make(engine)
    checks.record_progress(["y"], engine_checks.time.monotonic() + 60.0)
    assert ask(checks) is None
    assert table.health("x").excluded
    assert (told, downs, engine.asked) == (["x"], ["x"], 1)


@pytest.mark.parametrize(
    ("answer", "ended"),
    [(NotSentError("no route"), False), (PortClosedError("closed"), True)],
)
def test_only_a_closed_port_tells_that_an_engine_has_ended(answer, ended):
    """One that is silent, or behind a cut, may still run what was begun on it."""
    checks, table, _, _ = make(Engine(answer, "yes"))
    assert ask(checks) is None
    assert table.health("x").ended is ended
    assert ask(checks) == REPORT
    assert not table.health("x").ended


def test_an_engine_that_has_restarted_runs_nothing_of_before():
    checks, table, _, _ = make(Engine("yes"))
    table.apply([Listed(Target("x", "llm", "x:1", "a", born_ms=7))])
    assert ask(checks) is None
    assert table.health("x").ended


def test_an_engine_that_answers_is_in_choice():
    checks, table, told, _ = make(Engine("yes"))
    assert ask(checks) == REPORT
    assert not table.health("x").excluded
    assert told == []


def test_an_answer_that_waited_for_this_process_does_not_count_against_the_engine(
    monkeypatch,
):
    """Pattern: a cut breaks dozens of streams, and finding their paths takes 50 ms."""
    monkeypatch.setattr(engine_checks, "LATE_S", -1.0)
    engine = Engine(None, "yes")
    checks, table, _, _ = make(engine)
    assert ask(checks) == REPORT
    assert engine.asked == 2
    assert not table.health("x").excluded


def test_an_engine_is_not_judged_by_a_process_that_is_always_late(monkeypatch):
    """Pattern: the store comes back, and all instances are busy for a second.

    3,900 engines were taken to be down within it, 1,990 of them for their own silence.
    """
    monkeypatch.setattr(engine_checks, "LATE_S", -1.0)
    engine = Engine(None, None, None, "yes")
    checks, table, told, downs = make(engine)
    assert ask(checks) is None
    assert engine.asked == engine_checks.MOST_QUESTIONS
    assert not table.health("x").excluded
    assert (told, downs) == ([], [])


def test_silence_of_all_engines_is_looked_at_again():
    """Pattern: an instance's own link is full, and no engine's answer gets through.

    83 instances found 2,773 engines down within a second, all of which lived.
    """
    engine = Engine(None, "yes")
    checks, table, told, downs = make(engine)
    assert ask(checks) == REPORT
    assert engine.asked == 2
    assert not table.health("x").excluded
    assert (told, downs) == ([], [])


def test_silence_of_one_engine_among_others_is_judged_at_once():
    engine = Engine(None, "yes")
    checks, table, told, downs = make(engine)
    checks.record_progress(["y"], engine_checks.time.monotonic() + 60.0)
    assert ask(checks) is None
    assert engine.asked == 1
    assert (told, downs) == (["x"], ["x"])


def age(table, seconds):
    """Let the time pass since the engine's last report."""
    speed = table.speeds._speed_by_id.get("x")
    if speed is not None:
        older = evolve(speed, at_s=speed.at_s - seconds)
        table.speeds._speed_by_id["x"] = older


@pytest.mark.parametrize("slow", [True, False])
def test_speeds_of_slow_engines_are_asked_for_now_and_then(slow):
    """Pattern: engines work five times as long for 8 s; their speeds stay known."""
    engine = Engine(*[b"ok"] * 100)
    checks, table, _, _ = make(engine)
    checks.spawn = lambda work: spawned.append(asyncio.ensure_future(work))
    spawned = []

    async def run():
        """Hear 32 events of a slow stream, each 0.25 s later, within no time."""
        for _ in range(32):
            checks.record_progress(["x"], time.monotonic(), slow=slow)
            while spawned:
                await spawned.pop()
            age(table, 0.25)

    asyncio.run(run())
    assert engine.asked <= (1 + 8.0 / SPEED_PAUSE_S if slow else 0)
    if slow:
        assert time.monotonic() - table.speeds.last_report_s("x") < SLOWNESS_LIFE_S


class PromptEngine(Engine):
    """Answers 40 ms after a question; this process is busy from 30 to 60 ms."""

    async def send(self, address, question):
        loop = asyncio.get_running_loop()
        loop.call_later(0.03, time.sleep, 0.03)
        await asyncio.sleep(0.04)
        return await super().send(address, question)


def test_an_answer_that_is_there_when_the_time_is_up_counts():
    """Pattern: a change of 1,400 routes reaches all instances at the same moment.

    Each read it in one go while its questions were under way, and took engines that
    had answered for dead: 12 to 43 streams broke off.
    """
    engine = PromptEngine("yes")
    checks, table, _, downs = make(engine)
    assert ask(checks) == REPORT
    assert engine.asked == 1
    assert not table.health("x").excluded
    assert downs == []


def tell(checks, *, uses, born_ms=1, meanwhile=lambda: None):
    """Give a peer's news of the engine; run what follows."""

    async def run():
        asyncio.get_running_loop().call_later(0.002, meanwhile)
        tasks = []
        checks.uses = lambda engine_id: uses
        checks.spawn = lambda work: tasks.append(asyncio.ensure_future(work))
        checks.handle_down_report("x", born_ms, "peer")
        checks.handle_down_report("unknown", 1, "peer")
        await asyncio.gather(*tasks)

    asyncio.run(run())


def test_news_of_an_engine_whose_streams_are_silent_here_too_counts():
    """Pattern: a dark engine, which each instance found by itself, up to 2 s late."""
    engine = Engine("yes")
    checks, table, told, downs = make(engine)
    tell(checks, uses=True)
    assert table.health("x").excluded
    assert (told, downs, engine.asked) == ([], ["x"], 0)


def test_news_waits_for_what_has_arrived_while_this_process_was_busy():
    checks, table, _, downs = make(Engine("yes"))
    now_s = time.monotonic()
    tell(checks, uses=True, meanwhile=lambda: checks.record_progress(["x"], now_s))
    assert not table.health("x").excluded
    assert downs == []


def test_news_of_an_engine_that_makes_progress_here_does_not_count():
    """The peer is cut off from it, not this instance."""
    checks, table, _, _ = make(Engine("yes"))
    checks.record_progress(["x"], engine_checks.time.monotonic() + 60.0)
    tell(checks, uses=True)
    assert not table.health("x").excluded


@pytest.mark.parametrize(("answer", "held"), [("yes", False), (None, True)])
def test_an_engine_that_is_not_in_use_is_asked_after_news(answer, held, monkeypatch):
    monkeypatch.setattr(engine_checks, "LATE_S", 60.0)
    engine = Engine(answer)
    checks, table, _, _ = make(engine)
    checks.record_progress(["y"], engine_checks.time.monotonic() + 60.0)
    tell(checks, uses=False)
    assert engine.asked == 1
    assert table.health("x").excluded == held


def test_an_engine_of_another_domain_that_is_not_in_use_is_not_asked():
    """At 690 instances each loss of an engine would bring as many questions."""
    engine = Engine("yes")
    checks, _, _, _ = make(engine)
    checks.domain = "b"
    tell(checks, uses=False)
    assert engine.asked == 0


def test_an_engine_of_another_domain_that_peers_know_to_be_down_is_the_last_choice():
    """Issue 21's day: 487 of 711 refusals came of engines that peers knew to be down.

    Each of 60 instances offered them requests, until the list dropped them.
    """
    checks, table, _, _ = make(Engine("yes"))
    checks.domain = "b"
    tell(checks, uses=False)
    now_s = time.monotonic()
    assert not table.health("x").accepts_work(now_s)
    assert not table.health("x").excluded
    assert table.health("x").accepts_work(now_s + DOUBTED_S + 1)


def test_an_engine_that_answers_or_takes_work_is_doubted_no_longer():
    checks, table, _, _ = make(Engine("yes"))
    table.suspect("x", time.monotonic())
    assert ask(checks) == REPORT
    assert table.health("x").accepts_work(time.monotonic())
    table.suspect("x", time.monotonic())
    table.accepted(["x"])
    assert table.health("x").accepts_work(time.monotonic())


def test_news_of_an_earlier_start_does_not_count():
    engine = Engine("yes")
    checks, table, _, _ = make(engine)
    tell(checks, uses=True, born_ms=0)
    assert not table.health("x").excluded
    assert engine.asked == 0
