"""A caller's connection, from the parsed request on.

The daemon's HTTP server parses the request and hands over the socket; from then on it
belongs to the event loop, which answers once and closes it.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from http import HTTPStatus
from socket import IPPROTO_TCP, TCP_NODELAY, socket

from celeryfork_base.counters import Counters

from celeryfork_streams.errors import CallerGoneError
from celeryfork_streams.policy import StreamPolicy


class CallerConnection(asyncio.Protocol):
    """Writes one answer to one caller, and notices when it goes away.

    Parameters
    ----------
    slow_timeout_s
        How long the caller may leave its buffer full before it is cut, in seconds.
    """

    def __init__(
        self, buffer_bytes: int, slow_timeout_s: float, counters: Counters
    ) -> None:
        self._buffer_bytes = buffer_bytes
        self._slow_timeout_s = slow_timeout_s
        self.counters = counters
        self._transport: asyncio.Transport
        self._closed = asyncio.get_running_loop().create_future()
        self._held: list[bytes] | None = None
        self._resumed: asyncio.Future[None] | None = None
        self._task_to_cancel: asyncio.Task[object] | None = None
        self.gone = False
        self.head_sent = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the bound of the buffer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=self._buffer_bytes)

    def data_received(self, data: bytes) -> None:
        """Drop it: the connection closes after this answer."""

    def eof_received(self) -> bool:
        """Take an end of the caller's side for the caller having gone."""
        self._leave()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Tell whoever waits on this connection."""
        self._leave()
        if not self._closed.done():
            self._closed.set_result(None)

    def pause_writing(self) -> None:
        """Make ``drained`` wait: the buffer is full."""
        self._resumed = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let ``drained`` go on."""
        resumed, self._resumed = self._resumed, None
        if resumed is not None and not resumed.done():
            resumed.set_result(None)

    @property
    def full(self) -> bool:
        """Whether the buffer is full, so that ``drained`` must be awaited."""
        return self._resumed is not None

    def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Write the response's status line and headers."""
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
        lines += [f"{name}: {_one_line(value)}" for name, value in headers.items()]
        lines.append("Connection: close\r\n\r\n")
        self.head_sent = True
        self._transport.write("\r\n".join(lines).encode("latin-1", "replace"))

    def send_answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Write a whole response."""
        self.send_head(status, {**headers, "Content-Length": str(len(body))})
        self._transport.write(body)

    def write(self, data: bytes) -> None:
        """Write a part of the body; where it leaves the buffer full, await ``drained``.

        Raises
        ------
        CallerGoneError
            The caller has closed the connection.
        """
        if self.gone:
            raise _gone()
        if self._held is not None:
            self._held.append(data)
        else:
            self._transport.write(data)

    def hold(self) -> None:
        """Keep what is written until ``flush``."""
        self._held = []

    def flush(self) -> None:
        """Write what was kept, in one piece."""
        held, self._held = self._held, None
        if held and not self.gone:
            self._transport.write(b"".join(held))

    async def drained(self) -> None:
        """Wait until the buffer has room.

        Raises
        ------
        CallerGoneError
            The caller went, or left its buffer full for too long.
        """
        resumed = self._resumed
        if resumed is None:
            return
        self.counters.add("streams.caller_waits")
        try:
            async with asyncio.timeout(self._slow_timeout_s):
                await resumed
        except TimeoutError:
            self.counters.add("streams.slow_callers_cut")
            self.abort()
            raise CallerGoneError(
                f"The caller read nothing for {self._slow_timeout_s} s.",
                "read the answer as it comes",
            ) from None
        if self.gone:
            raise _gone()

    @contextlib.contextmanager
    def cancels_when_gone(self) -> Iterator[None]:
        """Cancel the current task when the caller goes.

        Raises
        ------
        CallerGoneError
            In place of the cancellation.
        """
        if self.gone:
            raise _gone()
        task = asyncio.current_task()
        assert task is not None
        self._task_to_cancel = task
        try:
            yield
        except asyncio.CancelledError:
            if self._task_to_cancel is None and task.uncancel() == 0:
                raise _gone() from None
            raise
        finally:
            self._task_to_cancel = None

    async def close(self) -> None:
        """Send what is left and close; cut a caller that has stopped reading."""
        self._transport.close()
        left = self._transport.get_write_buffer_size()
        while not self._closed.done():
            await asyncio.wait((self._closed,), timeout=self._slow_timeout_s)
            now_left = self._transport.get_write_buffer_size()
            if not self._closed.done() and now_left >= left:
                self.counters.add("streams.slow_callers_cut")
                self.abort()
                return
            left = now_left

    def abort(self) -> None:
        """Close at once, dropping what is left."""
        self.gone = True
        self._transport.abort()

    def _leave(self) -> None:
        self.gone = True
        self.resume_writing()
        task, self._task_to_cancel = self._task_to_cancel, None
        if task is not None:
            task.cancel()


def _one_line(value: str) -> str:
    """Return a header's value that can't start another header."""
    return value.replace("\r", " ").replace("\n", " ")


def _gone() -> CallerGoneError:
    return CallerGoneError(
        "The caller closed the connection.", "keep it open until [DONE]"
    )


async def take_over(
    connection: socket, policy: StreamPolicy, counters: Counters
) -> CallerConnection:
    """Take over an accepted socket, whose request has been read, into this loop."""
    connection.setblocking(False)
    connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    _, protocol = await asyncio.get_running_loop().connect_accepted_socket(
        lambda: CallerConnection(
            policy.stream_buffer_bytes, policy.slow_caller_timeout_s, counters
        ),
        connection,
    )
    return protocol
