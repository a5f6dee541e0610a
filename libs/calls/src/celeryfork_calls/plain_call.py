"""Data of a plain call: the call, its answer, and conversions between them."""

from collections.abc import Mapping

from attrs import field, frozen
from celeryfork_admission.poison import fingerprint
from celeryfork_base.outcomes import REQUEST_ID_HEADER, Outcome

from celeryfork_calls import errors
from celeryfork_calls.claim_fold import hash_body
from celeryfork_calls.kept_outcomes import KeptOutcome
from celeryfork_calls.service_client import DEFAULT_CONTENT_TYPE, FINAL_STATUSES


@frozen
class PlainCall:
    """One call of a plain service.

    Parameters
    ----------
    key
        The caller's ``Idempotency-Key``: a UUIDv7 or a ticket.
    deadline_s
        Monotonic time until which the caller waits, in seconds.
    """

    request_id: str
    organisation: str
    service: str
    kind: str
    body: bytes = field(repr=False)
    content_type: str
    key: str | None
    deadline_s: float


@frozen
class PlainResult:
    """A target's complete answer.

    Parameters
    ----------
    replayed
        True if it was stored from an earlier call with the same key.
    """

    outcome: Outcome
    status: int
    content_type: str
    body: bytes = field(repr=False)
    replayed: bool = False


def target_headers(call: PlainCall) -> Mapping[str, str]:
    """Return the headers of the request to the target."""
    headers = {
        "Content-Type": call.content_type or DEFAULT_CONTENT_TYPE,
        REQUEST_ID_HEADER: call.request_id,
        "X-Organisation": call.organisation,
    }
    if call.key is not None:
        headers["Idempotency-Key"] = call.key
    return headers


def call_fingerprint(call: PlainCall) -> str:
    """Return a fingerprint that equal calls share, whichever key they carry."""
    return fingerprint(call.organisation, f"{call.service}/{call.kind}", call.body)


def make_kept_outcome(
    call: PlainCall,
    key: str,
    outcome: Outcome,
    kept_ms: int,
    result: PlainResult | None = None,
) -> KeptOutcome:
    """Return a call's outcome, with its answer if any, to store under its key."""
    return KeptOutcome(
        organisation=call.organisation,
        key=key,
        outcome=outcome,
        status=0 if result is None else result.status,
        content_type="" if result is None else result.content_type,
        body=b"" if result is None else result.body,
        body_hash=hash_body(call.body),
        kept_ms=kept_ms,
    )


def replay_result(kept: KeptOutcome) -> PlainResult:
    """Return the stored answer as the result of a retry.

    Raises
    ------
    RequestRefusedError
        The answer has a status that HTTP doesn't have, as those of earlier versions.
    """
    if kept.status not in FINAL_STATUSES:
        raise errors.outcome_unknown(
            f"the status {kept.status:03} of its answer is not a final one of HTTP"
        )
    return PlainResult(
        kept.outcome, kept.status, kept.content_type, kept.body, replayed=True
    )
