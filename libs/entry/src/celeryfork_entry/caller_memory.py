"""The account of the memory that callers make an instance hold, and who yields it.

Handles crowds that send bodies, heads or pipelined requests and stop short of their
end, that trickle bytes, or that don't read their answers. It has no sockets and no
clock: connections report what they hold and how many bytes have moved.

A connection that holds at most ``ENTITLED_BYTES`` is never chosen. Of the others, those
go first that move the least for what they hold, and none goes that would finish within
``FINISH_S`` at its pace. The pace of a connection doesn't depend on how many others
there are, so that a crowd can't cause an ordinary caller to be chosen.
"""

from collections.abc import Iterable
from enum import Enum
from math import inf

from attrs import define, field

ENTITLED_BYTES = 16 << 10
"""Bytes up to which a connection is neither refused nor closed for memory: a usual
request without a large body."""
CONNECTION_BYTES = 6 << 10
"""Bytes that an open connection costs: its socket, task and parser."""
FIELD_BYTES = 400
"""Bytes that a header field costs beyond its own, in the parsed and the decoded
form."""
LARGE_BYTES = 64 << 10
"""Size from which a request may use only the share of large requests."""
LARGE_SHARE = 0.75
"""Share of the bound for large requests; small ones are served beside them."""
ANSWER_SHARE = 0.5
"""Share of the bound for answers that callers haven't read."""
FINISH_S = 20.0
"""Seconds for a connection to move as many bytes as it holds; slower ones may be chosen
while memory is short."""
YOUNG_S = 1.0
"""Seconds after its begin for which a transfer isn't chosen: its pace isn't known."""
MIN_AGE_S = 0.1
"""Shortest time over which a pace is measured."""
WINDOW_S = 1.0
"""Seconds after which the bytes moved recently are counted anew."""
UNKNOWN_BOUND_BYTES = 64 << 20
MIN_BOUND_BYTES = 16 << 20
MB = 1_000_000
MEMORY_SHARE = 0.25
"""Share of an instance's memory that callers may hold."""


class Phase(Enum):
    """What a connection does at present.

    ``WAITING`` is for the instance or a target, ``READING`` for the caller to read.
    """

    IDLE = "idle"
    SENDING = "sending"
    WAITING = "waiting"
    READING = "reading"


@define(eq=False)
class Holding:
    """What one connection holds, and how quickly its bytes move.

    Parameters
    ----------
    since_s
        Time at which its phase began.
    reserved
        Bytes that its current request may take up.
    loose
        Bytes received and not yet parsed, and bytes of answers not yet sent.
    chosen
        True once it is to end.
    closed
        True once its descriptor is free as soon as the event loop goes on.
    """

    since_s: float
    phase: Phase = Phase.IDLE
    reserved: int = 0
    loose: int = 0
    chosen: bool = False
    closed: bool = False
    _moved: int = 0
    _window_s: float = 0.0
    _recent: int = 0
    _before: int = 0

    @property
    def held(self) -> int:
        """Return the number of bytes that the connection costs in all."""
        return CONNECTION_BYTES + self.reserved + self.loose

    @property
    def is_entitled(self) -> bool:
        """Return True if the connection holds no more than every one may."""
        return self.reserved + self.loose <= ENTITLED_BYTES

    def begin(self, phase: Phase, now_s: float) -> None:
        """Begin a phase, whose pace is measured from now on."""
        self.phase, self.since_s, self._window_s = phase, now_s, now_s
        self._moved = self._recent = self._before = 0

    def record_moved(self, count: int, now_s: float) -> None:
        """Record bytes received from the peer or accepted by it."""
        self._roll(now_s)
        self._moved += count
        self._recent += count

    def pace(self, now_s: float) -> float:
        """Return the bytes per second, over the phase or recently if that is less."""
        self._roll(now_s)
        age_s = max(now_s - self.since_s, MIN_AGE_S)
        recent_s = WINDOW_S + now_s - self._window_s
        recent = (self._recent + self._before) / recent_s
        return min(self._moved / age_s, recent)

    def is_settled(self, now_s: float) -> bool:
        """Return True if its caller has had the time to move bytes."""
        moving = self.phase in {Phase.SENDING, Phase.READING}
        return moving and not self.chosen and now_s - self.since_s >= YOUNG_S

    def is_slow(self, now_s: float) -> bool:
        """Return True if its caller moves too little for what it holds."""
        return self.pace(now_s) * FINISH_S < self.reserved + self.loose

    def _roll(self, now_s: float) -> None:
        passed_s = now_s - self._window_s
        if passed_s >= WINDOW_S:
            self._before = self._recent if passed_s < 2 * WINDOW_S else 0
            self._recent, self._window_s = 0, now_s


@define(eq=False)
class CallerMemory:
    """The account of all connections of an instance.

    Parameters
    ----------
    bound
        Bytes that all connections together may hold.
    held, large, unread
        Bytes that they hold, of these those reserved for large requests, and those of
        answers that callers haven't read.
    """

    bound: int
    held: int = 0
    large: int = 0
    unread: int = 0
    holdings: set[Holding] = field(factory=set)

    def open(self, now_s: float) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding(now_s)
        holding.begin(Phase.IDLE, now_s)
        self.holdings.add(holding)
        self.held += holding.held
        return holding

    def end(self, holding: Holding) -> None:
        """Remove the holding of a connection that has ended."""
        if holding in self.holdings:
            self.release(holding)
            self.holdings.remove(holding)
            self.held -= holding.held

    def set_loose(self, holding: Holding, count: int) -> None:
        """Set the bytes that a connection holds beyond its request's."""
        if holding in self.holdings:
            self.held += count - holding.loose
            holding.loose = count

    def reserve(self, holding: Holding, count: int) -> bool:
        """Reserve bytes for a request in place of those reserved; return if they fit.

        A request whose bytes the connection is entitled to always fits, and so does a
        large one without another beside it.
        """
        added = count - holding.reserved
        large = self.large - _large_part(holding.reserved) + _large_part(count)
        alone = self.large == _large_part(holding.reserved)
        fits = (
            added <= 0
            or count <= ENTITLED_BYTES
            or alone
            or (
                self.held + added <= self.bound
                and (large <= self.bound * LARGE_SHARE or count < LARGE_BYTES)
            )
        )
        if fits:
            holding.reserved = count
            self.held += added
            self.large = large
        return fits

    def release(self, holding: Holding) -> None:
        """Release what is reserved for a connection's request."""
        self.reserve(holding, 0)

    @property
    def answer_bound(self) -> float:
        """Return the bound of the bytes of answers that callers haven't read."""
        return self.bound * ANSWER_SHARE

    @property
    def is_short(self) -> bool:
        """Return True if connections are read in small pieces only."""
        return self.held >= self.bound * LARGE_SHARE

    @property
    def is_full(self) -> bool:
        """Return True if only what connections are entitled to is still read."""
        return self.held >= self.bound

    def choose(self, now_s: float, needed: float) -> list[Holding]:
        """Return the connections that go, so that ``needed`` bytes become free.

        The slowest for what they hold go first, and among equals those that have held
        most for longest. Fewer go if no others are slow.
        """
        slow = (
            each
            for each in self.holdings
            if not each.is_entitled and each.is_settled(now_s) and each.is_slow(now_s)
        )
        return _choose(slow, now_s, needed)

    def choose_readers(self, now_s: float) -> list[Holding]:
        """Return the connections that go as too many bytes of answers aren't read.

        Answers come at once, so that a caller isn't given ``YOUNG_S`` to read them.
        """
        reading = [
            each
            for each in self.holdings
            if each.phase is Phase.READING and not each.chosen and not each.is_entitled
        ]
        excess = sum(each.loose for each in reading) - self.answer_bound
        return _choose(reading, now_s, excess)

    def choose_descriptor(self, now_s: float) -> Holding | None:
        """Return the connection that is closed for a new one, None if none is.

        Idle connections go first, the one that has been idle for longest before others,
        and then the slowest whose request or answer moves less than
        ``ENTITLED_BYTES`` a second.
        """
        idle = (
            each
            for each in self.holdings
            if each.phase is Phase.IDLE and not each.chosen
        )
        if oldest := min(idle, key=lambda each: each.since_s, default=None):
            return oldest
        slow = (
            each
            for each in self.holdings
            if each.is_settled(now_s) and each.pace(now_s) < ENTITLED_BYTES
        )
        return min(slow, key=lambda each: each.pace(now_s), default=None)


def make_caller_memory(memory_mb: float | None) -> CallerMemory:
    """Return the account of an instance with so much memory, None if unknown."""
    if memory_mb is None:
        return CallerMemory(UNKNOWN_BOUND_BYTES)
    return CallerMemory(max(MIN_BOUND_BYTES, int(memory_mb * MB * MEMORY_SHARE)))


def _choose(
    candidates: Iterable[Holding], now_s: float, needed: float
) -> list[Holding]:
    chosen = []
    for holding in sorted(candidates, key=lambda each: _order(each, now_s)):
        if needed <= 0:
            break
        needed -= holding.reserved + holding.loose
        chosen.append(holding)
    return chosen


def _order(holding: Holding, now_s: float) -> tuple[float, float]:
    count = holding.reserved + holding.loose
    pace = holding.pace(now_s) / count if count else inf
    return pace, -count * (now_s - holding.since_s)


def _large_part(count: int) -> int:
    return count if count >= LARGE_BYTES else 0
