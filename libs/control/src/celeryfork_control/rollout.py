"""The next action of a rollout, and whether an engine may leave service for it."""

from collections.abc import Iterable, Mapping, Sequence

from attrs import frozen
from celeryfork_config.records import Rollout

from celeryfork_control.orders import (
    Action,
    DropAdapter,
    LoadAdapter,
    LoadVersion,
    ObservedEngine,
    SetRole,
)

SERVE = "serve"
STANDBY = "standby"


@frozen
class LayerReplica:
    """An engine that serves a range of layers in one version.

    Parameters
    ----------
    usable
        True if it gets new work: available for selection, serving, and not loading.
    """

    engine_id: str
    first_layer: int
    last_layer: int
    version: str
    usable: bool


def next_action(engine: ObservedEngine, rollout: Rollout) -> Action | None:
    """Return the next action for an engine, None if it is loading or up to date.

    Actions are sent one at a time; the one after is derived from the state that the
    engine then reports.
    """
    if engine.loading:
        return None
    if engine.version != rollout.version:
        return LoadVersion(rollout.version)
    adapters = frozenset(rollout.adapters)
    for adapter in sorted(adapters - engine.adapters):
        return LoadAdapter(adapter)
    for adapter in sorted(engine.adapters - adapters):
        return DropAdapter(adapter)
    role = STANDBY if engine.engine_id in rollout.standby else SERVE
    return None if engine.role == role else SetRole(role)


def takes_out_of_service(action: Action) -> bool:
    """Return True if an engine gets no new work while it carries out an action."""
    match action:
        case LoadVersion() | LoadAdapter():
            return True
        case SetRole(role):
            return role == STANDBY
        case DropAdapter():
            return False


def can_take_out_of_service(
    engine: ObservedEngine,
    replicas: Iterable[LayerReplica],
    layers: int,
    rollout: Rollout,
) -> bool:
    """Return True if the model keeps a complete chain of one version without an engine.

    Other failure domains may take engines out of service at the same time, up to the
    rollout's ``most_out_at_once``, so at least that many other replicas of each of the
    engine's layers have to remain. An engine that is not usable now can always be taken
    out.
    """
    usable_replicas = [replica for replica in replicas if replica.usable]
    other_replicas = [
        replica for replica in usable_replicas if replica.engine_id != engine.engine_id
    ]
    if len(other_replicas) == len(usable_replicas):
        return True
    if rollout.version != engine.version and _covers(
        other_replicas, rollout.version, layers, 1
    ):
        return True
    required = rollout.most_out_at_once
    replica_counts = _count_by_layer(other_replicas, engine.version, layers)
    own = range(engine.first_layer, min(engine.last_layer, layers))
    keeps_own_layers = all(replica_counts[layer] >= required for layer in own)
    return keeps_own_layers and all(count >= 1 for count in replica_counts)


def progress(engines: Sequence[ObservedEngine], rollout: Rollout) -> Mapping[str, int]:
    """Return the numbers of engines by state.

    ``done``: up to date; ``loading``; ``left``: those that still need orders.
    """
    loading = sum(engine.loading for engine in engines)
    done = sum(
        not engine.loading and next_action(engine, rollout) is None
        for engine in engines
    )
    return {"done": done, "loading": loading, "left": len(engines) - done - loading}


def _covers(
    replicas: Iterable[LayerReplica], version: str, layers: int, minimum: int
) -> bool:
    return all(count >= minimum for count in _count_by_layer(replicas, version, layers))


def _count_by_layer(
    replicas: Iterable[LayerReplica], version: str, layers: int
) -> list[int]:
    counts = [0] * layers
    for replica in replicas:
        if replica.version != version:
            continue
        for layer in range(replica.first_layer, min(replica.last_layer, layers)):
            counts[layer] += 1
    return counts
