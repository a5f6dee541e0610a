"""One request of a caller on its way, and what every kind of call needs."""

import time
from collections.abc import Callable

from attrs import define, field
from celeryfork_admission.retry_share import Retry, RetryShare
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from logbook import Logger

from celeryfork_entry.budget_loans import BudgetLoans
from celeryfork_entry.caller_http import CallerConnection, CallerRequest
from celeryfork_entry.configuration import Configuration, Route, Service
from celeryfork_entry.first_engines import FirstEngines
from celeryfork_entry.metrics import Histograms
from celeryfork_entry.ports import Dialect, RequestMetadata
from celeryfork_entry.target_http import TargetConnections
from celeryfork_entry.targets import TargetTable

ANSWER_MARGIN_S = 0.03
"""Kept back from a caller's time, so that the final answer arrives within it."""


@define(eq=False)
class Call:
    """A request that is allowed and routed.

    Parameters
    ----------
    ends_s
        Steady time by which its final answer leaves.
    priority
        0 is the most urgent; the organisation's, else the route's.
    sends
        Times that it was passed on so far, or tried to be.
    arrivals
        Sends of which a byte may have reached a target, refusals included.
    counted
        Whether it is among the requests from which the retry budget follows.
    repeat
        What its last send took from the retry budget.
    runs
        Targets of a plain service that may have run it.
    failures
        Runs of a stream that failed since its caller's last event.
    first_engines
        Engines on which a stream was begun.
    avoided
        Targets that it has met, and takes again where nobody else is left.
    failed_on
        Engines that answered it with a failure of their own, which don't get it again.
    may_have_run
        Whether any target may have begun it: then it can't be said not to have run.
    """

    connection: CallerConnection
    request: CallerRequest
    facts: RequestMetadata
    route: Route
    service: Service
    organisation: str | None
    version: int
    deadline_s: float
    priority: int = 0
    sends: int = 0
    arrivals: int = 0
    counted_for_budget: bool = False
    repeat: Retry | None = None
    runs: int = 0
    failures: int = 0
    may_have_run: bool = False
    avoided: set[str] = field(factory=set)
    failed_on: set[str] = field(factory=set)
    first_engines: FirstEngines = field(factory=lambda: FirstEngines(1))

    @property
    def left_s(self) -> float:
        """Return the time until the final answer must leave, in seconds."""
        return self.deadline_s - time.monotonic()


@define(eq=False)
class CallContext:
    """What calls share in one process.

    Parameters
    ----------
    configuration
        Gives the configuration in force, None before the first.
    instance_count
        Gives the number of instances that live.
    budget_instance_count
        Gives the number of instances that share the retry budget.
    budget_of
        Gives this instance's share of the retry budget of a service.
    loans
        Brings repeats of other instances' shares.
    """

    table: TargetTable
    connections: TargetConnections
    dialect: Dialect
    log: Logger
    counters: Counters
    configuration: Callable[[], Configuration | None]
    instance_count: Callable[[], int]
    budget_instance_count: Callable[[], int]
    budget_of: Callable[[str], RetryShare]
    loans: BudgetLoans
    domain: str
    histograms: Histograms = field(factory=Histograms)

    def acquire_send(self, call: Call) -> bool:
        """Count one more send of ``call``; return whether the share allows it."""
        now_s = time.monotonic()
        budget = self.budget_of(call.service.name)
        if not call.counted_for_budget:
            budget.record_request(now_s)
            call.counted_for_budget = True
        call.repeat = None
        if call.arrivals > 0:
            call.repeat = budget.acquire(
                now_s, self.budget_instance_count(), allow_borrowed=call.may_have_run
            )
        if call.arrivals > 0 and call.repeat is None:
            return False
        call.sends += 1
        call.arrivals += 1
        return True

    async def wait_for_retry_budget(self, call: Call, until_s: float | None) -> bool:
        """Wait until the share allows another send of a call that may have run.

        Parameters
        ----------
        until_s
            Steady time at which to give up. None for a call that has not run: it is
            refused at once, and its caller comes back.
        """
        if until_s is not None and await self.loans.wait_for_retry(
            call.service.name, until_s
        ):
            return True
        self.counters.add("calls.repeats_refused")
        self.log_event(
            call, "repeat_refused", sends=call.sends, **self.retry_budget_usage(call)
        )
        return False

    def release_send(self, call: Call) -> None:
        """Count the last send of a call no more: no byte of it reached a target."""
        call.arrivals -= 1
        if call.repeat is not None:
            self.budget_of(call.service.name).refund(call.repeat)
            call.repeat = None

    def retry_budget_usage(self, call: Call) -> dict[str, int]:
        """Return for the log how much of this instance's retry budget is used."""
        instances = self.budget_instance_count()
        state = self.budget_of(call.service.name).state(time.monotonic(), instances)
        return {
            "repeats": state.retries,
            "repeats_allowed": state.allowed,
            "requests": state.requests,
            "instances": instances,
        }

    def log_end(self, call: Call, event: str, **inputs: object) -> None:
        """Log how a call ended, and whose it was."""
        self.log_event(
            call, event, organisation=call.organisation, sends=call.sends, **inputs
        )

    def log_event(self, call: Call, event: str, **inputs: object) -> None:
        """Log one decision about a call."""
        self.log.info(
            event,
            id=call.facts.id,
            route=call.route.name,
            configuration=call.version,
            since_ms=round((time.monotonic() - call.request.arrived_s) * 1000),
            **inputs,
        )


def not_run_error(code: str, message: str, retry_after_s: float) -> RequestRefusedError:
    """Return the refusal of a request that no target has run."""
    return RequestRefusedError(
        message,
        f"Come back in {retry_after_s:g} s.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code=code,
        retry_after_s=retry_after_s,
    )


def outcome_unknown_error(status: int, code: str, message: str) -> RequestRefusedError:
    """Return the failure of a request that may have run."""
    return RequestRefusedError(
        message,
        "Ask for its state before you send it again.",
        outcome=Outcome.UNKNOWN,
        status=status,
        code=code,
    )
