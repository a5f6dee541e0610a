"""The users' platform in small: store, engines and services on one thread.

A test can use blocking clients beside it.
"""

import asyncio
import threading
import time

from aiohttp import web
from attrs import frozen
from engine_standins import EngineStandin, ServiceStandin
from store_standin import StoreStandin

CRASH_AFTER_S = 0.02
"""Seconds from the begin of a deadly run to the crash of its target."""
UNLISTED_AFTER_S = 1.0
"""Seconds after which the list leaves out a target that has crashed."""
NEW_ID_EVERY = 4
"""One crash in so many is followed by a start under a new id."""
LAYERS = 8
LAYER_MB = 100.0
KINDS = [
    {"name": "big", "mb": 600.0, "pace": 1.0, "readX": 1.0},
    {"name": "small", "mb": 500.0, "pace": 4.0, "readX": 4.0},
]


@frozen
class DeadlyArrival:
    """A request that crashes targets, as it reached one.

    Parameters
    ----------
    at_s
        Monotonic time.
    ran
        True if the target began to run it.
    """

    at_s: float
    target_id: str
    attempt: str
    ran: bool


class Platform:
    """The store and a fleet, on a thread of their own.

    Attributes
    ----------
    deadly_parts
        Ids of parts of prompts. An engine crashes as it begins to write an answer to a
        request that shares one of them; the last part of a prompt isn't shared.
    deadly_requests
        Path, caller and body of requests that crash each plain service's target.
    restart_s
        Seconds from the crash of a target to its next start.
    held_after
        Number of events after which the answer to an attempt is held, by attempt; 0
        holds it whole.
    answer_bytes
        Size of the body of a plain answer, by attempt.
    deadly_arrivals
        Arrivals of deadly requests, in order.
    crashes
        Monotonic time of each crash and the id of its target, in order.
    """

    deadly_parts = frozenset()
    deadly_requests = frozenset()
    restart_s = 2.0

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.engines = {}
        self.services = {}
        self.deadly_arrivals = []
        self.crashes = []
        self.held_after = {}
        self.answer_bytes = {}
        self._runners = {}
        self._restarts = set()
        self.version = 0
        self.store = self.call(self._start())

    def call(self, coroutine, timeout=10):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)

    async def _start(self):
        store = StoreStandin()
        self.store_addr = await self._listen("store", store.handle)
        return store

    async def _listen(self, name, handle):
        application = web.Application(client_max_size=64 << 20)
        application.router.add_route("*", "/{tail:.*}", handle)
        runner = web.AppRunner(
            application, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners[name] = runner
        port = runner.addresses[0][1]
        return f"127.0.0.1:{port}"

    def add_engine(self, engine_id, zone, kind, held=None):
        engine = EngineStandin(self, engine_id, zone, kind)
        engine.held = held
        return self.call(self._begin(self.engines, engine))

    def add_service(self, target_id, zone):
        service = ServiceStandin(self, target_id, zone)
        return self.call(self._begin(self.services, service))

    async def _begin(self, targets, target):
        target.addr = await self._listen(target.id, target.handle)
        targets[target.id] = target
        target.listed()
        return target

    def kill(self, name):
        self.call(self._end(name))

    async def _end(self, name):
        runner = self._runners.pop(name, None)
        if runner is None:
            return
        for site in list(runner.sites):
            await site.stop()
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    def note_deadly(self, target, attempt, *, ran):
        arrival = DeadlyArrival(time.monotonic(), target.id, attempt, ran)
        self.deadly_arrivals.append(arrival)

    async def crash(self, target):
        """End a target during a run, and start it anew later.

        The run waits for the crash, which cuts it off with all others.
        """
        await asyncio.sleep(CRASH_AFTER_S)
        restart = asyncio.ensure_future(self._crash_and_restart(target))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)
        await asyncio.Event().wait()

    async def _crash_and_restart(self, target):
        if target.id not in self._runners:
            return
        self.crashes.append((time.monotonic(), target.id))
        anew = target.started_anew(len(self.crashes) % NEW_ID_EVERY == 0)
        await self._end(target.id)
        await asyncio.sleep(UNLISTED_AFTER_S)
        self.store.put("keyed.servers", target.id, None)
        await asyncio.sleep(self.restart_s - UNLISTED_AFTER_S)
        if target.state == "ready":
            is_engine = target.id in self.engines
            await self._begin(self.engines if is_engine else self.services, anew)

    def alive(self, address):
        return any(
            engine.addr == address and name in self._runners and not engine.silent
            for name, engine in self.engines.items()
        )

    async def whole(self, path_of):
        """Wait while a part of a run's path is dead, as engines do.

        ``path_of`` gives the path, which an order may change meanwhile.
        """
        while not all(self.alive(address) for address, _, _ in path_of()):
            await asyncio.sleep(0.02)

    async def while_held(self, attempt, events=0):
        """Wait while the answer to an attempt is held after so many events."""
        while self.held_after.get(attempt) == events:
            await asyncio.sleep(0.01)

    def holds(self, address, first, last):
        return any(
            engine.addr == address
            and engine.held is not None
            and engine.held[0] <= first < last <= engine.held[1]
            for engine in self.engines.values()
        )

    def configure(self, **changes):
        self.version += 3
        config = make_configuration(self.version) | changes

        async def put():
            self.store.put("keyed.op", "config", config)

        self.call(put())
        return config

    def put_entry(self, key, value):
        async def put():
            self.store.put("keyed.servers", key, value)

        self.call(put())

    def stop(self):
        async def stop():
            for restart in self._restarts:
                restart.cancel()
            for runner in self._runners.values():
                await runner.cleanup()

        self.call(stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


def make_configuration(version):
    route = {"host": "shop.example", "sloMs": 500, "priority": 1, "public": False}
    return {
        "version": version,
        "routes": [
            route
            | {
                "name": "r-advice",
                "pathPrefix": "/advice/",
                "kind": "stream",
                "timeoutMs": 10000,
                "service": "llm",
                "maxAttempts": 2,
                "sticky": True,
                "resumable": True,
                "gapAimMs": 200,
            },
            route
            | {
                "name": "r-book",
                "pathPrefix": "/book/",
                "kind": "unsafe",
                "timeoutMs": 1500,
                "service": "desk",
                "maxAttempts": 1,
            },
            route
            | {
                "name": "r-look",
                "pathPrefix": "/look/",
                "kind": "safe",
                "timeoutMs": 1500,
                "service": "desk",
                "maxAttempts": 2,
            },
            route
            | {
                "name": "r-open",
                "pathPrefix": "/look/open/",
                "kind": "safe",
                "timeoutMs": 1500,
                "service": "desk",
                "maxAttempts": 2,
                "public": True,
            },
            route
            | {
                "name": "r-live",
                "pathPrefix": "/live/",
                "kind": "stream",
                "timeoutMs": 10000,
                "service": "desk",
                "maxAttempts": 3,
                "resumable": True,
                "gapAimMs": 200,
            },
            route
            | {
                "name": "r-once",
                "pathPrefix": "/live/once/",
                "kind": "stream",
                "timeoutMs": 10000,
                "service": "desk",
                "maxAttempts": 3,
                "gapAimMs": 200,
            },
            route
            | {
                "name": "r-split",
                "pathPrefix": "/split/",
                "kind": "stream",
                "timeoutMs": 10000,
                "split": [
                    {"service": "llm", "weight": 50},
                    {"service": "desk", "weight": 50},
                ],
                "maxAttempts": 3,
                "resumable": True,
                "gapAimMs": 200,
            },
        ],
        "services": [
            {
                "name": "llm",
                "healthPath": "/healthz",
                "maxConns": 100,
                "engine": {
                    "slots": 8,
                    "kvTokenBytes": 80_000,
                    "step_ms": 0.5,
                    "per_seq_ms": 0.01,
                    "context_per_k": 0.01,
                    "read_per_s": 200_000.0,
                    "layers": LAYERS,
                    "layerMb": LAYER_MB,
                    "actBytes": 1000,
                    "pipeMbps": 10_000.0,
                    "kinds": KINDS,
                    "usual": {"prompt": 100, "answer": 40},
                    "models": [{"name": "m", "loadS": 0.5}],
                    "delays": [{"from": "west", "to": "east", "delay_ms": 0.2}],
                },
            },
            {"name": "desk", "healthPath": "/healthz", "maxConns": 50},
        ],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 5000,
        },
        "tenants": [
            {"name": "kiosk", "apiKeys": ["key-1", "key-2"], "priority": 1},
            {"name": "shop", "apiKeys": ["key-3"]},
        ],
    }
