"""Outcomes that stopping instances handed over, by the incarnation that ran them.

An incarnation's closing marker says how many of its tickets were begun. Only a peer
that has them all may say of another of its tickets that it was never begun.
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
    """What one incarnation handed over."""

    expires_s: float
    outcomes_by_key: dict[tuple[str, str], KeptOutcome] = field(factory=dict)
    size_bytes: int = 0
    begun: int | None = None

    @property
    def complete(self) -> bool:
        """Whether every ticket that it began is here."""
        return self.begun is not None and len(self.outcomes_by_key) >= self.begun


class HandedOverOutcomes:
    """Handed-over outcomes, dropped an incarnation at a time; for any thread.

    Parameters
    ----------
    kept_s
        How long they are kept: at least the life of a ticket, in seconds.
    """

    def __init__(self, clock: Clock, retention_s: float) -> None:
        self._clock = clock
        self._retention_s = retention_s
        self._lock = threading.Lock()
        self._outcomes_by_owner: OrderedDict[str, _IncarnationOutcomes] = OrderedDict()
        self._size_bytes = 0

    def put(self, owner: str, kept: KeptOutcome) -> None:
        """Take an outcome, or the closing marker, of an incarnation."""
        with self._lock:
            group = self._group(owner)
            if kept.key == closing_marker_key(owner):
                group.begun = _parse_count(kept.body)
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
        """Tell whether an incarnation is proven to have ended without this ticket."""
        with self._lock:
            group = self._outcomes_by_owner.get(owner)
            if group is None or not group.complete:
                return False
            return (organisation, key) not in group.outcomes_by_key

    def all_outcomes(self) -> list[KeptOutcome]:
        """Return all that is kept, to pass it on: each marker after its outcomes."""
        now_ms = self._clock.wall_ms()
        passed_on: list[KeptOutcome] = []
        with self._lock:
            for owner, group in self._outcomes_by_owner.items():
                passed_on += group.outcomes_by_key.values()
                if group.begun is not None:
                    passed_on.append(closing_marker(owner, group.begun, now_ms))
        return passed_on

    def dump(self) -> dict[str, object]:
        """Return the sizes for the state dump."""
        with self._lock:
            groups = self._outcomes_by_owner.items()
            return {
                owner: {"outcomes": len(g.outcomes_by_key), "complete": g.complete}
                for owner, g in groups
            }

    def _group(self, owner: str) -> _IncarnationOutcomes:
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
    """Return the key under which an incarnation's closing marker goes."""
    return CLOSED_PREFIX + owner


def closing_marker(owner: str, begun: int, wall_ms: int) -> KeptOutcome:
    """Return the marker of an incarnation that begins no ticket any more."""
    return KeptOutcome(
        organisation="",
        key=closing_marker_key(owner),
        outcome=Outcome.NOT_RUN,
        status=0,
        content_type="",
        body=str(begun).encode(),
        body_hash="",
        kept_ms=wall_ms,
    )


def split_into_chunks(
    outcomes: Sequence[KeptOutcome], chunk_bytes: int
) -> list[list[KeptOutcome]]:
    """Cut outcomes into lists of bounded size, in order."""
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
