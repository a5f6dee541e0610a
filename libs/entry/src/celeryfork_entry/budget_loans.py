"""Repeats lent between instances, for requests that would be lost without them.

Each instance has the same share of the retry budget, but the loss of an engine strikes
those whose streams run over it. An instance whose share is spent asks a relay of its
domain; the relay lends of its own share, asks members that have some to spare, and a
relay of each other domain for the rest. Lenders answer the borrower. A lost datagram
loses repeats and never makes any.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from random import randrange

from attrs import define, evolve, field
from celeryfork_admission.retry_share import RetryShare
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.peer_messages import (
    MOST_REPEATS,
    Reach,
    RetryLoan,
    RetryLoanRequest,
    encode_lent,
    encode_wanted,
)
from celeryfork_entry.roster import Roster

LOAN_LIFE_S = 1.0
"""Time from its question in which a loan may be used; its lender counts it that much
longer."""
ASK_PAUSE_S = 0.1
"""Time after which what a question didn't bring is asked for again."""
SPARE_LIFE_S = 1.0
"""Age to which a member's word of its spare repeats counts; it reports each 0.25 s."""
MOST_FIRST_NUMBER = 1 << 31
"""Bound of an instance's first question's number, which is drawn: loans for an earlier
start of it answer none."""
MOST_LENDERS = 32
"""Most members that a relay asks on behalf of one question."""


@define
class _Question:
    """One question of this instance.

    Parameters
    ----------
    missing
        Repeats that it has not brought yet.
    lenders
        Addresses that have answered it.
    """

    asked_s: float
    service: str
    missing: int
    lenders: set[str] = field(factory=set)


@define
class _Spare:
    heard_s: float
    repeats_by_service: dict[str, int]


@define(eq=False)
class BudgetLoans:
    """Asks for repeats, lends them, and finds lenders where this instance relays.

    Parameters
    ----------
    share_of
        Gives this instance's share of a service's retry budget.
    instances
        Gives the number of instances that share it.
    services
        Gives the services that are configured.
    send
        Sends a datagram to addresses.
    """

    _roster: Roster
    _share_of: Callable[[str], RetryShare]
    _instances: Callable[[], int]
    _services: Callable[[], Iterable[str]]
    _send: Callable[[bytes, Iterable[str]], None]
    _log: Logger
    _counters: Counters
    _begun_s: float = field(factory=time.monotonic)
    _number: int = field(factory=lambda: randrange(MOST_FIRST_NUMBER))
    _questions_by_number: dict[int, _Question] = field(factory=dict)
    _waiters_by_service: dict[str, deque[asyncio.Future[None]]] = field(factory=dict)
    _to_ask: set[str] = field(factory=set)
    _spare_by_address: dict[str, _Spare] = field(factory=dict)

    async def wait_for_retry(self, service: str, until_s: float) -> bool:
        """Wait until the own share has a repeat, lent ones among them.

        Parameters
        ----------
        until_s
            Steady time at which to give up.

        Returns
        -------
        bool
            Whether it has one now.
        """
        share = self._share_of(service)
        waiters = self._waiters_by_service.setdefault(service, deque())
        while not share.can_acquire(now_s := time.monotonic(), self._instances()):
            if now_s >= until_s:
                return False
            lent = asyncio.get_running_loop().create_future()
            waiters.append(lent)
            self._ask_soon(service)
            try:
                await asyncio.wait({lent}, timeout=min(ASK_PAUSE_S, until_s - now_s))
            finally:
                if lent in waiters:
                    waiters.remove(lent)
        return True

    def spare(self) -> dict[str, int]:
        """Return the repeats that this instance would lend, by service."""
        now_s, instances = time.monotonic(), self._instances()
        spare = {}
        for service in self._services():
            share = self._share_of(service)
            if self._may_lend(share, now_s) and (
                left := share.lendable(now_s, instances)
            ):
                spare[service] = min(MOST_REPEATS, left)
        return spare

    def _may_lend(self, share: RetryShare, now_s: float) -> bool:
        """Return whether the share knows all that this instance used in its window.

        One that has just started may have used its part before, and knows few others.
        """
        return now_s - self._begun_s >= share.window_s

    def heard_spare(self, address: str, repeats_by_service: Mapping[str, int]) -> None:
        """Take what a member of the domain would lend."""
        spare = _Spare(time.monotonic(), dict(repeats_by_service))
        self._spare_by_address[address] = spare

    def heard(self, message: RetryLoanRequest | RetryLoan) -> None:
        """Take a question for repeats, or a loan."""
        match message:
            case RetryLoanRequest():
                self._answer(message)
            case RetryLoan():
                self._take(message)

    def _ask_soon(self, service: str) -> None:
        """Ask once for all requests that find the share spent at one moment."""
        if service not in self._to_ask:
            self._to_ask.add(service)
            asyncio.get_running_loop().call_soon(self._ask, service)

    def _ask(self, service: str) -> None:
        self._to_ask.discard(service)
        now_s = time.monotonic()
        self._questions_by_number = {
            number: question
            for number, question in self._questions_by_number.items()
            if now_s - question.asked_s <= LOAN_LIFE_S
        }
        coming = sum(
            max(0, question.missing)
            for question in self._questions_by_number.values()
            if question.service == service and now_s - question.asked_s < ASK_PAUSE_S
        )
        wanted = min(MOST_REPEATS, len(self._waiters_by_service[service]) - coming)
        if wanted <= 0:
            return
        self._number += 1
        self._questions_by_number[self._number] = _Question(now_s, service, wanted)
        self._counters.add("repeats.asked_for", wanted)
        question = RetryLoanRequest(
            self._roster.own.address, self._number, service, wanted, Reach.FLEET
        )
        if self._roster.is_relay:
            self._find_lenders(question, now_s)
            return
        relays = self._roster.live_relays(self._roster.own.domain)
        if relays:
            relay = relays[self._number % len(relays)]
            self._send(encode_wanted(question), [relay.address])

    def _answer(self, question: RetryLoanRequest) -> None:
        now_s, lent = time.monotonic(), 0
        if question.service in self._services():
            share = self._share_of(question.service)
            if self._may_lend(share, now_s):
                lent = share.lend(
                    now_s, self._instances(), question.repeats, LOAN_LIFE_S
                )
        if lent:
            loan = RetryLoan(self._roster.own.address, question.number, lent)
            self._send(encode_lent(loan), [question.borrower])
            self._counters.add("repeats.lent", lent)
            self._log.info(
                "repeats_lent",
                to=question.borrower,
                service=question.service,
                wanted=question.repeats,
                lent=lent,
            )
        if question.reach is not Reach.NOBODY and lent < question.repeats:
            left = evolve(question, repeats=question.repeats - lent)
            self._find_lenders(left, now_s)

    def _find_lenders(self, question: RetryLoanRequest, now_s: float) -> None:
        """Ask members with repeats to spare, then relays of other domains."""
        service, left = question.service, question.repeats
        for address, spare in self._lenders(question, now_s):
            asked = min(left, spare.repeats_by_service[service])
            spare.repeats_by_service[service] -= asked
            left -= asked
            self._pass_on(question, asked, Reach.NOBODY, address)
            if not left:
                return
        if question.reach is not Reach.FLEET:
            return
        relays = [
            heard[question.number % len(heard)].address
            for domain in self._roster.domains()
            if (heard := self._roster.live_relays(domain))
        ]
        for number, address in enumerate(relays):
            part = -(-left // (len(relays) - number))
            left -= part
            self._pass_on(question, part, Reach.DOMAIN, address)

    def _lenders(
        self, question: RetryLoanRequest, now_s: float
    ) -> list[tuple[str, _Spare]]:
        """Return the members that would lend, those with most to spare first."""
        self._spare_by_address = {
            address: spare
            for address, spare in self._spare_by_address.items()
            if now_s - spare.heard_s < SPARE_LIFE_S
        }
        lenders = [
            (address, spare)
            for address, spare in self._spare_by_address.items()
            if address != question.borrower
            and spare.repeats_by_service.get(question.service, 0) > 0
        ]
        lenders.sort(key=lambda each: -each[1].repeats_by_service[question.service])
        return lenders[:MOST_LENDERS]

    def _pass_on(
        self, question: RetryLoanRequest, repeats: int, reach: Reach, address: str
    ) -> None:
        if repeats:
            passed_on = evolve(question, repeats=repeats, reach=reach)
            self._send(encode_wanted(passed_on), [address])

    def _take(self, loan: RetryLoan) -> None:
        question = self._questions_by_number.get(loan.number)
        now_s = time.monotonic()
        if question is None or now_s - question.asked_s > LOAN_LIFE_S:
            self._counters.add("repeats.came_late", loan.repeats)
            return
        if loan.lender in question.lenders:
            return
        question.lenders.add(loan.lender)
        question.missing -= loan.repeats
        until_s = question.asked_s + LOAN_LIFE_S
        self._share_of(question.service).borrow(loan.repeats, until_s)
        self._counters.add("repeats.borrowed", loan.repeats)
        self._log.info(
            "repeats_borrowed",
            lender=loan.lender,
            service=question.service,
            repeats=loan.repeats,
            missing=question.missing,
            after_ms=round((now_s - question.asked_s) * 1000, 1),
        )
        waiters = self._waiters_by_service[question.service]
        for _ in range(min(loan.repeats, len(waiters))):
            waiters.popleft().set_result(None)
