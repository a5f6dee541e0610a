"""Outcomes of non-idempotent calls, kept to answer a repeat, bounded in every way."""

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
    """The result of one call, whole.

    Parameters
    ----------
    body_hash
        Hash of the request's body, to tell a repeat from a reused key.
    kept_ms
        Wall clock when it was kept, in milliseconds.
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
        """Memory that it takes, about."""
        return len(self.body) + ENTRY_OVERHEAD_BYTES

    def without_body(self) -> "KeptOutcome":
        """Return it without the answer's body."""
        return evolve(self, body=b"")

    def to_wire(self) -> ttypes.KeptOutcome:
        """Return it as peers send it."""
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
    """Return a peer's kept outcome; one that this version can't name is unknown."""
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
    """Kept outcomes by organisation and key; the oldest go first.

    Parameters
    ----------
    most_count, most_bytes, longest_s
        Bounds of what is kept, in entries, bytes and seconds.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        most_count: int,
        most_bytes: int,
        longest_s: float,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._most_count = most_count
        self._most_bytes = most_bytes
        self._longest_s = longest_s
        self._lock = threading.Lock()
        self._bytes = 0
        self._entries_by_key: OrderedDict[
            tuple[str, str], tuple[float, KeptOutcome]
        ] = OrderedDict()

    def put(self, kept: KeptOutcome) -> None:
        """Keep an outcome; one that says less never replaces one that says more."""
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
        """Return the outcome kept under a key."""
        with self._lock:
            self._evict(self._clock.monotonic())
            entry = self._entries_by_key.get((organisation, key))
            return None if entry is None else entry[1]

    def all(self) -> list[KeptOutcome]:
        """Return everything kept, oldest first."""
        with self._lock:
            return [kept for _, kept in self._entries_by_key.values()]

    def dump(self) -> dict[str, object]:
        """Return the size for the state dump."""
        with self._lock:
            return {"count": len(self._entries_by_key), "bytes": self._bytes}

    def _evict(self, now_s: float) -> None:
        entries = self._entries_by_key
        while entries:
            kept_s, kept = next(iter(entries.values()))
            too_old = now_s - kept_s > self._longest_s
            too_many = len(entries) > self._most_count
            if not (too_old or too_many or self._bytes > self._most_bytes):
                return
            entries.popitem(last=False)
            self._bytes -= kept.size_bytes
            self._counters.add(
                "calls.kept_expired" if too_old else "calls.kept_evicted"
            )
