"""Checks of engines blamed for refusals, and exclusion of unreachable domains."""

import asyncio
import time

import pytest
from celeryfork_entry import reachability_checks
from celeryfork_entry.reachability_checks import SAMPLE_SIZE, ReachabilityChecks
from celeryfork_entry.targets import Listed, Target, TargetTable
from logbook import Logger

ENGINES_PER_DOMAIN = 6


class Checks:
    """Fake of EngineChecks: engines in ``silent`` don't answer."""

    def __init__(self, table, silent):
        self.table = table
        self.silent = silent
        self.asked_ids = []
        self.alive_s_by_id = {}

    def last_alive_s(self, engine_id):
        return self.alive_s_by_id.get(engine_id, 0.0)

    async def ask(self, engine_id):
        self.asked_ids.append(engine_id)
        if engine_id in self.silent:
            self.mark_down(engine_id, "silent")
            return None
        return "a report"

    async def find_down(self, engine_ids):
        asked_ids = list(engine_ids)
        return [each for each in asked_ids if await self.ask(each) is None]

    def mark_down(self, engine_id, reason, own=True):
        if self.table.exclude(engine_id, reason, 100.0):
            self.on_down(engine_id)


class Fleet:
    """Three domains of engines, and the checks of an instance of the first one.

    Parameters
    ----------
    silent
        Letters of the domains whose engines don't answer.
    """

    def __init__(self, silent=()):
        self.table = TargetTable()
        for domain in "abc":
            for number in range(ENGINES_PER_DOMAIN):
                name = f"{domain}{number}"
                self.table.apply(
                    [Listed(Target(name, "llm", f"{name}:1", domain, accelerator="k"))]
                )
        silent = [each for each in self.table.by_id if each[0] in silent]
        self.checks = Checks(self.table, set(silent))
        self.tasks = []
        self.reachability = ReachabilityChecks(
            "a", self.table, self.checks, Logger("test"), self.spawn
        )
        self.checks.on_down = self.reachability.engine_down

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    def run(self, *refusals):
        """Let engines refuse requests; return the domains with available engines.

        Parameters
        ----------
        refusals
            Arguments of ``ReachabilityChecks.refused``.
        """

        async def run():
            for refusal in refusals:
                self.reachability.refused(*refusal)
            while any(not task.done() for task in self.tasks):
                await asyncio.gather(*self.tasks)

        asyncio.run(run())
        return {target.domain for target in self.table.available("llm")}


@pytest.fixture(autouse=True)
def short_liveness_ttl(monkeypatch):
    monkeypatch.setattr(reachability_checks, "LIVENESS_TTL_S", 0.02)


def test_an_unreachable_domain_is_excluded_after_one_refusal():
    """An engine behind a network partition is blamed for refusals, but isn't checked.

    A domain that lacked layers was cut off, and 92 of 107 refusals on its side blamed
    one engine, which no instance checked (found by bench trial troskgille-hosting
    trouble-3).
    """
    fleet = Fleet(silent="b")
    assert fleet.run(("b0", "a", False)) == {"a", "c"}
    assert len(fleet.checks.asked_ids) <= 1 + 2 * SAMPLE_SIZE
    assert not fleet.reachability.cut_off()


def test_an_instance_that_reaches_no_other_domain_is_cut_off():
    fleet = Fleet(silent="bc")
    assert fleet.run(("b0", "a", False), ("c3", "a", False)) == {"a"}
    assert fleet.reachability.cut_off()
    assert fleet.table.list_is_stale


def test_a_deployment_with_one_domain_is_never_cut_off():
    fleet = Fleet()
    for target_id in list(fleet.table.by_id):
        if target_id[0] != "a":
            fleet.table.forget(target_id)
    assert not fleet.reachability.cut_off()


def test_one_crashed_engine_does_not_exclude_its_domain():
    fleet = Fleet()
    fleet.checks.silent = {"b0"}
    assert fleet.run(("b0", "a", False)) == {"a", "b", "c"}
    assert fleet.table.health("b0").excluded
    assert not fleet.table.health("b1").excluded


def test_engines_with_progress_just_before_the_partition_are_excluded_too():
    fleet = Fleet(silent="b")
    now_s = reachability_checks.time.monotonic()
    fleet.checks.alive_s_by_id = dict.fromkeys(fleet.table.by_id, now_s)
    assert fleet.run(("b0", "a", False)) == {"a", "c"}


def test_engines_that_keep_making_progress_are_not_excluded():
    fleet = Fleet(silent="b")
    far_s = reachability_checks.time.monotonic() + 60.0
    fleet.checks.alive_s_by_id = {f"b{n}": far_s for n in range(3)}
    assert fleet.run(("b3", "a", False)) == {"a", "b", "c"}
    assert {t.id for t in fleet.table.available("llm") if t.domain == "b"} == {
        "b0", "b1", "b2",
    }  # fmt: skip


@pytest.mark.parametrize(
    ("first_domain", "lacks_layers", "asked_ids"),
    [("a", False, []), ("b", False, ["a1"]), ("a", True, ["a1"])],
)
def test_an_engine_of_the_same_domain_that_lacks_memory_is_not_asked(
    first_domain, lacks_layers, asked_ids
):
    """Requests for reports have a cost, and a burst causes hundreds of refusals."""
    fleet = Fleet()
    fleet.run(("a1", first_domain, lacks_layers))
    assert fleet.checks.asked_ids == asked_ids


def test_a_suspected_engine_is_asked_when_it_refuses():
    """Issue 21: it was judged to be short of memory, and was offered every request."""
    fleet = Fleet(silent="b")
    fleet.table.suspect("b1", time.monotonic())
    fleet.run(*[("b1", "b", False)] * 20)
    assert fleet.checks.asked_ids[0] == "b1"
    assert fleet.checks.asked_ids.count("b1") == 1
    assert fleet.table.health("b1").excluded


def test_a_blamed_engine_is_asked_once_for_many_refusals():
    fleet = Fleet()
    fleet.run(*[("b1", "a", False)] * 20)
    assert fleet.checks.asked_ids == ["b1"]


def test_an_unknown_blamed_engine_is_not_asked():
    fleet = Fleet()
    fleet.run(("gone", "a", True))
    fleet.reachability.engine_down("gone")
    assert fleet.checks.asked_ids == []
