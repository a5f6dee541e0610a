"""Stand-ins for plain services, which count what they ran by idempotency key."""

import asyncio
import random
import threading
import time
from collections.abc import Iterable, Mapping
from enum import StrEnum

import orjson
from aiohttp import web
from attrs import define, field, frozen

from celeryfork_standin.background import ListenerGroup, LoopThread, reset
from celeryfork_standin.errors import UnknownTargetError
from celeryfork_standin.instance_list import InstanceListService, ListedInstance
from celeryfork_standin.links import LinkTable

REACH_POLL_S = 0.02


class CrashPoint(StrEnum):
    """Where a call breaks off: before it ran, or after, with its answer lost."""

    BEFORE_RUNNING = "before_running"
    AFTER_RUNNING = "after_running"


@frozen
class ServiceSpec:
    """One target of a plain service.

    Parameters
    ----------
    id, service, domain
        Its name, the service's name and its failure domain.
    delay_s
        How long a call takes.
    """

    id: str
    service: str
    domain: str
    delay_s: float = 0.002
    host: str = "127.0.0.1"


@frozen
class RanCall:
    """One call that ran.

    Parameters
    ----------
    key
        The caller's idempotency key; empty if it gave none.
    at_s, at_ms
        Monotonic and wall time of taking effect.
    """

    target: str
    kind: str
    key: str
    organisation: str
    request_id: str
    at_s: float
    at_ms: int


@define(eq=False)
class ServiceTarget:
    """One target with its faults."""

    spec: ServiceSpec
    address: str = ""
    address_by_domain: Mapping[str, str] = field(factory=dict)
    incarnation: int = 1
    draining: bool = False
    stalled: bool = False
    delay_s: float = 0.0
    reject_share: float = 0.0
    fail_share: float = 0.0
    crash_point: CrashPoint | None = None
    crash_share: float = 0.0
    lose_answer_share: float = 0.0
    poison_marker: bytes | None = None
    calls: int = 0


@define(eq=False)
class _Member:
    target: ServiceTarget
    listeners: ListenerGroup


class ServiceFleet:
    """Targets of plain services on one loop; methods may be called from any thread.

    The targets of one service share what they ran, as if over a database.
    """

    def __init__(
        self,
        seed: int,
        instances: InstanceListService | None,
        links: LinkTable | None,
        client_domains: Iterable[str],
    ) -> None:
        self._links = links
        self._client_domains = tuple(client_domains)
        self._lock = threading.Lock()
        self._chance = random.Random(seed)
        self._instances = instances
        self._members_by_id: dict[str, _Member] = {}
        self._ran: list[RanCall] = []
        self._results_by_key: dict[str, bytes] = {}
        self._thread = LoopThread("standin-services")
        self._started = False

    # -- life ----------------------------------------------------------------

    def start(self) -> None:
        """Start the loop; a second call does nothing."""
        if not self._started:
            self._started = True
            self._thread.start()

    def stop(self) -> None:
        """Cut every connection and stop the loop."""
        if not self._started:
            return
        for member in list(self._members_by_id.values()):
            self._thread.call(member.listeners.cut)
        self._thread.stop()

    def add(self, spec: ServiceSpec) -> ServiceTarget:
        """Add a target; it listens at its ``address`` when this returns."""
        self.start()
        return self._thread.run(self._add(spec))

    async def _add(self, spec: ServiceSpec) -> ServiceTarget:
        target = ServiceTarget(spec, delay_s=spec.delay_s)
        site = _ServiceSite(target, self)
        listeners = ListenerGroup(site.handle, spec.host, self._client_domains)
        await listeners.open()
        target.address = listeners.address
        target.address_by_domain = listeners.address_by_domain
        self._members_by_id[spec.id] = _Member(target, listeners)
        self._announce(target)
        return target

    # -- records -------------------------------------------------------------

    @property
    def ran(self) -> list[RanCall]:
        """Every call that ran, in order."""
        with self._lock:
            return list(self._ran)

    @property
    def ran_by_key(self) -> dict[str, list[RanCall]]:
        """The calls that ran, by idempotency key; calls without one are left out."""
        ran_by_key: dict[str, list[RanCall]] = {}
        for call in self.ran:
            if call.key:
                ran_by_key.setdefault(call.key, []).append(call)
        return ran_by_key

    @property
    def targets(self) -> list[ServiceTarget]:
        """The targets, dead ones too."""
        return [member.target for member in list(self._members_by_id.values())]

    def target(self, target_id: str) -> ServiceTarget:
        """Return one target.

        Raises
        ------
        UnknownTargetError
            There is none of this identifier.
        """
        return self._member(target_id).target

    # -- faults --------------------------------------------------------------

    def kill(self, target_id: str) -> None:
        """Close the port and reset every connection."""
        self._thread.call(self._member(target_id).listeners.cut)

    def restart(self, target_id: str) -> None:
        """Bring a dead target back on its port, as a new incarnation."""
        member = self._member(target_id)
        self._thread.run(member.listeners.open())
        member.target.incarnation += 1
        member.target.draining = member.target.stalled = False
        self._announce(member.target)

    def drain(self, target_id: str) -> None:
        """Refuse new calls with ``X-Draining`` and finish the running ones."""
        target = self.target(target_id)
        target.draining = True
        self._announce(target)

    def stall(self, target_id: str) -> None:
        """Take calls without running or answering them."""
        self.target(target_id).stalled = True

    def resume(self, target_id: str) -> None:
        """End a stall; the calls that wait run now."""
        self.target(target_id).stalled = False

    def slow(self, target_id: str, seconds: float) -> None:
        """Set how long a call takes."""
        self.target(target_id).delay_s = seconds

    def reject(self, target_id: str, share: float) -> None:
        """Answer 503 to a share of calls, before running them."""
        self.target(target_id).reject_share = share

    def fail(self, target_id: str, share: float) -> None:
        """Answer 500 to a share of calls, after running them."""
        self.target(target_id).fail_share = share

    def lose_answers(self, target_id: str, share: float) -> None:
        """Run a share of calls and reset their connections without an answer."""
        self.target(target_id).lose_answer_share = share

    def crash(self, target_id: str, point: CrashPoint | None, share: float = 1) -> None:
        """Die at a share of calls, before or after running; None ends it."""
        target = self.target(target_id)
        target.crash_point = point
        target.crash_share = share

    def poison(self, target_id: str, marker: str | None) -> None:
        """Die at a call whose body contains the marker, before running it."""
        encoded = marker.encode() if marker is not None else None
        self.target(target_id).poison_marker = encoded

    # -- for the sites -------------------------------------------------------

    def happens(self, share: float) -> bool:
        """Decide by seed whether a fault of this share strikes."""
        if share <= 0:
            return False
        with self._lock:
            return self._chance.random() < share

    def run(self, target: ServiceTarget, kind: str, request: web.BaseRequest) -> bytes:
        """Let a call take effect, and return its result."""
        key = request.headers.get("Idempotency-Key", "")
        with self._lock:
            call = RanCall(
                target.spec.id,
                kind,
                key,
                request.headers.get("X-Organisation", ""),
                request.headers.get("X-Request-Id", ""),
                time.monotonic(),
                time.time_ns() // 1_000_000,
            )
            self._ran.append(call)
            result = orjson.dumps(
                {"kind": kind, "key": key, "run": len(self._ran), "by": call.target}
            )
            if key:
                self._results_by_key[key] = result
            return result

    def result_of(self, key: str) -> bytes | None:
        """Return the kept result of the call with this key."""
        with self._lock:
            return self._results_by_key.get(key)

    def is_cut_off(self, target: ServiceTarget, client_domain: str | None) -> bool:
        """Whether a partition stands between a target and clients of a domain."""
        if self._links is None:
            return False
        return self._links.is_cut(client_domain, target.spec.domain)

    def cut(self, target: ServiceTarget) -> None:
        """Die from inside a call."""
        self._member(target.spec.id).listeners.cut()

    # -- inside --------------------------------------------------------------

    def _member(self, target_id: str) -> _Member:
        member = self._members_by_id.get(target_id)
        if member is None:
            raise UnknownTargetError(
                f"There is no target {target_id!r}.", "see `targets` for the names"
            )
        return member

    def _announce(self, target: ServiceTarget) -> None:
        if self._instances is None:
            return
        self._instances.put(
            ListedInstance(
                id=target.spec.id,
                role="service",
                target=target.spec.service,
                domain=target.spec.domain,
                address=target.address,
                address_by_domain=target.address_by_domain,
                state="leaving" if target.draining else "live",
                incarnation=target.incarnation,
            )
        )


@define(eq=False)
class _ServiceSite:
    """Answers the calls to one target."""

    target: ServiceTarget
    fleet: ServiceFleet
    headers_by_reason: Mapping[str, dict[str, str]] = field(
        factory=lambda: {
            "draining": {"X-Draining": "true", "Retry-After": "1"},
            "rejected": {"Retry-After": "1"},
        }
    )

    async def handle(
        self, request: web.BaseRequest, client_domain: str | None
    ) -> web.StreamResponse:
        await self._wait_until_reachable(client_domain)
        answer = await self._answer(request)
        await self._wait_until_reachable(client_domain)
        return answer

    async def _wait_until_reachable(self, client_domain: str | None) -> None:
        while self.fleet.is_cut_off(self.target, client_domain):
            await asyncio.sleep(REACH_POLL_S)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        target = self.target
        target.calls += 1
        parts = request.path.strip("/").split("/")
        if request.method == "GET" and len(parts) == 2 and parts[0] == "status":
            return self._status(parts[1])
        if request.method != "POST" or len(parts) != 1:
            return web.json_response({"error": "no such path"}, status=404)
        if target.draining:
            return self._refuse("draining")
        if self.fleet.happens(target.reject_share):
            return self._refuse("rejected")
        while target.stalled:
            await asyncio.sleep(REACH_POLL_S)
        return await self._call(request, parts[0], body)

    async def _call(
        self, request: web.BaseRequest, kind: str, body: bytes
    ) -> web.StreamResponse:
        target, fleet = self.target, self.fleet
        crashes = fleet.happens(target.crash_share) and target.crash_point
        poisoned = target.poison_marker is not None and target.poison_marker in body
        if poisoned or crashes == CrashPoint.BEFORE_RUNNING:
            fleet.cut(target)
            return web.Response()
        # A call that was begun runs to its end, whether or not its caller waits.
        result = await asyncio.shield(self._run(request, kind))
        if crashes == CrashPoint.AFTER_RUNNING:
            fleet.cut(target)
            return web.Response()
        if fleet.happens(target.lose_answer_share):
            reset(request.transport)
            return web.Response()
        if fleet.happens(target.fail_share):
            return web.json_response({"error": "failed"}, status=500)
        return web.Response(body=result, content_type="application/json")

    async def _run(self, request: web.BaseRequest, kind: str) -> bytes:
        await asyncio.sleep(self.target.delay_s)
        return self.fleet.run(self.target, kind, request)

    def _status(self, key: str) -> web.Response:
        result = self.fleet.result_of(key)
        if result is None:
            return web.json_response({"error": "never ran"}, status=404)
        return web.Response(body=result, content_type="application/json")

    def _refuse(self, reason: str) -> web.Response:
        headers = self.headers_by_reason[reason]
        return web.json_response({"error": reason}, status=503, headers=headers)


def make_service_fleet(
    seed: int = 0,
    *,
    instances: InstanceListService | None = None,
    links: LinkTable | None = None,
    client_domains: Iterable[str] = (),
) -> ServiceFleet:
    """Return a fleet without targets.

    Parameters
    ----------
    seed
        Seed of every random choice.
    instances
        An instance list to keep up to date; None tells nobody.
    links
        The links whose partitions cut clients off; None never does.
    client_domains
        Domains whose clients get addresses of their own.
    """
    return ServiceFleet(seed, instances, links, client_domains)
