"""Which keys an instance can prove to have read every claim of."""

from celeryfork_calls.claim_results import ClaimLimits


class Coverage:
    """What may be missing from an instance's fold; not thread-safe.

    Parameters
    ----------
    limits
        The window, the clock skew and the log's retention.
    """

    def __init__(self, limits: ClaimLimits) -> None:
        self.set_limits(limits)
        self._began_s: float | None = None
        self._skipped_ms: int | None = None

    def set_limits(self, limits: ClaimLimits) -> None:
        """Follow a new window, skew or retention."""
        self._window_ms = limits.window_s * 1000
        self._skew_ms = limits.skew_s * 1000
        self._retention_ms = limits.retention_s * 1000

    def gap(self, read_ended_s: float) -> None:
        """Note that records may have left the log unread.

        Parameters
        ----------
        read_ended_s
            Monotonic time after the read that showed it, in seconds.
        """
        self._began_s = read_ended_s

    def skipped(self, appended_ms: int) -> None:
        """Note a record that may hold claims and can't be read."""
        self._skipped_ms = max(appended_ms, self._skipped_ms or 0)

    def proves(self, birth_ms: int, appended_ms: int, sent_s: float) -> bool:
        """Tell whether no claim of a key before this one can have been missed.

        Any claim of the key was appended after its birth, give or take the skew.
        Records that were gone at a read's end were older than the retention then,
        and by the log's clock that was at most ``late_ms`` after this claim's append.

        Parameters
        ----------
        birth_ms
            Birth of the key, by its caller's clock.
        appended_ms
            Append of the claim, by the log's clock.
        sent_s
            Monotonic time at which the claim was first sent, in seconds.
        """
        age_ms = appended_ms - birth_ms
        if not -self._skew_ms <= age_ms <= self._window_ms + self._skew_ms:
            return False
        earliest_ms = birth_ms - self._skew_ms
        if self._skipped_ms is not None and earliest_ms <= self._skipped_ms:
            return False
        if self._began_s is None:
            return True
        late_ms = max(0.0, self._began_s - sent_s) * 1000
        return earliest_ms > appended_ms + late_ms - self._retention_ms
