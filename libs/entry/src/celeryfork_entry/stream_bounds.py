"""How often a stream is tried, and with which pauses.

One that no engine has run may be refused, and its caller comes back. One that may have
run is tried on while its caller has time: what ends it is lost for the caller.
"""

import time

from celeryfork_entry.call import Call

MOST_ARRIVALS = 6
"""Most paths that refuse a request which none has run."""
MOST_RUNS = 6
"""Most runs of one stream that fail, so that a request which ends its engines doesn't
end many."""


RESTART_WAIT_S = 1.0
"""Time in which another path is looked for after one has failed a stream that may have
run, which can't be refused any more."""
RESUME_WAIT_S = 2.0
"""The same where the caller has part of the answer; it leaves after such a pause."""


def recovers_until_s(call: Call, *, begun: bool) -> float:
    """Return the steady time to which a failed stream is tried again.

    Parameters
    ----------
    begun
        Whether the caller has part of the answer.
    """
    wait_s = RESUME_WAIT_S if begun else RESTART_WAIT_S
    return time.monotonic() + min(wait_s, call.left_s)


def exhausted_by(call: Call) -> str | None:
    """Return what forbids another try of a stream, None where nothing does."""
    if call.left_s <= 0:
        return "time"
    if call.runs >= MOST_RUNS:
        return "runs"
    if not call.may_have_run and call.arrivals >= MOST_ARRIVALS:
        return "sends"
    return None
