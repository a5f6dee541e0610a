"""The platform's stand-ins behind proxies that disturb what passes, and a witness."""

import asyncio
import time
from itertools import count
from logging import CRITICAL, getLogger

from aiohttp import web
from attrs import define, field
from platform_standins import Platform, make_configuration

TRICKLE_BYTES = 16
TRICKLE_PAUSE_S = 0.005
LOOK_S = 0.02
EVENT_GAP_S = 0.03
KINDS = ("big", "small", "small", "small", "desk", "desk")
"""What each zone has."""
LEAST_BY_PLACE = {"engine": 6, "service": 3}
"""Fewest that must serve for a fault to come to one of them."""


@define(eq=False)
class Proxy:
    """Passes bytes between the entry and one server; holds those of a muted way."""

    id: str
    to: str
    delay_s: float = 0.0
    muted: str = ""
    trickles: bool = False
    _writers: set[asyncio.StreamWriter] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to.split(":"))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            self._pass(reader, far_writer, "up"), self._pass(far_reader, writer, "down")
        )
        self._writers -= {writer, far_writer}

    async def _pass(self, reader, writer, way):
        try:
            while data := await reader.read(65_536):
                await asyncio.sleep(self.delay_s)
                while self.muted == way:
                    await asyncio.sleep(LOOK_S)
                size = TRICKLE_BYTES if self.trickles else len(data)
                for begin in range(0, len(data), size):
                    writer.write(data[begin : begin + size])
                    await writer.drain()
                    await asyncio.sleep(TRICKLE_PAUSE_S if self.trickles else 0)
            writer.close()
        except ConnectionError:
            writer.transport.abort()

    async def reset(self):
        for writer in self._writers:
            writer.transport.abort()

    async def close(self):
        self._server.close()
        self.muted = ""
        await self.reset()


class SoakPlatform(Platform):
    """A fleet whose servers are reached over proxies, and which notes what arrives.

    Parameters
    ----------
    engines_factor
        Multiple of the usual number of engines, and of the fewest that must serve.

    Attributes
    ----------
    latest_s
        Longest time for which the stand-ins' loop had no turn. Above a few tenths, all
        of them were silent at once, to all instances.
    """

    def __init__(self, zones, engines_factor=1):
        getLogger("aiohttp").setLevel(CRITICAL)
        self.proxies, self.arrivals, self._numbers = {}, [], count(1)
        self._least_by_place = dict(LEAST_BY_PLACE)
        self._least_by_place["engine"] *= engines_factor
        super().__init__()
        self.latest_s = 0.0
        self._watch = asyncio.run_coroutine_threadsafe(self._watch_loop(), self.loop)
        self.store.id = "store"
        self.tenants = make_configuration(0)["tenants"]
        for zone in zones:
            for kind in KINDS:
                for _ in range(1 if kind == "desk" else engines_factor):
                    self.add(zone, kind)

    async def _watch_loop(self):
        while True:
            due_s = time.monotonic() + LOOK_S
            await asyncio.sleep(LOOK_S)
            self.latest_s = max(self.latest_s, time.monotonic() - due_s)

    def add(self, zone, kind):
        name = f"{zone}-{kind}-{next(self._numbers)}"
        if kind == "desk":
            target = self.add_service(name, zone)
        else:
            target = self.add_engine(name, zone, kind)
        target.event_gap_s = EVENT_GAP_S

    def replace(self, target):
        self.add(target.zone, getattr(target, "kind", "desk"))

    def targets(self):
        return self.engines | self.services

    def places(self, where):
        """Return the parts that a fault may come to, none where few are left."""
        serving = [
            target
            for name, target in sorted(self.targets().items())
            if name in self._runners and target.state == "ready"
        ]
        places = {
            "store": [self.store],
            "store proxy": [self.proxies["store"]],
            "proxy": [self.proxies[each.id] for each in serving],
            "service": [each for each in serving if each.id in self.services],
            "engine": [
                each
                for each in serving
                if each.id in self.engines and each.held is not None
                if not (each.silent or each.full)
            ],
        }[where]
        return places if len(places) >= self._least_by_place.get(where, 0) else []

    async def _listen(self, name, handle):
        async def witness(request):
            path = request.headers.get("X-Hop-Count", "")
            addresses = [part.partition("=")[0] for part in path.split(",")]
            if attempt := request.headers.get("X-Attempt-Id"):
                self.arrivals.append((time.monotonic(), name, attempt, addresses))
            for engine in self.engines.values():
                if engine.full and engine.addr in addresses[1:]:
                    headers = {"X-Not-Run": "1", "At-Server": engine.addr}
                    return web.Response(status=503, headers=headers)
            return await handle(request)

        self.proxies[name] = Proxy(name, await super()._listen(name, witness))
        return await self.proxies[name].start()

    def put_configuration(self, configuration):
        self.call(self._put("keyed.op", "config", configuration))

    def drain(self, target):
        target.state = "draining"
        self.call(self._put("keyed.servers", target.id, target.entry()))

    async def _put(self, topic, key, value):
        self.store.put(topic, key, value)

    async def _end(self, name):
        await self.proxies[name].close()
        await super()._end(name)

    def stop(self):
        self._watch.cancel()
        for proxy in self.proxies.values():
            self.call(proxy.close())
        super().stop()
