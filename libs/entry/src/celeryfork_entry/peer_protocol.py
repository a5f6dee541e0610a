"""Work in flight, news of engines, and what the store says, told between instances.

Each instance reports to the relays of its domain (see :mod:`celeryfork_entry.roster`).
They tell it and the relays of other domains what they know; the one that leads tells
the sum of the work too. Datagrams: a lost one is replaced within a quarter of a second.
"""

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping
from typing import cast

from attrs import define, evolve, field
from celeryfork_routing.engine_loads import EngineLoads, Load, subtract_loads
from logbook import Logger

from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.peer_messages import (
    DownEngine,
    Heard,
    MemberReport,
    RelayDigest,
    RetryLoan,
    RetryLoanRequest,
    decode,
    encode_digest,
    encode_report,
)
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import Roster
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.targets import Target

INTERVAL_S = 0.25
"""Pause between two reports within the domain; a stream lasts several."""
REPORTS_TO_AWAY = 4
"""Each so many reports, one goes to the relays of other domains too."""
IDLE_REPORTS = 2
"""Each so many reports, one goes out though there is nothing to say: a relay that
isn't addressed for longer stops relaying."""
NEWS_LIFE_S = 2.0
"""Time that news of an engine is remembered, so that it is passed on once."""
CHANGE_DELAY_S = 0.03
"""Time in which changes of the list are gathered before the domain is told."""
MOST_DATAGRAM_BYTES = 60_000


@define(eq=False)
class PeerProtocol(asyncio.DatagramProtocol):
    """Sends this instance's reports, relays those of its domain, and takes the peers'.

    Parameters
    ----------
    fence
        Gives the fence with which this instance places layers, None if it doesn't.
    on_fence
        Called with the fence of a peer that does.
    version
        Gives the version of the configuration in force, -1 for none.
    on_version
        Called with a peer's version and address if it is higher.
    list_state
        Gives the revision of the list, its age in s, and whether it may be old.
    on_digest
        Called with each digest of a relay of this domain.
    layers
        Gives what engines reported and the list doesn't say, by engine.
    on_layers
        Called with each engine of which a peer passes that on.
    speeds
        Gives what engines said of their speed to this instance, by engine.
    on_speed
        Called with each engine of which a peer passes that on.
    on_down
        Called with an engine that a peer has found to be down, its start, and the peer.
    spare
        Gives the repeats that this instance would lend, by service.
    on_spare
        Called with a member's address and the same of it.
    on_loan
        Called with each question for repeats, and each loan.
    fence_heard, fence_heard_s
        The highest fence with which a peer said to place layers, and when the last one
        said so; the start of this instance before the first.
    """

    roster: Roster
    _loads: EngineLoads
    _log: Logger
    _transport: asyncio.DatagramTransport | None = None
    _unreadable: int = field(default=0)
    _said_idle: bool = False
    fence: Callable[[], int | None] = lambda: None
    on_fence: Callable[[int], None] = lambda fence: None
    version: Callable[[], int] = lambda: -1
    on_version: Callable[[int, str], None] = lambda version, address: None
    list_state: Callable[[], tuple[int, float, bool]] = lambda: (0, 0.0, False)
    on_digest: Callable[[RelayDigest], None] = lambda digest: None
    layers: Callable[[], Mapping[str, ReportedLayers]] = dict
    on_layers: Callable[[str, ReportedLayers], None] = lambda engine_id, learnt: None
    speeds: Callable[[], Mapping[str, Speed]] = dict
    on_speed: Callable[[str, Speed], None] = lambda engine_id, speed: None
    on_down: Callable[[str, int | None, str], None] = lambda engine, born_ms, peer: None
    spare: Callable[[], Mapping[str, int]] = dict
    on_spare: Callable[[str, Mapping[str, int]], None] = lambda address, spare: None
    on_loan: Callable[[RetryLoanRequest | RetryLoan], None] = lambda message: None
    _reports: int = 0
    _down: list[DownEngine] = field(factory=list)
    _down_told_s: dict[DownEngine, float] = field(factory=dict)
    _learnt_by_member: dict[str, ReportedLayers] = field(factory=dict)
    _speed_by_engine: dict[str, Speed] = field(factory=dict)
    _told_revision: int = -1
    _told_version: int = -1
    _tell_soon: asyncio.TimerHandle | None = None
    fence_heard: int = -1
    fence_heard_s: float = field(factory=time.monotonic)

    @property
    def domain(self) -> str:
        """Return this instance's domain."""
        return self.roster.own.domain

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take a peer's datagram."""
        try:
            message = decode(data)
        except ValueError as error:
            self._unreadable += 1
            if self._unreadable == 1:
                self._log.info(
                    "peer_report_unreadable", peer=address[0], reason=str(error)
                )
            return
        match message:
            case RelayDigest():
                self._take_common(message)
                self._take_digest(message)
            case MemberReport():
                self._take_common(message)
                self._take_report(message)
            case RetryLoanRequest() | RetryLoan():
                self.on_loan(message)

    def error_received(self, error: Exception) -> None:
        """Ignore a peer's refusal: it is gone, and its silence says so."""

    def _take_common(self, message: Heard) -> None:
        self.roster.heard(message.sender)
        if message.fence is not None:
            self.fence_heard = max(self.fence_heard, message.fence)
            self.fence_heard_s = time.monotonic()
            self.on_fence(message.fence)
        if message.version > self.version():
            self.on_version(message.version, message.sender.address)
        for engine_id, learnt in message.layers.items():
            self.on_layers(engine_id, learnt)
        for engine_id, speed in message.speeds.items():
            self._take_speed(engine_id, speed)
        for engine_id, born_ms in message.down:
            self.on_down(engine_id, born_ms, message.sender.name)

    def _take_speed(self, engine_id: str, speed: Speed) -> None:
        """Take an engine's speed, and keep the newest one to pass on."""
        known = self._speed_by_engine.get(engine_id)
        if known is None or speed.at_s > known.at_s:
            self._speed_by_engine[engine_id] = speed
        self.on_speed(engine_id, speed)

    def _take_report(self, report: MemberReport) -> None:
        if report.sender.domain != self.domain:
            return
        self.roster.asked_to_relay()
        self._loads.set_peer_report(
            report.sender.name, report.loads or {}, time.monotonic()
        )
        self._learnt_by_member.update(report.layers)
        self.on_spare(report.sender.address, report.spare)
        self._pass_on(report.down, to_away=True)

    def _take_digest(self, digest: RelayDigest) -> None:
        domain = digest.sender.domain
        for each, count in digest.counts.items():
            self.roster.counted(each, count)
        if domain != self.domain:
            if digest.loads is not None:
                self._hear_sum(domain, digest.loads)
            self._pass_on(digest.down, to_away=False)
            return
        self.on_digest(digest)
        if digest.loads is not None and not self.roster.addressed_as_relay:
            # Who gets the members' reports counts each by itself. One that takes itself
            # for a relay since it knows few others gets none.
            self._hear_sum(
                domain, subtract_loads(digest.loads, self._loads.own_loads())
            )
        for each, load_by_engine in digest.away_loads.items():
            if each != self.domain:
                self._hear_sum(each, load_by_engine)

    def _hear_sum(self, domain: str, load_by_engine: Mapping[str, Load]) -> None:
        self._loads.set_peer_report(_sum_key(domain), load_by_engine, time.monotonic())

    async def run(self, stopping: Callable[[], bool]) -> None:
        """Report at each interval."""
        while not stopping():
            await asyncio.sleep(INTERVAL_S)
            self._report()

    def _report(self) -> None:
        self._reports += 1
        own, news = self._loads.own_loads(), self.layers() or self.speeds()
        idle = not (own or news) and self._said_idle and self.fence() is None
        self._said_idle = not own
        if not idle or self._reports % IDLE_REPORTS == 0:
            data = encode_report(self._member_report(()))
            self._send(data, self.roster.relays(self.domain))
        if self.roster.addressed_as_relay:
            self._loads.drop_peer_report(_sum_key(self.domain))
        if self.roster.is_relay:
            self._tell(to_away=self._reports % REPORTS_TO_AWAY == 0)

    def tell_changes(self) -> None:
        """Tell the domain soon that the list or the configuration has changed."""
        revision, _, _ = self.list_state()
        state = (revision, self.version())
        if state == (self._told_revision, self._told_version):
            return
        if self._tell_soon is None and self.roster.is_relay:
            loop = asyncio.get_running_loop()
            self._tell_soon = loop.call_later(CHANGE_DELAY_S, self._tell_changes)

    def _tell_changes(self) -> None:
        self._tell_soon = None
        self._tell(to_away=self.version() != self._told_version)

    def announce_down(self, target: Target) -> None:
        """Tell all peers at once that an engine is down: their streams wait too."""
        if not self._down:
            asyncio.get_running_loop().call_soon(self._report_down)
        self._down.append((target.id, target.born_ms))

    def _report_down(self) -> None:
        down, self._down = self._down, []
        data = encode_report(self._member_report(down))
        self._send(data, self.roster.relays(self.domain))
        self._pass_on(down, to_away=True)

    def _pass_on(self, down: Iterable[DownEngine], *, to_away: bool) -> None:
        """Tell news of engines on, once, if this instance relays."""
        now_s = time.monotonic()
        if not down or not self.roster.is_relay:
            return
        self._down_told_s = {
            each: at_s
            for each, at_s in self._down_told_s.items()
            if now_s - at_s < NEWS_LIFE_S
        }
        new = [each for each in down if each not in self._down_told_s]
        self._down_told_s.update((each, now_s) for each in new)
        if new:
            self._tell(new, to_away=to_away)

    def _tell(self, down: Iterable[DownEngine] = (), *, to_away: bool) -> None:
        """Send digests to the members of the domain, and to the relays of others."""
        now_s = time.monotonic()
        digest = self._digest(down, now_s)
        self._told_revision, self._told_version = digest.revision, digest.version
        relays = {peer.address for peer in self.roster.relays(self.domain)}
        followers = [p for p in self.roster.members() if p.address not in relays]
        others = self.roster.domains()
        if followers:
            away = {
                domain: self._loads.loads_reported_by({_sum_key(domain)}, now_s)
                for domain in others
                if to_away and digest.loads is not None
            }
            self._send(encode_digest(evolve(digest, away_loads=away)), followers)
        if relays:
            quiet = evolve(digest, loads=None, layers={}, speeds={})
            self._send(encode_digest(quiet), self.roster.relays(self.domain))
        if to_away:
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
            self.spare(),
        )

    def _digest(self, down: Iterable[DownEngine], now_s: float) -> RelayDigest:
        revision, list_age_s, list_is_stale = self.list_state()
        layers = {
            engine_id: learnt
            for engine_id, learnt in self._learnt_by_member.items()
            if now_s - learnt.at_s < NEWS_LIFE_S
        }
        self._learnt_by_member = layers
        return RelayDigest(
            self.roster.own,
            self.fence(),
            self.version(),
            self._sum(now_s) if self.roster.is_lead_relay() else None,
            layers | dict(self.layers()),
            tuple(down),
            self._speeds_to_tell(now_s),
            revision=revision,
            list_age_s=list_age_s,
            list_is_stale=list_is_stale,
            counts=self.roster.counts() | {self.domain: self.roster.count()},
            away_loads={},
        )

    def _speeds_to_tell(self, now_s: float) -> dict[str, Speed]:
        """Return the newest speeds that this instance knows of, its own among them."""
        self._speed_by_engine = {
            engine_id: speed
            for engine_id, speed in self._speed_by_engine.items()
            if now_s - speed.at_s < NEWS_LIFE_S
        }
        told = dict(self._speed_by_engine)
        for engine_id, speed in self.speeds().items():
            if engine_id not in told or speed.at_s > told[engine_id].at_s:
                told[engine_id] = speed
        return told

    def _sum(self, now_s: float) -> dict[str, Load]:
        """Return the work of all instances of the domain."""
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
        """Send a datagram to instances, once they can be reached at all."""
        if self._transport is None:
            return
        if len(data) > MOST_DATAGRAM_BYTES:
            self._log.info("peer_report_too_long", bytes=len(data))
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))


def _sum_key(domain: str) -> str:
    """Return the key of a domain's sum; no instance's name begins so."""
    return f"domain {domain}"
