"""How often a stream is tried, and with which pauses.

One that no engine has run may be refused, and its caller comes back. One that may have
run is tried on while its caller has time: what ends it is lost for the caller.
"""

from celeryfork_entry.call import Call

MOST_ARRIVALS = 6
"""Most paths that refuse a request which none has run."""
MOST_RUNS = 6
"""Most runs of one stream that fail, so that a request which ends its engines doesn't
end many."""


def exhausted_by(call: Call) -> str | None:
    """Return what forbids another try of a stream, None where nothing does."""
    if call.left_s <= 0:
        return "time"
    if call.runs >= MOST_RUNS:
        return "runs"
    if not call.may_have_run and call.arrivals >= MOST_ARRIVALS:
        return "sends"
    return None
