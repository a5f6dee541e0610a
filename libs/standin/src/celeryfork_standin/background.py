"""An event loop on a thread of its own, and HTTP listeners on it.

The loop is asyncio's own, on epoll: uvloop 0.23 opens an io_uring for each loop
whatever ``UV_USE_IO_URING`` says, and io_uring is ruled out.
"""

import asyncio
import contextlib
import socket
import struct
import threading
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from functools import partial
from typing import Any, TypeVar

from aiohttp import web
from attrs import define, field

from celeryfork_standin.errors import StandinStoppedError
from celeryfork_standin.kept_port import KeptPort

CALL_TIMEOUT_S = 10.0
LISTEN_BACKLOG = 1024
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Result = TypeVar("Result")
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class LoopThread:
    """Runs one event loop on one thread.

    Parameters
    ----------
    name
        The thread's name.
    """

    def __init__(self, name: str) -> None:
        self._loop: asyncio.AbstractEventLoop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._stopped = False

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop; only its thread-safe methods may be used from outside."""
        return self._loop

    def start(self) -> None:
        """Begin to run."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the loop and wait for its thread; a second call does nothing."""
        if self._stopped:
            return
        self._stopped = True
        if not self._thread.is_alive():
            self._loop.close()
            return
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(CALL_TIMEOUT_S)

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine on the loop and return its result.

        Raises
        ------
        StandinStoppedError
            The stand-in isn't running.
        """
        if self._stopped or not self._thread.is_alive():
            work.close()
            raise StandinStoppedError("The stand-in is not running.", "call start()")
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(CALL_TIMEOUT_S)

    def call(self, function: Callable[[], Result]) -> Result:
        """Run a plain function on the loop and return its result."""
        return self.run(_as_coroutine(function))

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        try:
            self._loop.run_forever()
        finally:
            self._cancel_tasks()
            self._loop.close()

    def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        gathered = asyncio.gather(*tasks, return_exceptions=True)
        with contextlib.suppress(asyncio.TimeoutError):
            self._loop.run_until_complete(asyncio.wait_for(gathered, 1.0))


async def _as_coroutine(function: Callable[[], Result]) -> Result:
    return function()


@define(eq=False)
class Listener:
    """One HTTP server on one port, which can vanish and come back there.

    Parameters
    ----------
    handler
        Answers a request; it is cancelled when the client closes the connection.
    host, port
        Where to listen; port 0 takes a free one. The port is kept until ``close``, also
        while nothing listens there.
    """

    handler: Handler
    host: str
    port: int = 0
    _server: web.Server | None = field(default=None, init=False)
    _socket: asyncio.Server | None = field(default=None, init=False)
    _kept: KeptPort | None = field(default=None, init=False)
    _cuts: int = field(default=0, init=False)

    @property
    def address(self) -> str:
        """The ``ip:port`` that clients connect to."""
        return f"{self.host}:{self.port}"

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._socket is not None

    async def open(self) -> None:
        """Listen; does nothing when already listening."""
        if self._socket is not None:
            return
        if self._kept is None:
            self._kept = KeptPort(self.host, self.port)
            self.port = self._kept.number
        self._server = web.Server(
            partial(self._answer, self._cuts), handler_cancellation=True
        )
        self._socket = await asyncio.get_running_loop().create_server(
            self._server, self.host, self.port, backlog=LISTEN_BACKLOG
        )

    async def _answer(self, cuts: int, request: web.BaseRequest) -> web.StreamResponse:
        """Answer on connections from since the last cut only.

        One that was accepted just before a cut isn't among the server's yet.
        """
        answer: web.StreamResponse = web.Response()
        if cuts == self._cuts:
            answer = await self.handler(request)
        if cuts != self._cuts:
            reset(request.transport)
        return answer

    def cut(self) -> None:
        """Stop listening and reset every open connection."""
        if self._socket is None or self._server is None:
            return
        self._cuts += 1
        self._socket.close()
        self._socket = None
        for connection in self._server.connections:
            reset(connection.transport)

    def close(self) -> None:
        """Cut it off for good, and give its port back."""
        self.cut()
        if self._kept is not None:
            self._kept.release()
            self._kept = None


ClientHandler = Callable[[web.BaseRequest, str | None], Awaitable[web.StreamResponse]]


class ListenerGroup:
    """One server with a port for each failure domain that its clients are in.

    The ports tell apart which clients a partition cuts off.

    Parameters
    ----------
    handler
        Answers a request; it is told the client's domain, None on the common port.
    host
        Where to listen.
    client_domains
        Domains that get a port of their own, beside the common one.
    """

    def __init__(
        self, handler: ClientHandler, host: str, client_domains: Iterable[str]
    ) -> None:
        self._common = Listener(partial(_pass_domain, handler, None), host)
        self._by_domain = {
            domain: Listener(partial(_pass_domain, handler, domain), host)
            for domain in client_domains
        }

    @property
    def address(self) -> str:
        """The common ``ip:port``."""
        return self._common.address

    @property
    def address_by_domain(self) -> dict[str, str]:
        """The ``ip:port`` for the clients of each domain."""
        return {domain: one.address for domain, one in self._by_domain.items()}

    async def open(self) -> None:
        """Listen on every port."""
        for listener in (self._common, *self._by_domain.values()):
            await listener.open()

    def cut(self) -> None:
        """Stop listening and reset every open connection."""
        for listener in (self._common, *self._by_domain.values()):
            listener.cut()

    def close(self) -> None:
        """Cut every port off for good, and give it back."""
        for listener in (self._common, *self._by_domain.values()):
            listener.close()


async def _pass_domain(
    handler: ClientHandler, domain: str | None, request: web.BaseRequest
) -> web.StreamResponse:
    return await handler(request, domain)


def reset(transport: asyncio.Transport | None) -> None:
    """Abort a connection so that the other side sees a reset, not an end."""
    if transport is None or transport.is_closing():
        return
    raw = transport.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
