"""The refusals that the HTTP side of an entry instance makes by itself.

Each is made before a target was chosen, so its outcome is ``not_run``.
"""

from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome

STOPPING_RETRY_AFTER_S = 1.0


def malformed(
    message: str, remedy: str, code: str = "malformed"
) -> RequestRefusedError:
    """Return the refusal of a request that can't be understood."""
    return _refusal(400, code, message, remedy)


def body_too_large(most_bytes: int) -> RequestRefusedError:
    """Return the refusal of a body above the bound."""
    return _refusal(
        413,
        "body_too_large",
        f"The body is larger than {most_bytes} bytes.",
        "send a smaller request, or ask the operator to raise most_body_bytes",
    )


def unknown_key() -> RequestRefusedError:
    """Return the refusal of a caller that no organisation knows."""
    return _refusal(
        401,
        "unknown_key",
        "The bearer key belongs to no organisation.",
        "send `Authorization: Bearer KEY` with a key from your operator",
    )


def not_found(what: str, name: str, code: str) -> RequestRefusedError:
    """Return the refusal of something that configuration doesn't have."""
    return _refusal(
        404,
        code,
        f"There is no {what} named {name!r}.",
        "check the name; GET /v1/models lists the models",
    )


def no_such_path(method: str, path: str) -> RequestRefusedError:
    """Return the refusal of a call that the interface doesn't have."""
    return _refusal(
        404,
        "unknown_path",
        f"There is no {method} {path}.",
        "see docs/API.md for the calls that there are",
    )


def stopping() -> RequestRefusedError:
    """Return the refusal of an instance that takes no more requests."""
    return _refusal(
        503,
        "stopping",
        "This instance is stopping.",
        "send the request again; the balancer will choose another instance",
        STOPPING_RETRY_AFTER_S,
    )


def too_many_plain_calls() -> RequestRefusedError:
    """Return the refusal when every thread for plain calls is busy."""
    return _refusal(
        429,
        "queue_full",
        "This instance runs as many plain calls as it can.",
        "come back after Retry-After",
        STOPPING_RETRY_AFTER_S,
    )


def too_many_claims() -> RequestRefusedError:
    """Return the refusal when too many plain calls already wait on the log."""
    return _refusal(
        429,
        "queue_full",
        "As many calls as may wait for the log are waiting; this one did not run.",
        "come back after Retry-After; or, if no earlier send of this key was answered "
        "unknown or left unanswered, use a ticket of /v1/tickets now",
        STOPPING_RETRY_AFTER_S,
    )


def _refusal(
    status: int,
    code: str,
    message: str,
    remedy: str,
    retry_after_s: float | None = None,
) -> RequestRefusedError:
    return RequestRefusedError(
        message,
        remedy,
        outcome=Outcome.NOT_RUN,
        status=status,
        code=code,
        retry_after_s=retry_after_s,
    )
