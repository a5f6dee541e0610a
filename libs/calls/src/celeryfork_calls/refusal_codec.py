"""Encodes errors of forwarded calls as kept outcomes, which peers can transport."""

import orjson
from celeryfork_base.errors import RequestRefusedError

from celeryfork_calls.kept_outcomes import KeptOutcome

REFUSAL_CONTENT_TYPE = "application/x-celeryfork-refusal"


def refusal_to_kept(
    error: RequestRefusedError, organisation: str, key: str, now_ms: int
) -> KeptOutcome:
    """Return an error encoded as a kept outcome, for the peer that forwarded."""
    body = {
        "message": error.message,
        "remedy": error.remedy,
        "code": error.code,
        "retry_after_s": error.retry_after_s,
    }
    return KeptOutcome(
        organisation=organisation,
        key=key,
        outcome=error.outcome,
        status=error.status,
        content_type=REFUSAL_CONTENT_TYPE,
        body=orjson.dumps(body),
        body_hash="",
        kept_ms=now_ms,
    )


def refusal_from_kept(kept: KeptOutcome) -> RequestRefusedError | None:
    """Return the error that a peer sent; None if it sent a target's answer."""
    if kept.content_type != REFUSAL_CONTENT_TYPE:
        return None
    try:
        body = orjson.loads(kept.body)
    except ValueError:
        body = {}
    retry_after_s = body.get("retry_after_s")
    return RequestRefusedError(
        str(body.get("message", "The instance that owns the ticket refused the call.")),
        str(body.get("remedy", "retry the call with the same ticket")),
        outcome=kept.outcome,
        status=kept.status,
        code=str(body.get("code", "outcome_unknown")),
        retry_after_s=retry_after_s if isinstance(retry_after_s, float) else None,
    )
