"""Model engines that hold layers as orders say, and may crash and come back."""

import asyncio
import json
import time

from fleet import BEAT_S, target_entry
from http_lite import encode_reply, read_request

LAYERS = 8
STALL_S = 2.5
"""The pages' stall_ms."""
SERVICE = {
    "name": "kokbok-llm",
    "healthPath": "/healthz",
    "maxConns": 908,
    "engine": {
        "slots": 96,
        "kvTokenBytes": 1_180_000,
        "step_ms": 0.85,
        "per_seq_ms": 0.00764,
        "context_per_k": 0.01024,
        "read_per_s": 196_000.0,
        "layers": LAYERS,
        "layerMb": 1750.0,
        "actBytes": 59_000,
        "pipeMbps": 11_000.0,
        "kinds": [{"name": "h100", "mb": 72_000.0, "pace": 1.4, "readX": 1.0}],
        "usual": {"prompt": 100, "answer": 40},
        "models": [{"name": "m", "pace": 1.0, "loadS": 0.5}],
        "delays": [],
    },
}


def shared_parts(header):
    """Return the ids of the parts of a prompt but the last."""
    return {entry.partition(":")[0] for entry in header.split(",")[:-1]}


def read_path(header):
    """Return the parts of a path, as address, first layer and end."""
    path = []
    for part in header.split(","):
        address, _, layers = part.partition("=")
        first, _, last = layers.partition("-")
        path.append((address, int(first), int(last)))
    return path


class Engine:
    """One engine. A prompt with the deadly part ends it as its answer begins."""

    down_s = 2.0
    first_event_s = 0.15
    event_gap_s = 0.02

    def __init__(self, own_id, store, record, deadly_part, engines):
        self.id, self._store, self._record = own_id, store, record
        self._deadly_part, self._engines = deadly_part, engines
        self._connections = set()
        self._server, self._port = None, 0
        self.crashes_s, self.runs = [], []

    async def start(self):
        """Start empty; the port stays the same at later starts."""
        self._born, self._beats = int(time.time() * 1000), 0
        self._held, self._orders, self._fence = None, 0, -1
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        self.beat()

    def beat(self):
        """Write the entry."""
        self._beats += 1
        more = {"kind": "h100", "stage": "mixed", "layers": self._layers()}
        more["service"] = SERVICE["name"]
        entry = target_entry(self.address, self._beats, self._born, slots=96, **more)
        self._store.put("keyed.servers", self.id, entry)

    async def beat_on(self):
        """Write the entry again and again while the engine runs."""
        while True:
            await asyncio.sleep(BEAT_S)
            if self._server.is_serving():
                self.beat()

    def _layers(self):
        if self._held is None:
            return None
        return {"from": self._held[0], "to": self._held[1], "version": 1}

    async def crash(self):
        """End at once, and start again later."""
        self._record.add("engine crashes", id=self.id)
        self.crashes_s.append(time.monotonic())
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(self.down_s)
        await self.start()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while request := await read_request(reader):
                await self._answer(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # The machine closed the connection, or the case ends.
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        match request.path:
            case "/-/report":
                report = {"stage": "mixed", "models": [], "busy": False, "pace": 1.0}
                report |= {"seq": self._orders, "layers": self._layers()}
                report |= {"born": self._born, "waiting": 0, "running": 0}
                report |= {"kvUsed": 0, "kvTotal": 50_000, "handles": 0}
                writer.write(encode_reply(200, (), json.dumps(report).encode()))
            case "/-/order":
                writer.write(encode_reply(self._order(json.loads(request.body))))
            case "/healthz":
                writer.write(encode_reply(200, [("X-Instance-Id", self.id)]))
            case _:
                await self._run(request, writer)

    def _order(self, order):
        if order["fence"] < self._fence:
            return 412
        self._fence = order["fence"]
        if order["op"] != "place":
            return 404
        if order.get("precondition") != self._orders:
            return 409
        self._orders += 1
        self._held = (order["from"], order["to"])
        self.beat()
        return 202

    async def _run(self, request, writer):
        headers = request.headers
        attempt = headers.get("x-attempt-id", "")
        path = read_path(headers.get("x-hop-count", ""))
        if headers.get("x-expect-instance") != self.id or not self._holds(path[0]):
            writer.write(encode_reply(421, [("X-Attempt-Id", attempt)]))
            return
        if lacking := [part for part in path if not self._is_held(part)]:
            fault = [("X-Attempt-Id", attempt), ("At-Server", lacking[0][0])]
            writer.write(encode_reply(503, [("X-Not-Run", "1"), *fault]))
            return
        self.runs.append((time.monotonic(), attempt))
        self._record.add("runs", id=self.id, attempt=attempt)
        await asyncio.sleep(self.first_event_s)
        if self._deadly_part in shared_parts(headers.get("x-prompt-prefix", "")):
            if self._server.is_serving():
                asyncio.ensure_future(self.crash())
            await asyncio.sleep(self.down_s)
            return
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp.{self.id}\r\n\r\n"
        )
        writer.write(head.encode())
        first = int(headers.get("last-event-id", "0")) + 1
        count = int(headers["x-token-count"].split(",")[1]) // 2
        for number in range(first, count + 1):
            data = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
            if not all(map(self._is_held, path)):
                await asyncio.sleep(STALL_S)
                writer.transport.abort()
                return
        writer.write(b"0\r\n\r\n")

    def _holds(self, part):
        """Return True if a part of a path is this engine's, and it holds the layers."""
        address, first, last = part
        held = self._held or (0, 0)
        return address == self.address and held[0] <= first < last <= held[1]

    def _is_held(self, part):
        return any(
            each.is_running and each._holds(part)  # noqa: SLF001
            for each in self._engines
        )

    @property
    def is_running(self):
        """Return True unless the engine has crashed and isn't back."""
        return self._server.is_serving()
