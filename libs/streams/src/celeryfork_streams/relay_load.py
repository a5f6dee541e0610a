"""Engines that send and callers that read, to measure the relay between them.

One thread, or better one process of its own, plays all engines and all callers: each
accepted attempt gets a token every ``TOKEN_INTERVAL_S``, at a phase of its own.
"""

import asyncio
import time
from random import Random

from orjson import dumps, loads

TOKEN_INTERVAL_S = 0.033
TICKS_PER_INTERVAL = 33
HOST = "127.0.0.1"
BACKLOG = 2048
READ_BYTES = 64 * 1024
# Behind by more than this, a tick is late because the machine is too slow for the load.
MOST_BEHIND_S = 1.0

_ACCEPTED = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class _Attempt(asyncio.Protocol):
    """One attempt at an engine."""

    def __init__(self, load: "RelayLoad") -> None:
        self._load = load
        self._received = b""
        self._position = 0
        self._before = b""
        self._after = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if not end or self._before or len(body) < _content_length(head):
            return
        if not body:
            # A stream that fell silent asks whether the engine still answers.
            self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        request = loads(body)
        spans = [[stage["first"], stage["last"]] for stage in request["chain"]]
        self._before = b'{"a":%d,"p":' % request["attempt"]
        self._after = b',"l":' + dumps(spans) + b"}\n"
        self._transport.write(_ACCEPTED)
        self._load.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._load.discard(self)

    def send_tokens(self, count: int) -> None:
        """Send the next tokens together, each in a chunk of its own."""
        chunks = []
        for position in range(self._position, self._position + count):
            middle = b'%d,"x":" chai%d"' % (position, position % 100)
            event = self._before + middle + self._after
            chunks.append(b"%x\r\n%s\r\n" % (len(event), event))
        self._position += count
        self._transport.write(b"".join(chunks))


class _Caller(asyncio.BufferedProtocol):
    """A caller that reads everything and looks at nothing."""

    _buffer = bytearray(READ_BYTES)

    def get_buffer(self, size_hint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, count: int) -> None:
        pass


class RelayLoad:
    """Both ends of the relay.

    Parameters
    ----------
    seed
        Seed of the attempts' phases.
    together
        Tokens that are sent together; the interval grows with it.
    """

    def __init__(self, seed: int, together: int = 1) -> None:
        self._random = Random(seed)
        self._together = together
        self._attempts_by_tick: list[set[_Attempt]] = [
            set() for _ in range(TICKS_PER_INTERVAL)
        ]
        self.behind = 0

    def add(self, attempt: _Attempt) -> None:
        """Begin to send an attempt's tokens."""
        self._random.choice(self._attempts_by_tick).add(attempt)

    def discard(self, attempt: _Attempt) -> None:
        """Stop sending an attempt's tokens."""
        for attempts in self._attempts_by_tick:
            attempts.discard(attempt)

    async def listen(self) -> tuple[str, str]:
        """Listen and return the engines' address and the callers'."""
        loop = asyncio.get_running_loop()
        engines = await loop.create_server(
            lambda: _Attempt(self), HOST, 0, backlog=BACKLOG
        )
        callers = await loop.create_server(_Caller, HOST, 0, backlog=BACKLOG)
        engine_port, caller_port = (
            server.sockets[0].getsockname()[1] for server in (engines, callers)
        )
        return f"{HOST}:{engine_port}", f"{HOST}:{caller_port}"

    async def run(self) -> None:
        """Send until cancelled."""
        tick_s = TOKEN_INTERVAL_S * self._together / TICKS_PER_INTERVAL
        due_s, number = time.monotonic(), 0
        while True:
            for attempt in tuple(self._attempts_by_tick[number % TICKS_PER_INTERVAL]):
                attempt.send_tokens(self._together)
            number += 1
            due_s += tick_s
            left_s = due_s - time.monotonic()
            if left_s < -MOST_BEHIND_S:
                self.behind += 1
                due_s = time.monotonic()
            await asyncio.sleep(max(left_s, 0))


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":", 1)[1])
    return 0
