"""Tests of celeryfork_control.rollout."""

import pytest
from attrs import evolve
from celeryfork_config.payloads import Rollout
from celeryfork_control.orders import (
    DropAdapter,
    LoadAdapter,
    LoadVersion,
    ObservedEngine,
    SetRole,
)
from celeryfork_control.rollout import (
    Holder,
    can_spare,
    next_action,
    progress,
    takes_out,
)

LAYERS = 24
WANTED = Rollout(model="m", version="v2", adapters=("kiosk",), most_out_at_once=1)
ENGINE = ObservedEngine("e1", 0, 12, "v1", frozenset(), "serve", loading=False)
THERE = evolve(ENGINE, version="v2", adapters=frozenset({"kiosk"}))


@pytest.mark.parametrize(
    ("engine", "action"),
    [
        (ENGINE, LoadVersion("v2")),
        (evolve(ENGINE, loading=True), None),
        (evolve(ENGINE, version="v2"), LoadAdapter("kiosk")),
        (evolve(THERE, adapters=frozenset({"kiosk", "old"})), DropAdapter("old")),
        (evolve(THERE, role="standby"), SetRole("serve")),
        (THERE, None),
    ],
)
def test_the_next_action_brings_an_engine_nearer(engine, action) -> None:
    assert next_action(engine, WANTED) == action


def test_an_engine_named_for_standby_stands_by() -> None:
    wanted = evolve(WANTED, standby=("e1",))
    assert next_action(THERE, wanted) == SetRole("standby")
    assert takes_out(SetRole("standby"))
    assert not takes_out(SetRole("serve"))


def holder(name: str, first: int, last: int, version: str = "v1", usable: bool = True):
    return Holder(name, first, last, version, usable)


def test_the_last_holder_of_a_layer_is_never_spared() -> None:
    alone = [holder("e1", 0, 12), holder("e2", 12, LAYERS)]
    assert not can_spare(ENGINE, alone, LAYERS, WANTED)
    assert can_spare(ENGINE, [*alone, holder("e3", 0, 12)], LAYERS, WANTED)
    broken = [*alone, holder("e3", 0, 12, usable=False)]
    assert not can_spare(ENGINE, broken, LAYERS, WANTED)


def test_partly_overlapping_holders_count_layer_by_layer() -> None:
    holders = [holder("e1", 0, 12), holder("e2", 12, LAYERS), holder("e3", 0, 11)]
    assert not can_spare(ENGINE, holders, LAYERS, WANTED)
    assert can_spare(ENGINE, [*holders, holder("e4", 11, 12)], LAYERS, WANTED)


def test_as_many_others_remain_as_may_be_out_at_once() -> None:
    wanted = evolve(WANTED, most_out_at_once=2)
    holders = [holder("e1", 0, 12), holder("e2", 12, LAYERS), holder("e3", 0, 12)]
    assert not can_spare(ENGINE, holders, LAYERS, wanted)
    assert can_spare(ENGINE, [*holders, holder("e4", 0, 12)], LAYERS, wanted)


def test_a_whole_chain_of_the_new_version_frees_the_old() -> None:
    holders = [
        holder("e1", 0, 12),
        holder("e2", 12, LAYERS),
        holder("e3", 0, 12, "v2"),
    ]
    assert not can_spare(ENGINE, holders, LAYERS, WANTED)
    new_chain = [*holders, holder("e4", 12, LAYERS, "v2")]
    assert can_spare(ENGINE, new_chain, LAYERS, WANTED)


def test_an_engine_that_serves_nothing_can_always_be_spared() -> None:
    holders = [holder("e1", 0, 12, usable=False), holder("e2", 12, LAYERS)]
    assert can_spare(ENGINE, holders, LAYERS, WANTED)


def test_progress_counts_engines() -> None:
    engines = [ENGINE, THERE, evolve(ENGINE, loading=True)]
    assert progress(engines, WANTED) == {"done": 1, "loading": 1, "left": 1}
