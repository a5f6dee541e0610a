"""Stand-in for the platform's instance list, which lags, goes stale, empty or down."""

import asyncio
import threading
import time
from collections import deque
from collections.abc import Mapping

from aiohttp import web
from attrs import asdict, evolve, field, frozen

MOST_PAST_LISTS = 256
READER_DOMAIN = web.RequestKey("reader_domain", str)


@frozen
class ListedInstance:
    """One instance as the list shows it; fields as in docs/PLATFORM.md.

    Parameters
    ----------
    address_by_domain
        Addresses shown to readers in these domains instead of ``address``; the
        list doesn't show the mapping itself.
    """

    id: str
    role: str
    target: str
    domain: str
    address: str
    state: str = "live"
    incarnation: int = 1
    attributes: Mapping[str, object] = field(factory=dict)
    address_by_domain: Mapping[str, str] = field(factory=dict)

    def seen_from(self, domain: str | None) -> dict[str, object]:
        """Return the entry as readers in a domain see it."""
        seen = asdict(self, filter=lambda attribute, _: attribute.name in _SHOWN)
        if domain is not None:
            seen["address"] = self.address_by_domain.get(domain, self.address)
        return seen


_SHOWN = frozenset(
    {"id", "role", "target", "domain", "address", "state", "incarnation", "attributes"}
)


@frozen
class _Version:
    number: int
    since: float
    instances: tuple[ListedInstance, ...]


class InstanceListService:
    """The list's state and faults; its methods may be called from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_id: dict[str, ListedInstance] = {}
        first = _Version(1, time.monotonic(), ())
        self._past: deque[_Version] = deque([first], maxlen=MOST_PAST_LISTS)
        self._frozen: _Version | None = None
        self._lag_s = 0.0
        self._slow_s = 0.0
        self._outage = False
        self._empty = False

    def put(self, instance: ListedInstance) -> None:
        """Add an instance, or replace the one of the same identifier."""
        with self._lock:
            self._by_id[instance.id] = instance
            self._publish()

    def leave(self, instance_id: str) -> None:
        """Show an instance as leaving; unknown ones are passed over."""
        with self._lock:
            if instance_id in self._by_id:
                leaving = evolve(self._by_id[instance_id], state="leaving")
                self._by_id[instance_id] = leaving
                self._publish()

    def remove(self, instance_id: str) -> None:
        """Drop an instance; unknown ones are passed over."""
        with self._lock:
            if self._by_id.pop(instance_id, None) is not None:
                self._publish()

    def present(self) -> list[ListedInstance]:
        """Return the instances without any lag."""
        with self._lock:
            return list(self._by_id.values())

    def lag(self, seconds: float) -> None:
        """Show the list as it was this long ago."""
        self._lag_s = seconds

    def stale(self, on: bool) -> None:
        """Show the same list for as long as this is on."""
        with self._lock:
            self._frozen = self._visible() if on else None

    def empty_answers(self, on: bool) -> None:
        """Answer with no instances at all."""
        self._empty = on

    def outage(self, on: bool) -> None:
        """Answer 503."""
        self._outage = on

    def slow(self, seconds: float) -> None:
        """Wait this long before every answer."""
        self._slow_s = seconds

    def add_routes(self, app: web.Application) -> None:
        """Serve the list's interface in ``app``."""
        app.router.add_get("/v1/instances", self._on_list)

    async def _on_list(self, request: web.Request) -> web.StreamResponse:
        if self._slow_s:
            await asyncio.sleep(self._slow_s)
        if self._outage:
            return web.json_response({"error": "outage"}, status=503)
        with self._lock:
            shown = self._frozen or self._visible()
        instances = () if self._empty else shown.instances
        reader = request.get(READER_DOMAIN)
        listed = [instance.seen_from(reader) for instance in instances]
        return web.json_response({"version": shown.number, "instances": listed})

    def _publish(self) -> None:
        number = self._past[-1].number + 1
        instances = tuple(self._by_id.values())
        self._past.append(_Version(number, time.monotonic(), instances))

    def _visible(self) -> _Version:
        newest_since = time.monotonic() - self._lag_s
        for version in reversed(self._past):
            if version.since <= newest_since:
                return version
        return self._past[0]
