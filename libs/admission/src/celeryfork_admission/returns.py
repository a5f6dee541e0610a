"""Remembers refused requests, so that their retries take precedence when they are due.

Load: a shortage that lasts for several seconds, and callers that retry too early.
"""

from attrs import define, field, frozen

MAX_ENTRIES = 4_000
TTL_S = 8.0
"""Seconds for which a refusal is remembered: the longest Retry-After and its jitter."""
EARLY_TOLERANCE_S = 0.1
"""Seconds by which a retry may come before its time, as clocks of callers differ."""


@frozen
class _Refusal:
    refused_s: float
    due_s: float


@define
class ReturnRegistry:
    """Fingerprints of refused requests with the times from which they may return."""

    _refusal_by_fingerprint: dict[int, _Refusal] = field(factory=dict)

    def record_refusal(self, fingerprint: int, due_s: float, now_s: float) -> None:
        """Remember a refusal; one that is remembered keeps its time until it is due."""
        known = self._refusal_by_fingerprint.get(fingerprint)
        if known is not None:
            expired = now_s - known.refused_s > TTL_S
            if not expired and now_s < known.due_s - EARLY_TOLERANCE_S:
                return
            del self._refusal_by_fingerprint[fingerprint]
        self._refusal_by_fingerprint[fingerprint] = _Refusal(now_s, due_s)
        if len(self._refusal_by_fingerprint) > MAX_ENTRIES:
            del self._refusal_by_fingerprint[next(iter(self._refusal_by_fingerprint))]

    def is_due(self, fingerprint: int, now_s: float) -> bool:
        """Return True if a request was refused and may return now."""
        known = self._refusal_by_fingerprint.get(fingerprint)
        if known is None or now_s - known.refused_s > TTL_S:
            return False
        return now_s >= known.due_s - EARLY_TOLERANCE_S

    def forget(self, fingerprint: int) -> None:
        """Drop a refusal, as the request was admitted."""
        self._refusal_by_fingerprint.pop(fingerprint, None)

    def __len__(self) -> int:
        """Return the number of refusals that are remembered."""
        return len(self._refusal_by_fingerprint)
