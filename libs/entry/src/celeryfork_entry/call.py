"""The state of one request in progress, and what all kinds of calls share."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf

from attrs import define, field
from celeryfork_admission.crash_evidence import Trait
from celeryfork_admission.retry_share import Retry, RetryShare
from celeryfork_admission.service_load import Urgency
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_routing.engine_loads import LayerPath
from logbook import Logger

from celeryfork_entry.budget_loans import BudgetLoans
from celeryfork_entry.caller_http import CallerConnection, CallerRequest
from celeryfork_entry.configuration import (
    Configuration,
    Route,
    Service,
    is_resumable,
)
from celeryfork_entry.engine_permits import EnginePermits
from celeryfork_entry.first_engines import FirstEngines
from celeryfork_entry.load_knowledge import LoadKnowledge
from celeryfork_entry.metrics import Histograms
from celeryfork_entry.ports import Dialect, ReplyMetadata, RequestMetadata
from celeryfork_entry.stream_progress import StreamProgress
from celeryfork_entry.target_http import LostError, Reply, TargetConnections
from celeryfork_entry.target_ramp_up import RampRequest, TargetRampUp
from celeryfork_entry.targets import Target, TargetTable

MAX_WAIT_S = 0.2
"""Maximum seconds of a wait for a reply before the call's time is looked at again."""
ANSWER_MARGIN_S = 0.03
"""Seconds subtracted from a caller's deadline, so that the final answer arrives in
time."""


@define
class PlannedStop:
    """Progress of a planned stop of this instance, shared by all its calls.

    Parameters
    ----------
    answers_end_s
        Monotonic time by which every call must have its answer, infinite while the
        instance isn't stopping.
    streams_end_s
        The same for the rest of an answer that has begun.
    drained
        True once callers have had time to go elsewhere. Calls whose time ends after the
        stop are refused then.
    """

    answers_end_s: float = inf
    streams_end_s: float = inf
    drained: bool = False


@define(eq=False)
class Call:
    """A request that has been authorised and assigned to a route and a service.

    Parameters
    ----------
    organisation
        Name of the caller's organisation, None on an open route without a key.
    version
        Version of the configuration by which the request was routed.
    deadline_s
        Monotonic time by which the final answer must be sent.
    priority
        Priority of the organisation, or of the route if the organisation has none.
        0 is the most urgent.
    urgency
        Precedence under a shortage, None where admission control takes no effect.
    sends
        Number of times that the request was sent to a target, failed attempts
        included.
    delivered_sends
        Number of sends of which a byte may have reached a target, whether or not the
        target refused the request.
    counted_for_budget
        True if the request is counted among those that determine the size of the
        retry budget.
    retry
        Retry that the last send took from the retry budget, None if it took none.
    runs
        Number of targets of a plain service that may have run the request.
    failures
        Number of runs of a stream that failed since the last event for the caller.
    first_engines
        First engines of the paths on which the stream was started.
    avoided
        Ids of targets that failed or refused the request. They are tried again only
        if the request may have run, as it can't be refused then.
    failed_on
        Ids of engines that answered with an error of their own. They are never sent
        the request again.
    part_traits, request_trait
        Shared parts and fingerprint of the request by which crashes are counted, None
        until they are needed.
    probe
        Id of the probe that the call holds, None if it isn't one.
    was_sound
        True once a run of the call has written, or ended, without a crash.
    crashes
        Number of targets that ended as they began to run the call, before a run of it
        was sound.
    crash_weight
        What those crashes weigh that count against the request itself.
    crashed_s
        Monotonic time at which a target last ended as it began to run the call, 0 for
        never.
    may_have_run
        True if any target may have started the request. The caller can't be told then
        that it was not run.
    reserved_path
        Path for the next attempt, for which a send was acquired; None for none.
    send_reserved
        True if a send was acquired for the next attempt.
    progress
        Events forwarded to the caller of a stream, None before its first attempt.
    stop
        Planned stop of this instance.
    waiting_for
        What the call is waiting for, for the log: ``path``, ``retry_budget``,
        ``engine``, ``target``, or ``pause`` between two sends.
    """

    connection: CallerConnection
    request: CallerRequest
    metadata: RequestMetadata
    route: Route
    service: Service
    organisation: str | None
    version: int
    deadline_s: float
    priority: int = 0
    urgency: Urgency | None = None
    sends: int = 0
    delivered_sends: int = 0
    counted_for_budget: bool = False
    retry: Retry | None = None
    runs: int = 0
    failures: int = 0
    part_traits: tuple[Trait, ...] | None = None
    request_trait: Trait | None = None
    probe: str | None = None
    was_sound: bool = False
    crashes: int = 0
    crash_weight: int = 0
    crashed_s: float = 0.0
    may_have_run: bool = False
    avoided: set[str] = field(factory=set)
    failed_on: set[str] = field(factory=set)
    first_engines: FirstEngines = field(factory=lambda: FirstEngines(1))
    reserved_path: LayerPath | None = None
    send_reserved: bool = False
    progress: StreamProgress | None = None
    waiting_for: str = "pause"
    stop: PlannedStop = field(factory=PlannedStop)

    @property
    def left_s(self) -> float:
        """Return the seconds left until the final answer must be sent.

        A planned stop shortens them, so that a wait should look at them again at
        intervals of :data:`MAX_WAIT_S`.
        """
        begun = self.progress is not None and self.progress.started
        stop_s = self.stop.streams_end_s if begun else self.stop.answers_end_s
        return min(self.deadline_s, stop_s) - time.monotonic()

    @property
    def may_be_resumed(self) -> bool:
        """Return True if another run may go on after what the caller has."""
        continues = self.progress is None or self.progress.can_be_continued
        return is_resumable(self.route.kind) and continues

    @property
    def ramp_request(self) -> RampRequest:
        """Return the call as far as the ramp-up of targets needs to know it."""
        return RampRequest(
            self.service,
            self.route,
            float(self.metadata.prompt_tokens),
            self.may_have_run,
        )

    @contextmanager
    def waiting(self, what: str) -> Iterator[None]:
        """Set :attr:`waiting_for` during a wait.

        A cancelled wait leaves it set, for the log line of a caller that left.
        """
        before, self.waiting_for = self.waiting_for, what
        yield
        self.waiting_for = before


@define(eq=False)
class CallContext:
    """Collaborators and settings shared by all calls of one process.

    Parameters
    ----------
    configuration
        Returns the configuration in force, None before the first one is known.
    instance_count
        Returns the number of live entry instances.
    budget_instance_count
        Returns the number of entry instances that share the retry budget.
    budget_of
        Returns this instance's share of a service's retry budget.
    loans
        Borrows retries from the shares of other instances.
    permits
        Keeps the limits that engines name.
    load_knowledge
        Knows the capacity of services and the demand for them.
    domain
        Failure domain of this instance.
    stop
        Planned stop of this instance.
    ramp_up
        Ramp-up of targets that have just started, None if it is switched off.
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
    permits: EnginePermits
    load_knowledge: LoadKnowledge
    domain: str
    stop: PlannedStop = field(factory=PlannedStop)
    histograms: Histograms = field(factory=Histograms)
    ramp_up: TargetRampUp | None = None

    def record_reply(self, target: Target, metadata: ReplyMetadata) -> None:
        """Record what a target's reply states about the target."""
        self.permits.record_reply(target, metadata)
        if metadata.leaving and self.table.record_leaving(target):
            self.log.info("engine_leaves", engine=target.id, answered=True)

    def acquire_send(self, call: Call) -> bool:
        """Record another send; return False if the retry budget is used up."""
        now_s = time.monotonic()
        budget = self.budget_of(call.service.name)
        if not call.counted_for_budget:
            budget.record_request(now_s)
            call.counted_for_budget = True
        call.retry = None
        if call.delivered_sends > 0:
            call.retry = budget.acquire(
                now_s, self.budget_instance_count(), allow_borrowed=call.may_have_run
            )
        if call.delivered_sends > 0 and call.retry is None:
            return False
        call.sends += 1
        call.delivered_sends += 1
        return True

    def reserve_retry(self, call: Call) -> bool:
        """Acquire a send for the next attempt, while the last one still runs.

        Returns
        -------
        bool
            False if the retry budget is used up. The last attempt goes on then.
        """
        before, call.may_have_run = call.may_have_run, True
        call.send_reserved = self.acquire_send(call)
        if not call.send_reserved:
            call.may_have_run = before
        return call.send_reserved

    def acquire_next_send(self, call: Call) -> bool:
        """Use the reserved send if there is one, else acquire one."""
        reserved, call.send_reserved = call.send_reserved, False
        return reserved or self.acquire_send(call)

    def release_reserved_send(self, call: Call) -> None:
        """Undo :meth:`reserve_retry` if no attempt has used it."""
        if call.send_reserved:
            call.send_reserved = False
            self.release_send(call)

    async def wait_for_retry_budget(self, call: Call, until_s: float | None) -> bool:
        """Wait until the retry budget allows another send; return False if it doesn't.

        Parameters
        ----------
        until_s
            Monotonic time at which to give up. None to give up at once, as for a call
            that has not run: it is refused, and the caller retries.
        """
        if until_s is not None:
            with call.waiting("retry_budget"):
                acquired = await self.loans.wait_for_retry(call.service.name, until_s)
            if acquired:
                return True
        self.counters.add("calls.repeats_refused")
        self.log_event(
            call, "repeat_refused", sends=call.sends, **self.retry_budget_usage(call)
        )
        return False

    def release_send(self, call: Call) -> None:
        """Undo :meth:`acquire_send`, as no byte of the last send reached a target.

        Only ``call.sends`` still counts the send.
        """
        call.delivered_sends -= 1
        if call.retry is not None:
            self.budget_of(call.service.name).refund(call.retry)
            call.retry = None

    def retry_budget_usage(self, call: Call) -> dict[str, int]:
        """Return log fields on the use of this instance's retry budget."""
        instances = self.budget_instance_count()
        state = self.budget_of(call.service.name).state(time.monotonic(), instances)
        return {
            "repeats": state.retries,
            "repeats_allowed": state.allowed,
            "requests": state.requests,
            "instances": instances,
        }

    def log_end(self, call: Call, event: str, **inputs: object) -> None:
        """Log the outcome of a call together with its organisation."""
        self.log_event(
            call, event, organisation=call.organisation, sends=call.sends, **inputs
        )

    def log_event(self, call: Call, event: str, **inputs: object) -> None:
        """Log an event in the course of a call."""
        self.log.info(
            event,
            id=call.metadata.id,
            route=call.route.name,
            configuration=call.version,
            since_ms=round((time.monotonic() - call.request.arrived_s) * 1000),
            **inputs,
        )


def read_reply_metadata(
    context: CallContext, call: Call, target: Target | None, reply: Reply
) -> ReplyMetadata:
    """Return a reply's metadata, and record what it states about its target.

    Raises
    ------
    LostError
        The reply belongs to another request.
    """
    metadata = context.dialect.read_reply(reply.status, reply.headers)
    if metadata.request_id not in {None, call.metadata.id}:
        raise LostError("the reply carries the id of another request")
    if target is not None:
        context.record_reply(target, metadata)
    return metadata


def not_run_error(code: str, message: str, retry_after_s: float) -> RequestRefusedError:
    """Return the error for a request that no target has run."""
    return RequestRefusedError(
        message,
        f"Retry after {retry_after_s:g} s.",
        outcome=Outcome.NOT_RUN,
        status=503,
        code=code,
        retry_after_s=retry_after_s,
    )


def outcome_unknown_error(status: int, code: str, message: str) -> RequestRefusedError:
    """Return the error for a request that a target may have run."""
    return RequestRefusedError(
        message,
        "Query the state of the request before sending it again.",
        outcome=Outcome.UNKNOWN,
        status=status,
        code=code,
    )
