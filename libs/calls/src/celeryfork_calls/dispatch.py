"""Sends a call until a target gives a final answer or no further send is allowed."""

from collections.abc import Callable
from contextlib import suppress
from urllib.parse import quote

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_membership.observations import (
    Draining,
    Refused,
    Reset,
    Stalled,
    Succeeded,
)
from celeryfork_membership.targets import Target

from celeryfork_calls import errors
from celeryfork_calls.kept_outcomes import KeptOutcome
from celeryfork_calls.plain_call import (
    PlainCall,
    PlainResult,
    call_fingerprint,
    make_kept_outcome,
    target_headers,
)
from celeryfork_calls.ports import (
    ConfigurationPort,
    PoisonPort,
    RetryBudgetPort,
    RouterPort,
    ServiceKindPort,
    ViewPort,
)
from celeryfork_calls.retry_decisions import (
    DoNotRetry,
    ReturnToCaller,
    SendDecision,
    TryAnotherTarget,
    decide_retry,
)
from celeryfork_calls.service_client import (
    Lost,
    NotSent,
    SendResult,
    Sent,
    ServiceClient,
)

STATUS_CALL_TIMEOUT_S = 2.0


class Dispatcher:
    """Sends calls, and retries only where that is safe. Thread-safe."""

    def __init__(
        self,
        router: RouterPort,
        view: ViewPort,
        client: ServiceClient,
        retry_budget: RetryBudgetPort,
        poison: PoisonPort,
        configuration: Callable[[], ConfigurationPort],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._router = router
        self._view = view
        self._client = client
        self._retry_budget = retry_budget
        self._poison = poison
        self._configuration = configuration
        self._clock = clock
        self._counters = counters

    def run(self, call: PlainCall, kind: ServiceKindPort) -> PlainResult:
        """Send a call until a final answer arrives or no further send is allowed.

        A further send must be safe, and needs attempts, time and retry budget.

        Raises
        ------
        RequestRefusedError
            No target gave a final answer.
        """
        avoid: frozenset[str] = frozenset()
        may_have_run = False
        decision = TryAnotherTarget(
            "the call was not sent to any target", may_have_run=False
        )
        for attempt in range(self._configuration().policy.most_attempts):
            if attempt and not self._may_retry(call, kind, may_have_run):
                break
            if may_have_run:
                self._poison.check(call_fingerprint(call))
            target = self._choose(call, avoid, may_have_run)
            match self._send(call, kind, target):
                case ReturnToCaller(sent, outcome):
                    self._retry_budget.record_success()
                    self._poison.record_completion(call_fingerprint(call))
                    return PlainResult(
                        outcome, sent.status, sent.content_type, sent.body
                    )
                case DoNotRetry(reason):
                    raise errors.target_failed(reason)
                case TryAnotherTarget() as decision:
                    may_have_run = may_have_run or decision.may_have_run
                    avoid |= {target.id}
        raise self._no_answer_error(call, decision, may_have_run)

    def _may_retry(
        self, call: PlainCall, kind: ServiceKindPort, may_have_run: bool
    ) -> bool:
        if may_have_run and not kind.idempotent:
            return False
        if self._clock.monotonic() >= call.deadline_s:
            return False
        if not self._retry_budget.try_spend():
            self._counters.add("calls.retry_budget_spent")
            return False
        self._counters.add("calls.retries")
        return True

    def _choose(
        self, call: PlainCall, avoid: frozenset[str], may_have_run: bool
    ) -> Target:
        suspect_targets = self._poison.targets_to_avoid(call_fingerprint(call))
        try:
            return self._choose_avoiding_suspects(call, avoid, suspect_targets)
        except RequestRefusedError as error:
            if not may_have_run:
                raise
            raise errors.target_failed("there is no other target to try") from error

    def _choose_avoiding_suspects(
        self, call: PlainCall, avoid: frozenset[str], suspect_targets: frozenset[str]
    ) -> Target:
        """Choose a target where no other suspected request runs, if there is one."""
        if suspect_targets:
            with suppress(RequestRefusedError):
                return self._router.choose_service(
                    call.service, avoid | suspect_targets
                )
        return self._router.choose_service(call.service, avoid)

    def _send(
        self,
        call: PlainCall,
        kind: ServiceKindPort,
        target: Target,
    ) -> SendDecision:
        started_s = self._clock.monotonic()
        timeout_s = min(kind.timeout_s, call.deadline_s - started_s)
        result: SendResult = Lost("the call was interrupted")
        self._poison.record_start(call_fingerprint(call), [target.id])
        try:
            result = self._client.send(
                target.address,
                call.kind,
                target_headers(call),
                call.body,
                timeout_s,
                # A pooled connection that the target has closed looks like a crash of
                # the target, which the poison register would count against the call.
                fresh=True,
            )
        finally:
            self._poison.record_end(call_fingerprint(call))
            seconds = self._clock.monotonic() - started_s
            self._router.release_service(target, isinstance(result, Sent), seconds)
        self._counters.add(f"calls.send_{type(result).__name__.lower()}")
        # A time-out at the caller's shorter deadline is no sign of a stalled target.
        used_whole_timeout = seconds >= kind.timeout_s
        self._observe(call, target, result, used_whole_timeout)
        return decide_retry(result, kind.rejects_before_running)

    def _observe(
        self,
        call: PlainCall,
        target: Target,
        result: SendResult,
        used_whole_timeout: bool,
    ) -> None:
        """Report a send's result to the view, and a crash to the poison register.

        The view tracks the health of the targets.
        """
        match result:
            case Sent(draining=True):
                self._view.observe(target.id, Draining())
            case Sent():
                self._view.observe(target.id, Succeeded())
            case NotSent(unreachable=True):
                self._view.observe(target.id, Refused())
            case Lost(timed_out=True):
                if used_whole_timeout:
                    self._view.observe(target.id, Stalled())
            case Lost(bad_status=True):
                self._view.observe(target.id, Reset())
            case Lost(answer_too_large=False):
                self._view.observe(target.id, Reset())
                self._poison.record_crash(call_fingerprint(call), target.id)

    def _no_answer_error(
        self, call: PlainCall, decision: TryAnotherTarget, may_have_run: bool
    ) -> RequestRefusedError:
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        if self._clock.monotonic() >= call.deadline_s:
            return errors.deadline_passed(outcome)
        if may_have_run:
            return errors.target_failed(decision.reason)
        return errors.no_target(decision.reason, decision.retry_after_s)

    def query_status(
        self, call: PlainCall, key: str, kind: ServiceKindPort
    ) -> KeptOutcome | None:
        """Return a key's outcome from the kind's status call, None if still unknown.

        Only a result stored at the service resolves the outcome. A service without
        one proves nothing, as the call may still be on its way there.
        """
        remaining_s = call.deadline_s - self._clock.monotonic()
        if kind.status_path is None or remaining_s <= 0:
            return None
        path = kind.status_path.replace("{key}", quote(key, safe=""))
        started_s = self._clock.monotonic()
        try:
            target = self._router.choose_service(call.service, frozenset())
        except RequestRefusedError:
            return None
        answer: SendResult = Lost("the call was interrupted")
        try:
            answer = self._client.get(
                target.address,
                path,
                target_headers(call),
                min(remaining_s, STATUS_CALL_TIMEOUT_S),
            )
        finally:
            seconds = self._clock.monotonic() - started_s
            self._router.release_service(target, isinstance(answer, Sent), seconds)
        if not isinstance(answer, Sent) or answer.status != 200:
            return None
        self._counters.add("calls.settled_by_status")
        result = PlainResult(
            Outcome.DONE, answer.status, answer.content_type, answer.body
        )
        return make_kept_outcome(call, key, Outcome.DONE, self._clock.wall_ms(), result)
