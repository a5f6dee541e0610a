"""Refusals on their way between instances, packed as outcomes without an answer."""

import orjson
from celeryfork_base.errors import RequestRefusedError

from celeryfork_calls.kept_outcomes import KeptOutcome

REFUSAL_CONTENT_TYPE = "application/x-celeryfork-refusal"


def refusal_to_kept(
    error: RequestRefusedError, organisation: str, key: str, now_ms: int
) -> KeptOutcome:
    """Return a refusal as a peer answers it."""
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
    """Return the refusal that a peer answered, None where it is an answer."""
    if kept.content_type != REFUSAL_CONTENT_TYPE:
        return None
    try:
        body = orjson.loads(kept.body)
    except ValueError:
        body = {}
    retry_after_s = body.get("retry_after_s")
    return RequestRefusedError(
        str(body.get("message", "The ticket's instance refused the call.")),
        str(body.get("remedy", "send the same ticket again")),
        outcome=kept.outcome,
        status=kept.status,
        code=str(body.get("code", "outcome_unknown")),
        retry_after_s=retry_after_s if isinstance(retry_after_s, float) else None,
    )
