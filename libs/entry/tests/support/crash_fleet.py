"""Instances of three failure domains that exchange evidence without a network.

Peer protocols and evidence are real. A datagram arrives in a later iteration of the
loop; reports are sent when a test says so, four of them for each second.
"""

import asyncio

from attrs import define, field
from celeryfork_admission.crash_evidence import (
    CrashEvidence,
    Verdict,
    make_crash_evidence,
    make_part_trait,
)
from celeryfork_entry.peer_protocol import REMOTE_REPORT_PERIOD, PeerProtocol
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import Roster
from celeryfork_routing.engine_loads import EngineLoads
from logbook import Logger
from orjson import loads

DOMAINS = "abc"
PART = make_part_trait("llm", "deadly")


@define(eq=False)
class Member:
    """One instance.

    Parameters
    ----------
    hops
        Number of datagrams by which it first heard of evidence; 0 at its source.
    """

    peers: PeerProtocol
    evidence: CrashEvidence
    hops: int | None = None

    @property
    def own(self):
        return self.peers.roster.own

    def crash(self, *traits, run="r1", organisation="xaka200"):
        """Count a crash of an engine here."""
        self.hops = 0
        self.evidence.record_crash(traits or (PART,), run, organisation, probe=False)

    def suspects(self, trait=PART):
        verdict = self.evidence.judge([trait], None).verdict
        return verdict is not Verdict.CLEAR


@define(eq=False)
class Fleet:
    """Instances ``a1`` to ``cN``, of which the first three of each domain are relays.

    Parameters
    ----------
    is_lost
        Returns True if a datagram with evidence between two names is lost.
    is_cut
        Returns True if any datagram between two names is lost.
    latency_s
        Seconds that a datagram takes.
    sent
        Sender, receiver and decoded fields of each datagram with evidence.
    """

    size: int = 6
    latency_s: float = 0.0
    is_lost: object = lambda sender, receiver: False
    is_cut: object = lambda sender, receiver: False
    sent: list = field(factory=list)
    by_address: dict = field(factory=dict)
    listed: list = field(factory=list)
    _in_flight: int = 0

    def __attrs_post_init__(self):
        self.listed = [
            Peer(f"{domain}{n}", domain, f"10.{zone}.0.{n}:7", power=1 / n)
            for zone, domain in enumerate(DOMAINS)
            for n in range(1, self.size + 1)
        ]
        for peer in self.listed:
            self.start(peer)

    def __getitem__(self, name):
        return next(each for each in self if each.own.name == name)

    def __iter__(self):
        return iter(list(self.by_address.values()))

    def start(self, peer):
        """Start an instance, or start one anew that knows nothing."""
        peers = PeerProtocol(Roster(peer), EngineLoads(), Logger("test"))
        member = Member(peers, make_crash_evidence())
        member.evidence.on_change = peers.announce_crashes
        member.evidence.forwards = lambda: peers.roster.is_relay
        peers.crashes = member.evidence.records
        peers.crash_changes = member.evidence.take_changes
        peers.on_crashes = member.evidence.merge
        peers.connection_made(_Socket(self, member))
        peers.roster.add_listed(self.listed)
        self.by_address[peer.address] = member
        return member

    def run(self, work):
        """Run ``work`` in a fleet whose instances know each other."""

        async def run():
            await self.report(REMOTE_REPORT_PERIOD)
            await work

        asyncio.run(asyncio.wait_for(run(), 50.0))

    async def report(self, times):
        for _ in range(times):
            for each in self:
                each.peers._report()
            await self.settle()

    async def settle(self):
        """Wait until nothing is on its way or about to be sent."""
        await asyncio.sleep(0)
        while self._in_flight or any(e.peers._pending_crashes for e in self):
            await asyncio.sleep(0.002)

    def suspecting(self, trait=PART):
        return {each.own.name for each in self if each.suspects(trait)}

    def names(self, *domains):
        return {
            each.own.name for each in self if each.own.domain in (domains or DOMAINS)
        }

    def send(self, sender, data, address):
        receiver = self.by_address.get(address)
        if receiver is None or self.is_cut(sender.own.name, receiver.own.name):
            return
        fields = loads(data)
        if "crashes" in fields:
            self.sent.append((sender.own.name, receiver.own.name, fields))
            if self.is_lost(sender.own.name, receiver.own.name):
                return
        self._in_flight += 1
        deliver = asyncio.get_running_loop().call_later
        deliver(self.latency_s, self._deliver, sender, receiver, data, fields)

    def _deliver(self, sender, receiver, data, fields):
        self._in_flight -= 1
        if "crashes" in fields and receiver.hops is None:
            receiver.hops = sender.hops + 1
        receiver.peers.datagram_received(data, (sender.own.address, 7))


@define(eq=False)
class _Socket:
    fleet: Fleet
    member: Member

    def sendto(self, data, address):
        self.fleet.send(self.member, data, f"{address[0]}:{address[1]}")
