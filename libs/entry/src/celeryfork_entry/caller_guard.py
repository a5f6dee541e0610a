"""Applies the account of callers' memory, and the limit of their descriptors.

Where memory is short, a request waits with its connection unread, and callers that
stall are refused or closed for it. :mod:`celeryfork_entry.caller_memory` decides which.
"""

import asyncio
import resource
import sys
import time
from collections import Counter, deque
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from math import inf
from typing import Protocol, cast

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.byte_stream import ByteStream
from celeryfork_entry.caller_memory import (
    ENTITLED_BYTES,
    FIELD_BYTES,
    LARGE_BYTES,
    CallerMemory,
    Holding,
    Phase,
    make_caller_memory,
)
from celeryfork_entry.caller_stream import CallerStream, make_read_buffer

TICK_S = 0.1
"""Seconds between two checks whether connections have to go."""
MAX_WAIT_S = 2.5
"""Seconds that a request waits for memory: a crowd that stalls is chosen after 1 to
2 s."""
SHED_AFTER_S = 0.2
"""Seconds after which others go for a request that waits; most memory is released
sooner."""
FREE_TO_SHARE = 0.9
"""Share of the bound down to which connections go once it is reached."""
RETRY_AFTER_S = 1.0
MANY_FIELDS = 128
"""Number of header fields from which heads are parsed in turn. Usual requests have
fewer than 50."""
PARSE_REST = 4.0
"""Time until the next head with many fields is parsed, as a multiple of that of the
last: with the work after parsing such heads take up about half of the loop."""
BODY_MARGIN_SHARE = 8
"""A body that is being received takes up to an eighth more than its length."""
LOG_INTERVAL_S = 1.0
"""Seconds between two log lines on load shedding."""
OWN_DESCRIPTORS = 80
"""Descriptors that no request's target gets: those of files and listening sockets, of
connections to the store, to peers and for checks of engines, and those that the event
loop has yet to close. With 40 a crowd that left its answers unread took 262 of 256, and
with 64 up to 254."""
MIN_SERVED = 8
"""Requests that are served at once, however many callers are connected."""
MIN_RESERVED_DESCRIPTORS = 64
RESERVED_DESCRIPTORS_SHARE = 8
"""One descriptor of so many is reserved for engines, the store and peers."""


class ShedError(Exception):
    """The request isn't run, as callers use up a limit of this instance.

    Parameters
    ----------
    message
        Description of the limit.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = RETRY_AFTER_S


class IdleTargets(Protocol):
    """Connections to targets that no request uses."""

    def idle_connections(self) -> int:
        """Return their number."""

    def close_idle(self, now_s: float) -> None:
        """Close those that have expired at this time."""


class NoIdleTargets:
    """Stands for the connections of an instance without targets."""

    def idle_connections(self) -> int:
        """Return 0."""
        return 0

    def close_idle(self, now_s: float) -> None:
        """Do nothing."""


@define(eq=False)
class _Waiter:
    holding: Holding
    count: int
    since_s: float
    granted: asyncio.Future[None]


@define(eq=False)
class CallerGuard:
    """Limits what all callers of an instance use together.

    Parameters
    ----------
    max_connections
        Number of connections of callers, infinite if unknown.
    reserved_descriptors
        Number of descriptors beyond it, of which peers may use half.
    targets
        The connections to targets that no request uses.
    """

    memory: CallerMemory
    max_connections: float
    reserved_descriptors: int
    log: Logger
    counters: Counters
    buffer: memoryview = field(factory=make_read_buffer)
    _guard_by_holding: dict[Holding, "ConnectionGuard"] = field(factory=dict)
    _small: deque[_Waiter] = field(factory=deque)
    _large: deque[_Waiter] = field(factory=deque)
    targets: IdleTargets = field(factory=NoIdleTargets)
    _served: int = 0
    _served_waiters: deque[asyncio.Future[None]] = field(factory=deque)
    _parse_turn: asyncio.Lock = field(factory=asyncio.Lock)
    _shed: Counter[str] = field(factory=Counter)
    _active: bool = False
    _shedding: bool = False
    _logged_s: float = 0.0

    def admits_connection(self, now_s: float, *, peer: bool) -> bool:
        """Return True if there is a descriptor for a new connection.

        An idle or slow connection is closed for it if need be, and idle connections to
        targets are.
        """
        self._close_idle_targets()
        spare = self.reserved_descriptors // 2 if peer else 0
        most = self.max_connections + spare
        holdings = self.memory.holdings
        if len(holdings) < most or sum(not each.closed for each in holdings) < most:
            return True
        holding = self.memory.choose_descriptor(now_s)
        if holding is None:
            self._count("refused", "descriptors")
            return False
        self._guard_by_holding[holding].close()
        self._count("closed", "descriptors")
        return True

    def open(self, stream: CallerStream) -> "ConnectionGuard":
        """Return the guard of a new connection."""
        holding = self.memory.open(asyncio.get_running_loop().time())
        guard = ConnectionGuard(self, holding, stream)
        stream.rules = self._guard_by_holding[holding] = guard
        return guard

    def end(self, holding: Holding) -> None:
        """Release all that a connection holds."""
        self.memory.end(holding)
        self._guard_by_holding.pop(holding, None)
        self._grant()

    def release(self, holding: Holding) -> None:
        """Release what a request holds."""
        self.memory.release(holding)
        self._grant()

    async def reserve(self, holding: Holding, count: int) -> None:
        """Wait until so many bytes are free for a request, and reserve them.

        Raises
        ------
        ShedError
            They aren't free within ``MAX_WAIT_S``.
        """
        waiters = self._large if count >= LARGE_BYTES else self._small
        overtakes = not waiters or count <= ENTITLED_BYTES
        if overtakes and self.memory.reserve(holding, count):
            return
        loop = asyncio.get_running_loop()
        waiter = _Waiter(holding, count, loop.time(), loop.create_future())
        waiters.append(waiter)
        try:
            await asyncio.wait({waiter.granted}, timeout=MAX_WAIT_S)
        finally:
            if not waiter.granted.done():
                waiters.remove(waiter)
        if not waiter.granted.done():
            raise self.refusal("memory")

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        """Wait until there is a descriptor for a request's target.

        Raises
        ------
        ShedError
            There is none within ``MAX_WAIT_S``.
        """
        self._close_idle_targets()
        if self._served >= self._max_served or self._served_waiters:
            granted = asyncio.get_running_loop().create_future()
            self._served_waiters.append(granted)
            try:
                await asyncio.wait({granted}, timeout=MAX_WAIT_S)
            finally:
                if granted.done():
                    self._served -= 1
                else:
                    self._served_waiters.remove(granted)
            if not granted.done():
                raise self.refusal("descriptors")
        self._served += 1
        try:
            yield
        finally:
            self._served -= 1
            self._grant_served()

    def _close_idle_targets(self) -> None:
        """Close the idle connections to targets if their descriptors are needed."""
        if self._served + self.targets.idle_connections() > self._max_served:
            self.targets.close_idle(inf)

    @property
    def _max_served(self) -> float:
        """Return the number of requests that there are descriptors for."""
        free = self.max_connections + self.reserved_descriptors - OWN_DESCRIPTORS
        return max(MIN_SERVED, free - len(self.memory.holdings))

    def _grant_served(self) -> None:
        if self._served_waiters:
            self._close_idle_targets()
        while self._served_waiters and self._served < self._max_served:
            self._served += 1
            self._served_waiters.popleft().set_result(None)

    def refusal(self, reason: str) -> ShedError:
        """Count a refusal, and return it."""
        self._count("refused", reason)
        return ShedError(
            f"This instance is short of {reason} for callers: retry after "
            f"{RETRY_AFTER_S:g} s."
        )

    @asynccontextmanager
    async def parsing(self, fields: int) -> AsyncIterator[None]:
        """Wait for the turn to parse a head with so many fields.

        Raises
        ------
        ShedError
            The turn hasn't come within ``MAX_WAIT_S``.
        """
        if fields < MANY_FIELDS:
            yield
            return
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await self._parse_turn.acquire()
        except TimeoutError:
            raise self.refusal("time") from None
        begun_s = loop.time()
        try:
            yield
        finally:
            rest_s = (loop.time() - begun_s) * PARSE_REST
            loop.call_later(rest_s, self._parse_turn.release)

    async def run(self) -> None:
        """Check again and again whether connections have to go."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = asyncio.get_running_loop().time()
            self.shed(now_s)
            self._grant()
            self._grant_served()
            for guard in list(self._guard_by_holding.values()):
                if guard.stream.paused:
                    guard.stream.read_as_allowed()
            self._log_shedding(now_s)

    def shed(self, now_s: float) -> None:
        """Refuse or close connections if memory is short."""
        needed = float(
            sum(
                waiter.count
                for waiter in (*self._small, *self._large)
                if now_s - waiter.since_s >= SHED_AFTER_S
            )
        )
        if self.memory.is_full:
            needed += self.memory.held - self.memory.bound * FREE_TO_SHARE
        if needed > 0:
            self._end_all(self.memory.choose(now_s, needed))
        self._end_all(self.memory.choose_readers(now_s))

    def _end_all(self, holdings: list[Holding]) -> None:
        for holding in holdings:
            guard = self._guard_by_holding[holding]
            if holding.phase is Phase.SENDING:
                holding.chosen = True
                guard.stream.interrupt(self.refusal("memory"))
            else:
                guard.close()
                self._count("closed", "memory")

    def _grant(self) -> None:
        for waiters in (self._small, self._large):
            while waiters:
                first = waiters[0]
                if not self.memory.reserve(first.holding, first.count):
                    break
                waiters.popleft()
                if not first.granted.done():
                    first.granted.set_result(None)

    def _count(self, outcome: str, reason: str) -> None:
        self.counters.add(f"callers.{outcome}.{reason}")
        self._shed[f"{outcome}_{reason}"] += 1
        self._active = True

    def _log_shedding(self, now_s: float) -> None:
        """Log the begin and the end of a period in which callers are refused."""
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        active, self._active, self._logged_s = self._active, False, now_s
        if active == self._shedding:
            return
        self._shedding = active
        self.log.info(
            "load_shedding_began" if active else "load_shedding_ended",
            connections=len(self.memory.holdings),
            held_bytes=self.memory.held,
            bound_bytes=self.memory.bound,
            **self._shed,
        )
        if not active:
            self._shed.clear()


@define(eq=False)
class ConnectionGuard:
    """Reports what one connection holds, and keeps to what it may read."""

    guard: CallerGuard
    holding: Holding
    stream: CallerStream
    _unread: int = 0
    _parser: int = 0
    _unsent: int = 0
    _head: int = 0
    _receives_body: bool = False

    @property
    def is_short(self) -> bool:
        """Return True if reads are small."""
        return self.guard.memory.is_short and not self._receives_body

    @property
    def may_read(self) -> bool:
        """Return True if the connection may read on."""
        return (
            self._receives_body
            or self.holding.is_entitled
            or not self.guard.memory.is_full
        )

    def record_received(self, count: int, unread: int) -> None:
        """Record received bytes, and the number of unread ones."""
        if count and self.holding.phase is Phase.IDLE:
            self.begin(Phase.SENDING)
        if count and self.holding.phase is Phase.SENDING:
            self.holding.record_moved(count, self._now_s())
        self._unread = unread
        self._update()

    def record_parser(self, count: int) -> None:
        """Record the number of bytes that the parser holds."""
        self._parser = count
        self._update()

    def record_unsent(self, count: int) -> None:
        """Record the number of bytes of an answer that haven't been sent."""
        if count < self._unsent and self.holding.phase is Phase.READING:
            self.holding.record_moved(self._unsent - count, self._now_s())
        self.guard.memory.unread += count - self._unsent
        self._unsent = count
        self._update()

    def begin(self, phase: Phase) -> None:
        """Begin a phase, unless the connection is in it."""
        self._receives_body = False
        if self.holding.phase is phase:
            return
        self.holding.begin(phase, self._now_s())

    async def reserve_head(self, fields: int, size: int) -> None:
        """Reserve what a parsed head takes up; see :meth:`CallerGuard.reserve`."""
        self._head = fields * FIELD_BYTES + 2 * size
        await self._reserve(self._head)

    async def reserve_body(self, length: int) -> None:
        """Reserve what a body takes up; see :meth:`CallerGuard.reserve`."""
        await self._reserve(self._head + length + length // BODY_MARGIN_SHARE)
        self._receives_body = True

    async def _reserve(self, count: int) -> None:
        self.begin(Phase.WAITING)
        await self.guard.reserve(self.holding, count)
        self.begin(Phase.SENDING)

    def end_request(self) -> None:
        """Release what the current request holds."""
        self._head = 0
        self.guard.release(self.holding)
        self.begin(Phase.SENDING if self._unread or self._parser else Phase.IDLE)

    def end(self) -> None:
        """Release all that the connection holds."""
        self.record_unsent(0)
        self.guard.end(self.holding)

    def parsing(self, fields: int) -> AbstractAsyncContextManager[None]:
        """Wait for the turn to parse a head; see :meth:`CallerGuard.parsing`."""
        return self.guard.parsing(fields)

    def close(self) -> None:
        """Close the connection at once."""
        self.holding.chosen = True
        if self.holding.phase is Phase.IDLE:
            self.holding.closed = not self.stream.unsent
            self.stream.close()
        else:
            self.holding.closed = True
            self.stream.abort()

    def _update(self) -> None:
        loose = self._unread + self._parser + self._unsent
        self.guard.memory.set_loose(self.holding, loose)

    @staticmethod
    def _now_s() -> float:
        return asyncio.get_running_loop().time()


def make_caller_guard(
    memory_mb: float | None, max_fds: int | None, log: Logger, counters: Counters
) -> CallerGuard:
    """Return the guard of an instance with these limits, None where unknown."""
    descriptors = max_fds or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptors == resource.RLIM_INFINITY:
        descriptors = sys.maxsize
    reserved = max(MIN_RESERVED_DESCRIPTORS, descriptors // RESERVED_DESCRIPTORS_SHARE)
    return CallerGuard(
        make_caller_memory(memory_mb),
        max(1, descriptors - reserved),
        reserved,
        log,
        counters,
    )


def make_single_connection_guard(stream: ByteStream) -> ConnectionGuard:
    """Return the guard of a connection that shares no limit with others."""
    guard = CallerGuard(
        CallerMemory(sys.maxsize),
        inf,
        0,
        Logger("callers"),
        Counters(),
        memoryview(b""),
    )
    holding = guard.memory.open(time.monotonic())
    return ConnectionGuard(guard, holding, cast(CallerStream, stream))
