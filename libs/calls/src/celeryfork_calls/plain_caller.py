"""Plain calls: one request to a service and its answer, retried only where safe.

Calls of idempotent kinds are retried at other targets, limited by attempts, deadline
and the retry budget. Other calls need a key, which is either a claim in the log or a
ticket. They are sent again only after proof that they did not run.
"""

from collections.abc import Callable, Sequence

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome
from celeryfork_wire.gen.celeryfork import ttypes

from celeryfork_calls import errors
from celeryfork_calls.begun_tickets import BegunTicket, TicketReplay, TicketRunning
from celeryfork_calls.claim_fold import hash_body
from celeryfork_calls.claim_results import (
    Claimed,
    InProgress,
    Refused,
    Replay,
    Unresolved,
)
from celeryfork_calls.claims import ClaimCoordinator
from celeryfork_calls.dispatch import Dispatcher
from celeryfork_calls.kept_outcomes import KeptOutcome, kept_from_wire
from celeryfork_calls.plain_call import (
    PlainCall,
    PlainResult,
    call_fingerprint,
    make_kept_outcome,
    replay_result,
)
from celeryfork_calls.ports import (
    ConfigurationPort,
    PoisonPort,
    RetryBudgetPort,
    RouterPort,
    ServiceKindPort,
    ViewPort,
)
from celeryfork_calls.refusal_codec import refusal_from_kept, refusal_to_kept
from celeryfork_calls.service_client import ServiceClient, make_service_client
from celeryfork_calls.ticket_text import Ticket, is_ticket
from celeryfork_calls.tickets import TicketManager

__all__ = ["PlainCall", "PlainCaller", "PlainResult", "make_plain_caller"]

# Seconds to wait for a log record about a claim whose holder gave no outcome.
CLAIM_CHANGE_WAIT_S = 0.5
DEFAULT_FORWARDED_CONTENT_TYPE = "application/json"


class PlainCaller:
    """Makes calls of plain services. Thread-safe."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        claims: ClaimCoordinator,
        tickets: TicketManager,
        poison: PoisonPort,
        configuration: Callable[[], ConfigurationPort],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._dispatcher = dispatcher
        self._claims = claims
        self._tickets = tickets
        self._poison = poison
        self._configuration = configuration
        self._clock = clock
        self._counters = counters
        tickets.set_forwarded_call_runner(self._run_forwarded)
        claims.set_handed_over_callback(lambda kept: self.accept_outcomes([kept]))

    def call(self, call: PlainCall) -> PlainResult:
        """Make a call.

        Raises
        ------
        RequestRefusedError
            There is no answer from a target; ``outcome`` tells if the call ran, if
            known.
        """
        kind = self._find_kind(call)
        try:
            if kind.idempotent:
                self._poison.check(call_fingerprint(call))
                result = self._dispatcher.run(call, kind)
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
        """Return the outcome of a key or a ticket, for a peer that asks for it."""
        if is_ticket(key):
            return self._tickets.find(organisation, key, wait_s)
        return self._claims.find(organisation, key, wait_s)

    def accept_wire_outcomes(self, outcomes: Sequence[ttypes.KeptOutcome]) -> None:
        """Store outcomes that a stopping peer hands over, in their wire format."""
        self.accept_outcomes([kept_from_wire(kept) for kept in outcomes])

    def accept_outcomes(self, outcomes: Sequence[KeptOutcome]) -> None:
        """Store outcomes that a stopping peer hands over."""
        for kept in self._tickets.accept_handed_over(outcomes):
            # The outcome of a claim that the peer could not log; this instance may be
            # able to.
            self._claims.record_resolved_outcome(kept)

    def _find_kind(self, call: PlainCall) -> ServiceKindPort:
        service = self._configuration().services_by_name.get(call.service)
        if service is None:
            raise errors.not_configured("service", call.service)
        kind = service.kinds_by_name.get(call.kind)
        if kind is None:
            raise errors.not_configured("kind", f"{call.service}/{call.kind}")
        return kind

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
                    return replay_result(kept)
                case Refused(error):
                    raise error
                case Unresolved() as unresolved:
                    return self._resolve(call, key, kind, unresolved)
                case InProgress(holder):
                    found = self._wait_for_holder(call, key, kind, holder)
                    if found is not None:
                        return replay_result(found)

    def _run_claimed(
        self, call: PlainCall, kind: ServiceKindPort, claimed: Claimed
    ) -> PlainResult:
        now_ms = self._clock.wall_ms()
        not_run = make_kept_outcome(call, claimed.key, Outcome.NOT_RUN, now_ms)
        self._check_poison(call, lambda: self._claims.finish(claimed, not_run))
        kept = make_kept_outcome(call, claimed.key, Outcome.UNKNOWN, now_ms)
        try:
            result = self._dispatcher.run(call, kind)
            kept = make_kept_outcome(call, claimed.key, result.outcome, now_ms, result)
        except RequestRefusedError as error:
            kept = make_kept_outcome(call, claimed.key, error.outcome, now_ms)
            raise
        finally:
            self._claims.finish(claimed, kept)
        return result

    def _check_poison(self, call: PlainCall, release_key: Callable[[], None]) -> None:
        """Refuse a call that crashes its targets, and release its unused key."""
        try:
            self._poison.check(call_fingerprint(call))
        except RequestRefusedError as error:
            release_key()
            raise errors.poison_not_run(error) from error

    def _wait_for_holder(
        self, call: PlainCall, key: str, kind: ServiceKindPort, holder: str
    ) -> KeptOutcome | None:
        """Wait for the outcome of the call whose claim holds the key.

        Returns
        -------
        KeptOutcome or None
            None if the outcome is still unknown, so that the key has to be claimed
            again.

        Raises
        ------
        RequestRefusedError
            The holder doesn't know the outcome, or the deadline passed.
        """
        remaining_s = call.deadline_s - self._clock.monotonic()
        if remaining_s <= 0:
            raise errors.in_progress(holder)
        reply = self._ask_holder(call, key, holder, remaining_s)
        if reply is not None and (reply.running or reply.kept is not None):
            return self._store_reply_outcome(reply)
        # The holder is gone or paused, or it gave up its claim. In the last case an
        # Abandon record follows in the log.
        wait_s = min(CLAIM_CHANGE_WAIT_S, call.deadline_s - self._clock.monotonic())
        if self._claims.wait_for_change(call.organisation, key, wait_s):
            return None
        found = self._dispatcher.query_status(call, key, kind)
        if found is None:
            raise errors.outcome_unknown(
                f"the instance {holder} that claimed the key does not answer"
            )
        self._claims.record_resolved_outcome(found)
        return found

    def _ask_holder(
        self, call: PlainCall, key: str, holder: str, wait_s: float
    ) -> ttypes.OutcomeReply | None:
        peers = self._tickets.peers
        peer = peers.find_by_incarnation(holder)
        if peer is None:
            return None
        return peers.find_outcome(peer, call.organisation, key, wait_s)

    def _store_reply_outcome(self, reply: ttypes.OutcomeReply) -> KeptOutcome | None:
        """Store the outcome in a holder's reply; None if the reply has no known one."""
        if reply.kept is None:
            return None
        kept = kept_from_wire(reply.kept)
        self._claims.store_peer_outcome(kept)
        return None if kept.outcome is Outcome.UNKNOWN else kept

    def _resolve(
        self, call: PlainCall, key: str, kind: ServiceKindPort, unresolved: Unresolved
    ) -> PlainResult:
        """Get the outcome from the holder or the status call, else raise its error."""
        if unresolved.holder is not None:
            reply = self._ask_holder(call, key, unresolved.holder, 0.0)
            found = None if reply is None else self._store_reply_outcome(reply)
            if found is not None:
                return replay_result(found)
        if unresolved.outcome is not Outcome.UNKNOWN:
            raise errors.answer_not_kept(unresolved.outcome)
        found = self._dispatcher.query_status(call, key, kind)
        if found is None:
            raise errors.outcome_unknown(unresolved.reason)
        self._claims.record_resolved_outcome(found)
        return replay_result(found)

    # Tickets

    def _call_with_ticket(
        self, call: PlainCall, text: str, kind: ServiceKindPort
    ) -> PlainResult:
        ticket = self._tickets.read(text, call.organisation, call.service, call.kind)
        if not self._tickets.is_own(ticket):
            return self._forward_to_owner(call, text, ticket)
        body_hash = hash_body(call.body)
        while True:
            match self._tickets.begin(ticket, text, body_hash):
                case BegunTicket() as begun:
                    return self._run_ticket(call, kind, begun)
                case TicketReplay(kept):
                    return self._replay_ticket(call, text, kind, kept)
                case TicketRunning(begun):
                    remaining_s = call.deadline_s - self._clock.monotonic()
                    if remaining_s <= 0 or not begun.ended.wait(remaining_s):
                        raise errors.in_progress(ticket.owner)

    def _replay_ticket(
        self, call: PlainCall, text: str, kind: ServiceKindPort, kept: KeptOutcome
    ) -> PlainResult:
        if kept.outcome is not Outcome.UNKNOWN:
            return replay_result(kept)
        found = self._dispatcher.query_status(call, text, kind)
        if found is None:
            raise errors.outcome_unknown("its target gave no complete answer")
        self._tickets.record_resolved_outcome(text, found)
        return replay_result(found)

    def _run_ticket(
        self, call: PlainCall, kind: ServiceKindPort, begun: BegunTicket
    ) -> PlainResult:
        now_ms = self._clock.wall_ms()
        not_run = make_kept_outcome(call, begun.text, Outcome.NOT_RUN, now_ms)
        self._check_poison(call, lambda: self._tickets.finish(begun, not_run))
        kept = make_kept_outcome(call, begun.text, Outcome.UNKNOWN, now_ms)
        try:
            result = self._dispatcher.run(call, kind)
            kept = make_kept_outcome(call, begun.text, result.outcome, now_ms, result)
        except RequestRefusedError as error:
            kept = make_kept_outcome(call, begun.text, error.outcome, now_ms)
            raise
        finally:
            self._tickets.finish(begun, kept)
        return result

    def _forward_to_owner(
        self, call: PlainCall, text: str, ticket: Ticket
    ) -> PlainResult:
        remaining_s = call.deadline_s - self._clock.monotonic()
        if remaining_s <= 0:
            raise errors.deadline_passed(Outcome.NOT_RUN)
        forwarded = ttypes.TicketCall(
            ticket=text,
            organisation=call.organisation,
            service_name=call.service,
            kind=call.kind,
            body=call.body,
            deadline_ms=round(remaining_s * 1000),
            body_hash=hash_body(call.body),
            request_id=call.request_id,
            content_type=call.content_type,
        )
        kept = self._tickets.forward(ticket, forwarded, remaining_s)
        refusal = refusal_from_kept(kept)
        if refusal is not None:
            raise refusal
        if kept.outcome is Outcome.UNKNOWN:
            raise errors.outcome_unknown("there is no complete answer")
        return replay_result(kept)

    def _run_forwarded(self, forwarded: ttypes.TicketCall) -> KeptOutcome:
        """Run a ticket's call that a peer forwarded, as a call received here."""
        call = PlainCall(
            request_id=forwarded.request_id or "",
            organisation=forwarded.organisation,
            service=forwarded.service_name,
            kind=forwarded.kind,
            body=bytes(forwarded.body),
            content_type=forwarded.content_type or DEFAULT_FORWARDED_CONTENT_TYPE,
            key=forwarded.ticket,
            deadline_s=self._clock.monotonic() + forwarded.deadline_ms / 1000,
        )
        now_ms = self._clock.wall_ms()
        try:
            result = self.call(call)
        except RequestRefusedError as error:
            return refusal_to_kept(error, call.organisation, forwarded.ticket, now_ms)
        return make_kept_outcome(call, forwarded.ticket, result.outcome, now_ms, result)


def make_plain_caller(
    router: RouterPort,
    view: ViewPort,
    claims: ClaimCoordinator,
    tickets: TicketManager,
    retry_budget: RetryBudgetPort,
    poison: PoisonPort,
    configuration: Callable[[], ConfigurationPort],
    clock: Clock,
    counters: Counters,
    client: ServiceClient | None = None,
) -> PlainCaller:
    """Return a caller of plain services; create it before ``claims`` is started."""
    dispatcher = Dispatcher(
        router,
        view,
        client or make_service_client(),
        retry_budget,
        poison,
        configuration,
        clock,
        counters,
    )
    return PlainCaller(
        dispatcher, claims, tickets, poison, configuration, clock, counters
    )
