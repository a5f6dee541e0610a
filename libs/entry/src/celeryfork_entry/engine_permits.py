"""Permits for requests to engines that name a limit for all instances.

The lead relay of an engine's domain (see :mod:`celeryfork_entry.roster`) issues them;
it is asked directly or through a relay of the asker's domain, when a call has chosen an
engine. An issuer that reaches only part of the instances issues only their part. An
instance that gets no answer has its own share. A lost datagram loses permits and never
creates any.
"""

import asyncio
import time
from collections.abc import Callable, Container, Iterable
from math import inf
from random import random, randrange

from attrs import define, evolve, field
from celeryfork_admission.buckets import TokenBucket
from celeryfork_admission.rate_issuer import Issued, RateIssuer
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.engine_limits import EngineLimit
from celeryfork_entry.permit_messages import (
    MAX_FORWARDS,
    MAX_PERMITS,
    MAX_WAIT_S,
    PermitGrant,
    PermitRequest,
    encode_permit_grant,
    encode_permit_request,
)
from celeryfork_entry.ports import ReplyMetadata
from celeryfork_entry.roster import Roster
from celeryfork_entry.targets import Target, TargetTable

ANSWER_TIMEOUT_S = 0.06
"""Timeout in seconds for permits: two exchanges over links between domains, and the
turns of three busy event loops."""
PERMIT_TTL_S = 0.2
"""Seconds for which a permit may be used after it was asked for."""
CHECK_INTERVAL_S = 1.0
"""Age in seconds of a limit at which its engine is asked if the limit holds."""
MAX_PAUSE_S = 1.0
"""Maximum seconds before an engine's issuer is asked again, as the limit may change."""
UNANSWERED_PAUSE_S = 0.1
"""Seconds before an issuer that didn't answer is asked again."""
FIRST_NUMBER_BOUND = 1 << 31
"""Bound of the random number of an instance's first request, so that answers to an
earlier start of the instance match no request."""
ROUTE_TTL_S = 0.05
"""Seconds for which an issuer is remembered: ranking the relays of a large domain takes
longer than all else about a request for permits."""
MIN_PAUSE_S = 0.02
"""Minimum seconds before an issuer is asked again after it had too few permits."""


@define(eq=False)
class _Ask:
    """A request for permits of this instance, with the calls that wait for them."""

    engine_id: str
    sent_s: float
    waiters: list[asyncio.Future[bool]]


@define
class _Supply:
    """What this instance knows of the permits of one limited engine.

    Parameters
    ----------
    own_share
        Permits of this instance's own share since the issuer has ceased to answer, None
        while it answers. It begins below 0, by an amount that differs between
        instances, so that they don't use their shares all at once.
    next_s
        Time at which the issuer expects to have the next permit.
    ask_again_s
        Time before which no permits are asked for.
    spare
        Permits that no call waited for.
    spare_until_s
        Time until which they may be used.
    waiters
        Calls that ask in this turn of the event loop.
    """

    own_share: TokenBucket | None = None
    next_s: float = 0.0
    ask_again_s: float = 0.0
    spare: int = 0
    spare_until_s: float = 0.0
    waiters: list[asyncio.Future[bool]] = field(factory=list)


@define(eq=False)
class EnginePermits:
    """Obtains permits for this instance's requests, and issues permits as a lead relay.

    Parameters
    ----------
    fleet_size
        Returns the number of instances that the limits are for, reachable or not.
    send
        Sends a datagram to addresses.
    reached
        Share of the instances that this one counts as live.
    on_old_limit
        Called with an engine for which permits are asked, and that hasn't told for
        longer than ``CHECK_INTERVAL_S`` whether its limit holds.
    """

    _table: TargetTable
    _roster: Roster
    _fleet_size: Callable[[], int]
    _send: Callable[[bytes, Iterable[str]], None]
    _log: Logger
    _counters: Counters
    on_old_limit: Callable[[Target], None] = lambda target: None
    _issuer: RateIssuer = field(factory=RateIssuer)
    _number: int = field(factory=lambda: randrange(FIRST_NUMBER_BOUND))
    _supply_by_engine: dict[str, _Supply] = field(factory=dict)
    _ask_by_number: dict[int, _Ask] = field(factory=dict)
    _routed_s: float = 0.0
    _relay_by_domain: dict[str, list[str] | None] = field(factory=dict)
    _reached: float = 1.0

    def record_reply(self, target: Target, metadata: ReplyMetadata) -> None:
        """Record what a target's reply states about its limit."""
        if metadata.limit_per_s is not None:
            now_s = time.monotonic()
            limit = EngineLimit(metadata.limit_per_s, target.born_ms, now_s, own=True)
            self.record_limit(target.id, limit)

    def record_limit(self, engine_id: str, limit: EngineLimit) -> None:
        """Record a limit that an engine named to this instance or to a peer."""
        if self._table.record_limit(engine_id, limit):
            self._log.info(
                "engine_limit",
                engine=engine_id,
                per_s=limit.per_s if limit.limited else None,
                own=limit.own,
            )

    def record_send(self, target: Target) -> None:
        """Count a request that is sent to a target that names a limit."""
        if self.is_limited(target.id):
            self._counters.add("engines.sent_under_limit")

    def is_limited(self, engine_id: str) -> bool:
        """Return True if an engine names a limit."""
        return self._table.limits.limit(engine_id) is not None

    def limited(self) -> frozenset[str]:
        """Return the ids of all engines that name a limit."""
        return self._table.limits.limited_ids()

    def unavailable(self, now_s: float) -> frozenset[str]:
        """Return the ids of limited engines for which no permit is to be had now."""
        for engine_id in list(self._supply_by_engine):
            if not self.is_limited(engine_id):
                del self._supply_by_engine[engine_id]
        return frozenset(
            engine_id
            for engine_id, supply in self._supply_by_engine.items()
            if now_s < supply.ask_again_s
            and not (supply.spare and now_s < supply.spare_until_s)
        )

    def next_permit_s(self, engine_ids: Container[str]) -> float:
        """Return the time of the next permit for one of the engines, inf for none."""
        due_s = [
            max(supply.next_s, supply.ask_again_s)
            for engine_id, supply in self._supply_by_engine.items()
            if engine_id in engine_ids
        ]
        return min(due_s, default=inf)

    async def acquire(self, engine_id: str) -> bool:
        """Acquire a permit for one request to an engine.

        Returns
        -------
        bool
            True if the request may be sent now, as it may to an engine without a limit.
        """
        if not self.is_limited(engine_id):
            return True
        now_s = time.monotonic()
        supply = self._supply_by_engine.setdefault(engine_id, _Supply())
        if supply.spare and now_s < supply.spare_until_s:
            supply.spare -= 1
            return True
        if now_s < supply.ask_again_s:
            return False
        issued: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if not supply.waiters:
            asyncio.get_running_loop().call_soon(self._ask, engine_id)
        supply.waiters.append(issued)
        await asyncio.wait({issued}, timeout=ANSWER_TIMEOUT_S)
        if issued.done():
            return issued.result()
        issued.cancel()
        return self._use_own_share(engine_id, supply)

    def release(self, engine_id: str) -> None:
        """Return a permit that wasn't used, for another call of this instance."""
        supply = self._supply_by_engine.get(engine_id)
        if supply is not None:
            supply.spare += 1
            supply.spare_until_s = time.monotonic() + PERMIT_TTL_S

    def handle_message(self, message: PermitRequest | PermitGrant) -> None:
        """Handle a request for permits, or the answer to one."""
        match message:
            case PermitRequest():
                self._handle_request(message)
            case PermitGrant():
                self._handle_grant(message)

    def _ask(self, engine_id: str) -> None:
        """Ask once for all calls that need permits for an engine in this turn."""
        now_s = time.monotonic()
        self._ask_by_number = {
            number: ask
            for number, ask in self._ask_by_number.items()
            if now_s - ask.sent_s < PERMIT_TTL_S
        }
        supply = self._supply_by_engine.get(engine_id)
        if supply is None:
            return
        waiters, supply.waiters = supply.waiters, []
        limit = self._table.limits.limit(engine_id)
        if limit is None:
            # It has ended in this turn.
            for issued in waiters:
                if not issued.done():
                    issued.set_result(True)
            return
        self._number += 1
        self._ask_by_number[self._number] = _Ask(engine_id, now_s, waiters)
        wanted = min(MAX_PERMITS, len(waiters))
        own = self._roster.own.address
        request = PermitRequest(own, self._number, engine_id, wanted, limit)
        self._counters.add("permits.asked_for", wanted)
        self._handle_request(request)

    def _handle_request(self, request: PermitRequest) -> None:
        """Issue permits as the lead relay of the engine's domain, else forward."""
        target = self._target(request.engine_id)
        if target is None:
            return
        self.record_limit(target.id, request.limit)
        next_relay = self._next_relay(target)
        if next_relay is None:
            grant = self._issue(target, request)
            if request.asker == self._roster.own.address:
                self._handle_grant(grant)
            else:
                self._send(encode_permit_grant(grant), [request.asker])
        elif request.asker == self._roster.own.address:
            self._send(encode_permit_request(request), next_relay)
        elif request.forwards < MAX_FORWARDS:
            forwarded = evolve(request, forwards=request.forwards + 1)
            self._send(encode_permit_request(forwarded), next_relay)

    def _next_relay(self, target: Target) -> list[str] | None:
        """Return the relay to ask, an empty list for none, None for this instance."""
        now_s = time.monotonic()
        if now_s - self._routed_s > ROUTE_TTL_S:
            self._routed_s = now_s
            self._relay_by_domain = {}
            self._reached = min(1.0, self._roster.instances() / self._fleet_size())
        if target.domain not in self._relay_by_domain:
            self._relay_by_domain[target.domain] = self._find_relay(target.domain)
        return self._relay_by_domain[target.domain]

    def _find_relay(self, domain: str) -> list[str] | None:
        own = self._roster.own
        if not self._roster.is_relay:
            domain = own.domain
        elif domain != own.domain:
            domains = self._roster.domains()
            if domain not in domains:
                domain = min([own.domain, *domains])
        if domain == own.domain and self._roster.is_lead_relay():
            return None
        return [each.address for each in self._roster.live_relays(domain)[:1]]

    def _issue(self, target: Target, request: PermitRequest) -> PermitGrant:
        """Issue permits at the part of the limit for the instances that are reached."""
        # The engine may have started again, and the list not show that yet.
        limit = self._table.limits.newest(target.id) or request.limit
        if not limit.limited:
            return PermitGrant(request.number, request.permits, 0.0, limit)
        if time.monotonic() - limit.at_s > CHECK_INTERVAL_S:
            self.on_old_limit(target)
        issued: Issued = self._issuer.issue(
            target.id,
            limit.born_ms,
            limit.per_s * self._reached,
            request.permits,
            time.monotonic(),
        )
        self._counters.add("permits.issued", issued.permits)
        news = limit if limit.per_s != request.limit.per_s else None
        return PermitGrant(request.number, issued.permits, issued.wait_s, news)

    def _handle_grant(self, grant: PermitGrant) -> None:
        ask = self._ask_by_number.pop(grant.number, None)
        now_s = time.monotonic()
        if ask is None or now_s - ask.sent_s >= PERMIT_TTL_S:
            self._counters.add("permits.came_late", grant.permits)
            return
        if grant.limit is not None:
            self.record_limit(ask.engine_id, grant.limit)
        supply = self._supply_by_engine.get(ask.engine_id)
        if supply is None:
            return
        supply.own_share = None
        waiting = [each for each in ask.waiters if not each.done()]
        for number, issued in enumerate(waiting):
            issued.set_result(number < grant.permits)
        if grant.permits >= len(ask.waiters):
            supply.spare += grant.permits - len(waiting)
            supply.spare_until_s = ask.sent_s + PERMIT_TTL_S
            return
        self._counters.add("permits.refused", len(ask.waiters) - grant.permits)
        supply.next_s = now_s + min(MAX_WAIT_S, grant.wait_s)
        pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, grant.wait_s))
        supply.ask_again_s = now_s + pause_s

    def _use_own_share(self, engine_id: str, supply: _Supply) -> bool:
        """Use this instance's own share of a limit, as no issuer has answered."""
        now_s, limit = time.monotonic(), self._table.limits.limit(engine_id)
        if limit is None:
            return True
        self._counters.add("permits.unanswered")
        own_per_s = limit.per_s / self._fleet_size()
        if supply.own_share is None:
            supply.own_share = TokenBucket(-random(), now_s)
        supply.own_share.refill(now_s, own_per_s, 1.0)
        if supply.own_share.take(1):
            return True
        supply.ask_again_s = max(supply.ask_again_s, now_s + UNANSWERED_PAUSE_S)
        return False

    def _target(self, engine_id: str) -> Target | None:
        return self._table.by_id.get(engine_id)
