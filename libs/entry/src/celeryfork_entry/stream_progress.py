"""Events forwarded to the caller of a stream, and the gaps between them."""

from collections.abc import Iterable

from attrs import define

from celeryfork_entry.events import Event

EVENT_CHECK_DELAY_S = 0.045
"""Seconds without an event after which the path's engines are checked: a quarter of the
maximum event gap that routes usually allow. Finding an unreachable engine takes about
as long again, and a new path a third of that gap."""
MAX_EVENT_CHECK_DELAY_S = 0.15
"""Maximum of this delay, which applies to paths of constantly slow engines. Their gaps
are close to the maximum that routes allow."""
CHECK_DELAY_GAPS = 2.0
"""Check delay as a multiple of the path's usual gap between events."""
MIN_CHECK_DELAY_GAPS = 1.5
"""Minimum of the check delay as a multiple of the usual gap. Without it, a path whose
usual gap is near or above the maximum delay would be checked at each event."""
SLOW_GAP_S = 0.1
"""Usual gap in seconds from which a stream counts as slow; healthy engines have 8 to
60 ms."""
GAP_WEIGHT = 0.25
"""Weight of the newest gap in the moving average, which covers about the last four."""


@define(eq=False)
class StreamProgress:
    """Events of a stream that were forwarded to its caller.

    Parameters
    ----------
    last_event
        Number of the last event that the caller has, None if it has none.
    started
        True once this instance has forwarded an event.
    complete
        True once the whole answer was forwarded.
    last_event_s
        Monotonic time at which the last events were forwarded.
    max_event_gap_s
        Longest time in seconds between two events forwarded by this instance.
    content_type
        Media type of the reply that began the stream; those that continue it have the
        same.
    can_be_continued
        False once an event without a number was forwarded: no target can be told to go
        on after it.
    """

    last_event: int | None
    started: bool = False
    complete: bool = False
    last_event_s: float = 0.0
    max_event_gap_s: float = 0.0
    content_type: str | None = None
    can_be_continued: bool = True

    def next_events(
        self, events: Iterable[Event], *, continued: bool
    ) -> tuple[list[Event], str | None]:
        """Return the events that come next, and why the rest can't be forwarded.

        Events that the caller has are left out, and comments before the first event:
        the answer begins with an event of the engine.

        Parameters
        ----------
        continued
            True if the events are of another reply than the first one. An event without
            a number can't be placed then, but for comments, which are left out.

        Returns
        -------
        tuple of list of Event, and str or None
            The reason is None if no event is wrong.
        """
        following: list[Event] = []
        last, begun = self.last_event, self.started
        for event in events:
            if not event.is_well_formed:
                return following, f"text that is no event follows event {last}"
            if not event.has_content:
                if continued or not begun:
                    continue
            elif event.number is None:
                if continued:
                    return following, f"an event without number follows event {last}"
            elif last is not None and event.number <= last:
                continue
            elif last is not None and event.number != last + 1:
                return following, f"event {event.number} follows event {last}"
            else:
                last = event.number
            begun = True
            following.append(event)
        return following, None

    def record_forwarded(self, now_s: float, events: Iterable[Event] = ()) -> None:
        """Record that events were forwarded to the caller."""
        for event in events:
            if event.number is not None:
                self.last_event = event.number
            elif event.has_content:
                self.can_be_continued = False
        if self.started:
            pause_s = now_s - self.last_event_s
            self.max_event_gap_s = max(self.max_event_gap_s, pause_s)
        self.last_event_s = now_s


@define(eq=False)
class EventGaps:
    """Moving average of the gaps between events of one path."""

    _gap_s: float = 0.0
    _last_event_s: float | None = None

    def record_event(self, now_s: float) -> None:
        """Record the arrival of events."""
        if self._last_event_s is not None:
            self._gap_s += GAP_WEIGHT * (now_s - self._last_event_s - self._gap_s)
        self._last_event_s = now_s

    @property
    def check_delay_s(self) -> float:
        """Return the seconds without an event after which the engines are checked."""
        usual_s = max(EVENT_CHECK_DELAY_S, CHECK_DELAY_GAPS * self._gap_s)
        least_s = MIN_CHECK_DELAY_GAPS * self._gap_s
        return max(least_s, min(MAX_EVENT_CHECK_DELAY_S, usual_s))

    @property
    def is_slow(self) -> bool:
        """Return True if the usual gap is that of slow engines."""
        return self._gap_s >= SLOW_GAP_S
