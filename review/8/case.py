"""A machine is killed, and its clients resume their streams at the other machines.

The route's streams are split between a service with engines and one without. Does a
resumed stream go on after the last event that its client has?
"""

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

from engines import SERVICE, Engine
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
MACHINES = 7
"""One of them is killed (node_kill, share 0.143)."""
ENGINES = 16
PLACED_S = 6.0
"""Seconds from the start until all engines hold their layers."""
STREAMS = 120
EVENTS = 40
MOST_TURNS = 3
EVENT_GAP_S = 0.01
STREAM_GAP_S = 0.004
KILLED_AFTER_S = 0.3
"""Seconds from the last stream's begin to the kill."""
ROUTE = {
    "name": "summary",
    "host": "farm.example",
    "pathPrefix": "/summary/",
    "kind": "stream",
    "timeoutMs": 20000,
    "sloMs": 500,
    "priority": 1,
    "split": [
        {"service": SERVICE["name"], "weight": 90},
        {"service": "bestall-app", "weight": 10},
    ],
    "maxAttempts": 2,
    "public": False,
    "resumable": True,
    "gapAimMs": 200,
}
PLAIN_SERVICE = {"name": "bestall-app", "healthPath": "/healthz", "maxConns": 52}


def event(attempt, number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {attempt}-{number}\n\n".encode()


class Target:
    """A target of the plain service, which streams answers and resumes them."""

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


def whole_events(data):
    """Return the events that a client has, without one that was cut."""
    return data.decode().split("\n\n")[:-1]


def number_of(text):
    """Return the id of an event."""
    return int(text.partition("\n")[0].removeprefix("id: "))


class Callers:
    """Clients that resume a stream whose connection broke, at another machine."""

    def __init__(self, entries, record):
        self._entries, self._record = entries, record
        self._next = 0
        self.wrong, self.right, self.resumed = [], [], 0

    async def ask(self, name):
        """Ask for one stream, at most three times, and judge its events."""
        numbers, reply, entry = [], None, self._entries[0]
        for turn in range(1, MOST_TURNS + 1):
            attempt = f"{name}.{turn}"
            headers = [
                *caller_headers(attempt, deadline_ms=20000),
                ("X-Model", "m"),
                ("X-Token-Count", f"100,{2 * EVENTS}"),
            ]
            if numbers:
                headers.append(("Last-Event-Id", str(numbers[-1])))
                self.resumed += 1
            self._record.add("sent", attempt=attempt, has=numbers[-1:] or 0)
            body = f"prompt {name}".encode()
            reply = await exchange(
                entry.front, "POST", f"/summary/{name}", headers, body
            )
            got = [number_of(each) for each in whole_events(reply.body)]
            numbers += got if reply.status == 200 else []
            self._record.add(
                "answered",
                attempt=attempt,
                status=reply.status,
                complete=reply.whole,
                stamp=reply.headers.get("x-server-stamp"),
                events=f"{got[0]}-{got[-1]}" if got else None,
            )
            if reply.whole and reply.status == 200:
                break
            self._next += 1
            entry = self._entries[1 + self._next % (len(self._entries) - 1)]
        if reply.status == 200 and reply.whole:
            good = numbers == list(range(1, EVENTS + 1))
            (self.right if good else self.wrong).append(name)


async def send_all(entries, record):
    """Begin the streams at one machine, kill it, and return what its clients got."""
    callers = Callers(entries, record)
    asked = []
    for number in range(1, STREAMS + 1):
        asked.append(asyncio.ensure_future(callers.ask(f"stream-{number}")))
        await asyncio.sleep(STREAM_GAP_S)
    await asyncio.sleep(KILLED_AFTER_S)
    if with_trouble():
        record.add("machine killed", under_way=sum(not each.done() for each in asked))
        entries[0].signal(signal.SIGKILL)
    await asyncio.gather(*asked)
    return callers


async def play(directory):
    """Ask for streams, and return whether a resumed one repeated events."""
    record = Record(HERE)
    store = Store(record)
    await store.start()
    services = [SERVICE, PLAIN_SERVICE]
    store.put("keyed.op", "config", configuration(3, routes=[ROUTE], services=services))
    targets = [Target(f"app-{number}", store, record) for number in (1, 2, 3)]
    engines = []
    for number in range(ENGINES):
        engines.append(Engine(f"e-{number}", store, record, None, engines))
    entries = [
        Entry(store, directory, number=number) for number in range(1, MACHINES + 1)
    ]
    beats = []
    try:
        for each in [*targets, *engines]:
            await each.start()
            beats.append(asyncio.ensure_future(each.beat_on()))
        for entry in entries:
            entry.start()
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(PLACED_S)
        callers = await send_all(entries, record)
        record.add(
            "verdict",
            asked=STREAMS,
            resumed=callers.resumed,
            in_order=len(callers.right),
            with_events_twice=len(callers.wrong),
        )
        if len(callers.right) + len(callers.wrong) < STREAMS / 2:
            raise CannotRunError("most streams aren't served")
        return BROKEN if callers.wrong else HELD
    finally:
        for beat in beats:
            beat.cancel()
        for entry in entries:
            if entry.process is not None:
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
