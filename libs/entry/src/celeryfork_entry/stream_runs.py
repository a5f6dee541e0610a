"""A run of a stream, at a single target or over a path of engines."""

from attrs import define, field

from celeryfork_entry.first_engines import CRASH_ONSET_S
from celeryfork_entry.target_ramp_up import RampRun


@define(eq=False)
class StreamRun:
    """What is known of the begin and the events of a run.

    Parameters
    ----------
    sent
        True if a byte of the request may have reached the target.
    first_event_s
        Monotonic time of the first event of this run, None before it.
    last_event_s
        Monotonic time of its last event, None before the first one.
    ramp_run
        The run as seen by the ramp-up, None while no target was ramping.
    """

    sent: bool = field(default=False, kw_only=True)
    first_event_s: float | None = field(default=None, kw_only=True)
    last_event_s: float | None = field(default=None, kw_only=True)
    ramp_run: RampRun | None = field(default=None, kw_only=True)

    def mark_sent(self) -> None:
        """Record that sending of the request has started."""
        self.sent = True

    def record_events(self, now_s: float) -> None:
        """Record that events arrived."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        self.last_event_s = now_s

    @property
    def begun(self) -> bool:
        """Return True if an event has arrived."""
        return self.first_event_s is not None

    @property
    def writing_s(self) -> float:
        """Return the seconds from the first to the last event, 0 before the first."""
        if self.first_event_s is None or self.last_event_s is None:
            return 0.0
        return self.last_event_s - self.first_event_s

    @property
    def is_starting(self) -> bool:
        """Return True if the run may still be what crashes its targets."""
        return self.writing_s <= CRASH_ONSET_S
