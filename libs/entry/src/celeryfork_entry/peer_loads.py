"""Work in flight, who places layers, and the newest configuration, told to the peers.

Datagrams: a lost one is replaced by the next within a quarter of a second.
"""

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from typing import cast

from attrs import define, field, frozen
from celeryfork_routing.engine_loads import EngineLoads, Load
from celeryfork_routing.layers import LayerRange
from logbook import Logger
from orjson import JSONDecodeError, dumps, loads

from celeryfork_entry.ports import Peer
from celeryfork_entry.targets import LearntLayers, Target

INTERVAL_S = 0.25
"""Pause between two reports to peers of the domain; a stream lasts several."""
REPORTS_TO_AWAY = 4
"""Each so many reports, one goes to the peers of other domains too."""
IDLE_REPORTS = 8
"""Each so many reports, one goes out though there is nothing to say."""
HEARD_LIFE_S = 10.0
"""Time that a peer is told things after its last report though it isn't listed.

One that the store turns away drops off the list within seconds.
"""
VERSION_TELLINGS = 8
"""Reports in which a new version is told though there is nothing else; two are enough
for the peers of all domains, the others make up for lost datagrams."""
MOST_DATAGRAM_BYTES = 60_000


@frozen
class _Heard:
    """Where a report came from, and when."""

    domain: str
    at_s: float


@define(eq=False)
class PeerLoads(asyncio.DatagramProtocol):
    """Sends this instance's loads and takes the peers'.

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
    layers
        Gives what engines reported and the list doesn't say, by engine.
    on_layers
        Called with each engine of which a peer passes that on.
    on_down
        Called with an engine that a peer has found to be down, its start, and the peer.
    fence_heard, fence_heard_s
        The highest fence with which a peer said to place layers, and when the last one
        said so; the start of this instance before the first.
    """

    name: str
    domain: str
    address: str
    _loads: EngineLoads
    _log: Logger
    peers: Sequence[Peer] = ()
    _transport: asyncio.DatagramTransport | None = None
    _unreadable: int = field(default=0)
    _said_idle: bool = False
    fence: Callable[[], int | None] = lambda: None
    on_fence: Callable[[int], None] = lambda fence: None
    version: Callable[[], int] = lambda: -1
    on_version: Callable[[int, str], None] = lambda version, address: None
    layers: Callable[[], Mapping[str, LearntLayers]] = dict
    on_layers: Callable[[str, LearntLayers], None] = lambda engine_id, learnt: None
    _reports: int = 0
    _version_told: int = -1
    _version_tellings: int = 0
    _heard_by_address: dict[str, _Heard] = field(factory=dict)
    on_down: Callable[[str, int | None, str], None] = lambda engine, born_ms, peer: None
    _down: list[tuple[str, int | None]] = field(factory=list)
    fence_heard: int = -1
    fence_heard_s: float = field(factory=time.monotonic)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take a peer's report."""
        try:
            report = loads(data)
            load_by_engine = {
                str(engine_id): Load(int(requests), float(token_layers))
                for engine_id, (requests, token_layers) in report["loads"].items()
            }
            peer, at = str(report["from"]), str(report["at"])
            self._heard_by_address[at] = _Heard(str(report["domain"]), time.monotonic())
            fence = report.get("fence")
            if isinstance(fence, int):
                self.fence_heard = max(self.fence_heard, fence)
                self.fence_heard_s = time.monotonic()
                self.on_fence(fence)
            version = report.get("version")
            if isinstance(version, int) and version > self.version():
                self.on_version(version, at)
            for engine_id, row in report.get("layers", {}).items():
                self.on_layers(str(engine_id), _learnt(row))
            for engine_id, born_ms in report.get("down", ()):
                self.on_down(str(engine_id), born_ms, peer)
        except (JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as e:
            self._unreadable += 1
            if self._unreadable == 1:
                self._log.info("peer_report_unreadable", peer=address[0], reason=str(e))
            return
        self._loads.hear(peer, load_by_engine, time.monotonic())

    def error_received(self, error: Exception) -> None:
        """Ignore a peer's refusal: it is gone, and the next list says so."""

    async def run(self, stopping: Callable[[], bool]) -> None:
        """Report at each interval."""
        while not stopping():
            await asyncio.sleep(INTERVAL_S)
            self._report()

    def tell_down(self, target: Target) -> None:
        """Tell all peers at once that an engine is down: their streams wait too."""
        if not self._down:
            asyncio.get_running_loop().call_soon(self._report_down)
        self._down.append((target.id, target.born_ms))

    def _report_down(self) -> None:
        self._send(self._message(down=self._down), to_away=True)
        self._down = []

    def _report(self) -> None:
        own = self._loads.own()
        self._reports += 1
        to_away = self._reports % REPORTS_TO_AWAY == 0
        fence, version = self.fence(), self.version()
        if version != self._version_told:
            self._version_told, self._version_tellings = version, 0
        told = self._version_tellings >= VERSION_TELLINGS
        layers = self.layers()
        idle = not (own or layers) and self._said_idle and fence is None and told
        if idle and self._reports % IDLE_REPORTS != 0:
            return
        self._version_tellings += 1
        self._said_idle = not own and to_away
        self._send(self._message(), to_away=to_away)

    def _message(self, **news: object) -> bytes:
        return dumps(
            {
                "from": self.name,
                "at": self.address,
                "domain": self.domain,
                "fence": self.fence(),
                "version": self.version(),
                "layers": {key: _row(learnt) for key, learnt in self.layers().items()},
                "loads": {
                    key: (load.requests, round(load.token_layers))
                    for key, load in self._loads.own().items()
                },
                **news,
            }
        )

    def _send(self, data: bytes, *, to_away: bool) -> None:
        if self._transport is None or len(data) > MOST_DATAGRAM_BYTES:
            return
        for address, domain in self._domain_by_address().items():
            if domain != self.domain and not to_away:
                continue
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def heard_of(self, domain: str, since_s: float) -> set[str]:
        """Return the addresses of a domain's peers that have reported since."""
        return {
            address
            for address, heard in self._heard_by_address.items()
            if heard.domain == domain and heard.at_s >= since_s
        }

    def _domain_by_address(self) -> dict[str, str]:
        """Return the peers listed and those heard of late."""
        since_s = time.monotonic() - HEARD_LIFE_S
        self._heard_by_address = {
            address: heard
            for address, heard in self._heard_by_address.items()
            if heard.at_s >= since_s and address != self.address
        }
        heard = {at: heard.domain for at, heard in self._heard_by_address.items()}
        return heard | {peer.address: peer.domain for peer in self.peers}


def _row(learnt: LearntLayers) -> list[int | None]:
    """Return what an engine holds, its start, and how long ago it said so in ms."""
    age_ms = round((time.monotonic() - learnt.at_s) * 1000)
    if learnt.held is None:
        return [None, None, learnt.born_ms, age_ms]
    return [learnt.held.first, learnt.held.last, learnt.born_ms, age_ms]


def _learnt(row: object) -> LearntLayers:
    """Return what a peer passes on of an engine.

    Raises
    ------
    ValueError
        The row is no such thing: the peer runs other software, or its bytes are broken.
    """
    match row:
        case [None, None, int() | None as born_ms, int(age_ms)]:
            held = None
        case [int(first), int(last), int() | None as born_ms, int(age_ms)] if (
            0 <= first < last
        ):
            held = LayerRange(first, last)
        case _:
            raise ValueError(f"no layers of an engine: {row!r}")
    at_s = time.monotonic() - max(0, age_ms) / 1000
    return LearntLayers(held, born_ms, at_s, own=False)
