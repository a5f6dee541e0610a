"""An asyncio TCP connection with flow control for reading and writing bytes."""

import asyncio
import fcntl
import socket
import sys
import termios
from collections.abc import Callable
from typing import Any, cast

MAX_READ_BYTES = 1 << 16
"""Maximum number of bytes that one read returns: the time to parse them is bounded."""
MAX_UNREAD_BYTES = 1 << 18
"""Number of unread bytes above which reading pauses, which bounds the memory of a
connection."""
KEEPALIVE_IDLE_S = 1
"""Idle seconds before the kernel sends the first keep-alive probe."""
KEEPALIVE_INTERVAL_S = 1
"""Seconds between two probes."""
KEEPALIVE_PROBES = 2
"""Number of unanswered probes after which the kernel breaks the connection."""
UNACKNOWLEDGED_TIMEOUT_MS = 2_500
"""Milliseconds after which unacknowledged bytes break the connection
(TCP_USER_TIMEOUT), unless :meth:`ByteStream.allow_stall` allows more. Bytes that a
responding peer has no memory for count too."""


class ByteStream(asyncio.Protocol):
    """One TCP connection.

    Parameters
    ----------
    on_closed
        Called once, when the peer closes the connection or the connection breaks.

    Attributes
    ----------
    ended
        True once no more bytes will be received.
    broken
        True if the connection ended before the peer closed it.
    """

    def __init__(self, on_closed: Callable[[], object] | None = None) -> None:
        self.on_closed = on_closed
        self.ended = False
        self.broken = False
        self._received = bytearray()
        self._reader: asyncio.Future[None] | None = None
        self._writers: list[asyncio.Future[None]] = []
        self._full = False
        self._stall_allowed = False
        self.transport: asyncio.Transport | None = None
        self._closed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the options of its socket."""
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes until they are read."""
        self._received += data
        if len(self._received) > MAX_UNREAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Record the end of the peer's data; bytes can still be sent to it."""
        self.ended = True
        self._wake()
        self._notify_closed()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection and wake its reader and writers."""
        self.broken = self.broken or error is not None or not self.ended
        self.ended = True
        self._wake()
        self.resume_writing()
        self._closed.set()
        self._notify_closed()

    @property
    def is_full(self) -> bool:
        """Return True while the peer accepts fewer bytes than were written."""
        return self._full

    def pause_writing(self) -> None:
        """Block writers until the send buffer has drained."""
        self._full = True

    def resume_writing(self) -> None:
        """Resume blocked writers."""
        self._full = False
        for writer in self._writers:
            if not writer.done():
                writer.set_result(None)
        self._writers.clear()

    @property
    def unread(self) -> int:
        """Return the number of bytes received and not yet read."""
        return len(self._received)

    @property
    def unsent(self) -> int:
        """Return the number of bytes written that the kernel hasn't accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    @property
    def _unacknowledged(self) -> int:
        """Return the number of bytes written that the peer hasn't acknowledged yet."""
        if self.transport is None:
            return 0
        sock = self.transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return self.unsent
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        return self.unsent + int.from_bytes(queued, sys.byteorder)

    @property
    def usable(self) -> bool:
        """Return True if both directions are open."""
        return not self.ended and self.transport is not None

    async def read(self) -> bytes:
        """Return received bytes, ``b""`` at the end of the stream.

        Raises
        ------
        ConnectionResetError
            The connection broke before the peer closed it.
        """
        while not self._received:
            if self.ended:
                if self.broken:
                    raise ConnectionResetError("the connection broke")
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        if len(self._received) > MAX_READ_BYTES:
            # Without a wait, other tasks would run only after all bytes were read.
            await asyncio.sleep(0)
        data = bytes(self._received[:MAX_READ_BYTES])
        del self._received[:MAX_READ_BYTES]
        if not self._received:
            self._drained()
        return data

    def _drained(self) -> None:
        """Read on, as no byte is unread."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    async def write(self, data: bytes, stall_timeout_s: float | None = None) -> None:
        """Send ``data``, waiting while the send buffer is full.

        Parameters
        ----------
        stall_timeout_s
            Seconds without an acknowledged byte after which the connection is aborted.

        Raises
        ------
        ConnectionResetError
            The connection is closed, or was aborted.
        """
        if self.transport is None or self.transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        self.transport.write(data)
        if self._full:
            writer = asyncio.get_running_loop().create_future()
            self._writers.append(writer)
            await self._wait_while_accepting(writer, stall_timeout_s)
            if self.broken:
                raise ConnectionResetError("the connection broke")

    async def _wait_while_accepting(
        self, waiter: asyncio.Future[Any], stall_timeout_s: float | None
    ) -> None:
        """Wait; abort the connection if the peer acknowledges no byte."""
        if stall_timeout_s is not None:
            self.allow_stall(stall_timeout_s)
        while not waiter.done():
            unacknowledged = self._unacknowledged
            await asyncio.wait({waiter}, timeout=stall_timeout_s)
            if not waiter.done() and self._unacknowledged >= unacknowledged:
                self.abort()
                raise ConnectionResetError(
                    f"the peer acknowledged no byte for {stall_timeout_s} s"
                )

    def allow_stall(self, timeout_s: float) -> None:
        """Let the kernel keep unacknowledged bytes for at least ``timeout_s``.

        It applies until :meth:`end_stall`, also after :meth:`close`.
        """
        self._stall_allowed = True
        timeout_ms = max(UNACKNOWLEDGED_TIMEOUT_MS, round(timeout_s * 1000))
        self._set_unacknowledged_timeout(timeout_ms)

    def end_stall(self) -> None:
        """Undo :meth:`allow_stall` once all written bytes are acknowledged."""
        if self._stall_allowed and not self._unacknowledged:
            self._stall_allowed = False
            self._set_unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT_MS)

    def _set_unacknowledged_timeout(self, timeout_ms: int) -> None:
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)

    def close(self) -> None:
        """Close the connection after the written bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    async def wait_closed(self, stall_timeout_s: float | None = None) -> None:
        """Wait after :meth:`close` until the written bytes are sent.

        Parameters
        ----------
        stall_timeout_s
            As for :meth:`write`.

        Raises
        ------
        ConnectionResetError
            The connection was aborted.
        """
        if self.transport is not None:
            closed = asyncio.ensure_future(self._closed.wait())
            try:
                await self._wait_while_accepting(closed, stall_timeout_s)
            finally:
                closed.cancel()

    def abort(self) -> None:
        """Close the connection at once, discarding unsent bytes."""
        if self.transport is not None:
            self.transport.abort()

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)

    def _notify_closed(self) -> None:
        on_closed, self.on_closed = self.on_closed, None
        if on_closed is not None:
            on_closed()


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )
