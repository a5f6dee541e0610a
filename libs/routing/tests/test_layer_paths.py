"""Paths run every layer once, prefer fast engines and avoid full engines and links."""

import random
from collections import Counter
from itertools import pairwise
from math import inf

import model_shapes
import pytest
from attrs import evolve
from celeryfork_routing import layer_paths
from celeryfork_routing.engine_loads import EngineLoads, Load
from celeryfork_routing.layer_paths import PathEngine, PathRequest, find_path
from celeryfork_routing.layers import (
    LayerRange,
    room_for_requests,
)
from model_shapes import ACCELERATORS

SHAPE = evolve(
    model_shapes.SHAPE,
    accelerators_by_name={"fast": ACCELERATORS["h100"], "slow": ACCELERATORS["l4"]},
    delay_ms_by_domains={frozenset(("a", "b")): 0.25},
)
REQUEST = PathRequest(760, 174, "a")


def engine(engine_id, first, last, domain="a", kind="slow", slowness=1.0):
    held = LayerRange(first, last)
    return PathEngine(
        engine_id, f"{engine_id}:1", domain, kind, held, slowness=slowness
    )


def slow_engines(domain, width=10, prefix=""):
    return [
        engine(f"{prefix}{domain}{first}", first, first + width, domain)
        for first in range(0, 80, width)
    ]


def covered_layers(path):
    return [
        layer
        for part in path.parts
        for layer in range(part.layers.first, part.layers.last)
    ]


def test_a_path_runs_every_layer_once_in_order():
    path = find_path(SHAPE, slow_engines("a"), {}, REQUEST)
    assert covered_layers(path) == list(range(80))


def test_no_path_if_no_engine_holds_a_layer():
    engines = [each for each in slow_engines("a") if each.id != "a30"]
    assert find_path(SHAPE, engines, {}, REQUEST) is None


def test_another_domain_runs_the_rest_if_a_domain_has_a_gap():
    engines = [each for each in slow_engines("a") if each.id != "a30"] + slow_engines(
        "b"
    )
    path = find_path(SHAPE, engines, {}, REQUEST)
    assert covered_layers(path) == list(range(80))
    domains = ["a", *(engine_id[0] for engine_id in path.engine_ids)]
    assert domains == sorted(domains), "the path crosses domains more than once"
    assert "b30" in path.engine_ids


def test_a_path_crosses_more_often_if_there_is_no_other():
    """Requests were refused, and begun answers lost, by an idle fleet (issue 27).

    Each of two domains had lost several ranges, so that each path needs four crossings.
    """
    lost = {"a": {10, 50}, "b": {0, 30, 70}}
    engines = [
        engine(f"{domain}{first}", first, first + 10, domain)
        for domain in lost
        for first in range(0, 80, 10)
        if first not in lost[domain]
    ]
    path = find_path(SHAPE, engines, {}, REQUEST)
    assert covered_layers(path) == list(range(80))
    domains = [part.domain for part in path.parts]
    assert sum(one != other for one, other in pairwise(domains)) == 4


def test_a_path_stays_in_the_callers_domain():
    path = find_path(SHAPE, slow_engines("a") + slow_engines("b"), {}, REQUEST)
    assert all(each.startswith("a") for each in path.engine_ids)


def test_part_of_an_engines_layers_can_be_used():
    engines = [engine("x", 0, 35, kind="fast"), engine("y", 30, 65, kind="fast")]
    engines.append(engine("z", 60, 80, kind="fast"))
    path = find_path(SHAPE, engines, {}, REQUEST)
    assert covered_layers(path) == list(range(80))


def test_the_faster_engine_runs_all_its_layers():
    engines = [*slow_engines("a"), engine("f", 20, 60, kind="fast")]
    path = find_path(SHAPE, engines, {}, REQUEST)
    by_id = {part.engine_id: part.layers for part in path.parts}
    assert by_id["f"] == LayerRange(20, 60)


def test_an_engine_without_room_is_left_out():
    engines = [*slow_engines("a"), engine("f", 20, 60, kind="fast")]
    room = (72_000 - 40 * 1750) * 1e6 / (1_180_000 / 80)
    path = find_path(SHAPE, engines, {"f": Load(3, room)}, REQUEST)
    assert "f" not in path.engine_ids


def test_a_slow_engine_is_avoided_where_another_holds_its_layers():
    engines = [*slow_engines("a"), engine("spare", 30, 40)]
    engines[3] = engine("a30", 30, 40, slowness=5.0)
    path = find_path(SHAPE, engines, {}, REQUEST)
    assert "spare" in path.engine_ids


def test_an_engine_with_unknown_accelerator_is_left_out():
    engines = [*slow_engines("a"), engine("x", 0, 80, kind="new-card")]
    assert "x" not in find_path(SHAPE, engines, {}, REQUEST).engine_ids


def test_a_burst_spreads_over_equal_engines():
    """Requests that arrive together don't all use the same engines."""
    engines = slow_engines("a", prefix="one") + slow_engines("a", prefix="two")
    loads = EngineLoads()
    for _ in range(20):
        path = find_path(SHAPE, engines, loads.total_loads(0.0), REQUEST)
        loads.begin(path, REQUEST.tokens)
    counts = [load.requests for load in loads.own_loads().values()]
    assert max(counts) - min(counts) <= 4


@pytest.mark.parametrize("seed", range(40))
def test_paths_over_random_ranges_cover_the_model_and_use_no_engine_twice(seed):
    rng = random.Random(seed)
    engines = []
    for number in range(30):
        first = rng.randrange(0, 75)
        last = min(80, first + rng.randrange(5, 30))
        kind = rng.choice(["fast", "slow"])
        slowness = rng.uniform(0.5, 3.0)
        domain = rng.choice("ab")
        engines.append(
            engine(f"e{number}", first, last, domain, kind, slowness=slowness)
        )
    path = find_path(SHAPE, engines, {}, PathRequest(10, 10, "a"))
    held_layers = {layer for e in engines for layer in range(e.held.first, e.held.last)}
    if held_layers != set(range(80)):
        assert path is None
        return
    if path is None:
        return
    assert covered_layers(path) == list(range(80))
    assert len(set(path.engine_ids)) == len(path.parts)
    by_id = {each.id: each for each in engines}
    for part in path.parts:
        held = by_id[part.engine_id].held
        assert held.first <= part.layers.first < part.layers.last <= held.last


def test_a_path_begins_only_with_an_allowed_engine():
    engines = [*slow_engines("a"), *slow_engines("b"), engine("other", 0, 10)]
    unrestricted = find_path(SHAPE, engines, {}, REQUEST).engine_ids[0]
    assert unrestricted != "b0"
    restricted = PathRequest(760, 174, "a", first_engines=frozenset({"b0"}))
    assert find_path(SHAPE, engines, {}, restricted).engine_ids[0] == "b0"
    impossible = PathRequest(760, 174, "a", first_engines=frozenset())
    assert find_path(SHAPE, engines, {}, impossible) is None


def test_a_path_in_another_domain_is_preferred_to_two_crossings():
    """Guards against a burst of transfers when an engine is lost.

    All streams over the engine are resumed at the same time. If their new paths cross
    domains, the activations of each prompt have to cross the links: streams paused for
    245 to 490 ms instead of 170 to 240 ms.
    """
    engines = [each for each in slow_engines("a") if each.id != "a30"] + slow_engines(
        "b"
    )
    path = find_path(SHAPE, engines, {}, REQUEST)
    assert {part.domain for part in path.parts} == {"b"}


def test_fast_engines_of_another_domain_do_not_attract_all_streams():
    """Guards against one engine running the streams of all domains.

    Otherwise its loss interrupts all of them: 45 streams of three domains ran over one
    fast engine when it was lost.
    """
    fast = [engine("b-fast", 0, 25, "b", "fast")]
    path = find_path(SHAPE, slow_engines("a") + slow_engines("b") + fast, {}, REQUEST)
    assert {part.domain for part in path.parts} == {"a"}


def test_streams_of_a_full_domain_use_another_domain():
    room = Load(90, 12_000 * 1.0e6)
    loads = {each.id: room for each in slow_engines("a")}
    path = find_path(SHAPE, slow_engines("a") + slow_engines("b"), loads, REQUEST)
    assert {part.domain for part in path.parts} == {"b"}


def test_a_path_crosses_domains_if_each_has_a_gap():
    engines = [each for each in slow_engines("a") if each.id != "a30"]
    engines += [each for each in slow_engines("b") if each.id != "b60"]
    path = find_path(SHAPE, engines, {}, REQUEST)
    assert covered_layers(path) == list(range(80))
    assert {part.domain for part in path.parts} == {"a", "b"}


@pytest.mark.parametrize("instances", [1, 7])
def test_a_burst_does_not_saturate_a_link_with_prompts(instances):
    """Guards against retries that saturate a link when all domains lose engines.

    All streams are resumed at once: 90 streams of seven instances chose paths over the
    same link within 100 ms. Their prompts took over 3 s to cross, so that all attempts
    were given up after 1.2 s without an event, and retried over the same link.
    """
    engines = [each for each in slow_engines("a") if each.id != "a30"]
    engines += [each for each in slow_engines("b") if each.id != "b60"]
    transfer_ms = (
        REQUEST.prompt_tokens * SHAPE.activation_bytes / SHAPE.link_bytes_per_ms
    )
    sent = 0
    for _ in range(instances):
        loads, own = EngineLoads(), 0
        for _ in range(90 // instances):
            path = find_path(SHAPE, engines, loads.total_loads(0.0, instances), REQUEST)
            if path is not None:
                loads.begin(path, REQUEST.tokens)
                loads.begin_prefill(path, REQUEST.prompt_tokens, REQUEST.tokens)
                own += sum(
                    part.domain != following.domain
                    for part, following in pairwise(path.parts)
                )
        assert own > 0
        sent += own
    assert sent * transfer_ms < 1200


def test_instances_without_reports_of_each_other_do_not_overfill_an_engine():
    """Guards against engines that run out of memory after a restart of all machines.

    330 streams were resumed within 0.4 s. Each of 74 instances, 18 in a domain, knew
    its own streams only, and all chose the same fastest engines. These had no memory
    for so many streams, and sent no events for 1.2 s.
    """
    instances, streams = 18, 4
    engines = [engine("h100", 0, 29, kind="fast")]
    for copy in range(4):
        engines += slow_engines("a", prefix=f"{copy}-")
    token_layers_by_engine = Counter()
    for _ in range(instances):
        loads = EngineLoads()
        for _ in range(streams):
            known = loads.total_loads(0.0, instances, instances)
            path = find_path(SHAPE, engines, known, REQUEST)
            assert path is not None
            loads.begin(path, REQUEST.tokens)
            loads.begin_prefill(path, REQUEST.prompt_tokens, REQUEST.tokens)
            for part in path.parts:
                token_layers_by_engine[part.engine_id] += (
                    REQUEST.tokens * part.layers.count
                )
    fast = SHAPE.accelerators_by_name["fast"]
    assert token_layers_by_engine["h100"] <= room_for_requests(SHAPE, fast, 29)


def test_a_link_accepts_requests_once_its_prompts_have_crossed():
    engines = [each for each in slow_engines("a") if each.id != "a30"]
    engines += [each for each in slow_engines("b") if each.id != "b60"]
    loads, paths = EngineLoads(), []
    for _ in range(90):
        path = find_path(SHAPE, engines, loads.total_loads(0.0), REQUEST)
        if path is None:
            break
        loads.begin_prefill(path, REQUEST.prompt_tokens, REQUEST.tokens)
        paths.append(path)
    assert path is None, "the link accepts requests without limit"
    for path in paths:
        loads.end_prefill(path, REQUEST.prompt_tokens, REQUEST.tokens)
    assert find_path(SHAPE, engines, loads.total_loads(0.0), REQUEST) is not None


def cheapest_by_exhaustive_search(shape, engines, loads, request):
    """Return the minimum cost over all sequences of engines and layers per engine."""
    candidates = [
        candidate
        for each in engines
        if (candidate := layer_paths.to_candidate(shape, each, loads, request))
    ]
    hop_ms = layer_paths._hop_ms(shape, "a", "a", request, loads)

    def min_cost(point, used):
        if point == shape.layers:
            return 0.0
        best = inf
        for each in candidates:
            held = each.engine.held
            if each.engine.id in used or not held.first <= point < held.last:
                continue
            for last in range(point + 1, held.last + 1):
                if last - point > each.max_layers:
                    break
                rest = min_cost(last, used | {each.engine.id})
                hop = hop_ms if last < shape.layers else 0.0
                best = min(best, (last - point) * each.layer_ms + hop + rest)
        return best

    return min_cost(0, frozenset())


@pytest.mark.parametrize("seed", range(40))
def test_no_other_sequence_of_engines_is_cheaper(seed):
    """Checks that it suffices to change engines where an engine's layers begin or end.

    Costs grow linearly with the layers in between.
    """
    rng = random.Random(seed)
    shape = evolve(SHAPE, layers=8)
    engines = []
    for number in range(7):
        first = rng.randrange(0, 7)
        last = min(8, first + rng.randrange(1, 6))
        kind = rng.choice(["fast", "slow"])
        slowness = rng.uniform(1.0, 4.0)
        engines.append(engine(f"e{number}", first, last, "a", kind, slowness))
    path = find_path(shape, engines, {}, REQUEST)
    min_cost = cheapest_by_exhaustive_search(shape, engines, {}, REQUEST)
    assert (inf if path is None else path.predicted_ms) == pytest.approx(min_cost)
