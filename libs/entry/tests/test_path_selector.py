"""Which paths a stream may take, without network."""

import asyncio
import random
import time
from itertools import count
from types import SimpleNamespace

import pytest
import small_model
from attrs import evolve
from celeryfork_entry import path_selector
from celeryfork_entry.first_engines import FirstEngines
from celeryfork_entry.path_selector import (
    ENDED_AFTER_S,
    MAX_UNREPORTED_REQUESTS,
    PathSelector,
)
from celeryfork_entry.targets import Listed, Target, TargetTable
from celeryfork_routing.engine_loads import EngineLoads, LayerPath, Part
from celeryfork_routing.layer_paths import PathRequest, find_path
from celeryfork_routing.layers import (
    Accelerator,
    LayerRange,
    first_missing_layer,
)

SHAPE = evolve(
    small_model.SHAPE,
    accelerators_by_name={
        "fast": Accelerator("fast", 2_000.0),
        "slow": Accelerator("slow", 2_000.0, step_factor=9.0, prefill_factor=9.0),
    },
)


@pytest.fixture
def table():
    """Three engines with all layers, of which the third is by far the fastest."""
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


def make_choice(table):
    parts = SimpleNamespace(table=table, domain="a", instance_count=lambda: 7)
    return PathSelector(parts, EngineLoads())


def make_call(*begun, avoided=(), may_have_run=False):
    """Return a call of a route for two engines, begun on some."""
    engines = FirstEngines(2)
    for engine_id in begun:
        engines.record_run(engine_id)
    return SimpleNamespace(
        service=SimpleNamespace(name="llm", model=SHAPE),
        facts=SimpleNamespace(
            prompt_tokens=100, max_answer_tokens=50, expected_answer_tokens=0.0
        ),
        avoided=set(avoided),
        failed_on=set(),
        first_engines=engines,
        may_have_run=may_have_run,
        left_s=20.0,
    )


def first_engine(table, *begun):
    """Return where a stream of a route for two engines would go on."""
    path = make_choice(table)._find(make_call(*begun))
    return path and path.engine_ids[0]


def test_a_stream_that_broke_twice_goes_on_where_it_has_begun(table):
    """Pattern: wanjiru-descale scale-1, seed 340203364010.

    Engines behind the first ones were lost twice, and the stream began on a third.
    """
    assert first_engine(table) == "e3"
    assert first_engine(table, "e1") == "e3"
    assert first_engine(table, "e1", "e2") in {"e1", "e2"}


def test_an_engine_that_peers_know_to_be_down_is_the_last_choice(table):
    """Issue 21's day: instances of other domains offered it request after request."""
    table.suspect("e3", time.monotonic())
    assert first_engine(table) in {"e1", "e2"}
    for engine_id in ("e1", "e2"):
        table.exclude(engine_id, "silent", time.monotonic())
    assert first_engine(table) == "e3"


def test_a_first_engine_that_is_down_leaves_room_for_another(table):
    table.exclude("e1", "silent", time.monotonic() - ENDED_AFTER_S)
    assert first_engine(table, "e1", "e2") == "e3"


def test_a_first_engine_that_was_just_found_down_may_still_run_the_stream(table):
    """Pattern: the store comes back, and busy instances take engines for dead.

    12 streams ran on three first engines of two that their route allowed.
    """
    table.exclude("e1", "silent", time.monotonic())
    assert first_engine(table, "e1", "e2") == "e2"
    table.exclude("e2", "silent", time.monotonic())
    assert first_engine(table, "e1", "e2") is None


@pytest.fixture
def looks_in_vain(monkeypatch):
    """Return a function that counts the looks for a path until a call is given up."""
    looks = []

    def look(*known):
        looks.append(known)

    monkeypatch.setattr(path_selector, "find_path", look)

    def count(choice, call):
        looks.clear()
        assert asyncio.run(choice.choose(call)) is None
        return len(looks)

    return count


def renew(table, target, **fields):
    number = table.by_id[target.id].entry_number + 1
    table.apply([Listed(evolve(target, entry_number=number, **fields))])


def lose_layers(table):
    """Leave the first half of the layers only."""
    for target in list(table.by_id.values()):
        renew(table, target, held=LayerRange(0, 4))


def test_a_request_is_refused_at_once_when_layers_are_missing_for_long(
    table, looks_in_vain
):
    """Pattern: a domain is cut off without a whole copy; nothing comes by waiting."""
    lose_layers(table)
    choice = make_choice(table)
    assert looks_in_vain(choice, make_call()) > 1
    assert looks_in_vain(choice, make_call()) == 1
    assert looks_in_vain(choice, make_call()) == 1


def test_the_wait_begins_anew_once_the_layers_were_there(table):
    whole = dict(table.by_id)
    lose_layers(table)
    choice = make_choice(table)
    assert asyncio.run(choice.choose(make_call())) is None
    assert choice._missing_since_s is not None
    for target in whole.values():
        renew(table, target, held=target.held)
    assert asyncio.run(choice.choose(make_call())) is not None
    assert choice._missing_since_s is None


def test_a_request_waits_for_room_where_no_layer_is_missing(table, looks_in_vain):
    choice = make_choice(table)
    assert looks_in_vain(choice, make_call()) > 1
    assert looks_in_vain(choice, make_call()) > 1


def test_a_request_is_refused_at_once_when_all_holders_have_refused_it(
    table, looks_in_vain
):
    choice = make_choice(table)
    assert looks_in_vain(choice, make_call(avoided=table.by_id)) == 1
    assert looks_in_vain(choice, make_call(avoided=["e1"])) > 1


def test_a_stream_that_may_have_run_waits_for_missing_layers(table, looks_in_vain):
    """It can't be refused any more; an engine may be back within its pause."""
    lose_layers(table)
    choice = make_choice(table)
    looks_in_vain(choice, make_call())
    assert looks_in_vain(choice, make_call()) == 1
    assert looks_in_vain(choice, make_call(may_have_run=True)) > 1


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
    """Return engines in some domains, each with ``rows`` copies in ranges of two."""
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
    for target in table.by_id.values():
        part = Part(target.id, target.address, target.held, target.domain)
        for _ in range(rng.randrange(0, 60)):
            loads.begin(LayerPath((part,)), 20 * rng.random())


@pytest.mark.parametrize("seed", range(30))
def test_a_choice_that_looks_at_one_domain_first_is_as_good(seed):
    rng = random.Random(seed)
    table = wide_table("abc", 3, seed)
    choice = make_choice(table)
    load_up(choice._loads, table, rng)
    for target in rng.sample(list(table.by_id.values()), 8):
        table.exclude(target.id, "silent", 1.0)
    call = make_call()
    call.facts.prompt_tokens = rng.choice([10, 100, 900])
    call.facts.max_answer_tokens = rng.choice([5, 50, 400])
    engines = [
        each.at(0.0) for each in choice._engines("llm") if not each.health.excluded
    ]
    request = PathRequest(call.facts.prompt_tokens, call.facts.max_answer_tokens, "a")
    best = find_path(SHAPE, engines, choice._loads.total_loads(0.0), request)
    assert choice._find(call).predicted_ms == pytest.approx(best.predicted_ms)


@pytest.mark.parametrize("domains", ["ab", "abcdefghi"])
def test_the_engines_of_a_choice_do_not_grow_with_the_domains(monkeypatch, domains):
    """Pattern: 588 engines of a model in nine domains, 68 choices a second."""
    looked_at = []

    def count_engines(shape, engines, loads, request):
        looked_at.append(len(engines))
        return find_path(shape, engines, loads, request)

    monkeypatch.setattr(path_selector, "find_path", count_engines)
    choice = make_choice(wide_table(domains, 16))
    for _ in range(10):
        choice._find(make_call())
    elsewhere = 64 * (len(domains) - 1)
    assert looked_at == [64, elsewhere, *[64] * 9]


def fast_elsewhere():
    """Return a choice in a slow domain beside a fast one with idle engines."""
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
    return make_choice(table)


def domain_of(path):
    (domain,) = {part.domain for part in path.parts}
    return domain


@pytest.mark.parametrize(
    ("instances", "expected"), [(74, "baaaaa"), (7, "bbbbba"), (1, "bbbbbb")]
)
def test_a_burst_stays_in_its_domain(instances, expected):
    """Pattern: all machines restart, and 330 streams go on within 0.4 s.

    Instances of all domains took the two fastest engines, which seemed idle to each:
    139 of 358 paths left their domain, 57 of them were silent for 1.2 s.
    """
    choice = fast_elsewhere()
    choice._context.instance_count = lambda: instances
    call = make_call()
    call.facts.prompt_tokens, call.facts.max_answer_tokens = 900, 400
    chosen = ""
    for _ in expected:
        path = choice._find(call)
        chosen += domain_of(path)
        choice._loads.begin_prefill(path, 9, 13)
    assert chosen == expected


def test_a_burst_leaves_a_domain_without_a_path():
    choice = fast_elsewhere()
    choice._context.instance_count = lambda: 74
    choice._context.table.exclude("a0", "silent", 1.0)
    call = make_call()
    for _ in range(4):
        path = choice._find(call)
        assert domain_of(path) == "b"
        choice._loads.begin_prefill(path, 10, 20)
    assert choice._loads.prefilling * 74 > MAX_UNREPORTED_REQUESTS
