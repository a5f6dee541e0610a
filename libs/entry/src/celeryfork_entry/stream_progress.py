"""What a caller has of its stream, and how long the next event may take."""

from attrs import define

EVENT_CHECK_DELAY_S = 0.045
"""Silence between events after which a path's engines are asked; a quarter of callers'
usual bound, as a dark engine takes as long to find again and a new path a third."""
MAX_EVENT_CHECK_DELAY_S = 0.15
"""The same over engines that are slow all the time: the bound is near then."""
CHECK_DELAY_GAPS = 2.0
"""Silence that tells something, as a multiple of the path's usual gap."""
MIN_CHECK_DELAY_GAPS = 1.5
"""The same where the longest patience is near the usual gap or below: it would be over
at each event."""
SLOW_GAP_S = 0.1
"""Usual gap from which a stream counts as slow; it is 8 to 60 ms over sound engines."""
GAP_WEIGHT = 0.25
"""Weight of the newest gap in the usual one: about the last four."""


@define(eq=False)
class StreamProgress:
    """What the caller has of its stream.

    Parameters
    ----------
    last_event
        Number of its last event, None for none.
    """

    last_event: int | None
    begun: bool = False
    complete: bool = False
    last_event_s: float = 0.0
    max_event_gap_s: float = 0.0

    def record_forwarded(self, now_s: float) -> None:
        """Note that events have just left for the caller."""
        if self.begun:
            pause_s = now_s - self.last_event_s
            self.max_event_gap_s = max(self.max_event_gap_s, pause_s)
        self.last_event_s = now_s


@define(eq=False)
class EventGaps:
    """The usual gap between the events of one path."""

    _gap_s: float = 0.0
    _last_event_s: float | None = None

    def record_event(self, now_s: float) -> None:
        """Note that events have just come."""
        if self._last_event_s is not None:
            self._gap_s += GAP_WEIGHT * (now_s - self._last_event_s - self._gap_s)
        self._last_event_s = now_s

    @property
    def check_delay_s(self) -> float:
        """Return the silence after which the engines are asked."""
        usual_s = max(EVENT_CHECK_DELAY_S, CHECK_DELAY_GAPS * self._gap_s)
        least_s = MIN_CHECK_DELAY_GAPS * self._gap_s
        return max(least_s, min(MAX_EVENT_CHECK_DELAY_S, usual_s))

    @property
    def is_slow(self) -> bool:
        """Return whether engines of the path are slow all the time."""
        return self._gap_s >= SLOW_GAP_S
