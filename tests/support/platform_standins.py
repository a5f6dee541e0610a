"""Stand-ins of the users' platform: store, engines and plain services.

They speak the published messages and share no code with the adapter. Each runs on the
event loop of one thread, so that a test can use blocking clients.
"""

import asyncio
import base64
import json
import struct
import threading
import time

from aiohttp import web

ZONES = ("west", "east")
LAYERS = 8
LAYER_MB = 100.0
KINDS = [
    {"name": "big", "mb": 600.0, "pace": 1.0, "readX": 1.0},
    {"name": "small", "mb": 500.0, "pace": 4.0, "readX": 4.0},
]


class StoreStandin:
    """A log with keyed topics and groups."""

    def __init__(self):
        self.records_by_topic = {}
        self.groups = {}
        self.down = False
        self.misses_changes = False
        self.calls = []
        self._changed = asyncio.Event()
        self.lost_before = {}

    def put(self, topic, key, value):
        data = b"" if value is None else value
        if isinstance(data, dict):
            data = json.dumps(data).encode()
        self.records_by_topic.setdefault(topic, []).append((key, data))
        self._changed.set()
        self._changed = asyncio.Event()

    def forget_history(self, topic):
        self.lost_before[topic] = len(self.records_by_topic.get(topic, []))

    async def handle(self, request):
        self.calls.append(request.path)
        if self.down:
            return web.Response(status=503)
        match request.path:
            case "/-/log-newest":
                return self._newest(request.query["topic"])
            case "/-/log-read":
                return await self._read(request.query)
            case "/-/log-join":
                return self._join(await request.json())
            case "/-/log-leave":
                return self._leave(await request.json())
            case "/-/log-owners":
                return self._owners(request.query["group"])
        return web.Response(status=400)

    def _newest(self, topic):
        records = self.records_by_topic.get(topic, [])
        newest = {key: (offset, data) for offset, (key, data) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
            for key, (offset, data) in newest.items()
            if data
        ]
        return web.json_response(
            {"items": items, "truncated": False, "end": len(records)}
        )

    async def _read(self, query):
        topic, start = query["topic"], int(query["from"])
        if start < self.lost_before.get(topic, 0):
            first = self.lost_before[topic]
            return web.json_response({"first": first}, status=410)
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        missed = self.misses_changes and "waitMs" in query
        while missed or len(self.records_by_topic.get(topic, [])) <= start:
            left = until - time.monotonic()
            if left <= 0 or self.down:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.1))
            except TimeoutError:
                continue
        records = self.records_by_topic.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, data in records[start:]:
            content = bytes([len(key)]) + key.encode() + data
            body += struct.pack(">I", len(content)) + content
        return web.Response(body=body)

    def _members(self, group):
        now = time.monotonic()
        state = self.groups.setdefault(group, {"members": {}, "generation": 0})
        alive = {name: t for name, t in state["members"].items() if t > now}
        if set(alive) != set(state["members"]):
            state["generation"] += 1
        state["members"] = alive
        return state

    def _join(self, body):
        state = self._members(body["group"])
        if body["member"] not in state["members"]:
            state["generation"] += 1
        state["members"][body["member"]] = time.monotonic() + body["ttlMs"] / 1000
        names = sorted(state["members"])
        mine = [
            [topic, part, 0]
            for topic in body["topics"]
            for part in range(8)
            if names[part % len(names)] == body["member"]
        ]
        return web.json_response(
            {"generation": state["generation"], "ttlMs": body["ttlMs"], "parts": mine}
        )

    def _leave(self, body):
        state = self._members(body["group"])
        if state["members"].pop(body["member"], None) is not None:
            state["generation"] += 1
        return web.json_response({})

    def _owners(self, group):
        names = sorted(self._members(group)["members"])
        rows = [["entry-duty", part, names[part % len(names)], 0] for part in range(8)]
        return web.json_response(rows if names else [])


class EngineStandin:
    """One model engine."""

    def __init__(self, platform, engine_id, zone, kind):
        self.platform = platform
        self.id = engine_id
        self.zone = zone
        self.kind = kind
        self.held = None
        self.seq = 0
        self.beats = 0
        self.born = int(time.time() * 1000)
        self.fence = -1
        self.state = "ready"
        self.orders = []
        self.runs = []
        self.open = 0
        self.event_gap_s = 0.01
        self.events_before_cut = None
        self.silent = False
        self.full = False
        self.fills_the_fleet = False

    def entry(self):
        self.beats += 1
        return {
            "service": "llm",
            "addr": self.addr,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.beats,
            "models": [],
            "layers": self.layers(),
            "kind": self.kind,
            "born": self.born,
        }

    def layers(self):
        if self.held is None:
            return None
        return {"from": self.held[0], "to": self.held[1], "version": 1}

    def listed(self):
        self.platform.store.put("keyed.servers", self.id, self.entry())

    async def handle(self, request):
        if self.silent:
            await asyncio.sleep(30)
        if request.path == "/-/report":
            return web.json_response(
                {
                    "stage": "mixed",
                    "models": [],
                    "layers": self.layers(),
                    "busy": False,
                    "seq": self.seq,
                    "born": self.born,
                    "pace": 1.0,
                    "waiting": 0,
                    "running": self.open,
                    "kvUsed": 0,
                    "kvTotal": 1000,
                    "handles": 0,
                }
            )
        if request.path == "/-/order":
            return self._order(await request.json())
        return await self._run(request)

    def _order(self, order):
        self.orders.append(order)
        if order["fence"] < self.fence:
            return web.Response(status=412)
        self.fence = order["fence"]
        if order.get("precondition") != self.seq:
            return web.Response(status=409)
        self.seq += 1
        self.held = (order["from"], order["to"])
        self.listed()
        return web.Response(status=202)

    async def _run(self, request):
        headers = request.headers
        attempt = headers["X-Attempt-Id"]
        if headers["X-Expect-Instance"] != self.id:
            return web.Response(status=421)
        if self.full:
            return web.Response(status=503, headers={"X-Not-Run": "1"})
        path = self._path(headers["X-Hop-Count"])
        self.runs.append((attempt, path, headers))
        if self.fills_the_fleet:
            for engine in self.platform.engines.values():
                engine.full = True
        self.open += 1
        try:
            return await self._stream(request, attempt, path)
        finally:
            self.open -= 1

    def _path(self, header):
        parts = []
        for part in header.split(","):
            address, _, layers = part.partition("=")
            first, _, last = layers.partition("-")
            parts.append((address, int(first), int(last)))
        return parts

    async def _stream(self, request, attempt, path):
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        count = int(request.headers["X-Token-Count"].split(",")[1]) // 2
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": attempt,
                "X-Server-Stamp": f"stamp.{self.id}",
            }
        )
        await self.platform.whole(path)
        await response.prepare(request)
        for number in range(first, count + 1):
            await asyncio.sleep(self.event_gap_s)
            await self.platform.whole(path)
            if self.events_before_cut == number - first:
                await response.write(b"id: 9")
                request.transport.abort()
                return response
            data = f"id: {number}\ndata: {attempt}-{number}\n\n"
            await response.write(data.encode())
        await response.write_eof()
        return response


class ServiceStandin:
    """One target of a plain service."""

    def __init__(self, platform, target_id, zone):
        self.platform = platform
        self.id = target_id
        self.zone = zone
        self.runs = []
        self.behaviour = "answer"
        self.state = "ready"
        self.beats = 0
        self.open = 0

    def entry(self):
        self.beats += 1
        return {
            "service": "desk",
            "addr": self.addr,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.beats,
            "born": 1,
        }

    def listed(self):
        self.platform.store.put("keyed.servers", self.id, self.entry())

    async def handle(self, request):
        body = await request.read()
        attempt = request.headers["X-Attempt-Id"]
        if request.headers["X-Expect-Instance"] != self.id:
            return web.Response(status=421)
        headers = {"X-Attempt-Id": attempt, "X-Server-Stamp": f"stamp.{self.id}"}
        if self.behaviour == "full":
            return web.Response(status=503, headers={"X-Not-Run": "1"})
        self.runs.append((attempt, request.method, request.path_qs, body))
        self.headers = dict(request.headers)
        match self.behaviour:
            case "lose":
                request.transport.abort()
            case "fail":
                return web.Response(status=500, headers=headers, text="failed")
            case "other":
                headers["X-Attempt-Id"] = "someone-else"
            case "slow":
                self.open += 1
                try:
                    await asyncio.sleep(3)
                finally:
                    self.open -= 1
            case "busy":
                return web.Response(status=503, headers=headers)
        return web.Response(headers=headers, text=f"done {attempt}")


class Platform:
    """The store and a fleet, on a thread of their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.engines = {}
        self.services = {}
        self._runners = {}
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

    def add_engine(self, engine_id, zone, kind):
        async def add():
            engine = EngineStandin(self, engine_id, zone, kind)
            engine.addr = await self._listen(engine_id, engine.handle)
            self.engines[engine_id] = engine
            engine.listed()
            return engine

        return self.call(add())

    def add_service(self, target_id, zone):
        async def add():
            service = ServiceStandin(self, target_id, zone)
            service.addr = await self._listen(target_id, service.handle)
            self.services[target_id] = service
            service.listed()
            return service

        return self.call(add())

    def kill(self, name):
        async def kill():
            runner = self._runners.pop(name)
            for site in list(runner.sites):
                await site.stop()
            for connection in list(runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await runner.cleanup()

        self.call(kill())

    def alive(self, address):
        return any(
            engine.addr == address and name in self._runners and not engine.silent
            for name, engine in self.engines.items()
        )

    async def whole(self, path):
        """Wait while a part of the path is dead, as engines do."""
        while not all(self.alive(address) for address, _, _ in path):
            await asyncio.sleep(0.02)

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
