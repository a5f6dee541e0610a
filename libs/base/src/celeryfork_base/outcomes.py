"""Outcomes of a request, as stated in the answer to its caller.

``NOT_RUN`` is a guarantee: it may be stated only with proof that no target has run the
request, since no byte of it reached a target or the target stated that it has not run
it. Without that proof the outcome is ``UNKNOWN``.
"""

from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


OUTCOME_HEADER = "X-Celeryfork-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
