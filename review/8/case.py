"""Clients' connections are reset in the middle of streams, which the clients resume.

The route's service has no `engine` in the configuration. Does a resumed stream go on
after the last event that the client has?
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
STREAMS = 40
EVENTS = 20
MOST_TURNS = 3
EVENT_GAP_S = 0.01
STREAM_GAP_S = 0.05
RESET_EVERY = 2
"""One connection in so many is reset (reset_conns, x 0.5)."""
RESET_AFTER_BYTES = 500
"""Bytes of an answer after which its connection is reset."""
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
        self._record.add(
            "runs",
            id=self.id,
            attempt=attempt,
            last_event_id=request.headers.get("last-event-id"),
            first_event=first,
        )
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Server-Stamp: stamp.{self.id}\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, EVENTS + 1):
            writer.write(event(attempt.partition(".")[0], number))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)


class ClientLink:
    """The network between the clients and the machine, which may reset connections."""

    def __init__(self, to, record):
        self._to, self._record = to, record
        self._connections = 0

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        self._connections += 1
        number = self._connections
        left = 1 << 30
        if with_trouble() and number <= STREAMS and number % RESET_EVERY == 0:
            left = RESET_AFTER_BYTES
        host, _, port = self._to.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        passing = asyncio.ensure_future(self._pass(reader, far_writer))
        try:
            while left > 0 and (data := await far_reader.read(left)):
                left -= len(data)
                writer.write(data)
                await writer.drain()
            if left == 0:
                self._record.add("connection reset", connection=number)
        except (ConnectionError, asyncio.CancelledError):
            pass  # One side closed the connection, or the case ends.
        finally:
            passing.cancel()
            far_writer.transport.abort()
            writer.close()

    @staticmethod
    async def _pass(reader, writer):
        try:
            while data := await reader.read(65_536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # One side closed the connection, or the case ends.
        finally:
            writer.close()


def whole_events(data):
    """Return the events that a client has, without one that was cut."""
    return data.decode().split("\n\n")[:-1]


def number_of(text):
    """Return the id of an event."""
    return int(text.partition("\n")[0].removeprefix("id: "))


class Callers:
    """Clients that resume a stream whose connection broke."""

    def __init__(self, link, record):
        self._link, self._record = link, record
        self.wrong, self.right, self.resumed = [], [], 0

    async def ask(self, name):
        """Ask for one stream, at most three times, and judge its events."""
        events, reply = [], None
        for turn in range(1, MOST_TURNS + 1):
            attempt = f"{name}.{turn}"
            headers = list(caller_headers(attempt, deadline_ms=20000))
            if events:
                headers.append(("Last-Event-Id", str(number_of(events[-1]))))
                self.resumed += 1
            self._record.add("sent", attempt=attempt, has=len(events))
            reply = await exchange(
                self._link.address, "POST", "/summary/1", headers, b"menu"
            )
            got = whole_events(reply.body)
            events += got
            self._record.add(
                "answered",
                attempt=attempt,
                status=reply.status,
                complete=reply.whole,
                events=f"{number_of(got[0])}-{number_of(got[-1])}" if got else None,
            )
            if reply.whole:
                break
        numbers = [number_of(each) for each in events]
        if reply.status == 200 and reply.whole:
            good = numbers == list(range(1, EVENTS + 1))
            (self.right if good else self.wrong).append(name)


async def play(directory):
    """Ask for streams, and return whether a resumed one repeated events."""
    record = Record(HERE)
    store = Store(record)
    await store.start()
    store.put("keyed.op", "config", configuration(3, routes=[ROUTE]))
    targets = [Target(f"app-{number}", store, record) for number in (1, 2, 3)]
    entry = Entry(store, directory)
    link = ClientLink(entry.front, record)
    callers = Callers(link, record)
    tasks = []
    try:
        for target in targets:
            await target.start()
            tasks.append(asyncio.ensure_future(target.beat_on()))
        entry.start()
        await entry.wait_ready()
        await link.start()
        await asyncio.sleep(1.5)
        asked = []
        for number in range(1, STREAMS + 1):
            asked.append(asyncio.ensure_future(callers.ask(f"stream-{number}")))
            await asyncio.sleep(STREAM_GAP_S)
        await asyncio.gather(*asked)
        record.add(
            "verdict",
            asked=STREAMS,
            resumed=callers.resumed,
            in_order=len(callers.right),
            with_events_twice=len(callers.wrong),
        )
        if len(callers.right) + len(callers.wrong) < STREAMS / 2:
            raise CannotRunError("most streams aren't served")
        await asyncio.sleep(0.2)
        return BROKEN if callers.wrong else HELD
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
