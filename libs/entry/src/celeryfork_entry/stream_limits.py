"""Limits on the retries of a stream.

A stream that no engine has run may be refused, as its caller can retry it. A stream
that may have run is retried while its caller has time, since the caller loses it
otherwise.
"""

import time

from celeryfork_entry.call import Call
from celeryfork_entry.configuration import Stream
from celeryfork_entry.first_engines import MAX_LOST_ENGINES

MAX_SENDS = 6
"""Maximum number of paths tried for a request that none of them has run."""
MAX_FAILURES = 6
"""Maximum number of failed runs of one stream since the last event for its caller."""
RESTART_WAIT_S = 1.0
"""Seconds during which another path is sought for a stream that may have run, so that
it can't be refused any more, if its caller has no event yet."""
RESUME_WAIT_S = 2.0
"""The same in seconds if the caller has part of the answer. The requirements say that
callers disconnect after a pause of this length, or of one of the two following lengths
if that is longer."""
RESUME_WAIT_AIMS = 4
"""The same as a multiple of the route's latency goal."""
RESUME_WAIT_PAUSES = 8
"""The same as a multiple of the longest event gap that the route allows."""


def exhausted_limit(call: Call) -> str | None:
    """Return the name of the limit that forbids another attempt, None if allowed."""
    if call.left_s <= 0:
        return "time"
    if call.failures >= MAX_FAILURES:
        return "runs"
    if call.first_engines.lost >= MAX_LOST_ENGINES:
        return "lost_engines"
    if not call.may_have_run and call.sends >= MAX_SENDS:
        return "sends"
    return None


def stream_retry_deadline_s(call: Call, *, begun: bool) -> float:
    """Return the monotonic time until which a failed stream is retried.

    Parameters
    ----------
    begun
        True if the caller has part of the answer.
    """
    wait_s = _caller_wait_s(call) if begun else RESTART_WAIT_S
    return time.monotonic() + min(wait_s, call.left_s)


def _caller_wait_s(call: Call) -> float:
    match call.route.kind:
        case Stream(_, max_event_gap_s):
            pauses_s = RESUME_WAIT_PAUSES * max_event_gap_s
        case _:
            pauses_s = 0.0
    return max(RESUME_WAIT_S, RESUME_WAIT_AIMS * call.route.latency_goal_s, pauses_s)
