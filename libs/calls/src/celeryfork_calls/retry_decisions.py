"""Decides after a send whether to answer the caller or to try another target."""

from attrs import frozen
from celeryfork_base.outcomes import Outcome

from celeryfork_calls.service_client import Lost, NotSent, SendResult, Sent

GATEWAY_STATUSES = frozenset({502, 504})
BUSY_STATUSES = frozenset({429, 503})


@frozen
class ReturnToCaller:
    """Return the target's complete answer to the caller."""

    sent: Sent
    outcome: Outcome


@frozen
class TryAnotherTarget:
    """No answer to return; try another target if that is safe.

    Parameters
    ----------
    may_have_run
        False proves that the call did not run.
    answer
        Complete answer of the target, if there was one.
    """

    reason: str
    may_have_run: bool
    answer: Sent | None = None
    retry_after_s: float | None = None


@frozen
class DoNotRetry:
    """No answer to return, and another target would not give one either."""

    reason: str


SendDecision = ReturnToCaller | TryAnotherTarget | DoNotRetry


def decide_retry(result: SendResult, rejects_before_running: bool) -> SendDecision:
    """Return what to do after one send to a target.

    Parameters
    ----------
    rejects_before_running
        Setting of the call's kind: answers 429, 503 or with X-Draining prove that the
        call did not run.
    """
    match result:
        case NotSent(reason):
            return TryAnotherTarget(reason, may_have_run=False)
        case Lost(reason, answer_too_large=True):
            return DoNotRetry(reason)
        case Lost(reason):
            return TryAnotherTarget(reason, may_have_run=True)
        case Sent(status=status) if status in BUSY_STATUSES or result.draining:
            return TryAnotherTarget(
                f"the target answered {status}",
                may_have_run=not rejects_before_running,
                answer=result,
                retry_after_s=result.retry_after_s,
            )
        case Sent(status=status) if status in GATEWAY_STATUSES:
            return TryAnotherTarget(
                f"the target answered {status}", may_have_run=True, answer=result
            )
        case Sent(status=status):
            done = 200 <= status < 400
            return ReturnToCaller(result, Outcome.DONE if done else Outcome.FAILED)
