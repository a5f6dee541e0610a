"""The refusals of plain calls, each with the outcome that is true and the remedy."""

from celeryfork_base.errors import CeleryforkError, RequestRefusedError
from celeryfork_base.outcomes import Outcome

RESEND_REMEDY = "send the same call with the same key again; it can't run twice"
OUTAGE_RETRY_AFTER_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0


class CallSettingsError(CeleryforkError):
    """Settings under which at-most-once can't be kept."""


def key_needed() -> RequestRefusedError:
    """Return the refusal of a non-idempotent call without a key."""
    return RequestRefusedError(
        "This kind of call may not be repeated, and it came without a key.",
        "send Idempotency-Key with a UUIDv7 (RFC 9562) or a ticket of /v1/tickets.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_needed",
    )


def key_malformed(why: str) -> RequestRefusedError:
    """Return the refusal of a key that can't be read."""
    return RequestRefusedError(
        f"The Idempotency-Key is not usable: {why}.",
        "send a UUIDv7 (RFC 9562) with the present time, or a ticket of /v1/tickets.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_malformed",
    )


def key_expired(window_s: float) -> RequestRefusedError:
    """Return the refusal of a key whose claims may be gone from the log."""
    return RequestRefusedError(
        f"The Idempotency-Key is older than {window_s:g} s; what it did before is "
        "no longer known. This request did not run.",
        "look up whether the call ran before, and send a new key if it did not.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_expired",
    )


def key_reused() -> RequestRefusedError:
    """Return the refusal of another body under a key that was used."""
    return RequestRefusedError(
        "This key was used with another body; this body did not run.",
        "use a new key for a new call, and the same body to repeat one.",
        outcome=Outcome.NOT_RUN,
        status=409,
        code="key_reused",
    )


def log_unavailable(message: str) -> RequestRefusedError:
    """Return the refusal of a claim that the log did not take."""
    return RequestRefusedError(
        f"{message} This request did not run.",
        "send the same key again later; or, if no earlier send of this key was "
        "answered unknown or left unanswered, use a ticket of /v1/tickets now.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="log_unavailable",
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def overloaded(message: str) -> RequestRefusedError:
    """Return the refusal of work beyond a bound of memory."""
    return RequestRefusedError(
        f"{message} This request did not run.",
        "send the same call with the same key again later.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="overloaded",
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def stopping() -> RequestRefusedError:
    """Return the refusal of an instance that is stopping."""
    return RequestRefusedError(
        "This instance is stopping. This request did not run.",
        "send the call again; the balancer will choose another instance.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="stopping",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def deadline_passed(outcome: Outcome) -> RequestRefusedError:
    """Return the refusal of a call whose deadline passed."""
    return RequestRefusedError(
        "The call's deadline passed.",
        "allow more time with X-Deadline-Ms, then " + RESEND_REMEDY + ".",
        outcome=outcome,
        status=504,
        code="deadline",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def in_progress(holder: str) -> RequestRefusedError:
    """Return the answer to a repeat while the first call still runs."""
    return RequestRefusedError(
        f"A call with this key is in progress at {holder}.",
        RESEND_REMEDY + " and replays the result.",
        outcome=Outcome.UNKNOWN,
        status=409,
        code="in_progress",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def outcome_unknown(why: str) -> RequestRefusedError:
    """Return the answer where a call with the key may have run."""
    return RequestRefusedError(
        f"A call with this key may have run: {why}.",
        "look up at the service whether it ran; " + RESEND_REMEDY + ".",
        outcome=Outcome.UNKNOWN,
        status=409,
        code="outcome_unknown",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def answer_not_kept(outcome: Outcome) -> RequestRefusedError:
    """Return the answer to a repeat whose first answer was too large to keep."""
    return RequestRefusedError(
        f"The call with this key ended as {outcome}, but its answer is not kept.",
        "look up the result at the service; don't send the call under a new key.",
        outcome=outcome,
        status=409,
        code="answer_not_kept",
    )


def ticket_expired() -> RequestRefusedError:
    """Return the refusal of a ticket past its time."""
    return RequestRefusedError(
        "The ticket has expired. This request did not run.",
        "look up whether an earlier send of it ran; get a new ticket if none did.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_expired",
    )


def ticket_void(owner: str) -> RequestRefusedError:
    """Return the refusal of a ticket whose owner stopped before it was begun."""
    return RequestRefusedError(
        f"The ticket's instance {owner} stopped before the ticket was used; it never "
        "ran and can't run any more.",
        "get a new ticket of /v1/tickets and send the call with that.",
        outcome=Outcome.NOT_RUN,
        status=400,
        code="key_expired",
    )


def not_configured(what: str, name: str) -> RequestRefusedError:
    """Return the refusal of a service or kind that no configuration names."""
    return RequestRefusedError(
        f"There is no {what} {name!r}.",
        f"check the {what}'s name; operators publish services as service/NAME.",
        outcome=Outcome.NOT_RUN,
        status=404,
        code=f"unknown_{what}",
    )


def target_failed(why: str) -> RequestRefusedError:
    """Return the answer where a call may have run and there is no whole answer."""
    return RequestRefusedError(
        f"The call may have run, but there is no whole answer: {why}.",
        "repeat an idempotent call; else look up at the service whether it ran.",
        outcome=Outcome.UNKNOWN,
        status=502,
        code="target_failed",
    )


def no_target(why: str, retry_after_s: float | None) -> RequestRefusedError:
    """Return the refusal where no target took the call."""
    return RequestRefusedError(
        f"No target took the call: {why}. This request did not run.",
        "send the call again later, with the same key if it has one.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code="no_target",
        retry_after_s=retry_after_s or DEFAULT_RETRY_AFTER_S,
    )


def poison_not_run(error: RequestRefusedError) -> RequestRefusedError:
    """Return the refusal of a call whose like crashed targets under other keys.

    The register says ``failed`` of the like; the call with this key did not run.
    """
    return RequestRefusedError(
        error.message,
        error.remedy,
        outcome=Outcome.NOT_RUN,
        status=error.status,
        code=error.code,
    )
