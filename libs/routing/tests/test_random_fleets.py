"""Properties of placement plans, paths and detours over random fleets of engines."""

from collections import Counter
from itertools import pairwise

import model_shapes
import pytest
from attrs import evolve
from celeryfork_routing.detours import find_detour
from celeryfork_routing.engine_loads import LayerPath, Load, Part, link_key, prefill_key
from celeryfork_routing.layer_paths import (
    MAX_CROSSINGS,
    MAX_CROSSINGS_OTHERWISE,
    MAX_PARTS,
    PathEngine,
    PathRequest,
    find_path,
)
from celeryfork_routing.layer_placement import plan_placement
from celeryfork_routing.layer_repair import PlacedEngine, Repair
from celeryfork_routing.layers import Accelerator, LayerRange, room_for_requests
from fuzzing import examples
from hypothesis import given
from hypothesis import strategies as st

DOMAINS = ("a", "b", "c")
ACCELERATORS = {
    "large": Accelerator("large", 4_000.0, 1.4, 1.0),
    "middle": Accelerator("middle", 1_300.0, 3.1, 3.2),
    "small": Accelerator("small", 450.0, 16.0, 8.2),
    "tiny": Accelerator("tiny", 101.0, 16.0, 8.2),
    "none": Accelerator("none", 60.0, 16.0, 8.2),
}
"""With layers of 100 MB, ``tiny`` has memory for one layer and no request, and ``none``
for no layer."""
ACCELERATOR_NAMES = [*ACCELERATORS, "new-card"]
MAX_LAYERS = 24
ROUNDING = 1e-6
SAMPLE_COUNT = 100
"""Number of random cases of which a minimum must have a result."""


@st.composite
def shapes(draw):
    return evolve(
        model_shapes.SHAPE,
        layers=draw(
            st.sampled_from([MAX_LAYERS, 8, 2, 1]) | st.integers(1, MAX_LAYERS)
        ),
        layer_mb=draw(st.sampled_from([10.0, 99.9, 100.0, 333.3])),
        kv_bytes_per_token=draw(st.sampled_from([1_000.0, 100_000.0, 1_180_000.0])),
        accelerators_by_name=ACCELERATORS,
    )


@st.composite
def layer_ranges(draw, layers):
    first = draw(st.integers(0, layers - 1))
    return LayerRange(first, draw(st.integers(first + 1, layers)))


@st.composite
def placed_fleets(draw):
    """Return a model and engines, each empty or with a range that fits its memory."""
    shape = draw(shapes())
    engines = []
    for number in range(draw(st.integers(0, 16))):
        kind = draw(st.sampled_from(["large", "middle", *ACCELERATOR_NAMES]))
        held = draw(st.none() | layer_ranges(shape.layers))
        spec = ACCELERATORS.get(kind)
        if held and spec and held.count * shape.layer_mb > spec.memory_mb:
            held = None
        lost, loading = draw(st.sampled_from([(0, 0), (0, 0), (1, 0), (0, 1)]))
        domain = draw(st.sampled_from(DOMAINS))
        engines.append(
            PlacedEngine(f"e{number}", domain, kind, held, bool(lost), bool(loading))
        )
    return shape, engines


def assert_fits(shape, engines, planned):
    by_id = {each.id: each for each in engines}
    for engine_id, layers in planned.items():
        engine = by_id[engine_id]
        spec = ACCELERATORS[engine.accelerator]
        assert 0 <= layers.first < layers.last <= shape.layers
        assert layers.count * shape.layer_mb <= spec.memory_mb
        assert not engine.lost
        assert not engine.loading


@examples(120)
@given(fleet=placed_fleets(), repair=st.sampled_from(Repair))
def test_every_plan_fits_the_memory_of_each_engine(fleet, repair):
    shape, engines = fleet
    planned = plan_placement(shape, engines, repair)
    assert_fits(shape, engines, planned)
    if repair is Repair.NONE:
        held = {each.id for each in engines if each.held is not None}
        assert not held & set(planned)


def assert_plans_converge(shape, engines):
    for _ in range(4 * len(engines) + 4):
        planned = plan_placement(shape, engines)
        if not planned:
            return
        assert_fits(shape, engines, planned)
        engines = [
            evolve(each, held=planned.get(each.id, each.held)) for each in engines
        ]
    raise AssertionError(f"plans don't converge; the last is {planned}")


@examples(150)
@given(placed_fleets())
def test_repeated_plans_converge(fleet):
    """Guards against plans that reload engines forever, which then serve no request."""
    shape, engines = fleet
    assert_plans_converge(shape, [evolve(each, loading=False) for each in engines])


def test_repeated_plans_converge_with_too_few_engines():
    """Two engines with room for 4 of 8 layers, one without memory for requests."""
    shape = evolve(
        model_shapes.SHAPE,
        layers=8,
        layer_mb=10.0,
        kv_bytes_per_token=1_180_000.0,
        accelerators_by_name=ACCELERATORS,
    )
    engines = [
        PlacedEngine("e0", "a", "small", None),
        PlacedEngine("e1", "a", "tiny", LayerRange(0, 2)),
    ]
    assert_plans_converge(shape, engines)


def test_engines_without_room_beside_a_gap_are_unchanged():
    """The engines hold one layer each and have no memory for a request beside it."""
    shape = evolve(
        model_shapes.SHAPE, layers=3, layer_mb=100.0, accelerators_by_name=ACCELERATORS
    )
    engines = [
        PlacedEngine("e0", "a", "tiny", LayerRange(0, 1)),
        PlacedEngine("e1", "a", "tiny", LayerRange(2, 3)),
    ]
    assert_fits(shape, engines, plan_placement(shape, engines))


@st.composite
def covering_ranges(draw, layers):
    """Return ranges that together cover the model; some layers are in several."""
    inner = draw(st.sets(st.integers(1, max(1, layers - 1)), max_size=4))
    cuts = sorted({0, layers} | {cut for cut in inner if cut < layers})
    found = []
    for first, last in pairwise(cuts):
        for _ in range(draw(st.integers(1, 3))):
            before, after = draw(st.integers(0, 2)), draw(st.integers(0, 2))
            found.append(LayerRange(max(0, first - before), min(layers, last + after)))
    return found


@st.composite
def path_fleets(draw):
    """Return a model, engines that hold layers of it, their loads, and a request."""
    shape = draw(shapes())
    held = draw(covering_ranges(shape.layers))
    held += draw(st.lists(layer_ranges(shape.layers), max_size=8))
    main_domain = draw(st.sampled_from(DOMAINS))
    engines = []
    for number, each in enumerate(held):
        kind = draw(st.sampled_from(["large", "large", "large", *ACCELERATOR_NAMES]))
        domain = draw(st.sampled_from([main_domain, main_domain, *DOMAINS]))
        slowness = draw(st.sampled_from([1.0, 1.5, 12.0]))
        engines.append(
            PathEngine(f"e{number}", f"e{number}:1", domain, kind, each, slowness)
        )
    allowed = st.frozensets(st.sampled_from([f"e{number}" for number in range(20)]))
    request = PathRequest(
        draw(st.sampled_from([1, 10, 760, 0, 30_000])),
        draw(st.sampled_from([1, 10, 174, 0, 4_000])),
        draw(st.sampled_from(DOMAINS)),
        draw(
            st.sampled_from([True, True, False]).flatmap(
                lambda free: st.none() if free else allowed
            )
        ),
    )
    return shape, engines, draw(loads_of(engines)), request


@st.composite
def loads_of(draw, engines):
    load = st.builds(Load, st.integers(0, 90), st.sampled_from([0.0, 1e3, 1e5, 1e7]))
    links = [
        key(domain, other)
        for key in (link_key, prefill_key)
        for domain in DOMAINS
        for other in DOMAINS
        if domain != other
    ]
    keys = [*links, *(each.id for each in engines)]
    return draw(st.dictionaries(st.sampled_from(keys), load, max_size=4))


def assert_covers_model(shape, engines, path):
    covered = [n for p in path.parts for n in range(p.layers.first, p.layers.last)]
    assert covered == list(range(shape.layers))
    assert max(Counter(path.engine_ids).values()) == 1
    assert len(path.parts) <= MAX_PARTS
    by_id = {each.id: each for each in engines}
    for part in path.parts:
        engine = by_id[part.engine_id]
        assert (part.address, part.domain) == (engine.address, engine.domain)
        assert engine.held.first <= part.layers.first < part.layers.last
        assert part.layers.last <= engine.held.last


def assert_has_room(shape, engine, loads, request, part):
    spec = ACCELERATORS[engine.accelerator]
    taken = loads.get(engine.id, Load()).token_layers
    room = room_for_requests(shape, spec, engine.held.count) - taken
    assert max(1.0, request.tokens) * part.layers.count <= room * (1 + ROUNDING)


@examples(300)
@given(path_fleets())
def test_every_path_runs_each_layer_once_and_begins_with_an_allowed_engine(fleet):
    shape, engines, loads, request = fleet
    path = find_path(shape, engines, loads, request)
    if path is None:
        return
    assert_covers_model(shape, engines, path)
    assert request.first_engines is None or path.engine_ids[0] in request.first_engines
    by_id = {each.id: each for each in engines}
    for part in path.parts:
        assert_has_room(shape, by_id[part.engine_id], loads, request, part)
    domains = [part.domain for part in path.parts]
    changes = sum(domain != following for domain, following in pairwise(domains))
    assert changes <= MAX_CROSSINGS_OTHERWISE
    if changes > MAX_CROSSINGS:
        assert find_path(shape, engines, loads, request, MAX_CROSSINGS) is None


@examples(300)
@given(path_fleets())
def test_a_path_within_the_usual_number_of_crossings_is_preferred(fleet):
    shape, engines, loads, request = fleet
    usual = find_path(shape, engines, loads, request, MAX_CROSSINGS)
    if usual is None:
        return
    domains = [part.domain for part in usual.parts]
    changes = sum(domain != following for domain, following in pairwise(domains))
    assert changes <= MAX_CROSSINGS
    assert find_path(shape, engines, loads, request) == usual


@examples(80)
@given(path_fleets())
def test_a_path_is_found_if_one_engine_holds_all_layers_and_has_room(fleet):
    shape, engines, _, request = fleet
    path = find_path(shape, engines, {}, request)
    if path is None:
        for each in engines:
            spec = ACCELERATORS.get(each.accelerator)
            alone = each.held == LayerRange(0, shape.layers)
            if spec and alone and request.may_begin_with(each.id):
                room = room_for_requests(shape, spec, shape.layers)
                assert max(1.0, request.tokens) * shape.layers > room


@st.composite
def broken_paths(draw):
    """Return a model, a path, its lost engines, all engines, loads and a request.

    The path need not be one that would be chosen now, because loads change while a
    request runs.
    """
    inner = draw(st.sets(st.integers(1, MAX_LAYERS), min_size=2, max_size=5))
    shape, others, loads, request = draw(path_fleets())
    cuts = sorted({0, shape.layers} | {cut for cut in inner if cut < shape.layers})
    main_domain = draw(st.sampled_from(DOMAINS))
    engines = [
        PathEngine(
            f"p{first}",
            f"p{first}:1",
            main_domain,
            "large",
            LayerRange(first, following),
        )
        for first, following in pairwise(cuts)
    ]
    parts = tuple(Part(e.id, e.address, e.held, e.domain) for e in engines)
    ids = [each.id for each in engines]
    lost = draw(st.frozensets(st.sampled_from(ids[1:] or ids), min_size=1))
    if draw(st.integers(0, 5)) == 0:
        lost |= {ids[0]}
    replacements = [
        evolve(each, id=f"s{each.id}", address=f"s{each.id}:1")
        for each in engines
        if each.id in lost and draw(st.booleans())
    ]
    if shape.layers > 1 and draw(st.booleans()):
        held = LayerRange(1, shape.layers)
        replacements.append(PathEngine("wide", "wide:1", main_domain, "large", held))
    known = [*others, *replacements, *engines]
    return shape, LayerPath(parts, 900.0), lost, known, loads, request


@examples(120)
@given(broken_paths())
def test_every_detour_covers_the_model_and_keeps_the_live_parts(broken):
    shape, path, lost, engines, loads, request = broken
    detour = find_detour(shape, path, lost, engines, loads, request)
    if detour is None:
        return
    assert_covers_model(shape, engines, detour)
    assert detour.engine_ids[0] == path.engine_ids[0]
    assert not lost & set(detour.engine_ids)
    kept = [part for part in path.parts if part.engine_id not in lost]
    assert [part for part in detour.parts if part in kept] == kept
    by_id = {each.id: each for each in engines}
    for part in detour.parts:
        if part not in kept:
            assert_has_room(shape, by_id[part.engine_id], loads, request, part)


def has_plan(placed):
    return bool(plan_placement(*placed, Repair.MOVE))


def has_path(fleet):
    return find_path(*fleet) is not None


def has_detour(broken):
    return find_detour(*broken) is not None


@pytest.mark.parametrize(
    ("strategy", "is_of_use", "minimum"),
    [
        (placed_fleets, has_plan, 40),
        (path_fleets, has_path, 40),
        (broken_paths, has_detour, 20),
    ],
    ids=["plans", "paths", "detours"],
)
def test_enough_random_cases_have_a_result(strategy, is_of_use, minimum):
    """Guards against tests above that pass because few cases have a result."""
    found = 0

    @examples(SAMPLE_COUNT)
    @given(strategy())
    def count(fleet):
        nonlocal found
        found += is_of_use(fleet)

    count()
    assert found >= minimum
