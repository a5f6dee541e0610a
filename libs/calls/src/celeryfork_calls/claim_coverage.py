"""Determines for which keys an instance has provably read every earlier claim."""

from celeryfork_calls.claim_results import ClaimLimits


class Coverage:
    """Tracks which records a ``ClaimFold`` may have missed; not thread-safe.

    Parameters
    ----------
    limits
        The window, the clock skew and the log's retention.
    """

    def __init__(self, limits: ClaimLimits) -> None:
        self.set_limits(limits)
        self._gap_read_ended_s: float | None = None
        self._skipped_ms: int | None = None

    def set_limits(self, limits: ClaimLimits) -> None:
        """Apply a new window, skew or retention."""
        self._window_ms = limits.window_s * 1000
        self._skew_ms = limits.skew_s * 1000
        self._retention_ms = limits.retention_s * 1000

    def note_gap(self, read_ended_s: float) -> None:
        """Record that entries may have expired from the log unread.

        Parameters
        ----------
        read_ended_s
            Monotonic time after the read that showed the gap, in seconds.
        """
        self._gap_read_ended_s = read_ended_s

    def note_skipped_record(self, appended_ms: int) -> None:
        """Record that a record can't be decoded and may hold claims."""
        self._skipped_ms = max(appended_ms, self._skipped_ms or 0)

    def proves_no_claim_missed(
        self, created_ms: int, appended_ms: int, sent_s: float
    ) -> bool:
        """Return True if no claim of the key before this one can have been missed.

        No claim of the key was appended earlier than the skew before the key's
        creation. Records that had expired when a read ended were then older than the
        retention, and by the log's clock the read ended at most ``read_delay_ms``
        after this claim's append.

        Parameters
        ----------
        created_ms
            Creation time of the key, by its caller's clock, in milliseconds.
        appended_ms
            Append time of the claim, by the log's clock, in milliseconds.
        sent_s
            Monotonic time at which the claim was first sent, in seconds.
        """
        age_ms = appended_ms - created_ms
        if not -self._skew_ms <= age_ms <= self._window_ms + self._skew_ms:
            return False
        earliest_claim_ms = created_ms - self._skew_ms
        if self._skipped_ms is not None and earliest_claim_ms <= self._skipped_ms:
            return False
        if self._gap_read_ended_s is None:
            return True
        read_delay_ms = max(0.0, self._gap_read_ended_s - sent_s) * 1000
        return earliest_claim_ms > appended_ms + read_delay_ms - self._retention_ms
