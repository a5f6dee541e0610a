"""A rolling rollout over real instances and engine stand-ins."""

import pytest
from celeryfork_bench.rig import Rig, make_rig, wait_until
from celeryfork_bench.small import LAYERS, MODEL, small_deployment

TIMEOUT_S = 40.0


@pytest.fixture
def rig():
    made = make_rig(small_deployment())
    made.start()
    yield made
    made.stop()


def engines_of(rig: Rig, version: str) -> list[str]:
    return [e.spec.id for e in rig.engines.engines if e.version == version]


def has_whole_chain(rig: Rig) -> bool:
    """Tell whether live engines of one version hold every layer now."""
    for version in ("v1", "v2"):
        serving = [
            engine
            for engine in rig.engines.engines
            if engine.version == version and engine.loading_version is None
        ]
        covered = set[int]()
        for engine in serving:
            covered.update(range(engine.spec.first_layer, engine.spec.last_layer))
        if len(covered) == LAYERS:
            return True
    return False


def states_of(rig: Rig) -> list[str]:
    """Say what each engine holds and loads."""
    return [
        f"{e.spec.id} {e.version} loading {e.loading_version}"
        for e in rig.engines.engines
    ]


def test_a_rollout_reaches_every_engine_and_never_takes_the_last_chain(rig) -> None:
    rig.publish([{"name": f"rollout/{MODEL}", "payload": {"version": "v2"}}])
    everywhere = len(rig.engines.engines)
    without_a_chain: list[list[str]] = []

    def rolled_out() -> bool:
        if not has_whole_chain(rig):
            without_a_chain.append(states_of(rig))
        return len(engines_of(rig, "v2")) == everywhere

    wait_until("version v2 on every engine", rolled_out, TIMEOUT_S)
    assert not without_a_chain, rig.engines.ran_orders
    fencings = [order.fencing for order in rig.engines.ran_orders]
    assert fencings
    assert not any(order.refused for order in rig.engines.ran_orders)
