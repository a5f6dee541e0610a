"""Stand-ins of the users' engines and plain services.

They speak the published messages and share no code with the adapter.
"""

import asyncio
import time
from copy import copy

from aiohttp import web

ODD_ANSWER_S = 0.2
"""Seconds for which the connection of an odd answer stays open, so that it is read."""
STREAM_PATHS = ("/live/", "/split/")
"""Path prefixes for which a plain service answers with a stream."""
EVENTS_BEFORE_LOSS = 3
"""Events of a stream that a plain service sends before it loses the rest."""


def shared_parts(headers):
    """Return the ids of the parts of a prompt but the last."""
    entries = headers.get("X-Prompt-Prefix", "").split(",")[:-1]
    return {entry.partition(":")[0].strip() for entry in entries}


def started_anew(target, under_new_id):
    """Return the next start of a target, which shares the record of its runs."""
    anew = copy(target)
    anew.born = max(int(time.time() * 1000), target.born + 1)
    anew.beats = anew.open = 0
    if under_new_id:
        anew.id, anew.runs = f"{target.id}-{anew.born}", []
    return anew


async def answer_oddly(request, status, headers):
    """Write a whole answer with a status that the server's library may not know."""
    lines = [f"HTTP/1.1 {status} Odd", "Content-Length: 5"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    request.transport.write("\r\n".join([*lines, "", "whole"]).encode())
    await asyncio.sleep(ODD_ANSWER_S)
    request.transport.abort()
    return web.Response()


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
        self.paths = {}
        self.refuses_detours = False
        self.open = 0
        self.event_gap_s = 0.01
        self.events_before_cut = None
        self.silent = False
        self.full = False
        self.fills_the_fleet = False
        self.odd_status = None

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

    def started_anew(self, under_new_id):
        anew = started_anew(self, under_new_id)
        anew.held, anew.seq, anew.fence, anew.paths = None, 0, -1, {}
        anew.silent = anew.full = False
        anew.events_before_cut = anew.odd_status = None
        if under_new_id:
            anew.orders = []
        return anew

    def layers(self):
        if self.held is None:
            return None
        return {"from": self.held[0], "to": self.held[1], "version": 1}

    def listed(self):
        self.platform.store.put("keyed.servers", self.id, self.entry())

    async def handle(self, request):
        while self.silent:
            await asyncio.sleep(0.02)
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
        if request.path == "/healthz":
            status = 503 if self.state == "draining" else 200
            return web.Response(status=status, headers={"X-Instance-Id": self.id})
        return await self._run(request)

    def _order(self, order):
        self.orders.append(order)
        if order["fence"] < self.fence:
            return web.Response(status=412)
        self.fence = order["fence"]
        if order["op"] == "repath":
            return self._repath(order)
        if order.get("precondition") != self.seq:
            return web.Response(status=409)
        self.seq += 1
        self.held = (order["from"], order["to"])
        self.listed()
        return web.Response(status=202)

    def _repath(self, order):
        if order["id"] not in self.paths:
            return web.Response(status=404)
        path = self.read_path(order["path"])
        before = self.paths[order["id"]]
        for part in path:
            there = self.platform.alive(part[0]) and self.platform.holds(*part)
            if self.refuses_detours or not there:
                return web.json_response({"addr": part[0]}, status=409)
        if path[0] != before[0]:
            return web.Response(status=400)
        self.seq += 1
        self.paths[order["id"]] = path
        return web.Response(status=200)

    async def _run(self, request):
        headers = request.headers
        attempt = headers["X-Attempt-Id"]
        deadly = bool(self.platform.deadly_parts & shared_parts(headers))
        if headers["X-Expect-Instance"] != self.id:
            return web.Response(status=421)
        runs = not (self.full or self.state == "draining")
        if deadly:
            self.platform.note_deadly(self, attempt, ran=runs)
        if not runs:
            return web.Response(status=503, headers={"X-Not-Run": "1"})
        path = self.read_path(headers["X-Hop-Count"])
        self.runs.append((attempt, path, headers))
        if self.odd_status is not None:
            stamp = {"X-Attempt-Id": attempt, "X-Server-Stamp": f"stamp.{self.id}"}
            return await answer_oddly(request, self.odd_status, stamp)
        if self.fills_the_fleet:
            for engine in self.platform.engines.values():
                engine.full = True
        self.open += 1
        self.paths[attempt] = path
        try:
            return await self._stream(request, attempt, deadly)
        finally:
            self.open -= 1
            self.paths.pop(attempt, None)

    def read_path(self, header):
        parts = []
        for part in header.split(","):
            address, _, layers = part.partition("=")
            first, _, last = layers.partition("-")
            parts.append((address, int(first), int(last)))
        return parts

    async def _stream(self, request, attempt, deadly):
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        count = int(request.headers["X-Token-Count"].split(",")[1]) // 2
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": attempt,
                "X-Server-Stamp": f"stamp.{self.id}",
            }
        )
        await self.platform.whole(lambda: self.paths[attempt])
        await response.prepare(request)
        if deadly:
            await self.platform.crash(self)
        for number in range(first, count + 1):
            await asyncio.sleep(self.event_gap_s)
            await self.platform.while_held(attempt, number - 1)
            await self.platform.whole(lambda: self.paths[attempt])
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
        self.event_gap_s = 0.01
        self.state = "ready"
        self.beats = 0
        self.born = 1
        self.open = 0
        self.odd_status = None

    def started_anew(self, under_new_id):
        anew = started_anew(self, under_new_id)
        anew.behaviour, anew.odd_status = "answer", None
        return anew

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
            "born": self.born,
        }

    def listed(self):
        self.platform.store.put("keyed.servers", self.id, self.entry())

    async def handle(self, request):
        if self.odd_status is None:
            return await self._answer(request)
        body, attempt = await request.read(), request.headers["X-Attempt-Id"]
        self.runs.append((attempt, request.method, request.path_qs, body))
        headers = {"X-Attempt-Id": attempt, "X-Server-Stamp": f"stamp.{self.id}"}
        return await answer_oddly(request, self.odd_status, headers)

    async def _answer(self, request):
        body = await request.read()
        attempt = request.headers["X-Attempt-Id"]
        if request.headers["X-Expect-Instance"] != self.id:
            return web.Response(status=421)
        headers = {"X-Attempt-Id": attempt, "X-Server-Stamp": f"stamp.{self.id}"}
        caller = request.headers.get("X-Tenant")
        deadly = (request.path_qs, caller, body) in self.platform.deadly_requests
        runs = self.behaviour != "full"
        if deadly:
            self.platform.note_deadly(self, attempt, ran=runs)
        if not runs:
            return web.Response(status=503, headers={"X-Not-Run": "1"})
        self.runs.append((attempt, request.method, request.path_qs, body))
        self.headers = request.headers
        if deadly:
            await self.platform.crash(self)
        await self.platform.while_held(attempt)
        return await self._run(request, headers)

    async def _run(self, request, headers):
        attempt, streamed = (
            headers["X-Attempt-Id"],
            request.path.startswith(STREAM_PATHS),
        )
        match self.behaviour:
            case "lose" if not streamed:
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
        if streamed:
            return await self._stream(request, attempt, headers)
        text = f"done {attempt}".ljust(self.platform.answer_bytes.get(attempt, 0))
        return web.Response(headers=headers, text=text)

    async def _stream(self, request, attempt, headers):
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        count = int(request.headers["X-Token-Count"].split(",")[1]) // 2
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number in range(first, count + 1):
            await asyncio.sleep(self.event_gap_s)
            await self.platform.while_held(attempt, number - 1)
            if self.behaviour == "lose" and number - first == EVENTS_BEFORE_LOSS:
                await response.write(b"id: 9")
                request.transport.abort()
                return response
            data = f"id: {number}\ndata: {attempt}-{number}\n\n"
            await response.write(data.encode())
        await response.write_eof()
        return response
