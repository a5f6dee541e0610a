"""The tickets that an instance began to run, and how they ended."""

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
    """A ticket that this instance began to run.

    Parameters
    ----------
    kept
        The outcome, None while it runs.
    answer_dropped
        The answer was too much to keep; a repeat is told the outcome alone.
    """

    ticket: Ticket
    text: str
    body_hash: str
    kept: KeptOutcome | None = None
    answer_dropped: bool = False
    ended: threading.Event = field(factory=threading.Event)


@frozen
class TicketReplay:
    """The ticket's call ended before, with this outcome."""

    kept: KeptOutcome


@frozen
class TicketRunning:
    """The ticket's call is running here."""

    begun: BegunTicket


class BegunTicketStore:
    """Tickets of one incarnation, each begun at most once; for any thread.

    Parameters
    ----------
    owner
        The incarnation, as text.
    kept_s
        How long a ticket is remembered after it has expired, in seconds.
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
        """Whether no ticket is begun any more."""
        return self._closed

    @property
    def running_count(self) -> int:
        """Return the number of tickets that are running here."""
        with self._lock:
            return sum(b.kept is None for b in self._begun_by_text.values())

    def begin(
        self, ticket: Ticket, text: str, body_hash: str
    ) -> BegunTicket | TicketReplay | TicketRunning:
        """Begin a ticket of this instance, at most once.

        Raises
        ------
        RequestRefusedError
            It expired, was used with another body, or this instance is stopping.
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
        """End a ticket that was begun; ``NOT_RUN`` lets it be begun again."""
        with self._lock:
            if kept.outcome is Outcome.NOT_RUN:
                del self._begun_by_text[begun.text]
            else:
                begun.kept = kept
                self._answer_bytes += len(kept.body)
                self._drop_old_answers()
        begun.ended.set()

    def settle(self, text: str, kept: KeptOutcome) -> None:
        """Keep what a status call found out about a ticket's unknown outcome."""
        with self._lock:
            begun = self._begun_by_text.get(text)
            if begun is None or begun.kept is None:
                return
            if begun.kept.outcome is Outcome.UNKNOWN:
                begun.kept = kept
                self._answer_bytes += len(kept.body)
                self._drop_old_answers()

    def get(self, text: str) -> BegunTicket | None:
        """Return a ticket that was begun."""
        with self._lock:
            return self._begun_by_text.get(text)

    def close(self) -> None:
        """Begin no ticket from now on; those begun are answered for as before."""
        with self._lock:
            self._closed = True

    def outcomes(self, wait_s: float) -> list[KeptOutcome]:
        """Return an outcome for each ticket begun, unknown for what still runs."""
        deadline_s = self._clock.monotonic() + wait_s
        with self._lock:
            begun = list(self._begun_by_text.values())
        for one in begun:
            one.ended.wait(max(0.0, deadline_s - self._clock.monotonic()))
        with self._lock:
            return [self._outcome_of(b) for b in self._begun_by_text.values()]

    def dump(self) -> dict[str, object]:
        """Return the sizes for the state dump."""
        with self._lock:
            return {
                "closed": self._closed,
                "begun": len(self._begun_by_text),
                "answer_bytes": self._answer_bytes,
            }

    def _begin_new(self, ticket: Ticket, text: str, body_hash: str) -> BegunTicket:
        """Enter a ticket as begun, under the lock."""
        if self._closed:
            raise errors.ticket_void(self._owner)
        now_ms = self._clock.wall_ms()
        if ticket.expires_ms <= now_ms:
            raise errors.ticket_expired()
        if len(self._begun_by_text) >= MAX_BEGUN_TICKETS:
            self._remove_expired(now_ms)
        if len(self._begun_by_text) >= MAX_BEGUN_TICKETS:
            raise errors.overloaded("Too many tickets were begun here.")
        begun = BegunTicket(ticket, text, body_hash)
        self._begun_by_text[text] = begun
        self._counters.add("tickets.begun")
        return begun

    def _remove_expired(self, now_ms: int) -> None:
        """Forget tickets that are refused by their expiry, with a margin."""
        kept_ms = round(self._retention_s * 1000)
        expired = [
            b
            for b in self._begun_by_text.values()
            if b.kept is not None and b.ticket.expires_ms + kept_ms < now_ms
        ]
        for begun in expired:
            del self._begun_by_text[begun.text]
            if begun.kept is not None and not begun.answer_dropped:
                self._answer_bytes -= len(begun.kept.body)

    def _drop_old_answers(self) -> None:
        """Keep the outcome but not the answer of the oldest, beyond the bound."""
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
