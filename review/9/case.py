"""A target breaks off streams without a length inside an event.

The route's service has no `engine` in the configuration. Does the client get such a
stream as a complete one?
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

from fleet import (
    BEAT_S,
    BROKEN,
    HELD,
    NOT_RUN,
    CannotRunError,
    Entry,
    Record,
    Store,
    caller_headers,
    configuration,
    target_entry,
    with_trouble,
)
from http_lite import encode_reply, exchange, read_request

HERE = Path(__file__).resolve().parent
STREAMS = 180
EVENTS = 20
EVENT_GAP_S = 0.01
STREAM_GAP_S = 0.027
"""Interval of the requests, all of which come within 5 s."""
BROKEN_OFF_EVERY = 20
SPOILING = "app-1"
"""One target of three breaks off one stream in 20 (garble, share 0.5, x 0.05)."""
BROKEN_OFF_AFTER = 12
"""Events before the one that is broken off."""
ROUTE = {
    "name": "summary",
    "host": "farm.example",
    "pathPrefix": "/summary/",
    "kind": "stream",
    "timeoutMs": 20000,
    "sloMs": 500,
    "priority": 1,
    "service": "bestall-app",
    "maxAttempts": 2,
    "public": False,
    "resumable": True,
    "gapAimMs": 200,
}


def event(attempt, number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {attempt}-{number} of the summary\n\n".encode()


class Target:
    """A target that streams answers without a length, and resumes them."""

    def __init__(self, own_id, store, record):
        self.id, self._store, self._record = own_id, store, record
        self._beats, self._born = 0, int(time.time() * 1000)
        self.streams = 0

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def beat_on(self):
        """Write the entry again and again."""
        while True:
            self._beats += 1
            entry = target_entry(self.address, self._beats, self._born)
            self._store.put("keyed.servers", self.id, entry)
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                if request.path == "/healthz":
                    writer.write(encode_reply(200, [("X-Instance-Id", self.id)]))
                elif request.headers.get("x-expect-instance", self.id) != self.id:
                    writer.write(encode_reply(421))
                else:
                    await self._stream(request, writer)
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass  # The machine closed the connection, or the case ends.
        finally:
            writer.close()

    async def _stream(self, request, writer):
        attempt = request.headers["x-attempt-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.streams += 1
        spoiling = with_trouble() and self.id == SPOILING
        breaks_off = spoiling and self.streams % BROKEN_OFF_EVERY == 0
        self._record.add("runs", id=self.id, attempt=attempt, first_event=first)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp.{self.id}\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, EVENTS + 1):
            data = event(attempt, number)
            if breaks_off and number > BROKEN_OFF_AFTER:
                writer.write(data[: len(data) // 2])
                self._record.add("broken off", attempt=attempt, inside_event=number)
                return
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)


async def play(directory):
    """Ask for streams, and return whether a part was given out as complete."""
    record = Record(HERE)
    store = Store(record)
    await store.start()
    store.put("keyed.op", "config", configuration(3, routes=[ROUTE]))
    targets = [Target(f"app-{number}", store, record) for number in (1, 2, 3)]
    entry = Entry(store, directory)
    tasks, wrong, whole = [], [], []

    async def ask(attempt):
        headers = caller_headers(attempt, deadline_ms=20000)
        reply = await exchange(entry.front, "POST", "/summary/1", headers, b"menu")
        expected = b"".join(event(attempt, n) for n in range(1, EVENTS + 1))
        record.add(
            "answered",
            attempt=attempt,
            status=reply.status,
            complete=reply.whole,
            last_bytes=repr(reply.body[-24:]),
        )
        if reply.status == 200 and reply.whole:
            (whole if reply.body == expected else wrong).append(attempt)

    try:
        for target in targets:
            await target.start()
            tasks.append(asyncio.ensure_future(target.beat_on()))
        entry.start()
        await entry.wait_ready()
        await asyncio.sleep(1.5)
        asked = []
        for number in range(1, STREAMS + 1):
            asked.append(asyncio.ensure_future(ask(f"stream-{number}")))
            await asyncio.sleep(STREAM_GAP_S)
        await asyncio.gather(*asked)
        record.add(
            "verdict",
            asked=STREAMS,
            whole=len(whole),
            parts_given_out_as_complete=len(wrong),
        )
        if len(whole) < STREAMS / 2:
            raise CannotRunError("most streams aren't served")
        return BROKEN if wrong else HELD
    finally:
        for task in tasks:
            task.cancel()
        entry.end()


def main():
    """Play the case; return its exit code."""
    with tempfile.TemporaryDirectory() as directory:
        try:
            return asyncio.run(play(directory))
        except (CannotRunError, OSError) as error:
            print(f"cannot run: {error}", file=sys.stderr)
            return NOT_RUN


if __name__ == "__main__":
    sys.exit(main())
