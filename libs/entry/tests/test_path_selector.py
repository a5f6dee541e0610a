"""Selection of the path of a stream, without a network."""

import asyncio
import random
import time
from contextlib import nullcontext
from itertools import count
from types import SimpleNamespace

import pytest
import small_model
from attrs import evolve
from celeryfork_base.counters import Counters
from celeryfork_entry import path_selector
from celeryfork_entry.engine_permits import EnginePermits
from celeryfork_entry.first_engines import FirstEngines
from celeryfork_entry.path_selector import (
    MAX_UNREPORTED_REQUESTS,
    PathSelector,
)
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import Roster
from celeryfork_entry.targets import ENDED_AFTER_S, Listed, Target, TargetTable
from celeryfork_routing.engine_loads import EngineLoads, LayerPath, Part
from celeryfork_routing.layer_paths import PathRequest, find_path
from celeryfork_routing.layers import (
    Accelerator,
    LayerRange,
    first_missing_layer,
)
from logbook import Logger

SHAPE = evolve(
    small_model.SHAPE,
    accelerators_by_name={
        "fast": Accelerator("fast", 2_000.0),
        "slow": Accelerator("slow", 2_000.0, step_factor=9.0, prefill_factor=9.0),
    },
)


@pytest.fixture
def table():
    """Return three engines with all layers; the third is by far the fastest."""
    table = TargetTable()
    for number, kind in enumerate(("slow", "slow", "fast"), 1):
        table.apply(
            [
                Listed(
                    Target(
                        f"e{number}",
                        "llm",
                        f"10.0.0.{number}:1",
                        "a",
                        accelerator=kind,
                        held=LayerRange(0, 8),
                    )
                )
            ]
        )
    return table


def make_selector(table):
    permits = EnginePermits(
        table, Roster(Peer("i1", "a", "10.1.0.1:7")), lambda: 7, lambda *_: None,
        Logger("test"), Counters(),
    )  # fmt: skip
    context = SimpleNamespace(
        table=table,
        domain="a",
        instance_count=lambda: 7,
        permits=permits,
        ramp_up=None,
    )
    return PathSelector(context, EngineLoads())


def make_call(*started, avoided=(), may_have_run=False):
    """Return a call that was started on some first engines; its route allows two."""
    engines = FirstEngines(2)
    for engine_id in started:
        engines.record_run(engine_id)
    return SimpleNamespace(
        waiting=nullcontext,
        service=SimpleNamespace(name="llm", model=SHAPE),
        metadata=SimpleNamespace(
            prompt_tokens=100, max_answer_tokens=50, expected_answer_tokens=0.0
        ),
        avoided=set(avoided),
        failed_on=set(),
        first_engines=engines,
        probe=None,
        urgency=None,
        may_have_run=may_have_run,
        left_s=20.0,
    )


def first_engine(table, *started):
    """Return the first engine of the next path of a stream started on some engines."""
    path = make_selector(table)._find(make_call(*started))
    return path and path.engine_ids[0]


def test_a_stream_that_failed_twice_continues_on_its_first_engines(table):
    """Later engines of its paths were lost twice, and a third first engine was used.

    (found by bench trial wanjiru-descale scale-1, seed 340203364010)
    """
    assert first_engine(table) == "e3"
    assert first_engine(table, "e1") == "e3"
    assert first_engine(table, "e1", "e2") in {"e1", "e2"}


def test_an_engine_that_peers_report_as_down_is_tried_last(table):
    """Issue 21: instances of other domains sent it request after request."""
    table.suspect("e3", time.monotonic())
    assert first_engine(table) in {"e1", "e2"}
    for engine_id in ("e1", "e2"):
        table.exclude(engine_id, "silent", time.monotonic())
    assert first_engine(table) == "e3"


def test_a_first_engine_that_is_down_does_not_count(table):
    table.exclude("e1", "silent", time.monotonic() - ENDED_AFTER_S)
    assert first_engine(table, "e1", "e2") == "e3"


def test_a_first_engine_that_was_just_found_down_may_still_run_the_stream(table):
    """Overloaded instances excluded live engines as down when the store came back.

    12 streams ran on three first engines, although their route allowed two.
    """
    table.exclude("e1", "silent", time.monotonic())
    assert first_engine(table, "e1", "e2") == "e2"
    table.exclude("e2", "silent", time.monotonic())
    assert first_engine(table, "e1", "e2") is None


@pytest.fixture
def count_searches(monkeypatch):
    """Return a function that counts the searches until a call is given up."""
    searches = []

    def find_no_path(*arguments):
        searches.append(arguments)

    monkeypatch.setattr(path_selector, "find_path", find_no_path)

    def count(selector, call):
        searches.clear()
        assert asyncio.run(selector.choose(call)) is None
        return len(searches)

    return count


def renew(table, target, **fields):
    number = table.by_id[target.id].entry_number + 1
    table.apply([Listed(evolve(target, entry_number=number, **fields))])


def lose_layers(table):
    """Leave engines with the first half of the layers only."""
    for target in list(table.by_id.values()):
        renew(table, target, held=LayerRange(0, 4))


def test_a_request_is_refused_immediately_once_layers_are_missing_for_long(
    table, count_searches
):
    """A domain was cut off without a complete copy of the model.

    The first request waits for the missing layers; once they have been missing for
    CAPACITY_WAIT_S, requests are refused without waiting.
    """
    lose_layers(table)
    selector = make_selector(table)
    assert count_searches(selector, make_call()) > 1
    assert count_searches(selector, make_call()) == 1
    assert count_searches(selector, make_call()) == 1


@pytest.mark.parametrize("last", [9, 10_000, 10**18])
def test_an_entry_with_layers_beyond_the_model_hides_no_missing_layer(
    table, count_searches, last
):
    """Each request waited for capacity, which no engine had."""
    lose_layers(table)
    renew(table, table.by_id["e1"], held=LayerRange(4, last), accelerator="none")
    selector = make_selector(table)
    count_searches(selector, make_call())
    assert count_searches(selector, make_call()) == 1


def test_the_wait_for_missing_layers_restarts_after_they_were_present(table):
    whole = dict(table.by_id)
    lose_layers(table)
    selector = make_selector(table)
    assert asyncio.run(selector.choose(make_call())) is None
    assert selector._missing_since_s is not None
    for target in whole.values():
        renew(table, target, held=target.held)
    assert asyncio.run(selector.choose(make_call())) is not None
    assert selector._missing_since_s is None


def test_a_request_waits_for_capacity_if_no_layer_is_missing(table, count_searches):
    selector = make_selector(table)
    assert count_searches(selector, make_call()) > 1
    assert count_searches(selector, make_call()) > 1


def test_a_request_is_refused_immediately_once_all_engines_refused_it(
    table, count_searches
):
    selector = make_selector(table)
    assert count_searches(selector, make_call(avoided=table.by_id)) == 1
    assert count_searches(selector, make_call(avoided=["e1"])) > 1


def test_a_stream_that_may_have_run_waits_for_missing_layers(table, count_searches):
    """It can't be refused any more, and an engine may return within the pause."""
    lose_layers(table)
    selector = make_selector(table)
    count_searches(selector, make_call())
    assert count_searches(selector, make_call()) == 1
    assert count_searches(selector, make_call(may_have_run=True)) > 1


@pytest.mark.parametrize(
    ("ranges", "missing"),
    [
        ([], 0),
        ([(0, 8)], None),
        ([(4, 8), (0, 5)], None),
        ([(0, 3), (4, 8)], 3),
        ([(1, 8)], 0),
        ([(0, 4), (2, 6)], 6),
        ([(0, 6), (1, 2), (6, 8)], None),
    ],
)
def test_the_first_missing_layer(ranges, missing):
    assert first_missing_layer(8, [LayerRange(*each) for each in ranges]) == missing


def wide_table(domains, rows, seed=0):
    """Return a table with ``rows`` copies of the model in each domain.

    Each engine holds two layers.
    """
    rng = random.Random(seed)
    table = TargetTable()
    numbers = count(1)
    for domain in domains:
        for _ in range(rows):
            for first in range(0, 8, 2):
                number = next(numbers)
                target = Target(
                    f"e{number}", "llm", f"10.0.0.{number}:1", domain,
                    accelerator=rng.choice(["slow", "slow", "fast"]),
                    held=LayerRange(first, first + 2),
                )  # fmt: skip
                table.apply([Listed(target)])
    return table


def load_up(loads, table, rng):
    """Put up to 59 requests on each engine."""
    for target in table.by_id.values():
        part = Part(target.id, target.address, target.held, target.domain)
        for _ in range(rng.randrange(0, 60)):
            loads.begin(LayerPath((part,)), 20 * rng.random())


@pytest.mark.parametrize("seed", range(30))
def test_searching_the_own_domain_first_finds_an_equally_good_path(seed):
    rng = random.Random(seed)
    table = wide_table("abc", 3, seed)
    selector = make_selector(table)
    load_up(selector._loads, table, rng)
    for target in rng.sample(list(table.by_id.values()), 8):
        table.exclude(target.id, "silent", 1.0)
    call = make_call()
    call.metadata.prompt_tokens = rng.choice([10, 100, 900])
    call.metadata.max_answer_tokens = rng.choice([5, 50, 400])
    engines = [
        each.at(0.0) for each in selector._engines("llm") if not each.health.excluded
    ]
    request = PathRequest(
        call.metadata.prompt_tokens, call.metadata.max_answer_tokens, "a"
    )
    best = find_path(SHAPE, engines, selector._loads.total_loads(0.0), request)
    assert selector._find(call).predicted_ms == pytest.approx(best.predicted_ms)


@pytest.mark.parametrize("domains", ["ab", "abcdefghi"])
def test_engines_per_search_do_not_grow_with_the_domains(monkeypatch, domains):
    """Searches over 588 engines in nine domains, 68 per second, caused a high load.

    Only the first search covers the engines of other domains.
    """
    engines_per_search = []

    def count_engines(shape, engines, loads, request):
        engines_per_search.append(len(engines))
        return find_path(shape, engines, loads, request)

    monkeypatch.setattr(path_selector, "find_path", count_engines)
    selector = make_selector(wide_table(domains, 16))
    for _ in range(10):
        selector._find(make_call())
    elsewhere = 64 * (len(domains) - 1)
    assert engines_per_search == [64, elsewhere, *[64] * 9]


def selector_near_fast_domain():
    """Return a selector in a domain of slow engines; another domain has fast ones."""
    table = TargetTable()
    numbers = count(1)
    for domain, kind in (("a", "slow"), ("b", "fast")):
        for first in (0, 4):
            number = next(numbers)
            target = Target(
                f"{domain}{first}", "llm", f"10.0.0.{number}:1", domain,
                accelerator=kind, held=LayerRange(first, first + 4),
            )  # fmt: skip
            table.apply([Listed(target)])
    return make_selector(table)


def domain_of(path):
    (domain,) = {part.domain for part in path.parts}
    return domain


@pytest.mark.parametrize(
    ("instances", "expected"), [(74, "baaaaa"), (7, "bbbbba"), (1, "bbbbbb")]
)
def test_a_burst_stays_in_its_domain(instances, expected):
    """All machines restarted, and 330 streams were resumed within 0.4 s.

    The instances of all domains chose the two fastest engines, which seemed idle to
    each: 139 of 358 paths left their domain, and 57 of them had no event for 1.2 s.
    """
    selector = selector_near_fast_domain()
    selector._context.instance_count = lambda: instances
    call = make_call()
    call.metadata.prompt_tokens, call.metadata.max_answer_tokens = 900, 400
    chosen = ""
    for _ in expected:
        path = selector._find(call)
        chosen += domain_of(path)
        selector._loads.begin_prefill(path, 9, 13)
    assert chosen == expected


def test_a_burst_leaves_its_domain_if_that_has_no_path():
    selector = selector_near_fast_domain()
    selector._context.instance_count = lambda: 74
    selector._context.table.exclude("a0", "silent", 1.0)
    call = make_call()
    for _ in range(4):
        path = selector._find(call)
        assert domain_of(path) == "b"
        selector._loads.begin_prefill(path, 10, 20)
    assert selector._loads.prefilling * 74 > MAX_UNREPORTED_REQUESTS


class FixedBalance:
    """Always picks one domain."""

    def __init__(self, domain):
        self.domain = domain

    def pick(self, service, shape, engines, now_s):
        assert len(engines()) == 24
        return self.domain


def balanced_selector(domain):
    selector = make_selector(wide_table("abc", 2))
    selector._balance = FixedBalance(domain)
    return selector


@pytest.mark.parametrize("domain", ["a", "b", "c"])
def test_a_path_lies_in_the_picked_domain(domain):
    path = balanced_selector(domain)._find(make_call())
    assert domain_of(path) == domain


def test_without_a_path_in_the_picked_domain_the_usual_search_follows():
    selector = balanced_selector("b")
    call = make_call(
        avoided=[
            target.id
            for target in selector._context.table.by_id.values()
            if target.domain == "b" and target.held.first == 2
        ]
    )
    assert domain_of(selector._find(call)) != "b"


@pytest.mark.parametrize("balance", [None, FixedBalance(None)])
def test_searches_are_the_same_while_balancing_does_not_apply(monkeypatch, balance):
    """Guards against another code path for existing deployments."""
    searches = []

    def record(shape, engines, loads, request):
        searches.append(([each.id for each in engines], dict(loads), request))
        return find_path(shape, engines, loads, request)

    monkeypatch.setattr(path_selector, "find_path", record)
    plain = make_selector(wide_table("abc", 2))
    paths = [plain._find(make_call()) for _ in range(3)]
    expected, searches[:] = list(searches), []
    selector = make_selector(wide_table("abc", 2))
    selector._balance = balance
    assert [selector._find(make_call()) for _ in range(3)] == paths
    assert searches == expected
