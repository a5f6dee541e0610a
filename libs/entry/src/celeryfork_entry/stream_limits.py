"""How often a stream is tried, and with which pauses.

One that no engine has run may be refused, and its caller comes back. One that may have
run is tried on while its caller has time: what ends it is lost for the caller.
"""

import time

from celeryfork_entry.call import Call
from celeryfork_entry.configuration import Stream
from celeryfork_entry.first_engines import MAX_LOST_ENGINES

MAX_SENDS = 6
"""Most paths that a request is offered to which none has run."""
MAX_FAILURES = 6
"""Most runs of one stream that fail since its caller's last event."""
RESTART_WAIT_S = 1.0
"""Time in which another path is looked for after one has failed a stream that may have
run, which can't be refused any more."""
RESUME_WAIT_S = 2.0
"""The same where the caller has part of the answer, as the users' page has it: callers
leave after such a pause, or after the next two if those are longer."""
RESUME_WAIT_AIMS = 4
"""The same as a multiple of the route's aim."""
RESUME_WAIT_PAUSES = 8
"""The same as a multiple of the longest pause that the route allows."""


def exhausted_limit(call: Call) -> str | None:
    """Return what forbids another try of a stream, None where nothing does."""
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
    """Return the steady time to which a failed stream is tried again.

    Parameters
    ----------
    begun
        Whether the caller has part of the answer.
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
