"""Tickets: idempotency keys minted by an instance, which run calls without the log.

A ticket belongs to its owner, the incarnation (one run of an instance's process) that
minted it. Only the owner may begin a ticket, and it remembers each ticket that it
began until after the expiry, so that a retry never runs the call again. Other
instances forward calls to the owner. Once the owner is gone, the outcome is unknown,
unless the owner handed over its outcomes when it stopped.
"""

import secrets
from collections.abc import Callable, Sequence

from attrs import frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PeerUnavailableError
from celeryfork_base.outcomes import Outcome
from celeryfork_wire.gen.celeryfork import ttypes

from celeryfork_calls import errors
from celeryfork_calls.begun_tickets import (
    BegunTicket,
    BegunTicketStore,
    TicketReplay,
    TicketRunning,
)
from celeryfork_calls.hand_over import (
    CLOSED_PREFIX,
    HandedOverOutcomes,
    closing_marker,
    split_into_chunks,
)
from celeryfork_calls.kept_outcomes import KeptOutcome, kept_from_wire
from celeryfork_calls.peer_calls import PEER_ANSWER_MARGIN_S, PeerCalls
from celeryfork_calls.ports import GossipPort, IdentityPort, PeerPoolPort, PeerViewPort
from celeryfork_calls.ticket_text import (
    Ticket,
    TicketFaultError,
    is_ticket,
    read_ticket,
    sign_ticket,
)

DEFAULT_TICKET_LIFETIME_S = 600.0
MAX_HAND_OVER_PEERS = 3
MAX_HAND_OVER_S = 4.0
MAX_PEERS_ASKED = 5
MIN_SECRET_BYTES = 16
HAND_OVER_CHUNK_BYTES = 4 * 1024 * 1024

RunForwarded = Callable[[ttypes.TicketCall], KeptOutcome]


@frozen
class HandOverReport:
    """Result of handing over the outcomes of tickets at a planned stop.

    Parameters
    ----------
    outcomes
        Number of outcomes of this instance's own tickets.
    peers
        Instances that accepted all outcomes.
    queued_for_log
        True if the outcomes were passed to ``append_to_log``.
    """

    outcomes: int
    peers: Sequence[str]
    queued_for_log: bool


class TicketManager:
    """Mints tickets, runs their calls or forwards them to the owner. Thread-safe.

    Parameters
    ----------
    secret
        Key that signs tickets; the same in the whole fleet.
    lifetime_s
        Seconds after minting in which a ticket may be begun.
    """

    def __init__(
        self,
        identity: IdentityPort,
        secret: bytes,
        peers: PeerCalls,
        clock: Clock,
        counters: Counters,
        lifetime_s: float,
    ) -> None:
        self.owner = f"{identity.instance}@{identity.incarnation}"
        self.peers = peers
        self._identity = identity
        self._secret = secret
        self._clock = clock
        self._counters = counters
        self._lifetime_s = lifetime_s
        self._begun = BegunTicketStore(self.owner, clock, counters, lifetime_s)
        self._run_forwarded: RunForwarded | None = None
        self.handed_over = HandedOverOutcomes(clock, 2 * lifetime_s)

    def set_forwarded_call_runner(self, run: RunForwarded) -> None:
        """Set the callback that runs calls which other instances forward."""
        self._run_forwarded = run

    def mint(self, organisation: str, service: str, kind: str) -> tuple[str, Ticket]:
        """Return a new ticket, as its signed text and as its fields.

        Raises
        ------
        RequestRefusedError
            This instance is stopping.
        """
        ticket = Ticket(
            owner=self.owner,
            domain=self._identity.domain,
            organisation=organisation,
            service=service,
            kind=kind,
            expires_ms=self._clock.wall_ms() + round(self._lifetime_s * 1000),
            serial=secrets.token_hex(8),
        )
        if self._begun.closed:
            raise errors.stopping()
        self._counters.add("tickets.minted")
        return sign_ticket(ticket, self._secret), ticket

    def read(self, text: str, organisation: str, service: str, kind: str) -> Ticket:
        """Return the fields of a ticket's text.

        Raises
        ------
        RequestRefusedError
            The ticket is forged, or minted for another organisation, service or kind.
        """
        try:
            ticket = read_ticket(text, self._secret)
        except TicketFaultError as error:
            self._counters.add("tickets.forged")
            raise errors.key_malformed(
                f"the ticket was refused because {error}"
            ) from error
        bound_to = (ticket.organisation, ticket.service, ticket.kind)
        if bound_to != (organisation, service, kind):
            self._counters.add("tickets.misused")
            raise errors.key_malformed(
                f"the ticket is for {ticket.service}/{ticket.kind} of its organisation"
            )
        return ticket

    def is_own(self, ticket: Ticket) -> bool:
        """Return True if this incarnation minted the ticket."""
        return ticket.owner == self.owner

    @property
    def running_count(self) -> int:
        """Number of tickets whose calls are running here."""
        return self._begun.running_count

    def begin(
        self, ticket: Ticket, text: str, body_hash: str
    ) -> BegunTicket | TicketReplay | TicketRunning:
        """Begin a ticket of this instance, at most once.

        Raises
        ------
        RequestRefusedError
            The ticket expired or was used with another body, its answer is no longer
            stored, too many tickets were begun, or this instance is stopping.
        """
        return self._begun.begin(ticket, text, body_hash)

    def finish(self, begun: BegunTicket, kept: KeptOutcome) -> None:
        """Store the outcome of a begun ticket; ``NOT_RUN`` lets it be begun again."""
        self._begun.finish(begun, kept)

    def record_resolved_outcome(self, text: str, kept: KeptOutcome) -> None:
        """Replace a ticket's unknown outcome by the one that a status call found."""
        self._begun.record_resolved_outcome(text, kept)

    def close(self) -> None:
        """Begin no more tickets; retries of begun ones are answered as before."""
        self._begun.close()

    def forward(
        self, ticket: Ticket, call: ttypes.TicketCall, timeout_s: float
    ) -> KeptOutcome:
        """Have the owner run a ticket's call, or find the outcome if it doesn't answer.

        Raises
        ------
        RequestRefusedError
            The call is in progress, the outcome is unknown, the body is another one,
            or the ticket was never begun and no longer can be.
        """
        owner = self.peers.find_by_incarnation(ticket.owner)
        if owner is not None:
            try:
                reply = self.peers.forward(
                    owner, call, timeout_s + PEER_ANSWER_MARGIN_S
                )
            except PeerUnavailableError:
                self._counters.add("tickets.forwards_failed")
            else:
                self._counters.add("tickets.forwarded")
                if reply.known and reply.kept is not None:
                    return kept_from_wire(reply.kept)
                if reply.running:
                    raise errors.in_progress(ticket.owner)
        return self._find_without_owner(ticket, call)

    def run_for_peer(self, call: ttypes.TicketCall) -> ttypes.OutcomeReply:
        """Run a ticket's call that a peer forwarded, and return its outcome."""
        if self._run_forwarded is None:
            return ttypes.OutcomeReply(known=False, running=False)
        kept = self._run_forwarded(call)
        return ttypes.OutcomeReply(known=True, running=False, kept=kept.to_wire())

    def find(self, organisation: str, key: str, wait_s: float) -> ttypes.OutcomeReply:
        """Return the outcome of a ticket, for a peer that asks for it."""
        begun = self._begun.get(key)
        if begun is not None and begun.ticket.organisation == organisation:
            ended = begun.ended.wait(wait_s)
            return _reply(begun.kept, running=not ended)
        return _reply(self._find_handed_over(organisation, key), running=False)

    def hand_over(
        self,
        wait_s: float,
        unlogged_claims: Sequence[KeptOutcome] = (),
        append_to_log: Callable[[Sequence[KeptOutcome]], object] | None = None,
    ) -> HandOverReport:
        """Close, wait for running calls, and send all outcomes to peers and the log.

        Peers also get the outcomes that others handed over to this instance, so that
        none is lost while the instances of a fleet are replaced one by one.

        Parameters
        ----------
        wait_s
            Maximum time to wait for running calls, in seconds. The outcome of a call
            that still runs then is handed over as unknown.
        unlogged_claims
            Outcomes of claims that could not be appended to the log.
        append_to_log
            Appends outcomes to the log; None to skip it, as while it is down.
        """
        self.close()
        outcomes = self._begun.outcomes(wait_s)
        marker = closing_marker(self.owner, len(outcomes), self._clock.wall_ms())
        chunks = split_into_chunks([*outcomes, marker], HAND_OVER_CHUNK_BYTES)
        other_outcomes = [*self.handed_over.all_outcomes(), *unlogged_claims]
        chunks += split_into_chunks(other_outcomes, HAND_OVER_CHUNK_BYTES)
        peers = self._send_to_peers([chunk for chunk in chunks if chunk])
        if append_to_log is not None:
            append_to_log([*outcomes, marker])
        self._counters.add("tickets.handed_over", len(outcomes))
        return HandOverReport(len(outcomes), peers, append_to_log is not None)

    def _send_to_peers(self, chunks: Sequence[Sequence[KeptOutcome]]) -> Sequence[str]:
        """Send all chunks to up to ``MAX_HAND_OVER_PEERS``; return who accepted all.

        Peers of this instance's failure domain come first.
        """
        deadline_s = self._clock.monotonic() + MAX_HAND_OVER_S
        accepted_by: list[str] = []
        for peer in self.peers.serving_nearest_first(
            self._identity.domain, self._identity.instance
        ):
            if len(accepted_by) >= MAX_HAND_OVER_PEERS:
                break
            if self._clock.monotonic() >= deadline_s:
                self._counters.add("tickets.hand_over_cut_short")
                break
            if all(self.peers.hand_over(peer, chunk) for chunk in chunks):
                accepted_by.append(peer.instance)
        return accepted_by

    def accept_handed_over(
        self, outcomes: Sequence[KeptOutcome]
    ) -> Sequence[KeptOutcome]:
        """Store a peer's outcomes of tickets; return the others, those of claims."""
        others: list[KeptOutcome] = []
        for kept in outcomes:
            owner = self._owner_of(kept.key)
            if owner is None:
                others.append(kept)
            else:
                self.handed_over.put(owner, kept)
        return others

    def dump(self) -> dict[str, object]:
        """Return the owner and the numbers of tickets, for the state dump."""
        state: dict[str, object] = {"owner": self.owner, **self._begun.dump()}
        state["handed_over"] = self.handed_over.dump()
        return state

    def _find_handed_over(self, organisation: str, key: str) -> KeptOutcome | None:
        """Return the outcome that a stopped owner handed over for a ticket.

        It is ``NOT_RUN`` if the ticket was provably never begun, None if unknown.
        """
        owner = self._owner_of(key)
        if owner is None:
            return None
        kept = self.handed_over.get(owner, organisation, key)
        if kept is None and self.handed_over.is_proven_never_begun(
            owner, organisation, key
        ):
            return self._never_begun_outcome(organisation, key)
        return kept

    def _find_without_owner(
        self, ticket: Ticket, call: ttypes.TicketCall
    ) -> KeptOutcome:
        """Find the outcome of a ticket whose owner does not answer.

        It was handed over to this instance or to another peer, or it is unknown.
        """
        kept = self._find_handed_over(ticket.organisation, call.ticket)
        candidates: Sequence[PeerViewPort] = ()
        if kept is None:
            candidates = self.peers.nearest_first(
                ticket.domain, self._identity.instance
            )
        for peer in candidates[:MAX_PEERS_ASKED]:
            reply = self.peers.find_outcome(peer, ticket.organisation, call.ticket, 0)
            if reply is not None and reply.known and reply.kept is not None:
                kept = kept_from_wire(reply.kept)
                break
        if kept is None:
            raise errors.outcome_unknown(f"its owner {ticket.owner} does not answer")
        if kept.outcome is Outcome.NOT_RUN:
            raise errors.ticket_void(ticket.owner)
        if kept.body_hash and call.body_hash and kept.body_hash != call.body_hash:
            raise errors.key_reused()
        return kept

    def _never_begun_outcome(self, organisation: str, key: str) -> KeptOutcome:
        return KeptOutcome(
            organisation=organisation,
            key=key,
            outcome=Outcome.NOT_RUN,
            status=0,
            content_type="",
            body=b"",
            body_hash="",
            kept_ms=self._clock.wall_ms(),
        )

    def _owner_of(self, key: str) -> str | None:
        """Return the incarnation of a ticket or closing marker; None for other keys."""
        if key.startswith(CLOSED_PREFIX):
            return key.removeprefix(CLOSED_PREFIX)
        if not is_ticket(key):
            return None
        try:
            return read_ticket(key, self._secret).owner
        except TicketFaultError:
            self._counters.add("tickets.handed_over_malformed")
            return None


def make_ticket_manager(
    identity: IdentityPort,
    secret: bytes,
    pool: PeerPoolPort,
    gossip: GossipPort,
    clock: Clock,
    counters: Counters,
    *,
    lifetime_s: float = DEFAULT_TICKET_LIFETIME_S,
) -> TicketManager:
    """Return a ticket manager.

    Parameters
    ----------
    secret
        Key that signs tickets; the same in the whole fleet.
    lifetime_s
        Seconds after minting in which a ticket may be begun.

    Raises
    ------
    CallSettingsError
        The secret is too short to keep tickets from being forged.
    """
    if len(secret) < MIN_SECRET_BYTES:
        raise errors.CallSettingsError(
            f"The ticket secret is shorter than {MIN_SECRET_BYTES} bytes.",
            "set ticket_secret to at least that many random bytes.",
        )
    peers = PeerCalls(pool, gossip)
    return TicketManager(identity, secret, peers, clock, counters, lifetime_s)


def _reply(kept: KeptOutcome | None, running: bool) -> ttypes.OutcomeReply:
    return ttypes.OutcomeReply(
        known=kept is not None,
        running=running,
        kept=None if kept is None else kept.to_wire(),
    )
