"""Stores outcomes of non-idempotent calls to answer retries, within fixed limits."""

import threading
from collections import OrderedDict

from attrs import evolve, field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.outcomes import Outcome
from celeryfork_wire.gen.celeryfork import ttypes

ENTRY_OVERHEAD_BYTES = 600


@frozen
class KeptOutcome:
    """Complete result of one call.

    Parameters
    ----------
    body_hash
        Hash of the request's body, to tell a retry from another call with its key.
    kept_ms
        Wall-clock time at which the outcome was stored, in milliseconds.
    """

    organisation: str
    key: str
    outcome: Outcome
    status: int
    content_type: str
    body: bytes = field(repr=False)
    body_hash: str
    kept_ms: int

    @property
    def size_bytes(self) -> int:
        """Approximate memory use, in bytes."""
        return len(self.body) + ENTRY_OVERHEAD_BYTES

    def without_body(self) -> "KeptOutcome":
        """Return a copy without the answer's body."""
        return evolve(self, body=b"")

    def to_wire(self) -> ttypes.KeptOutcome:
        """Return the outcome as the Thrift struct sent between peers."""
        return ttypes.KeptOutcome(
            organisation=self.organisation,
            key=self.key,
            outcome=self.outcome.value,
            status=self.status,
            content_type=self.content_type,
            body=self.body,
            kept_ms=self.kept_ms,
            body_hash=self.body_hash,
        )


def kept_from_wire(wire: ttypes.KeptOutcome) -> KeptOutcome:
    """Return a peer's outcome; a value that this version lacks becomes unknown."""
    try:
        outcome = Outcome(wire.outcome)
    except ValueError:
        outcome = Outcome.UNKNOWN
    return KeptOutcome(
        organisation=wire.organisation,
        key=wire.key,
        outcome=outcome,
        status=wire.status,
        content_type=wire.content_type,
        body=bytes(wire.body),
        body_hash=wire.body_hash or "",
        kept_ms=wire.kept_ms,
    )


class KeptOutcomeStore:
    """Outcomes by organisation and key; the oldest are evicted first.

    Parameters
    ----------
    max_count, max_bytes, ttl_s
        Limits of the store, in entries, bytes and seconds.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        max_count: int,
        max_bytes: int,
        ttl_s: float,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._ttl_s = ttl_s
        self._lock = threading.Lock()
        self._bytes = 0
        self._entries_by_key: OrderedDict[
            tuple[str, str], tuple[float, KeptOutcome]
        ] = OrderedDict()

    def put(self, kept: KeptOutcome) -> None:
        """Store an outcome; only a stored unknown outcome is replaced."""
        key = (kept.organisation, kept.key)
        now_s = self._clock.monotonic()
        with self._lock:
            old = self._entries_by_key.get(key)
            if old is not None:
                if old[1].outcome is not Outcome.UNKNOWN:
                    return
                del self._entries_by_key[key]
                self._bytes -= old[1].size_bytes
            self._entries_by_key[key] = (now_s, kept)
            self._bytes += kept.size_bytes
            self._evict(now_s)

    def get(self, organisation: str, key: str) -> KeptOutcome | None:
        """Return the outcome stored for a key."""
        with self._lock:
            self._evict(self._clock.monotonic())
            entry = self._entries_by_key.get((organisation, key))
            return None if entry is None else entry[1]

    def all(self) -> list[KeptOutcome]:
        """Return all stored outcomes, oldest first."""
        with self._lock:
            return [kept for _, kept in self._entries_by_key.values()]

    def dump(self) -> dict[str, object]:
        """Return the sizes for the state dump."""
        with self._lock:
            return {"count": len(self._entries_by_key), "bytes": self._bytes}

    def _evict(self, now_s: float) -> None:
        entries = self._entries_by_key
        while entries:
            kept_s, kept = next(iter(entries.values()))
            too_old = now_s - kept_s > self._ttl_s
            too_many = len(entries) > self._max_count
            if not (too_old or too_many or self._bytes > self._max_bytes):
                return
            entries.popitem(last=False)
            self._bytes -= kept.size_bytes
            self._counters.add(
                "calls.kept_expired" if too_old else "calls.kept_evicted"
            )
