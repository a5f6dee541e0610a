"""Stand-in of one server: a model engine, or a target of the plain service.

It registers itself in the store, and notes each request that it runs on standard
output. ``/stand-in/mode`` sets what it does wrong.
"""

import argparse
import asyncio
import json
import random
import struct
import sys
import time
from urllib.parse import parse_qsl

from wire import encode_answer, send, serve

BEAT_S = 1.2
TOKENS_PER_EVENT = 2
STREAM_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Transfer-Encoding", "chunked"),
]
PIECE = b"x" * 65_536
NEWLINES = b"\n" * 65_536
NEWLINES_GAP_S = 0.016
"""Pause between two pieces: 4 MB/s, a thirtieth of a machine's link."""


class Server:
    """One server; ``mode`` is empty while it is sound."""

    def __init__(self, options):
        self.options = options
        self.held = None
        self.seq = self.beats = 0
        self.fence = -1
        self.running = 0
        self.state, self.mode, self.share = "ready", "", 0.0
        self.leaving = False
        self.born = int(time.time() * 1000)
        self._random = random.Random(options.id)

    def note(self, event, **fields):
        """Print one line about an event."""
        line = {"at": round(time.monotonic(), 3), "server": self.options.id}
        print(json.dumps(line | {"event": event} | fields), flush=True)

    def layers(self):
        """Return the layers that it holds, as in its entry."""
        if self.held is None:
            return None
        return {"from": self.held[0], "to": self.held[1], "version": 1}

    async def put_entry(self):
        """Write the entry in the store's list of servers."""
        options = self.options
        self.beats += 1
        entry = {
            "service": options.service,
            "addr": options.addr,
            "zone": options.zone,
            "version": "v1",
            "slots": options.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.beats,
            "born": self.born,
        }
        if options.kind:
            entry |= {
                "kind": options.kind,
                "stage": "mixed",
                "layers": self.layers(),
                "models": [{"name": "m", "version": 1, "adapters": []}],
            }
        await put_record(options.store, options.id, json.dumps(entry).encode())

    async def beat(self):
        """Renew the entry until the process ends, each server at its own time."""
        await self.put_entry()
        await asyncio.sleep(self._random.uniform(0, BEAT_S))
        while self.mode != "unlisted":
            await self.put_entry()
            await asyncio.sleep(BEAT_S)

    async def handle(self, request, reader, writer):
        """Answer one request."""
        path, _, text = request.target.partition("?")
        if path == "/stand-in/mode":
            return await self._set_mode(dict(parse_qsl(text)), writer)
        if path == "/-/report":
            answer = _json(self._report())
        elif path == "/-/order":
            answer = await self._order(json.loads(request.body))
        elif path == "/healthz":
            status = 503 if self.leaving else 200
            answer = encode_answer(status, b"", self._own_headers())
        elif request.headers.get("x-expect-instance") != self.options.id:
            answer = encode_answer(421, b"", self._own_headers())
        elif self.options.kind:
            return await self._stream(request, writer)
        else:
            return await self._plain(request, writer)
        writer.write(answer)
        await writer.drain()
        return True

    async def _set_mode(self, fields, writer):
        self.mode = fields.get("mode", "")
        self.share = float(fields.get("share", "1"))
        if self.mode == "leaving":
            self.leaving, self.state = True, "draining"
            await self.put_entry()
        elif self.mode == "unlisted":
            self.leaving = True
            await put_record(self.options.store, self.options.id, b"")
            self.note("unlisted")
        writer.write(encode_answer(200))
        await writer.drain()
        return True

    def _own_headers(self):
        headers = [("X-Instance-Id", self.options.id)]
        return [*headers, ("Server-Leaving", "1")] if self.leaving else headers

    def _report(self):
        return {
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "layers": self.layers(),
            "kind": self.options.kind,
            "busy": False,
            "seq": self.seq,
            "born": self.born,
            "pace": 1.0,
            "waiting": 0,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
        }

    async def _order(self, order):
        if order["fence"] < self.fence:
            return encode_answer(412)
        self.fence = order["fence"]
        if order["op"] != "place":
            return encode_answer(404)
        if order.get("precondition") != self.seq:
            return encode_answer(409)
        self.seq += 1
        self.held = (order["from"], order["to"])
        asyncio.ensure_future(self.put_entry())
        return encode_answer(202)

    def _is_spoilt(self, mode):
        return self.mode == mode and self._random.random() < self.share

    def _begin(self, request):
        attempt = request.headers["x-attempt-id"]
        self.note("run", id=attempt, tenant=request.headers.get("x-tenant"))
        stamp = f"stamp.{self.options.id}.{attempt}"
        own = [("X-Attempt-Id", attempt), ("X-Server-Stamp", stamp)]
        return attempt, [*own, *self._own_headers()]

    async def _plain(self, request, writer):
        attempt, headers = self._begin(request)
        self.running += 1
        try:
            await asyncio.sleep(self.options.work_s)
            if self._is_spoilt("endless"):
                await self._endless(attempt, 200, headers, writer)
                return False
            writer.write(encode_answer(200, f"done {attempt}".encode(), headers))
            await writer.drain()
            self.note("answered", id=attempt, leaving=self.leaving)
            return True
        finally:
            self.running -= 1

    async def _endless(self, attempt, status, headers, writer):
        """Send bytes that are no answer until the caller closes."""
        self.note("spoilt", id=attempt, status=status)
        writer.write(encode_answer(status, b"", headers, framed=False))
        sent, gap_s = 0, self.options.endless_gap_s
        try:
            while True:
                piece = PIECE[: self.options.endless_bytes]
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
                await asyncio.sleep(gap_s)
        finally:
            self.note("caller closed", id=attempt, sent=sent)

    async def _newlines(self, attempt, headers, writer):
        """Send empty lines in place of events until the caller closes."""
        self.note("spoilt", id=attempt, status=200)
        sent, head = 0, [*headers, STREAM_HEADERS[0]]
        writer.write(encode_answer(200, b"", head, framed=False))
        try:
            while True:
                writer.write(NEWLINES)
                await writer.drain()
                sent += len(NEWLINES)
                await asyncio.sleep(NEWLINES_GAP_S)
        finally:
            self.note("caller closed", id=attempt, sent=sent)

    async def _stream(self, request, writer):
        attempt, headers = self._begin(request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        tokens = int(request.headers["x-token-count"].partition(",")[2])
        last = tokens // TOKENS_PER_EVENT
        self.running += 1
        try:
            await asyncio.sleep(self.options.prefill_s)
            if self._is_spoilt("endless"):
                await self._endless(attempt, 500, headers, writer)
                return False
            if self._is_spoilt("newlines"):
                await self._newlines(attempt, headers, writer)
                return False
            framed = not self._is_spoilt("unframed")
            if not framed:
                self.note("unframed", id=attempt)
            sent = headers + (STREAM_HEADERS if framed else STREAM_HEADERS[:1])
            writer.write(encode_answer(200, b"", sent, framed=False))
            for number in range(first, last + 1):
                await asyncio.sleep(self.options.gap_s)
                event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event) if framed else event)
                await writer.drain()
            if framed:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.note("answered", id=attempt, leaving=self.leaving)
            return framed
        finally:
            self.running -= 1


async def put_record(store, key, value, topic="keyed.servers"):
    """Append a record to a keyed topic; return True if the store has it."""
    content = bytes([len(key)]) + key.encode() + value
    body = struct.pack(">I", len(content)) + content
    target = f"/-/log-append?topic={topic}&part=0"
    return (await send(store, "POST", target, (), body)).status == 200


def _json(fields):
    headers = [("Content-Type", "application/json")]
    return encode_answer(200, json.dumps(fields).encode(), headers)


def _options():
    parser = argparse.ArgumentParser()
    for name in ("id", "addr", "zone", "service", "store"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--kind", default="")
    parser.add_argument("--slots", type=int, default=96)
    for name, value in (("gap-s", 0.03), ("prefill-s", 0.02), ("work-s", 0.03)):
        parser.add_argument(f"--{name}", type=float, default=value)
    parser.add_argument("--endless-bytes", type=int, default=4096)
    parser.add_argument("--endless-gap-s", type=float, default=0.05)
    return parser.parse_args()


async def main():
    """Serve until the process is ended."""
    server = Server(_options())
    listening = await serve(server.options.addr, server.handle)
    beating = asyncio.ensure_future(server.beat())
    await listening.serve_forever()
    beating.cancel()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
