"""Errors that end a plain call, each with the call's outcome and a remedy."""

from celeryfork_base.errors import CeleryforkError, RequestRefusedError
from celeryfork_base.outcomes import Outcome

RESEND_REMEDY = "retry the call with the same key; it can't run twice"
OUTAGE_RETRY_AFTER_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0


class CallSettingsError(CeleryforkError):
    """Settings under which calls can't be run at most once."""


def key_needed() -> RequestRefusedError:
    """Return the error for a non-idempotent call without a key."""
    return RequestRefusedError(
        "Calls of this kind are not idempotent and need a key; this call has none.",
        "send Idempotency-Key with a UUIDv7 (RFC 9562) or a ticket from /v1/tickets.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_needed",
    )


def key_malformed(why: str) -> RequestRefusedError:
    """Return the error for a key that is not a usable UUIDv7 or ticket."""
    return RequestRefusedError(
        f"The Idempotency-Key is invalid: {why}.",
        "send a UUIDv7 (RFC 9562) with the current time, or a ticket from /v1/tickets.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_malformed",
    )


def key_expired(window_s: float) -> RequestRefusedError:
    """Return the error for a key whose claims the log may no longer keep."""
    return RequestRefusedError(
        f"The Idempotency-Key is older than {window_s:g} s; outcomes of earlier calls "
        "with it are no longer known. This request did not run.",
        "check whether an earlier call ran, and send a new key if none did.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_expired",
    )


def key_reused() -> RequestRefusedError:
    """Return the error for a used key that arrives with a different body."""
    return RequestRefusedError(
        "This key was used with a different request body; this request did not run.",
        "use a new key for a new call, and the same body to retry one.",
        outcome=Outcome.NOT_RUN,
        status=409,
        code="key_reused",
    )


def log_unavailable(message: str) -> RequestRefusedError:
    """Return the error for a claim that the log refused or did not confirm."""
    return RequestRefusedError(
        f"{message} This request did not run.",
        "retry later with the same key; or, if no earlier call with this key ended "
        "as unknown or went unanswered, use a ticket from /v1/tickets now.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="log_unavailable",
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def overloaded(message: str) -> RequestRefusedError:
    """Return the error for a call that would exceed a memory limit."""
    return RequestRefusedError(
        f"{message} This request did not run.",
        "retry the call later with the same key.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="overloaded",
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def stopping() -> RequestRefusedError:
    """Return the error for a call to an instance that is stopping."""
    return RequestRefusedError(
        "This instance is stopping. This request did not run.",
        "retry the call; the load balancer will choose another instance.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="stopping",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def deadline_passed(outcome: Outcome) -> RequestRefusedError:
    """Return the error for a call whose deadline passed."""
    return RequestRefusedError(
        "The call's deadline passed.",
        "allow more time with X-Deadline-Ms, then " + RESEND_REMEDY + ".",
        outcome=outcome,
        status=504,
        code="deadline",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def in_progress(holder: str) -> RequestRefusedError:
    """Return the error for a retry while the first call with its key is running."""
    return RequestRefusedError(
        f"A call with this key is in progress at {holder}.",
        RESEND_REMEDY + ", and the first result is returned.",
        outcome=Outcome.UNKNOWN,
        status=409,
        code="in_progress",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def outcome_unknown(why: str) -> RequestRefusedError:
    """Return the error for a key under which a call may have run."""
    return RequestRefusedError(
        f"A call with this key may have run: {why}.",
        "check with the service whether it ran; " + RESEND_REMEDY + ".",
        outcome=Outcome.UNKNOWN,
        status=409,
        code="outcome_unknown",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def answer_not_kept(outcome: Outcome) -> RequestRefusedError:
    """Return the error for a retry of an ended call whose answer is not stored.

    The answer was too large, or was dropped to limit memory.
    """
    return RequestRefusedError(
        f"The call with this key ended as {outcome}, but its answer is not stored.",
        "get the result from the service; don't send the call under a new key.",
        outcome=outcome,
        status=409,
        code="answer_not_kept",
    )


def ticket_expired() -> RequestRefusedError:
    """Return the error for a ticket that is used after its expiry."""
    return RequestRefusedError(
        "The ticket has expired. This request did not run.",
        "check whether an earlier call with it ran; get a new ticket if none did.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_expired",
    )


def ticket_void(owner: str) -> RequestRefusedError:
    """Return the error for a ticket whose owner stopped before it was begun."""
    return RequestRefusedError(
        f"The ticket's instance {owner} stopped before the ticket was used; no call "
        "with it ran, and none can run.",
        "get a new ticket from /v1/tickets and send the call with that.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_expired",
    )


def not_configured(what: str, name: str) -> RequestRefusedError:
    """Return the error for a service or kind that is not configured."""
    return RequestRefusedError(
        f"There is no {what} {name!r}.",
        f"check the {what}'s name; operators configure services in records named "
        "service/NAME.",
        outcome=Outcome.NOT_RUN,
        status=404,
        code=f"unknown_{what}",
    )


def target_failed(why: str) -> RequestRefusedError:
    """Return the error for a sent call without a complete answer."""
    return RequestRefusedError(
        f"The call may have run, but there is no complete answer: {why}.",
        "retry an idempotent call; else check with the service whether it ran.",
        outcome=Outcome.UNKNOWN,
        status=502,
        code="target_failed",
    )


def no_target(why: str, retry_after_s: float | None) -> RequestRefusedError:
    """Return the error for a call that no target accepted."""
    return RequestRefusedError(
        f"No target accepted the call: {why}. This request did not run.",
        "retry the call later, with the same key if it has one.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="no_target",
        retry_after_s=retry_after_s or DEFAULT_RETRY_AFTER_S,
    )


def poison_not_run(error: RequestRefusedError) -> RequestRefusedError:
    """Return the error for a call whose fingerprint has crashed targets.

    The poison register's error has the outcome ``failed``, which is true of the
    earlier calls; the call with this key did not run.
    """
    return RequestRefusedError(
        error.message,
        error.remedy,
        outcome=Outcome.NOT_RUN,
        status=error.status,
        code=error.code,
    )
