"""Datagram protocol by which instances share loads, engine states and list revisions.

Each instance reports to the relays of its domain (see :mod:`celeryfork_entry.roster`).
Relays send digests, which summarise these reports, to the other members of their domain
(followers) and to the relays of other domains. Only the lead relay, the first-ranked
live one, includes the summed loads of the domain. A lost datagram is replaced by the
next one: usually after a quarter of a second within the domain, after a second
elsewhere.
"""

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import chain, islice
from typing import cast

from attrs import Factory, define, evolve, field
from celeryfork_admission.crash_evidence import Trait, TraitRecord
from celeryfork_routing.engine_loads import (
    EngineLoads,
    Load,
    domain_report_key,
    subtract_loads,
)
from logbook import Logger

from celeryfork_entry.crash_exchange import CrashExchange
from celeryfork_entry.demand_exchange import DemandExchange
from celeryfork_entry.demand_messages import DemandAway, DemandSum
from celeryfork_entry.engine_limits import EngineLimit
from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.list_changes import ListState
from celeryfork_entry.peer_messages import (
    MAX_CRASH_RECORDS,
    MAX_LIMITS,
    DownEngine,
    MemberReport,
    PeerMessage,
    RelayDigest,
    RetryLoan,
    RetryLoanRequest,
    crash_rows_size,
    decode,
    encode_digest,
    encode_report,
)
from celeryfork_entry.permit_messages import PermitGrant, PermitRequest
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import Roster
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.targets import Target

REPORT_INTERVAL_S = 0.25
"""Seconds between two reports within the domain; a stream lasts several of them."""
REMOTE_REPORT_PERIOD = 4
"""Number of reports of which one also goes to the relays of other domains."""
IDLE_REPORT_PERIOD = 2
"""Number of reports of which one is sent even if there is nothing to report: a relay
that gets no reports for longer stops relaying."""
FORWARDING_TTL_S = 2.0
"""Seconds for which a state of an engine is forwarded, and a down report is remembered
so that it is forwarded only once."""
CHANGE_DELAY_S = 0.03
"""Seconds for which changes of the target list are gathered before they are sent."""
CRASH_RESEND_PERIOD = 8
"""Number of reports (2 s) of which one is followed by evidence of crashes again."""
CRASH_INTERVAL_S = 0.05
"""Least seconds between two messages with changed evidence: many instances find the
same crash within some ms, and a relay gathers what they tell."""
MAX_CRASH_BYTES = 16_000
"""Bound in bytes of changed evidence in one message."""
CRASH_RESEND_BYTES = 4_000
"""Bound in bytes of the evidence that is sent again each time: at a period of 2 s it
takes half of the 4 KB/s that an instance may spend on control."""
MAX_DATAGRAM_BYTES = 60_000


@define(eq=False)
class PeerProtocol(asyncio.DatagramProtocol):
    """Sends this instance's reports and digests, and handles those of peers.

    Parameters
    ----------
    fence
        Returns the fencing token with which this instance places layers, None if it
        doesn't.
    on_fence
        Called with the fencing token of a peer that places layers.
    version
        Returns the version of the configuration in force, -1 for none.
    on_version
        Called with a peer's version and address if its version is higher.
    list_state
        Returns the target list's revision, its age in s, and True if it may be stale.
    on_digest
        Called with each digest of a relay, also of other domains.
    layers
        Returns the layers that engines reported to this instance, by engine.
    on_layers
        Called with an engine and the layers that a peer forwards.
    speeds
        Returns the speeds that engines reported to this instance, by engine.
    on_speed
        Called with an engine and the speed that a peer forwards.
    limits
        Returns the limits that engines named to this instance, by engine.
    on_limit
        Called with an engine and the limit that a peer forwards.
    on_down
        Called with an engine that a peer found to be down, its start time, and the
        peer.
    lendable
        Returns the retries that this instance would lend, by service.
    on_lendable
        Called with a member's address and the retries that it would lend.
    on_loan
        Called with each loan request and each loan of retries.
    on_permit
        Called with each request for permits and each answer to one.
    crashes
        Returns the evidence of crashes to send again, at most as many records as given;
        they take turns.
    crash_changes
        Returns the evidence that changed since the last call, at a relay also by that
        of peers.
    on_crashes
        Called with the evidence of a peer.
    demand
        Demand for services that is told to peers and heard from them.
    highest_peer_fence, peer_fence_received_s
        Highest fencing token of peers that place layers, and the time of the last such
        message; the start of this instance before the first.
    """

    roster: Roster
    _loads: EngineLoads
    _log: Logger
    _transport: asyncio.DatagramTransport | None = None
    _unreadable_count: int = field(default=0)
    _sent_idle: bool = False
    fence: Callable[[], int | None] = lambda: None
    on_fence: Callable[[int], None] = lambda fence: None
    version: Callable[[], int] = lambda: -1
    on_version: Callable[[int, str], None] = lambda version, address: None
    list_state: Callable[[], ListState] = lambda: ListState(0, 0.0, False)
    on_digest: Callable[[RelayDigest], None] = lambda digest: None
    layers: Callable[[], Mapping[str, ReportedLayers]] = dict
    on_layers: Callable[[str, ReportedLayers], None] = lambda engine_id, learnt: None
    speeds: Callable[[], Mapping[str, Speed]] = dict
    on_speed: Callable[[str, Speed], None] = lambda engine_id, speed: None
    limits: Callable[[], Mapping[str, EngineLimit]] = dict
    on_limit: Callable[[str, EngineLimit], None] = lambda engine_id, limit: None
    on_down: Callable[[str, int | None, str], None] = lambda engine, born_ms, peer: None
    lendable: Callable[[], Mapping[str, int]] = dict
    on_lendable: Callable[[str, Mapping[str, int]], None] = lambda address, lendable: (
        None
    )
    on_loan: Callable[[RetryLoanRequest | RetryLoan], None] = lambda message: None
    on_permit: Callable[[PermitRequest | PermitGrant], None] = lambda message: None
    crashes: Callable[[int], list[TraitRecord]] = lambda limit: []
    crash_changes: Callable[[], list[TraitRecord]] = list
    on_crashes: Callable[[Sequence[TraitRecord]], None] = lambda records: None
    _reports: int = 0
    _down: list[DownEngine] = field(factory=list)
    _forwarded_down_s: dict[DownEngine, float] = field(factory=dict)
    _layers_by_engine: dict[str, ReportedLayers] = field(factory=dict)
    _speed_by_engine: dict[str, Speed] = field(factory=dict)
    _limit_by_engine: dict[str, EngineLimit] = field(factory=dict)
    _sent_revision: int = -1
    _sent_version: int = -1
    _pending_send: asyncio.TimerHandle | None = None
    _crash_exchange: CrashExchange = field(factory=CrashExchange)
    _changed_crashes: dict[Trait, TraitRecord] = field(factory=dict)
    _pending_crashes: asyncio.TimerHandle | None = None
    _crashes_sent_s: float = 0.0
    _next_resend: int = 0
    _resend_limit: int = MAX_CRASH_RECORDS
    demand: DemandExchange = field(
        default=Factory(lambda self: DemandExchange(self.roster), takes_self=True)
    )
    highest_peer_fence: int = -1
    peer_fence_received_s: float = field(factory=time.monotonic)

    @property
    def domain(self) -> str:
        """Return this instance's domain."""
        return self.roster.own.domain

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode and dispatch a peer's datagram."""
        try:
            message = decode(data)
        except ValueError as error:
            self._unreadable_count += 1
            if self._unreadable_count == 1:
                self._log.info(
                    "peer_report_unreadable", peer=address[0], reason=str(error)
                )
            return
        match message:
            case RelayDigest():
                self._handle_common(message)
                self._handle_digest(message)
                self._handle_crashes(message)
            case MemberReport():
                self._handle_common(message)
                self._handle_report(message)
                self._handle_crashes(message)
            case RetryLoanRequest() | RetryLoan():
                self.on_loan(message)
            case PermitRequest() | PermitGrant():
                self.on_permit(message)

    def error_received(self, error: Exception) -> None:
        """Ignore ICMP errors: a peer that is gone is detected by its silence."""

    def _handle_common(self, message: PeerMessage) -> None:
        self.roster.record_message(message.sender)
        if message.fence is not None:
            self.highest_peer_fence = max(self.highest_peer_fence, message.fence)
            self.peer_fence_received_s = time.monotonic()
            self.on_fence(message.fence)
        if message.version > self.version():
            self.on_version(message.version, message.sender.address)
        for engine_id, learnt in message.layers.items():
            self.on_layers(engine_id, learnt)
        for engine_id, speed in message.speeds.items():
            self._record_speed(engine_id, speed)
        for engine_id, limit in message.limits.items():
            self._record_limit(engine_id, limit)
        for engine_id, born_ms in message.down:
            self.on_down(engine_id, born_ms, message.sender.name)

    def _handle_crashes(self, message: PeerMessage) -> None:
        """Apply a peer's evidence of crashes; what it changes here is announced."""
        if not message.crashes:
            return
        records, is_relay = message.crashes, self.roster.is_relay
        if message.sender.domain != self.domain:
            self._crash_exchange.record_remote_digest(records)
        elif isinstance(message, RelayDigest):
            self._crash_exchange.record_domain_digest(
                records, self._reports, is_relay=is_relay
            )
        else:
            self._crash_exchange.record_report(records)
        self.on_crashes(records)

    def _record_speed(self, engine_id: str, speed: Speed) -> None:
        """Apply an engine's speed, and keep the newest one for forwarding."""
        known = self._speed_by_engine.get(engine_id)
        if known is None or speed.at_s > known.at_s:
            self._speed_by_engine[engine_id] = speed
        self.on_speed(engine_id, speed)

    def _record_limit(self, engine_id: str, limit: EngineLimit) -> None:
        """Apply an engine's limit, and keep the newest one for forwarding."""
        known = self._limit_by_engine.get(engine_id)
        if known is None or limit.at_s > known.at_s:
            self._limit_by_engine[engine_id] = limit
        self.on_limit(engine_id, limit)

    def _handle_report(self, report: MemberReport) -> None:
        if report.sender.domain != self.domain:
            return
        now_s = time.monotonic()
        self.roster.record_relay_request()
        self._loads.set_peer_report(report.sender.name, report.loads or {}, now_s)
        self.demand.record_report(report.sender.address, report.demand, now_s)
        self._layers_by_engine.update(report.layers)
        self.on_lendable(report.sender.address, report.lendable)
        self._forward_down(report.down, to_remote=True)

    def _handle_digest(self, digest: RelayDigest) -> None:
        domain, now_s = digest.sender.domain, time.monotonic()
        has_loads = digest.loads is not None
        for each, count in digest.counts.items():
            self.roster.record_count(each, count)
        self.on_digest(digest)
        if domain != self.domain:
            if digest.loads is not None:
                self._record_domain_load(domain, digest.loads)
            self.demand.record_remote_digest(
                domain, digest.demand, now_s, has_loads=has_loads
            )
            self._forward_down(digest.down, to_remote=False)
            return
        self.demand.record_domain_digest(
            digest.demand, digest.demand_away, digest.remote_loads, now_s,
            has_loads=has_loads,
        )  # fmt: skip
        if digest.loads is not None and not self.roster.addressed_as_relay:
            # A relay that receives the members' reports counts each of them itself. An
            # instance that is a relay only by its own ranking, since it knows few
            # others, receives none.
            self._record_domain_load(
                domain, subtract_loads(digest.loads, self._loads.own_loads())
            )
        for each, load_by_engine in digest.remote_loads.items():
            if each != self.domain:
                self._record_domain_load(each, load_by_engine)

    def _record_domain_load(
        self, domain: str, load_by_engine: Mapping[str, Load]
    ) -> None:
        self._loads.set_peer_report(
            domain_report_key(domain), load_by_engine, time.monotonic()
        )

    async def run(self, stopping: Callable[[], bool]) -> None:
        """Send reports at each interval until the instance stops."""
        while not stopping():
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._report()

    def _report(self) -> None:
        self._reports += 1
        own = self._loads.own_loads()
        reported = self.layers() or self.speeds() or self.limits()
        idle = not (own or reported) and self._sent_idle and self.fence() is None
        self._sent_idle = not own
        now_s = time.monotonic()
        self.demand.observe_lead(now_s)
        demand = self.demand.next_report(self._reports, now_s)
        if not idle or demand or self._reports % IDLE_REPORT_PERIOD == 0:
            self._send_report(demand)
        if self.roster.addressed_as_relay:
            self._loads.drop_peer_report(domain_report_key(self.domain))
        if self.roster.is_relay:
            to_remote = self._reports % REMOTE_REPORT_PERIOD == 0
            total = self.demand.next_digest(self._reports, now_s, to_remote=to_remote)
            away = self.demand.next_away(total, now_s) if to_remote else None
            self._send_digests(to_remote=to_remote, demand=total, demand_away=away)
        self._resend_crashes()

    def _send_report(self, demand: DemandSum | None) -> None:
        """Send a report to the relays of the domain, the demand only to the lead."""
        relays = self.roster.relays(self.domain)
        collectors = self.demand.collectors() if demand else ()
        report = self._member_report(())
        if collectors:
            self._send(encode_report(evolve(report, demand=demand)), collectors)
        others = [each for each in relays if each not in collectors]
        if others:
            self._send(encode_report(report), others)

    def announce_changes(self) -> None:
        """Schedule digests after a change of the target list or the configuration."""
        state = (self.list_state().revision, self.version())
        if state == (self._sent_revision, self._sent_version):
            return
        if self._pending_send is None and self.roster.is_relay:
            loop = asyncio.get_running_loop()
            self._pending_send = loop.call_later(CHANGE_DELAY_S, self._send_changes)

    def _send_changes(self) -> None:
        self._pending_send = None
        self._send_digests(to_remote=self.version() != self._sent_version)

    def announce_down(self, target: Target) -> None:
        """Report to all peers at once that an engine is down: streams may wait."""
        if not self._down:
            asyncio.get_running_loop().call_soon(self._report_down)
        self._down.append((target.id, target.born_ms))

    def _report_down(self) -> None:
        down, self._down = self._down, []
        data = encode_report(self._member_report(down))
        self._send(data, self.roster.relays(self.domain))
        self._forward_down(down, to_remote=True)

    def _forward_down(self, down: Iterable[DownEngine], *, to_remote: bool) -> None:
        """Forward down reports, each once, if this instance is a relay."""
        now_s = time.monotonic()
        if not down or not self.roster.is_relay:
            return
        self._forwarded_down_s = {
            each: at_s
            for each, at_s in self._forwarded_down_s.items()
            if now_s - at_s < FORWARDING_TTL_S
        }
        new = [each for each in down if each not in self._forwarded_down_s]
        self._forwarded_down_s.update((each, now_s) for each in new)
        if new:
            self._send_digests(new, to_remote=to_remote)

    def announce_crashes(self) -> None:
        """Send changed evidence of crashes, at once unless some was just sent."""
        if self._pending_crashes is None:
            loop = asyncio.get_running_loop()
            wait_s = self._crashes_sent_s + CRASH_INTERVAL_S - loop.time()
            self._pending_crashes = loop.call_later(
                max(0.0, wait_s), self._send_changed_crashes
            )

    def _send_changed_crashes(self) -> None:
        self._pending_crashes = None
        changes = self.crash_changes()
        self._changed_crashes.update((each.trait, each) for each in changes)
        queued = list(islice(self._changed_crashes.values(), MAX_CRASH_RECORDS))
        records = _fitting(queued, MAX_CRASH_BYTES)
        for record in records:
            del self._changed_crashes[record.trait]
        near, far = self._crash_exchange.lacking_in_domain(records), []
        if self.roster.is_relay:
            far = self._crash_exchange.lacking_elsewhere(records)
            self._send_crash_digest(near, self.roster.members())
            relays = (self.roster.relays(each) for each in self.roster.domains())
            self._send_crash_digest(far, list(chain.from_iterable(relays)))
        else:
            self._send_crash_report(near)
        if near or far:
            self._crashes_sent_s = asyncio.get_running_loop().time()
        if self._changed_crashes:
            self.announce_crashes()

    def _resend_crashes(self) -> None:
        """Send evidence again, for lost messages and for instances that have started.

        The lead relay sends to its domain, and to the relays of each other domain in
        turn, which send on what they lacked. Other instances send to the relays of
        their domain what these don't repeat.
        """
        if self._reports < self._next_resend or not (records := self._crashes_due()):
            return
        if self.roster.is_lead_relay():
            self._send_crash_digest(records, self.roster.members())
            turn = self._reports // CRASH_RESEND_PERIOD
            self._send_crash_digest(records, self._remote_relays_in_turn(turn))
        else:
            records = self._crash_exchange.unheard(
                records, self._reports, is_relay=self.roster.is_relay
            )
            self._send_crash_report(records)
        if records:
            self._next_resend = self._reports + CRASH_RESEND_PERIOD

    def _crashes_due(self) -> Sequence[TraitRecord]:
        """Return the evidence whose turn it is, within the bound in bytes.

        Traits that were cleared aren't sent again: who suspects one still is answered.
        """
        records = [each for each in self.crashes(self._resend_limit) if each.crashes]
        size = crash_rows_size(records)
        if size > CRASH_RESEND_BYTES:
            fitting = self._resend_limit * CRASH_RESEND_BYTES // size
            self._resend_limit = max(1, fitting)
        elif size < CRASH_RESEND_BYTES // 2:
            self._resend_limit = min(MAX_CRASH_RECORDS, 2 * self._resend_limit)
        return _fitting(records, CRASH_RESEND_BYTES)

    def _remote_relays_in_turn(self, turn: int) -> list[Peer]:
        """Return one relay of each other domain."""
        domains = map(self.roster.relays, self.roster.domains())
        return [relays[turn % len(relays)] for relays in domains if relays]

    def _send_crash_report(self, crashes: Sequence[TraitRecord]) -> None:
        if crashes:
            report = evolve(self._member_report(()), crashes=crashes)
            self._send(encode_report(report), self.roster.relays(self.domain))

    def _send_crash_digest(
        self, crashes: Sequence[TraitRecord], peers: Sequence[Peer]
    ) -> None:
        """Send evidence in a digest without loads, which may fill a datagram."""
        if crashes and peers:
            digest = evolve(self._digest_without_loads(()), crashes=crashes)
            self._send(encode_digest(digest), peers)

    def _send_digests(
        self,
        down: Iterable[DownEngine] = (),
        *,
        to_remote: bool,
        demand: DemandSum | None = None,
        demand_away: DemandAway | None = None,
    ) -> None:
        """Send digests to the domain, and if due to the relays of other domains."""
        now_s = time.monotonic()
        digest = evolve(self._digest(down, now_s), demand=demand)
        self._sent_revision, self._sent_version = digest.revision, digest.version
        relays = {peer.address for peer in self.roster.relays(self.domain)}
        followers = [p for p in self.roster.members() if p.address not in relays]
        others = self.roster.domains()
        if followers:
            # A domain without a report is left out: followers would take it for idle.
            reported = self._loads.report_ages(now_s)
            away = {
                domain: self._loads.loads_reported_by({key}, now_s)
                for domain in others
                if to_remote and digest.loads is not None
                if (key := domain_report_key(domain)) in reported
            }
            told = evolve(digest, remote_loads=away, demand_away=demand_away)
            self._send(encode_digest(told), followers)
        if relays:
            without_loads = evolve(digest, loads=None, layers={}, speeds={}, limits={})
            self._send(encode_digest(without_loads), self.roster.relays(self.domain))
        if to_remote:
            counts = {self.domain: self.roster.count()}
            data = encode_digest(evolve(digest, counts=counts))
            for domain in others:
                self._send(data, self.roster.relays(domain))

    def _member_report(self, down: Iterable[DownEngine]) -> MemberReport:
        return MemberReport(
            self.roster.own,
            self.fence(),
            self.version(),
            self._loads.own_loads(),
            self.layers(),
            tuple(down),
            self.speeds(),
            self.lendable(),
            limits=self._in_turn(self.limits()),
        )

    def _digest(self, down: Iterable[DownEngine], now_s: float) -> RelayDigest:
        layers = {
            engine_id: learnt
            for engine_id, learnt in self._layers_by_engine.items()
            if now_s - learnt.at_s < FORWARDING_TTL_S
        }
        self._layers_by_engine = layers
        return evolve(
            self._digest_without_loads(down),
            loads=self._sum(now_s) if self.roster.is_lead_relay() else None,
            layers=layers | dict(self.layers()),
            speeds=self._recent_speeds(now_s),
            limits=self._in_turn(self._recent_limits(now_s)),
        )

    def _digest_without_loads(self, down: Iterable[DownEngine]) -> RelayDigest:
        """Return a digest without what is known of engines in use."""
        target_list = self.list_state()
        return RelayDigest(
            self.roster.own,
            self.fence(),
            self.version(),
            None,
            {},
            tuple(down),
            {},
            revision=target_list.revision,
            list_age_s=target_list.age_s,
            list_is_stale=target_list.is_stale,
            list_position=target_list.position,
            list_from_store=target_list.from_store,
            counts=self.roster.counts() | {self.domain: self.roster.count()},
            remote_loads={},
        )

    def _recent_speeds(self, now_s: float) -> dict[str, Speed]:
        """Return the newest known speeds, own and forwarded."""
        self._speed_by_engine = {
            engine_id: speed
            for engine_id, speed in self._speed_by_engine.items()
            if now_s - speed.at_s < FORWARDING_TTL_S
        }
        newest = dict(self._speed_by_engine)
        for engine_id, speed in self.speeds().items():
            if engine_id not in newest or speed.at_s > newest[engine_id].at_s:
                newest[engine_id] = speed
        return newest

    def _recent_limits(self, now_s: float) -> dict[str, EngineLimit]:
        """Return the newest known limits, own and forwarded."""
        self._limit_by_engine = {
            engine_id: limit
            for engine_id, limit in self._limit_by_engine.items()
            if now_s - limit.at_s < FORWARDING_TTL_S
        }
        newest = dict(self._limit_by_engine)
        for engine_id, limit in self.limits().items():
            if engine_id not in newest or limit.at_s > newest[engine_id].at_s:
                newest[engine_id] = limit
        return newest

    def _in_turn(self, limits: Mapping[str, EngineLimit]) -> Mapping[str, EngineLimit]:
        """Return as many limits as a datagram may have; the others follow in turn."""
        if len(limits) <= MAX_LIMITS:
            return limits
        engine_ids = sorted(limits)
        begin = self._reports * MAX_LIMITS % len(engine_ids)
        turn = (engine_ids[begin:] + engine_ids[:begin])[:MAX_LIMITS]
        return {engine_id: limits[engine_id] for engine_id in turn}

    def _sum(self, now_s: float) -> dict[str, Load]:
        """Return the summed loads of all instances of the domain."""
        members = {peer.name for peer in self.roster.members()}
        loads = EngineLoads()
        loads.set_peer_report(
            "members", self._loads.loads_reported_by(members, now_s), now_s
        )
        loads.set_peer_report("own", self._loads.own_loads(), now_s)
        return loads.total_loads(now_s)

    def _send(self, data: bytes, peers: Iterable[Peer]) -> None:
        self.send_to(data, (peer.address for peer in peers))

    def send_to(self, data: bytes, addresses: Iterable[str]) -> None:
        """Send a datagram to instances, if the socket is open."""
        if self._transport is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self._log.info("peer_report_too_long", bytes=len(data))
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))


def _fitting(records: Sequence[TraitRecord], max_bytes: int) -> Sequence[TraitRecord]:
    """Return the first records, as many as fit into a number of bytes, at least one."""
    while len(records) > 1 and (size := crash_rows_size(records)) > max_bytes:
        records = records[: max(1, len(records) * max_bytes // size)]
    return records
