"""Outcomes of tickets that stopping instances handed over, by incarnation.

An incarnation is one run of an instance's process. Its closing marker tells how many
of its tickets were begun. Only a peer that has the outcomes of all of these can tell
that another ticket of the incarnation was never begun.
"""

import threading
from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field
from celeryfork_base.clock import Clock
from celeryfork_base.outcomes import Outcome

from celeryfork_calls.kept_outcomes import KeptOutcome

CLOSED_PREFIX = "closed:"
MAX_INCARNATIONS = 256
MAX_HANDED_OVER_BYTES = 64 * 1024 * 1024


@define
class _IncarnationOutcomes:
    """Outcomes that one incarnation handed over."""

    expires_s: float
    outcomes_by_key: dict[tuple[str, str], KeptOutcome] = field(factory=dict)
    size_bytes: int = 0
    begun_count: int | None = None

    @property
    def complete(self) -> bool:
        """True if the outcomes of all its begun tickets are here."""
        return (
            self.begun_count is not None
            and len(self.outcomes_by_key) >= self.begun_count
        )


class HandedOverOutcomes:
    """Stores handed-over outcomes, evicted a whole incarnation at a time. Thread-safe.

    Parameters
    ----------
    retention_s
        Seconds for which an incarnation's outcomes are kept after the last of them
        arrived: at least the lifetime of a ticket.
    """

    def __init__(self, clock: Clock, retention_s: float) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._lock = threading.Lock()
        self._outcomes_by_owner: OrderedDict[str, _IncarnationOutcomes] = OrderedDict()
        self._size_bytes = 0

    def put(self, owner: str, kept: KeptOutcome) -> None:
        """Store an outcome, or the closing marker, of an incarnation."""
        with self._lock:
            group = self._touch_group(owner)
            if kept.key == closing_marker_key(owner):
                group.begun_count = _parse_count(kept.body)
            elif (kept.organisation, kept.key) not in group.outcomes_by_key:
                group.outcomes_by_key[kept.organisation, kept.key] = kept
                group.size_bytes += kept.size_bytes
                self._size_bytes += kept.size_bytes
            self._evict()

    def get(self, owner: str, organisation: str, key: str) -> KeptOutcome | None:
        """Return the outcome that an incarnation handed over for a ticket."""
        with self._lock:
            group = self._outcomes_by_owner.get(owner)
            if group is None:
                return None
            return group.outcomes_by_key.get((organisation, key))

    def is_proven_never_begun(self, owner: str, organisation: str, key: str) -> bool:
        """Return True if the incarnation provably never began the ticket."""
        with self._lock:
            group = self._outcomes_by_owner.get(owner)
            if group is None or not group.complete:
                return False
            return (organisation, key) not in group.outcomes_by_key

    def all_outcomes(self) -> list[KeptOutcome]:
        """Return all outcomes, each incarnation's closing marker after its outcomes."""
        now_ms = self._clock.wall_ms()
        outcomes: list[KeptOutcome] = []
        with self._lock:
            for owner, group in self._outcomes_by_owner.items():
                outcomes += group.outcomes_by_key.values()
                if group.begun_count is not None:
                    outcomes.append(closing_marker(owner, group.begun_count, now_ms))
        return outcomes

    def dump(self) -> dict[str, object]:
        """Return the number of outcomes by incarnation, for the state dump."""
        with self._lock:
            groups = self._outcomes_by_owner.items()
            return {
                owner: {"outcomes": len(g.outcomes_by_key), "complete": g.complete}
                for owner, g in groups
            }

    def _touch_group(self, owner: str) -> _IncarnationOutcomes:
        expires_s = self._clock.monotonic() + self._retention_s
        group = self._outcomes_by_owner.setdefault(
            owner, _IncarnationOutcomes(expires_s)
        )
        group.expires_s = expires_s
        self._outcomes_by_owner.move_to_end(owner)
        return group

    def _evict(self) -> None:
        now_s = self._clock.monotonic()
        groups = self._outcomes_by_owner
        while groups:
            oldest = next(iter(groups.values()))
            within_limits = len(groups) <= MAX_INCARNATIONS
            within_limits = within_limits and self._size_bytes <= MAX_HANDED_OVER_BYTES
            if within_limits and oldest.expires_s > now_s:
                return
            groups.popitem(last=False)
            self._size_bytes -= oldest.size_bytes


def closing_marker_key(owner: str) -> str:
    """Return the key of an incarnation's closing marker."""
    return CLOSED_PREFIX + owner


def closing_marker(owner: str, begun_count: int, wall_ms: int) -> KeptOutcome:
    """Return the marker of an incarnation that will begin no more tickets."""
    return KeptOutcome(
        organisation="",
        key=closing_marker_key(owner),
        outcome=Outcome.NOT_RUN,
        status=0,
        content_type="",
        body=str(begun_count).encode(),
        body_hash="",
        kept_ms=wall_ms,
    )


def split_into_chunks(
    outcomes: Sequence[KeptOutcome], chunk_bytes: int
) -> list[list[KeptOutcome]]:
    """Split outcomes, in order, into lists of at most ``chunk_bytes``.

    An outcome that is larger makes a list of its own.
    """
    chunks: list[list[KeptOutcome]] = [[]]
    size = 0
    for kept in outcomes:
        if chunks[-1] and size + kept.size_bytes > chunk_bytes:
            chunks.append([])
            size = 0
        chunks[-1].append(kept)
        size += kept.size_bytes
    return chunks


def _parse_count(body: bytes) -> int | None:
    try:
        return int(body)
    except ValueError:
        return None
