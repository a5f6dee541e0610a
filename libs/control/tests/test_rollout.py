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
    LayerReplica,
    can_take_out_of_service,
    next_action,
    progress,
    takes_out_of_service,
)

LAYERS = 24
ROLLOUT = Rollout(model="m", version="v2", adapters=("kiosk",), most_out_at_once=1)
ENGINE = ObservedEngine("e1", 0, 12, "v1", frozenset(), "serve", loading=False)
UPDATED_ENGINE = evolve(ENGINE, version="v2", adapters=frozenset({"kiosk"}))


@pytest.mark.parametrize(
    ("engine", "action"),
    [
        (ENGINE, LoadVersion("v2")),
        (evolve(ENGINE, loading=True), None),
        (evolve(ENGINE, version="v2"), LoadAdapter("kiosk")),
        (
            evolve(UPDATED_ENGINE, adapters=frozenset({"kiosk", "old"})),
            DropAdapter("old"),
        ),
        (evolve(UPDATED_ENGINE, role="standby"), SetRole("serve")),
        (UPDATED_ENGINE, None),
    ],
)
def test_next_action(engine, action) -> None:
    assert next_action(engine, ROLLOUT) == action


def test_engine_listed_for_standby_gets_the_standby_role() -> None:
    rollout = evolve(ROLLOUT, standby=("e1",))
    assert next_action(UPDATED_ENGINE, rollout) == SetRole("standby")
    assert takes_out_of_service(SetRole("standby"))
    assert not takes_out_of_service(SetRole("serve"))


def replica(name: str, first: int, last: int, version: str = "v1", usable: bool = True):
    return LayerReplica(name, first, last, version, usable)


def test_last_replica_of_a_layer_stays_in_service() -> None:
    without_spare = [replica("e1", 0, 12), replica("e2", 12, LAYERS)]
    assert not can_take_out_of_service(ENGINE, without_spare, LAYERS, ROLLOUT)
    assert can_take_out_of_service(
        ENGINE, [*without_spare, replica("e3", 0, 12)], LAYERS, ROLLOUT
    )
    spare_unusable = [*without_spare, replica("e3", 0, 12, usable=False)]
    assert not can_take_out_of_service(ENGINE, spare_unusable, LAYERS, ROLLOUT)


def test_replicas_are_counted_for_each_layer() -> None:
    replicas = [replica("e1", 0, 12), replica("e2", 12, LAYERS), replica("e3", 0, 11)]
    assert not can_take_out_of_service(ENGINE, replicas, LAYERS, ROLLOUT)
    assert can_take_out_of_service(
        ENGINE, [*replicas, replica("e4", 11, 12)], LAYERS, ROLLOUT
    )


def test_as_many_other_replicas_remain_as_may_be_out_at_once() -> None:
    rollout = evolve(ROLLOUT, most_out_at_once=2)
    replicas = [replica("e1", 0, 12), replica("e2", 12, LAYERS), replica("e3", 0, 12)]
    assert not can_take_out_of_service(ENGINE, replicas, LAYERS, rollout)
    assert can_take_out_of_service(
        ENGINE, [*replicas, replica("e4", 0, 12)], LAYERS, rollout
    )


def test_old_engines_can_leave_service_if_the_new_version_has_a_chain() -> None:
    replicas = [
        replica("e1", 0, 12),
        replica("e2", 12, LAYERS),
        replica("e3", 0, 12, "v2"),
    ]
    assert not can_take_out_of_service(ENGINE, replicas, LAYERS, ROLLOUT)
    new_chain = [*replicas, replica("e4", 12, LAYERS, "v2")]
    assert can_take_out_of_service(ENGINE, new_chain, LAYERS, ROLLOUT)


def test_unusable_engine_can_always_be_taken_out_of_service() -> None:
    replicas = [replica("e1", 0, 12, usable=False), replica("e2", 12, LAYERS)]
    assert can_take_out_of_service(ENGINE, replicas, LAYERS, ROLLOUT)


def test_progress_counts_engines_by_state() -> None:
    engines = [ENGINE, UPDATED_ENGINE, evolve(ENGINE, loading=True)]
    assert progress(engines, ROLLOUT) == {"done": 1, "loading": 1, "left": 1}
