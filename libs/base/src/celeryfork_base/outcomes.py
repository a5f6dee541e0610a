"""The four outcomes that an answer can state.

``NOT_RUN`` is a promise: it needs proof that no byte of the request reached a
target. Whoever can't prove it says ``UNKNOWN``.
"""

from enum import StrEnum


class Outcome(StrEnum):
    """What became of a request."""

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


OUTCOME_HEADER = "X-Celeryfork-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
