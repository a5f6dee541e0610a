"""Work in flight at engines, and who places layers, told to the peers.

Datagrams: a lost one is replaced by the next within a quarter of a second.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import cast

from attrs import define, field
from celeryfork_routing.engine_loads import EngineLoads, Load
from logbook import Logger
from orjson import JSONDecodeError, dumps, loads

from celeryfork_entry.ports import Peer

INTERVAL_S = 0.25
"""Pause between two reports to peers of the domain; a stream lasts several."""
REPORTS_TO_AWAY = 4
"""Each so many reports, one goes to the peers of other domains too."""
MOST_DATAGRAM_BYTES = 60_000


@define(eq=False)
class PeerLoads(asyncio.DatagramProtocol):
    """Sends this instance's loads and takes the peers'.

    Parameters
    ----------
    fence
        Gives the fence with which this instance places layers, None if it doesn't.
    on_fence
        Called with the fence of a peer that does.
    """

    name: str
    domain: str
    _loads: EngineLoads
    _log: Logger
    peers: Sequence[Peer] = ()
    _transport: asyncio.DatagramTransport | None = None
    _unreadable: int = field(default=0)
    _said_idle: bool = False
    fence: Callable[[], int | None] = lambda: None
    on_fence: Callable[[int], None] = lambda fence: None
    _reports: int = 0

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
            peer = str(report["from"])
            fence = report.get("fence")
            if isinstance(fence, int):
                self.on_fence(fence)
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

    def _report(self) -> None:
        own = self._loads.own()
        self._reports += 1
        to_away = self._reports % REPORTS_TO_AWAY == 0
        fence = self.fence()
        if not own and self._said_idle and fence is None:
            return
        self._said_idle = not own and to_away
        data = dumps(
            {
                "from": self.name,
                "fence": fence,
                "loads": {
                    key: (load.requests, round(load.token_layers))
                    for key, load in own.items()
                },
            }
        )
        if self._transport is None or len(data) > MOST_DATAGRAM_BYTES:
            return
        for peer in self.peers:
            if peer.domain != self.domain and not to_away:
                continue
            host, _, port = peer.address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
