"""A caller's connection whose received bytes are counted and bounded."""

import asyncio
from typing import Protocol, cast

from celeryfork_entry.byte_stream import MAX_READ_BYTES, ByteStream

MAX_CALLER_UNREAD_BYTES = 1 << 16
"""Number of unread bytes from which a caller's connection isn't read."""
SHORT_READ_BYTES = 1 << 12
"""Size of a read while memory is short."""


class ReadRules(Protocol):
    """What a connection may read at present."""

    @property
    def is_short(self) -> bool:
        """Return True if reads are small."""

    @property
    def may_read(self) -> bool:
        """Return True if the connection may read on."""

    def record_received(self, count: int, unread: int) -> None:
        """Record received bytes, and the number of unread ones."""


def make_read_buffer() -> memoryview:
    """Return a buffer for the streams of one event loop."""
    return memoryview(bytearray(MAX_READ_BYTES))


class CallerStream(ByteStream, asyncio.BufferedProtocol):
    """A TCP connection of a caller.

    Parameters
    ----------
    buffer
        Receives the bytes of all connections: the event loop would allocate 256 KiB for
        each read.

    Attributes
    ----------
    rules
        Set by the owner of the connection.
    paused
        True while the connection isn't read.
    """

    def __init__(self, buffer: memoryview) -> None:
        super().__init__()
        self._buffer = buffer
        self.rules: ReadRules | None = None
        self.paused = False
        self._interruption: Exception | None = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        short = self.rules is not None and self.rules.is_short
        return self._buffer[: SHORT_READ_BYTES if short else MAX_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Take received bytes from the buffer."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until they are read, and stop reading if there are enough."""
        super().data_received(data)
        if self.rules is not None:
            self.rules.record_received(len(data), self.unread)
        self.read_as_allowed()

    def read_as_allowed(self) -> None:
        """Stop or resume reading, by the number of unread bytes and the rules."""
        if self.transport is None or self.transport.is_closing():
            return
        allowed = self.unread < MAX_CALLER_UNREAD_BYTES and (
            self.rules is None or self.rules.may_read
        )
        if allowed:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
        self.paused = not allowed

    def _drained(self) -> None:
        """Leave it to :meth:`read` whether to read on."""

    async def read(self) -> bytes:
        """Return received bytes, ``b""`` at the end of the stream.

        Raises
        ------
        Exception
            The one that :meth:`interrupt` was called with.
        """
        self._raise_interruption()
        data = await super().read()
        self._raise_interruption()
        if self.rules is not None:
            self.rules.record_received(0, self.unread)
        self.read_as_allowed()
        return data

    def _raise_interruption(self) -> None:
        if self._interruption is not None:
            error, self._interruption = self._interruption, None
            raise error

    def interrupt(self, error: Exception) -> None:
        """Let the current read or the next one fail with an error."""
        if self._reader is not None and not self._reader.done():
            self._reader.set_exception(error)
        else:
            self._interruption = error


class RefusedConnection(asyncio.Protocol):
    """A connection that is closed at once, as no descriptor is left for it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        cast(asyncio.Transport, transport).abort()
