"""Plain calls: one answer from a service, with retries only where they are safe.

Idempotent kinds are retried elsewhere, bounded by attempts, deadline and the retry
budget. Others run under a claim or a ticket, and are sent again only after proof that
no byte of them reached a target.
"""

from collections.abc import Callable, Mapping, Sequence
from urllib.parse import quote

from attrs import field, frozen
from celeryfork_admission.poison import fingerprint
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import REQUEST_ID_HEADER, Outcome
from celeryfork_wire.gen.celeryfork import ttypes

from celeryfork_calls import errors
from celeryfork_calls.claim_fold import hash_body
from celeryfork_calls.claim_results import (
    Claimed,
    InProgress,
    Refused,
    Replay,
    Unresolved,
)
from celeryfork_calls.claims import ClaimBook
from celeryfork_calls.kept import KeptOutcome, kept_from_wire
from celeryfork_calls.ports import (
    ConfigurationPort,
    PoisonPort,
    RetryBudgetPort,
    RouterPort,
    ServiceKindPort,
    TargetPort,
    ViewPort,
)
from celeryfork_calls.refusals import refusal_from_kept, refusal_to_kept
from celeryfork_calls.service_client import (
    DEFAULT_CONTENT_TYPE,
    Lost,
    SendResult,
    Sent,
    ServiceClient,
    make_service_client,
)
from celeryfork_calls.ticket_text import Ticket, is_ticket
from celeryfork_calls.tickets import (
    Begun,
    TicketOffice,
    TicketReplay,
    TicketRunning,
)
from celeryfork_calls.verdicts import Answer, Elsewhere, Useless, judge

MOST_ATTEMPTS = 3
HOLDER_GONE_WAIT_S = 0.5
STATUS_CALL_TIMEOUT_S = 2.0
FORWARDED_CONTENT_TYPE = "application/json"


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
    """A target's whole answer.

    Parameters
    ----------
    replayed
        It was kept from an earlier send of the same key.
    """

    outcome: Outcome
    status: int
    content_type: str
    body: bytes = field(repr=False)
    replayed: bool = False


class PlainCaller:
    """Calls plain services; for any thread."""

    def __init__(
        self,
        router: RouterPort,
        view: ViewPort,
        claims: ClaimBook,
        tickets: TicketOffice,
        retry_budget: RetryBudgetPort,
        poison: PoisonPort,
        configuration: Callable[[], ConfigurationPort],
        clock: Clock,
        counters: Counters,
        client: ServiceClient,
    ) -> None:
        self._router = router
        self._view = view
        self._claims = claims
        self._tickets = tickets
        self._retry_budget = retry_budget
        self._poison = poison
        self._configuration = configuration
        self._clock = clock
        self._counters = counters
        self._client = client
        tickets.run_forwarded_by(self._run_forwarded)
        claims.handed_over_to(lambda kept: self.take_over([kept]))

    def call(self, call: PlainCall) -> PlainResult:
        """Make a call.

        Raises
        ------
        RequestRefusedError
            There is no target's answer; ``outcome`` says what is known.
        """
        kind = self._kind(call)
        self._poison.check(_fingerprint(call))
        try:
            if kind.idempotent:
                result = self._dispatch(call, kind)
            elif call.key is None:
                raise errors.key_needed()
            elif is_ticket(call.key):
                result = self._call_with_ticket(call, call.key, kind)
            else:
                result = self._call_with_claim(call, call.key, kind)
        except RequestRefusedError as error:
            self._counters.add(f"calls.{error.outcome}")
            raise
        self._counters.add(f"calls.{result.outcome}")
        return result

    def find(self, organisation: str, key: str, wait_s: float) -> ttypes.OutcomeReply:
        """Answer a peer that asks what became of a key or a ticket."""
        if is_ticket(key):
            return self._tickets.find(organisation, key, wait_s)
        return self._claims.find(organisation, key, wait_s)

    def take_over_wire(self, outcomes: Sequence[ttypes.KeptOutcome]) -> None:
        """Take outcomes as a peer sends them."""
        self.take_over([kept_from_wire(kept) for kept in outcomes])

    def take_over(self, outcomes: Sequence[KeptOutcome]) -> None:
        """Take outcomes that a stopping peer hands over."""
        for kept in self._tickets.on_hand_over(outcomes):
            self._claims.adopt(kept)

    def _kind(self, call: PlainCall) -> ServiceKindPort:
        service = self._configuration().services_by_name.get(call.service)
        if service is None:
            raise errors.not_configured("service", call.service)
        kind = service.kinds_by_name.get(call.kind)
        if kind is None:
            raise errors.not_configured("kind", f"{call.service}/{call.kind}")
        return kind

    # Sending

    def _dispatch(self, call: PlainCall, kind: ServiceKindPort) -> PlainResult:
        """Send a call until a target answers or it may not be sent again."""
        ends_s = min(call.deadline_s, self._clock.monotonic() + kind.timeout_s)
        avoid: frozenset[str] = frozenset()
        may_have_run = False
        verdict = Elsewhere("no attempt was made", may_have_run=False)
        for attempt in range(MOST_ATTEMPTS):
            if attempt and not self._may_retry(kind, may_have_run, ends_s):
                break
            target = self._choose(call, avoid, may_have_run)
            match self._send(call, kind, target, ends_s):
                case Answer(sent, outcome):
                    self._retry_budget.succeeded()
                    return PlainResult(
                        outcome, sent.status, sent.content_type, sent.body
                    )
                case Useless(reason):
                    raise errors.target_failed(reason)
                case Elsewhere() as verdict:
                    may_have_run = may_have_run or verdict.may_have_run
                    avoid |= {target.id}
        raise self._no_answer(verdict, may_have_run, ends_s)

    def _may_retry(
        self, kind: ServiceKindPort, may_have_run: bool, ends_s: float
    ) -> bool:
        if may_have_run and not kind.idempotent:
            return False
        if self._clock.monotonic() >= ends_s:
            return False
        if not self._retry_budget.may_retry():
            self._counters.add("calls.retry_budget_spent")
            return False
        self._counters.add("calls.retries")
        return True

    def _choose(
        self, call: PlainCall, avoid: frozenset[str], may_have_run: bool
    ) -> TargetPort:
        try:
            return self._router.choose_service(call.service, avoid)
        except RequestRefusedError as error:
            if not may_have_run:
                raise
            raise errors.target_failed("no other target is left") from error

    def _send(
        self,
        call: PlainCall,
        kind: ServiceKindPort,
        target: TargetPort,
        ends_s: float,
    ) -> Answer | Elsewhere | Useless:
        began_s = self._clock.monotonic()
        result: SendResult = Lost("the call was broken off")
        try:
            result = self._client.send(
                target.address,
                call.kind,
                _headers(call),
                call.body,
                ends_s - began_s,
                fresh=not kind.idempotent,
            )
        finally:
            seconds = self._clock.monotonic() - began_s
            self._router.release_service(target, isinstance(result, Sent), seconds)
        self._counters.add(f"calls.send_{type(result).__name__.lower()}")
        self._observe(call, target, result)
        return judge(result, kind.rejects_before_running)

    def _observe(self, call: PlainCall, target: TargetPort, result: SendResult) -> None:
        """Tell the view and the poison register what happened at the target."""
        match result:
            case Lost(timed_out=False, answer_too_large=False):
                self._poison.crashed(_fingerprint(call), target.id)

    def _no_answer(
        self, verdict: Elsewhere, may_have_run: bool, ends_s: float
    ) -> RequestRefusedError:
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        if self._clock.monotonic() >= ends_s:
            return errors.deadline_passed(outcome)
        if may_have_run:
            return errors.target_failed(verdict.reason)
        return errors.targets_busy(verdict.reason, verdict.retry_after_s)

    # Claims

    def _call_with_claim(
        self, call: PlainCall, key: str, kind: ServiceKindPort
    ) -> PlainResult:
        body_hash = hash_body(call.body)
        while True:
            match self._claims.claim(
                call.organisation, key, body_hash, call.deadline_s
            ):
                case Claimed() as claimed:
                    return self._run_claimed(call, kind, claimed)
                case Replay(kept):
                    return _replayed(kept)
                case Refused(error):
                    raise error
                case Unresolved(reason, outcome):
                    if outcome is not Outcome.UNKNOWN:
                        raise errors.answer_not_kept(outcome)
                    return self._settle(call, key, kind, errors.outcome_unknown(reason))
                case InProgress(holder):
                    self._wait_for_holder(call, key, kind, holder)

    def _run_claimed(
        self, call: PlainCall, kind: ServiceKindPort, claimed: Claimed
    ) -> PlainResult:
        now_ms = self._clock.wall_ms()
        kept = _kept(call, claimed.key, Outcome.UNKNOWN, now_ms)
        try:
            result = self._dispatch(call, kind)
            kept = _kept(call, claimed.key, result.outcome, now_ms, result)
        except RequestRefusedError as error:
            kept = _kept(call, claimed.key, error.outcome, now_ms)
            raise
        finally:
            self._claims.finish(claimed, kept)
        return result

    def _wait_for_holder(
        self, call: PlainCall, key: str, kind: ServiceKindPort, holder: str
    ) -> None:
        """Wait on the claim that holds the key; return when to look again.

        Raises
        ------
        RequestRefusedError
            Its holder can't say, or the deadline passed.
        """
        left_s = call.deadline_s - self._clock.monotonic()
        if left_s <= 0:
            raise errors.in_progress(holder)
        peer = self._tickets.peers.by_incarnation(holder)
        reply = None
        if peer is not None:
            reply = self._tickets.peers.find_outcome(
                peer, call.organisation, key, left_s
            )
        if reply is not None and reply.known and reply.kept is not None:
            self._claims.adopt(kept_from_wire(reply.kept))
            return
        if reply is not None and reply.running:
            return
        # The holder is gone, paused, or gave its claim up; then an Abandon follows.
        wait_s = min(HOLDER_GONE_WAIT_S, call.deadline_s - self._clock.monotonic())
        if not self._claims.await_change(call.organisation, key, wait_s):
            found = self._ask_status(call, key, kind)
            if found is None:
                raise errors.outcome_unknown(f"its holder {holder} does not answer")
            self._claims.settle_unknown(found)

    def _settle(
        self,
        call: PlainCall,
        key: str,
        kind: ServiceKindPort,
        unknown: RequestRefusedError,
    ) -> PlainResult:
        """Answer from the kind's status call, or say that the outcome is unknown."""
        found = self._ask_status(call, key, kind)
        if found is None:
            raise unknown
        self._claims.settle_unknown(found)
        return _replayed(found)

    def _ask_status(
        self, call: PlainCall, key: str, kind: ServiceKindPort
    ) -> KeptOutcome | None:
        """Ask the service what became of a key.

        Only a kept result settles it. That the service has none proves nothing: the
        call may still be on its way there.
        """
        left_s = call.deadline_s - self._clock.monotonic()
        if kind.status_path is None or left_s <= 0:
            return None
        path = kind.status_path.replace("{key}", quote(key, safe=""))
        began_s = self._clock.monotonic()
        try:
            target = self._router.choose_service(call.service, frozenset())
        except RequestRefusedError:
            return None
        answer: SendResult = Lost("the call was broken off")
        try:
            answer = self._client.get(
                target.address,
                path,
                _headers(call),
                min(left_s, STATUS_CALL_TIMEOUT_S),
            )
        finally:
            seconds = self._clock.monotonic() - began_s
            self._router.release_service(target, isinstance(answer, Sent), seconds)
        if not isinstance(answer, Sent) or answer.status != 200:
            return None
        self._counters.add("calls.settled_by_status")
        result = PlainResult(
            Outcome.DONE, answer.status, answer.content_type, answer.body
        )
        return _kept(call, key, Outcome.DONE, self._clock.wall_ms(), result)

    # Tickets

    def _call_with_ticket(
        self, call: PlainCall, text: str, kind: ServiceKindPort
    ) -> PlainResult:
        ticket = self._tickets.read(text, call.organisation, call.service, call.kind)
        if not self._tickets.is_mine(ticket):
            return self._forward(call, text, ticket)
        body_hash = hash_body(call.body)
        while True:
            match self._tickets.begin(ticket, text, body_hash):
                case Begun() as begun:
                    return self._run_begun(call, kind, begun)
                case TicketReplay(kept):
                    return self._replay_ticket(call, text, kind, kept)
                case TicketRunning(begun):
                    left_s = call.deadline_s - self._clock.monotonic()
                    if left_s <= 0 or not begun.ended.wait(left_s):
                        raise errors.in_progress(ticket.owner)

    def _replay_ticket(
        self, call: PlainCall, text: str, kind: ServiceKindPort, kept: KeptOutcome
    ) -> PlainResult:
        if kept.outcome is not Outcome.UNKNOWN:
            return _replayed(kept)
        found = self._ask_status(call, text, kind)
        if found is None:
            raise errors.outcome_unknown("its target gave no whole answer")
        self._tickets.settle(text, found)
        return _replayed(found)

    def _run_begun(
        self, call: PlainCall, kind: ServiceKindPort, begun: Begun
    ) -> PlainResult:
        now_ms = self._clock.wall_ms()
        kept = _kept(call, begun.text, Outcome.UNKNOWN, now_ms)
        try:
            result = self._dispatch(call, kind)
            kept = _kept(call, begun.text, result.outcome, now_ms, result)
        except RequestRefusedError as error:
            kept = _kept(call, begun.text, error.outcome, now_ms)
            raise
        finally:
            self._tickets.finish(begun, kept)
        return result

    def _forward(self, call: PlainCall, text: str, ticket: Ticket) -> PlainResult:
        left_s = call.deadline_s - self._clock.monotonic()
        if left_s <= 0:
            raise errors.deadline_passed(Outcome.NOT_RUN)
        forwarded = ttypes.TicketCall(
            ticket=text,
            organisation=call.organisation,
            service_name=call.service,
            kind=call.kind,
            body=call.body,
            deadline_ms=round(left_s * 1000),
            body_hash=hash_body(call.body),
            request_id=call.request_id,
        )
        kept = self._tickets.forward(ticket, forwarded, left_s)
        refusal = refusal_from_kept(kept)
        if refusal is not None:
            raise refusal
        if kept.outcome is Outcome.UNKNOWN:
            raise errors.outcome_unknown("there is no whole answer")
        return _replayed(kept)

    def _run_forwarded(self, forwarded: ttypes.TicketCall) -> KeptOutcome:
        """Run a ticket's call that a peer forwarded, as if its caller had come here."""
        call = PlainCall(
            request_id=forwarded.request_id or "",
            organisation=forwarded.organisation,
            service=forwarded.service_name,
            kind=forwarded.kind,
            body=bytes(forwarded.body),
            content_type=FORWARDED_CONTENT_TYPE,
            key=forwarded.ticket,
            deadline_s=self._clock.monotonic() + forwarded.deadline_ms / 1000,
        )
        now_ms = self._clock.wall_ms()
        try:
            result = self.call(call)
        except RequestRefusedError as error:
            return refusal_to_kept(error, call.organisation, forwarded.ticket, now_ms)
        return _kept(call, forwarded.ticket, result.outcome, now_ms, result)


def make_plain_caller(
    router: RouterPort,
    view: ViewPort,
    claims: ClaimBook,
    tickets: TicketOffice,
    retry_budget: RetryBudgetPort,
    poison: PoisonPort,
    configuration: Callable[[], ConfigurationPort],
    clock: Clock,
    counters: Counters,
    client: ServiceClient | None = None,
) -> PlainCaller:
    """Return a caller of plain services; make it before ``claims`` is started."""
    return PlainCaller(
        router,
        view,
        claims,
        tickets,
        retry_budget,
        poison,
        configuration,
        clock,
        counters,
        client or make_service_client(),
    )


def _headers(call: PlainCall) -> Mapping[str, str]:
    headers = {
        "Content-Type": call.content_type or DEFAULT_CONTENT_TYPE,
        REQUEST_ID_HEADER: call.request_id,
        "X-Organisation": call.organisation,
    }
    if call.key is not None:
        headers["Idempotency-Key"] = call.key
    return headers


def _fingerprint(call: PlainCall) -> str:
    return fingerprint(call.organisation, f"{call.service}/{call.kind}", call.body)


def _kept(
    call: PlainCall,
    key: str,
    outcome: Outcome,
    kept_ms: int,
    result: PlainResult | None = None,
) -> KeptOutcome:
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


def _replayed(kept: KeptOutcome) -> PlainResult:
    return PlainResult(
        kept.outcome, kept.status, kept.content_type, kept.body, replayed=True
    )
