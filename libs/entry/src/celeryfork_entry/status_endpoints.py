"""HTTP endpoints for peers, operators and readiness checks of the platform."""

import time
from collections.abc import Callable

from attrs import asdict, define
from celeryfork_base.counters import Counters
from celeryfork_routing.engine_loads import EngineLoads
from orjson import OPT_NON_STR_KEYS, dumps

from celeryfork_entry.caller_http import CallerConnection, CallerRequest
from celeryfork_entry.metrics import Histograms, metrics_text
from celeryfork_entry.peer_state import CHANGES_PATH, CONFIGURATION_PATH, STATE_PATH
from celeryfork_entry.placement_leader import PlacementLeader
from celeryfork_entry.roster import Roster
from celeryfork_entry.store_follower import StoreFollower
from celeryfork_entry.target_http import TargetConnections
from celeryfork_entry.targets import TargetTable

MAX_REVISION_DIGITS = 18
JSON_HEADERS = [("Content-Type", "application/json")]
TEXT_HEADERS = [("Content-Type", "text/plain")]


@define(eq=False)
class StatusEndpoints:
    """Serves readiness, metrics, the state dump, and the state for peers.

    Parameters
    ----------
    ready, stopping
        Return True if new callers should be sent here, and if the planned stop has
        begun.
    callers
        Returns the number of open connections of callers.
    """

    _store_follower: StoreFollower
    _placement: PlacementLeader
    _table: TargetTable
    _connections: TargetConnections
    _loads: EngineLoads
    _roster: Roster
    _counters: Counters
    _histograms: Histograms
    _ready: Callable[[], bool]
    _stopping: Callable[[], bool]
    _callers: Callable[[], int]

    async def answer(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Answer one request."""
        match request.target:
            case "/metrics":
                await connection.answer(200, TEXT_HEADERS, self._metrics())
            case str(path) if path == STATE_PATH:
                await connection.answer(200, JSON_HEADERS, self._store_follower.known())
            case str(path) if path == CONFIGURATION_PATH:
                body = self._store_follower.encoded_configuration()
                await connection.answer(200, JSON_HEADERS, body)
            case str(path) if path.startswith(CHANGES_PATH):
                body = self._store_follower.changes_since(_revision(path))
                await connection.answer(200, JSON_HEADERS, body)
            case "/dump":
                data = dumps(self.dump(), option=OPT_NON_STR_KEYS)
                await connection.answer(200, JSON_HEADERS, data)
            case _:
                await connection.answer(200 if self._ready() else 503, (), b"")

    def _metrics(self) -> bytes:
        gauges = {
            f"targets.in_choice.{service}": float(count)
            for service, count in self._table.counts_by_service().items()
        }
        gauges["callers.connections"] = float(self._callers())
        gauges["targets.connections_opened"] = float(self._connections.opened)
        gauges["instances.known"] = float(self._roster.instances())
        gauges["relay"] = float(self._roster.is_relay)
        gauges["duty.held"] = float(self._placement.leadership.held)
        configuration = self._store_follower.configuration
        if configuration is not None:
            gauges["configuration.version"] = float(configuration.version)
        return metrics_text(self._counters, self._histograms, gauges)

    def dump(self) -> dict[str, object]:
        """Return the state of this instance, for JSON."""
        now_s = time.monotonic()
        configuration, roster = self._store_follower.configuration, self._roster
        return {
            "instance": roster.own.name,
            "stopping": self._stopping(),
            "configuration": configuration.version if configuration else None,
            "list_age_s": round(now_s - self._store_follower.list_read_s, 3),
            "store_away": sorted(self._store_follower.unavailable_feeds),
            "duty": asdict(self._placement.leadership),
            "peers": sorted(peer.address for peer in roster.peers()),
            "relays": [peer.address for peer in roster.relays(roster.own.domain)],
            "is_relay": roster.is_relay,
            "instances": roster.instances(),
            "targets": {
                target.id: asdict(target)
                | {"standing": asdict(self._table.health(target.id))}
                for target in self._table.by_id.values()
            },
            "loads": {
                key: asdict(load)
                for key, load in self._loads.total_loads(now_s).items()
            },
        }


def _revision(path: str) -> int:
    """Return the revision in a follower's request, -1 if there is no valid one."""
    text = path.removeprefix(CHANGES_PATH)
    readable = text.isdecimal() and len(text) <= MAX_REVISION_DIGITS
    return int(text) if readable else -1
