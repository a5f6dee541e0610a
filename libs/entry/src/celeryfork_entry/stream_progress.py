"""What a caller has of its stream, and how long the next event may take."""

from attrs import define

EVENT_PATIENCE_S = 0.045
"""Silence between events after which a path's engines are asked; a quarter of callers'
usual bound, as a dark engine takes as long to find again and a new path a third."""
LONGEST_EVENT_PATIENCE_S = 0.15
"""The same over engines that are slow all the time: the bound is near then."""
USUAL_GAPS = 2.0
"""Silence that tells something, as a multiple of the path's usual gap."""
LEAST_USUAL_GAPS = 1.5
"""The same where the longest patience is near the usual gap or below: it would be over
at each event."""
SLOW_GAP_S = 0.1
"""Usual gap from which a stream counts as slow; it is 8 to 60 ms over sound engines."""
GAP_WEIGHT = 0.25
"""Weight of the newest gap in the usual one: about the last four."""


@define(eq=False)
class Progress:
    """What the caller has of its stream.

    Parameters
    ----------
    last_event
        Number of its last event, None for none.
    """

    last_event: int | None
    begun: bool = False
    complete: bool = False
    event_s: float = 0.0
    max_event_gap_s: float = 0.0

    def passed(self, now_s: float) -> None:
        """Note that events have just left for the caller."""
        if self.begun:
            pause_s = now_s - self.event_s
            self.max_event_gap_s = max(self.max_event_gap_s, pause_s)
        self.event_s = now_s


@define(eq=False)
class Pace:
    """The usual gap between the events of one path."""

    _gap_s: float = 0.0
    _heard_s: float | None = None

    def heard(self, now_s: float) -> None:
        """Note that events have just come."""
        if self._heard_s is not None:
            self._gap_s += GAP_WEIGHT * (now_s - self._heard_s - self._gap_s)
        self._heard_s = now_s

    @property
    def patience_s(self) -> float:
        """Return the silence after which the engines are asked."""
        usual_s = max(EVENT_PATIENCE_S, USUAL_GAPS * self._gap_s)
        least_s = LEAST_USUAL_GAPS * self._gap_s
        return max(least_s, min(LONGEST_EVENT_PATIENCE_S, usual_s))

    @property
    def is_slow(self) -> bool:
        """Return whether engines of the path are slow all the time."""
        return self._gap_s >= SLOW_GAP_S
