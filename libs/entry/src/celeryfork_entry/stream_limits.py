"""Limits on the retries of a stream.

A stream that no engine has run may be refused, as its caller can retry it. A stream
that may have run is retried as long as its caller waits, since the caller loses it
otherwise.
"""

import time

from celeryfork_entry.call import Call
from celeryfork_entry.configuration import Stream

CAPACITY_WAIT_S = 0.25
"""Seconds that a request waits for free capacity before it is refused: half of the
usual latency goal."""
MAX_SENDS = 6
"""Maximum number of paths tried for a request that none of them has run."""
MAX_FAILURES = 6
"""Maximum number of failed runs of one stream since the last event for its caller."""
RESTART_WAIT_S = 1.0
"""Seconds during which another path is sought for a stream that may have run and whose
caller has no event yet. It can't be refused any more."""
RESUME_WAIT_S = 2.0
"""Seconds during which another path is sought for a stream whose caller has part of the
answer, unless one of the next two constants gives a longer time. According to the
users' page, callers disconnect after a pause of the longest of the three."""
RESUME_WAIT_LATENCY_GOALS = 4
"""The same time as a multiple of the route's latency goal."""
RESUME_WAIT_EVENT_GAPS = 8
"""The same time as a multiple of the longest event gap that the route allows."""


def exhausted_limit(call: Call, max_lost_engines: int) -> str | None:
    """Return the name of the limit that forbids another attempt, None if allowed.

    Parameters
    ----------
    max_lost_engines
        Number of first engines that may go down as the call begins to run there.
    """
    if call.left_s <= 0:
        return "time"
    if call.failures >= MAX_FAILURES:
        return "runs"
    if call.first_engines.lost >= max_lost_engines:
        return "lost_engines"
    if not call.may_have_run and call.sends >= MAX_SENDS:
        return "sends"
    return None


def stream_retry_deadline_s(call: Call, *, started: bool) -> float:
    """Return the monotonic time until which a failed stream is retried.

    Parameters
    ----------
    started
        True if the caller has part of the answer.
    """
    wait_s = _caller_wait_s(call) if started else RESTART_WAIT_S
    return time.monotonic() + min(wait_s, call.left_s)


def _caller_wait_s(call: Call) -> float:
    match call.route.kind:
        case Stream(_, max_event_gap_s):
            pauses_s = RESUME_WAIT_EVENT_GAPS * max_event_gap_s
        case _:
            pauses_s = 0.0
    return max(
        RESUME_WAIT_S, RESUME_WAIT_LATENCY_GOALS * call.route.latency_goal_s, pauses_s
    )
