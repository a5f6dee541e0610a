"""HTTP endpoints for peers, operators and readiness checks of the platform."""

import time
from collections.abc import Callable
from urllib.parse import parse_qs

from attrs import asdict, define
from celeryfork_admission.crash_evidence import (
    CrashEvidence,
    Trait,
    TraitKind,
    Verdict,
    make_part_trait,
)
from celeryfork_base.counters import Counters
from celeryfork_routing.engine_loads import EngineLoads
from logbook import Logger
from orjson import OPT_NON_STR_KEYS, dumps

from celeryfork_entry.caller_http import CallerConnection, CallerRequest
from celeryfork_entry.load_knowledge import LoadKnowledge
from celeryfork_entry.metrics import Histograms, metrics_text
from celeryfork_entry.peer_state import CHANGES_PATH, CONFIGURATION_PATH, STATE_PATH
from celeryfork_entry.placement_leader import PlacementLeader
from celeryfork_entry.roster import Roster
from celeryfork_entry.store_follower import StoreFollower
from celeryfork_entry.target_http import TargetConnections
from celeryfork_entry.targets import TargetTable

CLEAR_PATH = "/crash-evidence/clear"
MAX_QUERY_FIELDS = 10
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
    ramping
        Returns the number of ramping targets.
    caller_memory
        Returns the number of bytes that all callers make the instance hold.
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
    _caller_memory: Callable[[], int]
    _crash_evidence: CrashEvidence
    _log: Logger
    _load_knowledge: LoadKnowledge
    _ramping: Callable[[], int] = lambda: 0

    async def answer_peer(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Answer one request at the address for peers, which callers don't reach."""
        if _path(request) != CLEAR_PATH:
            await self.answer(connection, request)
            return
        allowed = [("Allow", "POST")] if request.method != "POST" else []
        status, text = self._clear(request)
        body = dumps({"cleared" if status == 200 else "message": text})
        await connection.answer(status, [*JSON_HEADERS, *allowed], body)

    def _clear(self, request: CallerRequest) -> tuple[int, object]:
        """Free a part of prompts from suspicion; return a status and what was done."""
        if request.method != "POST":
            return 405, "Evidence is cleared by POST only."
        match _query_fields(request):
            case {"service": [service], "part": [part], **rest} if not rest:
                pass
            case _:
                return 400, "Name one service and one part: ?service=S&part=P."
        # The dump shows a hash in place of a long or odd name.
        for trait in (
            make_part_trait(service, part),
            Trait(service, TraitKind.PART, part),
        ):
            if self._crash_evidence.judge([trait], None).trait is not None:
                self._crash_evidence.clear(trait)
                self._log.info("crash_cleared", service=service, part=trait.value)
                return 200, {"service": service, "part": trait.value}
        return (
            404,
            "No crash is counted against this part: see crash_evidence in /dump.",
        )

    async def answer(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Answer one request."""
        match request.target:
            case _ if _path(request) == CLEAR_PATH:
                body = dumps({"message": "Send this to the address for peers."})
                await connection.answer(403, JSON_HEADERS, body)
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
        gauges = self._counters.gauges()
        gauges |= {
            f"targets.in_choice.{service}": float(count)
            for service, count in self._table.counts_by_service().items()
        }
        gauges["callers.connections"] = float(self._callers())
        gauges["callers.memory_bytes"] = float(self._caller_memory())
        gauges["targets.connections_opened"] = float(self._connections.opened)
        gauges["instances.known"] = float(self._roster.instances())
        gauges["ramp_up.targets"] = float(self._ramping())
        gauges["relay"] = float(self._roster.is_relay)
        gauges |= self._crash_gauges()
        gauges |= self._load_knowledge.gauges(time.monotonic())
        gauges["duty.held"] = float(self._placement.leadership.held)
        configuration = self._store_follower.configuration
        if configuration is not None:
            gauges["configuration.version"] = float(configuration.version)
        return metrics_text(self._counters, self._histograms, gauges)

    def _crash_gauges(self) -> dict[str, float]:
        verdicts = [row["verdict"] for row in self._crash_evidence.dump()]
        return {
            "crashes.suspected": float(verdicts.count(Verdict.SUSPECT.value)),
            "crashes.convicted": float(verdicts.count(Verdict.REFUSE.value)),
        }

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
            "service_loads": {
                service: asdict(load)
                for service, load in self._load_knowledge.loads_by_service(
                    now_s
                ).items()
            },
            "crash_evidence": self._crash_evidence.dump(),
        }


def _path(request: CallerRequest) -> str:
    return request.target.partition("?")[0]


def _query_fields(request: CallerRequest) -> dict[str, list[str]]:
    """Return the fields of a request's query, none if it is malformed."""
    query = request.target.partition("?")[2]
    try:
        return parse_qs(query, strict_parsing=True, max_num_fields=MAX_QUERY_FIELDS)
    except ValueError:
        return {}


def _revision(path: str) -> int:
    """Return the revision in a follower's request, -1 if there is no valid one."""
    text = path.removeprefix(CHANGES_PATH)
    readable = text.isdecimal() and len(text) <= MAX_REVISION_DIGITS
    return int(text) if readable else -1
