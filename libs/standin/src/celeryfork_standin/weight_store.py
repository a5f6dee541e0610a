"""Stand-in for the platform's rate-limited weight store."""

import asyncio
import threading

import orjson
from aiohttp import web
from attrs import frozen

from celeryfork_standin.token_bucket import TokenBucket

DEFAULT_BYTES_PER_SECOND = 1e9
DEFAULT_VERSION_BYTES = 2e8
OUTAGE_RETRY_S = 1.0


@frozen
class Granted:
    """A read that the store allows: its size in bytes and how long it takes."""

    bytes: float
    seconds: float


@frozen
class Refused:
    """A read that the budget doesn't cover yet."""

    retry_after_s: float


@frozen
class WeightRead:
    """One granted read, as a checker sees it."""

    model: str
    version: str
    engine: str
    bytes: float


class WeightStore:
    """The store's budget and faults; its methods may be called from any thread.

    Parameters
    ----------
    bytes_per_second
        The budget's refill; one read takes its size at this speed.
    burst_bytes
        The most that the budget holds.
    """

    def __init__(
        self,
        bytes_per_second: float = DEFAULT_BYTES_PER_SECOND,
        burst_bytes: float | None = None,
    ) -> None:
        self._lock = threading.Lock()
        self._budget = TokenBucket(bytes_per_second, burst_bytes or bytes_per_second)
        self._bytes_by_version: dict[tuple[str, str], float] = {}
        self._outage = False
        self._slow_s = 0.0
        self._reads: list[WeightRead] = []

    @property
    def reads(self) -> list[WeightRead]:
        """Every granted read, in order."""
        with self._lock:
            return list(self._reads)

    def set_size(self, model: str, version: str, size_bytes: float) -> None:
        """Set the size of one version of a model, in bytes."""
        with self._lock:
            self._bytes_by_version[model, version] = size_bytes

    def outage(self, on: bool) -> None:
        """Answer 503 and grant nothing."""
        self._outage = on

    def slow(self, seconds: float) -> None:
        """Wait this long before every answer."""
        self._slow_s = seconds

    def read(self, model: str, version: str, engine: str) -> Granted | Refused:
        """Ask for a read of one version."""
        with self._lock:
            size = self._bytes_by_version.get((model, version), DEFAULT_VERSION_BYTES)
            if self._outage:
                return Refused(OUTAGE_RETRY_S)
            # A version larger than the whole burst must still be loadable.
            wait_s = self._budget.take(min(size, self._budget.capacity))
            if wait_s > 0:
                return Refused(wait_s)
            self._reads.append(WeightRead(model, version, engine, size))
            return Granted(size, size / self._budget.per_second)

    def available_bytes(self) -> float:
        """Return what the budget holds now."""
        with self._lock:
            return self._budget.available

    def add_routes(self, app: web.Application) -> None:
        """Serve the store's interface in ``app``."""
        app.router.add_get("/v1/weights/budget", self._on_budget)
        app.router.add_post("/v1/weights/{model}/{version}/reads", self._on_read)

    async def _on_budget(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(self._slow_s)
        if self._outage:
            return web.json_response({"error": "outage"}, status=503)
        return web.json_response(
            {
                "bytes_per_second": self._budget.per_second,
                "available_bytes": self.available_bytes(),
            }
        )

    async def _on_read(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(self._slow_s)
        if self._outage:
            return web.json_response({"error": "outage"}, status=503)
        try:
            engine = str(orjson.loads(await request.read())["engine"])
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return web.json_response({"error": "malformed"}, status=400)
        where = request.match_info
        match self.read(where["model"], where["version"], engine):
            case Granted(bytes=size, seconds=seconds):
                return web.json_response({"bytes": size, "seconds": seconds})
            case Refused(retry_after_s=seconds):
                headers = {"Retry-After": f"{seconds:.3f}"}
                body = {"error": "over_budget"}
                return web.json_response(body, status=429, headers=headers)
