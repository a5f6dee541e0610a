"""What one send to a target means: an answer, or a retry that is safe or not."""

from attrs import frozen
from celeryfork_base.outcomes import Outcome

from celeryfork_calls.service_client import Lost, NotSent, SendResult, Sent

GATEWAY_STATUSES = frozenset({502, 504})
BUSY_STATUSES = frozenset({429, 503})


@frozen
class ReturnToCaller:
    """The target's whole answer, for the caller."""

    sent: Sent
    outcome: Outcome


@frozen
class TryAnotherTarget:
    """No answer for the caller; another target may be asked if that is safe.

    Parameters
    ----------
    may_have_run
        False is proof that the call did not run.
    answer
        What the target said, where it said something whole.
    """

    reason: str
    may_have_run: bool
    answer: Sent | None = None
    retry_after_s: float | None = None


@frozen
class DoNotRetry:
    """No answer for the caller, and asking another target is no use."""

    reason: str


SendDecision = ReturnToCaller | TryAnotherTarget | DoNotRetry


def decide_retry(result: SendResult, rejects_before_running: bool) -> SendDecision:
    """Return what one send to a target means.

    Parameters
    ----------
    rejects_before_running
        The kind's configuration: 429 and 503 prove that nothing ran.
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
