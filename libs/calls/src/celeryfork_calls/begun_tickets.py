"""Tickets that an instance began, with the outcomes of their calls.

A ticket is begun when the call that carries it is accepted to run.
"""

import threading

from attrs import define, field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.outcomes import Outcome

from celeryfork_calls import errors
from celeryfork_calls.kept_outcomes import KeptOutcome
from celeryfork_calls.ticket_text import Ticket

MAX_BEGUN_TICKETS = 50_000
MAX_KEPT_ANSWER_BYTES = 64 * 1024 * 1024


@define(eq=False)
class BegunTicket:
    """A ticket whose call this instance began to run.

    Parameters
    ----------
    kept
        The call's outcome, None while it runs.
    answer_dropped
        True if the answer was dropped to limit memory; a retry gets an error with
        the outcome alone.
    ended
        Set when the call ended.
    """

    ticket: Ticket
    text: str
    body_hash: str
    kept: KeptOutcome | None = None
    answer_dropped: bool = False
    ended: threading.Event = field(factory=threading.Event)


@frozen
class TicketReplay:
    """The ticket's call has already ended, with this outcome."""

    kept: KeptOutcome


@frozen
class TicketRunning:
    """The ticket's call is already running here."""

    begun: BegunTicket


class BegunTicketStore:
    """Begun tickets of one incarnation, each begun at most once. Thread-safe.

    Parameters
    ----------
    owner
        The incarnation, as ``instance@started_ms``.
    retention_s
        Minimum seconds for which an ended ticket is remembered after its expiry.
    """

    def __init__(
        self, owner: str, clock: Clock, counters: Counters, retention_s: float
    ) -> None:
        self._owner = owner
        self._clock = clock
        self._counters = counters
        self._retention_s = retention_s
        self._lock = threading.Lock()
        self._begun_by_text: dict[str, BegunTicket] = {}
        self._answer_bytes = 0
        self._closed = False

    @property
    def closed(self) -> bool:
        """True once no more tickets are begun."""
        return self._closed

    @property
    def running_count(self) -> int:
        """Number of tickets whose calls are running here."""
        with self._lock:
            return sum(b.kept is None for b in self._begun_by_text.values())

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
        with self._lock:
            begun = self._begun_by_text.get(text)
            if begun is None:
                return self._begin_new(ticket, text, body_hash)
            if begun.body_hash != body_hash:
                raise errors.key_reused()
            if begun.kept is None:
                return TicketRunning(begun)
            if begun.answer_dropped:
                raise errors.answer_not_kept(begun.kept.outcome)
            return TicketReplay(begun.kept)

    def finish(self, begun: BegunTicket, kept: KeptOutcome) -> None:
        """Store the outcome of a begun ticket; ``NOT_RUN`` lets it be begun again."""
        with self._lock:
            if kept.outcome is Outcome.NOT_RUN:
                del self._begun_by_text[begun.text]
            else:
                begun.kept = kept
                self._answer_bytes += len(kept.body)
                self._drop_old_answers()
        begun.ended.set()

    def record_resolved_outcome(self, text: str, kept: KeptOutcome) -> None:
        """Replace a ticket's unknown outcome by the one that a status call found."""
        with self._lock:
            begun = self._begun_by_text.get(text)
            if begun is None or begun.kept is None:
                return
            if begun.kept.outcome is Outcome.UNKNOWN:
                begun.kept = kept
                self._answer_bytes += len(kept.body)
                self._drop_old_answers()

    def get(self, text: str) -> BegunTicket | None:
        """Return a begun ticket, None if it was not begun or is forgotten."""
        with self._lock:
            return self._begun_by_text.get(text)

    def close(self) -> None:
        """Begin no more tickets; retries of begun ones are answered as before."""
        with self._lock:
            self._closed = True

    def outcomes(self, wait_s: float) -> list[KeptOutcome]:
        """Return the outcome of each begun ticket.

        The outcome is unknown for a call that still runs after ``wait_s`` seconds,
        or whose answer was dropped.
        """
        deadline_s = self._clock.monotonic() + wait_s
        with self._lock:
            begun = list(self._begun_by_text.values())
        for ticket in begun:
            ticket.ended.wait(max(0.0, deadline_s - self._clock.monotonic()))
        with self._lock:
            return [self._outcome_of(b) for b in self._begun_by_text.values()]

    def dump(self) -> dict[str, object]:
        """Return the number of tickets and bytes of answers, for the state dump."""
        with self._lock:
            return {
                "closed": self._closed,
                "begun": len(self._begun_by_text),
                "answer_bytes": self._answer_bytes,
            }

    def _begin_new(self, ticket: Ticket, text: str, body_hash: str) -> BegunTicket:
        """Record a ticket as begun. The caller holds the lock."""
        if self._closed:
            raise errors.ticket_void(self._owner)
        now_ms = self._clock.wall_ms()
        if ticket.expires_ms <= now_ms:
            raise errors.ticket_expired()
        if len(self._begun_by_text) >= MAX_BEGUN_TICKETS:
            self._remove_expired(now_ms)
        if len(self._begun_by_text) >= MAX_BEGUN_TICKETS:
            raise errors.overloaded("This instance holds too many begun tickets.")
        begun = BegunTicket(ticket, text, body_hash)
        self._begun_by_text[text] = begun
        self._counters.add("tickets.begun")
        return begun

    def _remove_expired(self, now_ms: int) -> None:
        """Remove ended tickets that expired more than the retention time ago.

        Retries with them are refused by their expiry.
        """
        retention_ms = round(self._retention_s * 1000)
        expired = [
            b
            for b in self._begun_by_text.values()
            if b.kept is not None and b.ticket.expires_ms + retention_ms < now_ms
        ]
        for begun in expired:
            del self._begun_by_text[begun.text]
            if begun.kept is not None and not begun.answer_dropped:
                self._answer_bytes -= len(begun.kept.body)

    def _drop_old_answers(self) -> None:
        """Drop the oldest answers, but not their outcomes, if all exceed the limit.

        Answers are dropped until half of the limit is in use.
        """
        if self._answer_bytes <= MAX_KEPT_ANSWER_BYTES:
            return
        for begun in self._begun_by_text.values():
            if begun.kept is None or begun.answer_dropped or not begun.kept.body:
                continue
            self._answer_bytes -= len(begun.kept.body)
            begun.kept = begun.kept.without_body()
            begun.answer_dropped = True
            self._counters.add("tickets.answers_dropped")
            if self._answer_bytes <= MAX_KEPT_ANSWER_BYTES // 2:
                return

    def _outcome_of(self, begun: BegunTicket) -> KeptOutcome:
        kept = begun.kept
        if kept is not None and not begun.answer_dropped:
            return kept
        return KeptOutcome(
            organisation=begun.ticket.organisation,
            key=begun.text,
            outcome=Outcome.UNKNOWN,
            status=0,
            content_type="",
            body=b"",
            body_hash=begun.body_hash,
            kept_ms=self._clock.wall_ms(),
        )
