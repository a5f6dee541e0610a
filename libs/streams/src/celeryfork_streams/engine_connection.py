"""A connection to an engine that carries one request and its streamed answer.

aiohttp's parser reads the HTTP; the rest of its client is left out, because its
protocol class receives into a new buffer of 256 KiB for each token, which costs more
than all else in the relay (docs/notes/streams.md).
"""

import asyncio
from typing import cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import (
    HttpProcessingError,
    HttpResponseParser,
    RawResponseMessage,
)
from aiohttp.streams import StreamReader

from celeryfork_streams.events import LARGEST_EVENT_BYTES

RECEIVE_BYTES = 64 * 1024
MOST_WAITING_BYTES = 64 * 1024


class EngineConnection(BaseProtocol, asyncio.BufferedProtocol):
    """Reads one HTTP response, its body line by line.

    Parameters
    ----------
    buffer
        Where to receive; may be shared by the connections of a loop, since each takes
        what it received at once.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, buffer: memoryview) -> None:
        super().__init__(loop)
        self._buffer = buffer
        self._response_parser = HttpResponseParser(
            self, loop, RECEIVE_BYTES, read_until_eof=True, auto_decompress=False
        )
        self._transport: asyncio.Transport | None = None
        self._payload: StreamReader | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._lines: list[bytes] = []
        self._waiting_bytes = 0
        self._rest = b""
        self._ended = False
        self.head: RawResponseMessage | None = None
        self.fault: HttpProcessingError | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        super().connection_made(transport)
        self._transport = cast(asyncio.Transport, transport)

    def pause_reading(self) -> None:
        """Do nothing: ``lines`` holds the engine back, not the parser's own buffer."""

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Do nothing; the parser's buffer calls this for every token."""

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where to receive."""
        return self._buffer

    def buffer_updated(self, count: int) -> None:
        """Parse what was received."""
        try:
            messages, _, _ = self._response_parser.feed_data(
                bytes(self._buffer[:count])
            )
        except HttpProcessingError as error:
            self.fault = error
            self._end()
            return
        if messages:
            self.head, self._payload = messages[0]
        if self._payload is not None:
            self._take(self._payload)
        self._wake()

    def eof_received(self) -> bool:
        """Take an end of the engine's side for the end of the connection."""
        self._end()
        return False

    def connection_lost(self, error: BaseException | None) -> None:
        """Wake whoever waits."""
        super().connection_lost(error)
        self._end()

    def send(self, data: bytes) -> None:
        """Write the request."""
        assert self._transport is not None
        self._transport.write(data)

    async def answered(self) -> bool:
        """Wait for the response's head; False if the connection ended before."""
        while self.head is None and not self._ended:
            await self._wait()
        return self.head is not None

    async def lines(self) -> list[bytes]:
        """Return the lines that have come, at least one; none at the end."""
        while not self._lines and not self._ended:
            self._waiter = self._loop.create_future()
            await self._waiter
        lines, self._lines = self._lines, []
        if self._waiting_bytes > MOST_WAITING_BYTES and self._transport is not None:
            self._transport.resume_reading()
        self._waiting_bytes = 0
        return lines

    async def body(self) -> bytes:
        """Return the body of a short answer, as far as it comes."""
        while not self._ended and self._waiting_bytes <= MOST_WAITING_BYTES:
            await self._wait()
        return b"\n".join([*self._lines, self._rest])

    def close(self) -> None:
        """Close the connection at once."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def _take(self, payload: StreamReader) -> None:
        """Split what the parser made of the body into lines."""
        data = payload.read_nowait()
        if payload.is_eof():
            self._ended = True
        if not data:
            return
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        self._lines += lines
        self._waiting_bytes += len(data)
        if len(self._rest) > LARGEST_EVENT_BYTES:
            # Whoever reads finds it too long; nothing more need come.
            self._lines.append(self._rest)
            self._end()
        elif self._waiting_bytes > MOST_WAITING_BYTES and self._transport is not None:
            self._transport.pause_reading()

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        await self._waiter

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _end(self) -> None:
        self._ended = True
        self._wake()
