"""Loans of retries between instances, for requests that would be lost otherwise.

Each instance has the same share of the retry budget, but the loss of an engine affects
the instances whose streams run over it. An instance whose share is used up asks a relay
of its domain (see :mod:`celeryfork_entry.roster`). The relay lends from its own share,
asks other members of the domain that have reported lendable retries, and asks a relay
of each other domain for the rest. Lenders answer the borrower directly. A lost datagram
loses retries and never creates any.
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
    MAX_LOAN_RETRIES,
    LoanScope,
    RetryLoan,
    RetryLoanRequest,
    encode_loan,
    encode_loan_request,
)
from celeryfork_entry.roster import Roster

LOAN_TTL_S = 1.0
"""Seconds after its request for which a loan may be used; the lender counts the loan
for that much longer than its own retries."""
LOAN_REQUEST_INTERVAL_S = 0.1
"""Seconds after which retries that a request didn't yield are requested again."""
LENDABLE_TTL_S = 1.0
"""Maximum age in s of a member's report of lendable retries, sent every 0.25 s."""
FIRST_NUMBER_BOUND = 1 << 31
"""Bound of the random number of an instance's first request, so that loans for an
earlier start of the instance match no request."""
MAX_LENDERS = 32
"""Maximum number of members that a relay asks for one request."""


@define
class _LoanRequest:
    """One loan request of this instance.

    Parameters
    ----------
    missing
        Retries requested and not received yet.
    lenders
        Addresses of the instances that have lent retries for it.
    """

    sent_s: float
    service: str
    missing: int
    lenders: set[str] = field(factory=set)


@define
class _Lendable:
    received_s: float
    repeats_by_service: dict[str, int]


@define(eq=False)
class BudgetLoans:
    """Borrows retries, lends them, and finds lenders if this instance is a relay.

    Parameters
    ----------
    share_of
        Returns this instance's share of a service's retry budget.
    instances
        Returns the number of instances that share the budget.
    services
        Returns the configured services.
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
    _started_s: float = field(factory=time.monotonic)
    _number: int = field(factory=lambda: randrange(FIRST_NUMBER_BOUND))
    _requests_by_number: dict[int, _LoanRequest] = field(factory=dict)
    _waiters_by_service: dict[str, deque[asyncio.Future[None]]] = field(factory=dict)
    _scheduled_services: set[str] = field(factory=set)
    _lendable_by_address: dict[str, _Lendable] = field(factory=dict)

    async def wait_for_retry(self, service: str, until_s: float) -> bool:
        """Wait until this instance's share has a retry, own or borrowed.

        Parameters
        ----------
        until_s
            Monotonic time at which to give up.

        Returns
        -------
        bool
            True if the share has a retry now, False at the timeout.
        """
        share = self._share_of(service)
        waiters = self._waiters_by_service.setdefault(service, deque())
        while not share.can_acquire(now_s := time.monotonic(), self._instances()):
            if now_s >= until_s:
                return False
            loan_received = asyncio.get_running_loop().create_future()
            waiters.append(loan_received)
            self._schedule_request(service)
            try:
                await asyncio.wait(
                    {loan_received},
                    timeout=min(LOAN_REQUEST_INTERVAL_S, until_s - now_s),
                )
            finally:
                if loan_received in waiters:
                    waiters.remove(loan_received)
        return True

    def lendable(self) -> dict[str, int]:
        """Return the retries that this instance would lend, by service."""
        now_s, instances = time.monotonic(), self._instances()
        lendable = {}
        for service in self._services():
            share = self._share_of(service)
            if self._may_lend(share, now_s) and (
                left := share.lendable(now_s, instances)
            ):
                lendable[service] = min(MAX_LOAN_RETRIES, left)
        return lendable

    def _may_lend(self, share: RetryShare, now_s: float) -> bool:
        """Return True if this instance has run for a whole window of its budget.

        An instance that has just started may have used its share before the restart,
        and knows few other instances.
        """
        return now_s - self._started_s >= share.window_s

    def record_lendable(
        self, address: str, repeats_by_service: Mapping[str, int]
    ) -> None:
        """Record the retries that a member of the domain would lend."""
        lendable = _Lendable(time.monotonic(), dict(repeats_by_service))
        self._lendable_by_address[address] = lendable

    def handle_message(self, message: RetryLoanRequest | RetryLoan) -> None:
        """Handle a loan request or a loan."""
        match message:
            case RetryLoanRequest():
                self._lend(message)
            case RetryLoan():
                self._accept_loan(message)

    def _schedule_request(self, service: str) -> None:
        """Send one loan request for all calls that wait in this turn of the loop."""
        if service not in self._scheduled_services:
            self._scheduled_services.add(service)
            asyncio.get_running_loop().call_soon(self._send_request, service)

    def _send_request(self, service: str) -> None:
        self._scheduled_services.discard(service)
        now_s = time.monotonic()
        self._requests_by_number = {
            number: request
            for number, request in self._requests_by_number.items()
            if now_s - request.sent_s <= LOAN_TTL_S
        }
        expected = sum(
            max(0, request.missing)
            for request in self._requests_by_number.values()
            if request.service == service
            and now_s - request.sent_s < LOAN_REQUEST_INTERVAL_S
        )
        wanted = min(
            MAX_LOAN_RETRIES, len(self._waiters_by_service[service]) - expected
        )
        if wanted <= 0:
            return
        self._number += 1
        self._requests_by_number[self._number] = _LoanRequest(now_s, service, wanted)
        self._counters.add("repeats.asked_for", wanted)
        request = RetryLoanRequest(
            self._roster.own.address, self._number, service, wanted, LoanScope.FLEET
        )
        if self._roster.is_relay:
            self._find_lenders(request, now_s)
            return
        relays = self._roster.live_relays(self._roster.own.domain)
        if relays:
            relay = relays[self._number % len(relays)]
            self._send(encode_loan_request(request), [relay.address])

    def _lend(self, request: RetryLoanRequest) -> None:
        """Lend own retries, and forward the request for the rest."""
        now_s, lent = time.monotonic(), 0
        if request.service in self._services():
            share = self._share_of(request.service)
            if self._may_lend(share, now_s):
                lent = share.lend(now_s, self._instances(), request.retries, LOAN_TTL_S)
        if lent:
            loan = RetryLoan(self._roster.own.address, request.number, lent)
            self._send(encode_loan(loan), [request.borrower])
            self._counters.add("repeats.lent", lent)
            self._log.info(
                "repeats_lent",
                to=request.borrower,
                service=request.service,
                wanted=request.retries,
                lent=lent,
            )
        if request.scope is not LoanScope.NOBODY and lent < request.retries:
            rest = evolve(request, retries=request.retries - lent)
            self._find_lenders(rest, now_s)

    def _find_lenders(self, request: RetryLoanRequest, now_s: float) -> None:
        """Forward a request to members with lendable retries, then to other domains."""
        service, left = request.service, request.retries
        for address, lendable in self._lenders(request, now_s):
            part = min(left, lendable.repeats_by_service[service])
            lendable.repeats_by_service[service] -= part
            left -= part
            self._forward(request, part, LoanScope.NOBODY, address)
            if not left:
                return
        if request.scope is not LoanScope.FLEET:
            return
        relays = [
            live[request.number % len(live)].address
            for domain in self._roster.domains()
            if (live := self._roster.live_relays(domain))
        ]
        for number, address in enumerate(relays):
            part = -(-left // (len(relays) - number))
            left -= part
            self._forward(request, part, LoanScope.DOMAIN, address)

    def _lenders(
        self, request: RetryLoanRequest, now_s: float
    ) -> list[tuple[str, _Lendable]]:
        """Return the members that would lend, those with the most retries first."""
        self._lendable_by_address = {
            address: lendable
            for address, lendable in self._lendable_by_address.items()
            if now_s - lendable.received_s < LENDABLE_TTL_S
        }
        lenders = [
            (address, lendable)
            for address, lendable in self._lendable_by_address.items()
            if address != request.borrower
            and lendable.repeats_by_service.get(request.service, 0) > 0
        ]
        lenders.sort(key=lambda each: -each[1].repeats_by_service[request.service])
        return lenders[:MAX_LENDERS]

    def _forward(
        self, request: RetryLoanRequest, retries: int, scope: LoanScope, address: str
    ) -> None:
        if retries:
            forwarded = evolve(request, retries=retries, scope=scope)
            self._send(encode_loan_request(forwarded), [address])

    def _accept_loan(self, loan: RetryLoan) -> None:
        request = self._requests_by_number.get(loan.number)
        now_s = time.monotonic()
        if request is None or now_s - request.sent_s > LOAN_TTL_S:
            self._counters.add("repeats.came_late", loan.retries)
            return
        if loan.lender in request.lenders:
            return
        request.lenders.add(loan.lender)
        request.missing -= loan.retries
        until_s = request.sent_s + LOAN_TTL_S
        self._share_of(request.service).borrow(loan.retries, until_s)
        self._counters.add("repeats.borrowed", loan.retries)
        self._log.info(
            "repeats_borrowed",
            lender=loan.lender,
            service=request.service,
            repeats=loan.retries,
            missing=request.missing,
            after_ms=round((now_s - request.sent_s) * 1000, 1),
        )
        waiters = self._waiters_by_service[request.service]
        for _ in range(min(loan.retries, len(waiters))):
            waiters.popleft().set_result(None)
