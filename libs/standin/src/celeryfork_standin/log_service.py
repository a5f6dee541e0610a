"""Stand-in for the platform's append-only log, with its outages and lost answers."""

import asyncio
import random
import threading
import time
from collections.abc import Callable

import orjson
from aiohttp import web
from attrs import define, field, frozen

from celeryfork_standin.token_bucket import TokenBucket

LARGEST_RECORD_BYTES = 1024 * 1024
LONGEST_POLL_S = 30.0
RETRY_AFTER_S = 1


@frozen
class Record:
    """One record of a stream."""

    offset: int
    appended_ms: int
    nonce: str
    data: str


@define(eq=False)
class _Stream:
    records: list[Record] = field(factory=list)
    first_offset: int = 0
    changed: asyncio.Event = field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)


@define(eq=False)
class _Faults:
    outage: bool = False
    slow_s: float = 0.0
    lose_share: float = 0.0
    lose_after_s: float = 0.0
    late_share: float = 0.0
    late_s: float = 0.0
    refuse_share: float = 0.0


def _system_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class LogService:
    """The log's state and faults; its methods may be called from any thread.

    Parameters
    ----------
    seed
        Seed of every random choice.
    retention_s
        Records older than this are dropped; None keeps them all.
    appends_per_second
        Rate cap; appends above it get 429. None sets no cap.
    """

    def __init__(
        self,
        seed: int,
        retention_s: float | None = None,
        appends_per_second: float | None = None,
    ) -> None:
        self._lock = threading.RLock()
        self._random = random.Random(seed)
        self._streams_by_name: dict[str, _Stream] = {}
        self._faults = _Faults()
        self._retention_s = retention_s
        self._bucket: TokenBucket | None = None
        self.limit_appends(appends_per_second)
        self._wall_ms: Callable[[], int] = _system_wall_ms
        self._loop: asyncio.AbstractEventLoop | None = None
        self.counts_by_name: dict[str, int] = {}

    # -- contents, for checkers and tests ------------------------------------

    def contents(self, stream: str) -> list[Record]:
        """Return the records kept of ``stream``."""
        with self._lock:
            self._expire()
            found = self._streams_by_name.get(stream)
            return list(found.records) if found else []

    def streams(self) -> list[str]:
        """Return the names of the streams."""
        with self._lock:
            return sorted(self._streams_by_name)

    def append(self, stream: str, data: str, nonce: str = "") -> int:
        """Append at once, past every fault, and return the offset."""
        with self._lock:
            target = self._stream(stream)
            offset = target.next_offset
            target.records.append(Record(offset, self._wall_ms(), nonce, data))
            self._count("appended")
            self._wake(target)
            return offset

    def expire_before(self, stream: str, offset: int) -> None:
        """Drop the records of ``stream`` below ``offset``."""
        with self._lock:
            target = self._stream(stream)
            gone = max(0, min(offset, target.next_offset) - target.first_offset)
            del target.records[:gone]
            target.first_offset += gone

    # -- faults --------------------------------------------------------------

    def outage(self, on: bool) -> None:
        """Answer nothing but 503 while on; a long poll is cut off."""
        with self._lock:
            self._faults.outage = on
            for stream in self._streams_by_name.values():
                self._wake(stream)

    def slow(self, seconds: float) -> None:
        """Wait this long before every answer."""
        self._faults.slow_s = seconds

    def lose_answers(self, share: float, after_s: float = 0.0) -> None:
        """Reset this share of appends after they took effect, ``after_s`` later."""
        with self._lock:
            self._faults.lose_share = share
            self._faults.lose_after_s = after_s

    def late_appends(self, share: float, seconds: float) -> None:
        """Reset this share of appends, which turn up ``seconds`` later."""
        with self._lock:
            self._faults.late_share = share
            self._faults.late_s = seconds

    def refuse_appends(self, share: float) -> None:
        """Answer 503 to this share of appends, which don't take effect."""
        self._faults.refuse_share = share

    def limit_appends(self, per_second: float | None) -> None:
        """Set the rate cap; None lifts it."""
        bucket = TokenBucket(per_second, per_second) if per_second else None
        with self._lock:
            self._bucket = bucket

    def retain(self, seconds: float | None) -> None:
        """Set the retention by age; None keeps everything."""
        self._retention_s = seconds

    def set_clock(self, wall_ms: Callable[[], int]) -> None:
        """Take ages and times of appending from ``wall_ms``."""
        self._wall_ms = wall_ms

    # -- HTTP ----------------------------------------------------------------

    def add_routes(self, app: web.Application) -> None:
        """Serve the log's interface in ``app``."""
        app.router.add_post("/v1/log/{stream}/records", self._on_append)
        app.router.add_get("/v1/log/{stream}/records", self._on_read)

    async def _on_append(self, request: web.Request) -> web.StreamResponse:
        self._loop = asyncio.get_running_loop()
        body = await request.read()
        if self._faults.slow_s:
            await asyncio.sleep(self._faults.slow_s)
        if len(body) > LARGEST_RECORD_BYTES:
            return _fault(413, "too_large")
        try:
            fields = orjson.loads(body)
            nonce, data = fields["nonce"], fields["data"]
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return _fault(400, "malformed")
        if not isinstance(nonce, str) or not isinstance(data, str):
            return _fault(400, "malformed")
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        return await self._append(request, nonce, data)

    async def _append(
        self, request: web.Request, nonce: str, data: str
    ) -> web.StreamResponse:
        stream = request.match_info["stream"]
        with self._lock:
            late = self._random.random() < self._faults.late_share
            lost = self._random.random() < self._faults.lose_share
        if late:
            self._count("late")
            loop = asyncio.get_running_loop()
            loop.call_later(self._faults.late_s, self.append, stream, data, nonce)
            return _cut_off(request)
        offset = self.append(stream, data, nonce)
        if lost:
            self._count("answers_lost")
            await asyncio.sleep(self._faults.lose_after_s)
            return _cut_off(request)
        return web.json_response({"offset": offset})

    def _refusal(self) -> web.StreamResponse | None:
        with self._lock:
            if self._faults.outage:
                return _fault(503, "outage")
            if self._random.random() < self._faults.refuse_share:
                return _fault(503, "refused")
            if self._bucket is not None and self._bucket.take(1) > 0:
                self._count("over_rate")
                return _fault(429, "over_rate")
        return None

    async def _on_read(self, request: web.Request) -> web.StreamResponse:
        self._loop = asyncio.get_running_loop()
        try:
            start = int(request.query.get("from", "0"))
            limit = int(request.query.get("limit", "1000"))
            wait_s = int(request.query.get("wait_ms", "0")) / 1000
        except ValueError:
            return _fault(400, "malformed")
        if self._faults.slow_s:
            await asyncio.sleep(self._faults.slow_s)
        stream = self._stream(request.match_info["stream"])
        await self._wait_for(stream, start, min(wait_s, LONGEST_POLL_S))
        if self._faults.outage:
            return _fault(503, "outage")
        return web.json_response(body=self._slice(stream, start, limit))

    async def _wait_for(self, stream: _Stream, start: int, wait_s: float) -> None:
        deadline = time.monotonic() + wait_s
        while stream.next_offset <= start and not self._faults.outage:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return
            changed = stream.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                return

    def _slice(self, stream: _Stream, start: int, limit: int) -> bytes:
        with self._lock:
            self._expire()
            begin = max(0, start - stream.first_offset)
            found = stream.records[begin : begin + max(0, limit)]
            self._count("reads")
            return orjson.dumps(
                {
                    "records": [_as_json(record) for record in found],
                    "first_offset": stream.first_offset,
                    "next_offset": stream.next_offset,
                }
            )

    # -- inside --------------------------------------------------------------

    def _stream(self, name: str) -> _Stream:
        with self._lock:
            return self._streams_by_name.setdefault(name, _Stream())

    def _expire(self) -> None:
        if self._retention_s is None:
            return
        oldest_ms = self._wall_ms() - round(self._retention_s * 1000)
        for stream in self._streams_by_name.values():
            gone = 0
            for record in stream.records:
                if record.appended_ms >= oldest_ms:
                    break
                gone += 1
            del stream.records[:gone]
            stream.first_offset += gone

    def _wake(self, stream: _Stream) -> None:
        if self._loop is None:
            return
        changed, stream.changed = stream.changed, asyncio.Event()
        self._loop.call_soon_threadsafe(changed.set)

    def _count(self, name: str) -> None:
        with self._lock:
            self.counts_by_name[name] = self.counts_by_name.get(name, 0) + 1


def _as_json(record: Record) -> dict[str, object]:
    return {
        "offset": record.offset,
        "appended_ms": record.appended_ms,
        "nonce": record.nonce,
        "data": record.data,
    }


def _fault(status: int, error: str) -> web.Response:
    headers = {"Retry-After": str(RETRY_AFTER_S)} if status in (429, 503) else {}
    return web.json_response({"error": error}, status=status, headers=headers)


def _cut_off(request: web.Request) -> web.Response:
    """Close the connection without a byte of an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
