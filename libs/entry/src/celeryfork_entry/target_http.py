"""HTTP/1.1 client with a pool of idle connections to targets and the platform."""

import asyncio
import time
from collections.abc import Callable, Iterable
from math import inf

import h11
from attrs import define, field, frozen

from celeryfork_entry.byte_stream import ByteStream
from celeryfork_entry.loop_turns import LoopTurns
from celeryfork_entry.raw_headers import raw_headers

CONNECT_TIMEOUT_S = 0.6
"""Timeout in seconds for opening a connection, after which the peer is unreachable."""
IDLE_TIMEOUT_S = 4.0
"""Maximum seconds for which an idle connection is kept; less if the peer's Keep-Alive
header says so."""
IDLE_TIMEOUT_MARGIN_S = 1.0
"""Seconds by which an idle connection is closed before the peer would close it."""
MAX_TIMEOUT_DIGITS = 9
"""Maximum number of digits that are parsed of a peer's Keep-Alive timeout."""
MAX_IDLE_PER_ADDRESS = 32
"""Maximum number of idle connections to one address."""
MAX_IDLE_CONNECTIONS = 512
"""Maximum number of idle connections in total, an eighth of the file descriptors of a
small machine. The instance that places layers queries each of 10,000 engines before it
gives orders."""
MAX_INTERIM_REPLIES = 8
"""Maximum number of 1xx replies before the final one, so that an endless series of them
is detected."""
FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
FIRST_ERROR_STATUS = 400
LAST_STATUS = 599
MAX_FAILED_REQUESTS = 16
"""Maximum number of failed requests of a connection that is kept."""
MIN_LONG_BODY_BYTES = 1 << 16
"""Length from which a body is only read on while there is memory for it."""
TURN_INTERVAL_S = 0.02
"""Seconds between two checks whether there is."""
MAX_BUFFERED_BYTES = 48 << 20
"""Maximum size of all bodies that are being read, a sixth of the memory of a small
machine. Beyond it, the bodies that are longer than the others fail."""
MAX_UNNEEDED_BYTES = 65_536
"""Maximum size of a body that is read only to use its connection again."""
UNNEEDED_BODY_TIMEOUT_S = 0.05
"""Timeout in seconds for such a body, which usually arrives with its head."""
MAX_HEADER_BYTES = 65_536
"""Maximum size of the head of a reply."""
MIN_LONG_BYTES = 16_384
"""Size of a request beyond which a target may have no memory for it."""


class NotSentError(ConnectionError):
    """No byte of the request reached the peer."""


class PortClosedError(NotSentError):
    """The connection was refused, so the process at the address has terminated."""


class LostError(ConnectionError):
    """The request was sent at least partly, but no complete reply arrived."""


@frozen
class OutgoingRequest:
    """A request to a target or to the platform.

    Parameters
    ----------
    target
        Path and query.
    identity
        Header, as name in lower case and value, that replies to this request have in
        common with no other reply; None if there is none.
    stall_timeout_s
        Seconds for which a long body may wait for a target that has no memory for it.
        None for the usual limit of unacknowledged bytes.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str | bytes], ...] = ()
    body: bytes = b""
    identity: tuple[bytes, bytes] | None = None
    stall_timeout_s: float | None = None


@define
class Reply:
    """A reply whose head has arrived; :meth:`read` returns its body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    _connection: "_Connection"
    _pool: "TargetConnections"
    identity: tuple[bytes, bytes] | None = None
    _done: bool = False

    @property
    def is_identified(self) -> bool:
        """Return True if the reply names the request that it belongs to."""
        return self.identity is not None and self.identity in self.headers

    @property
    def is_framed(self) -> bool:
        """Return True if a length or chunks tell where the body ends.

        Otherwise it ends with the connection, also with that of a killed process.
        """
        framing = {b"content-length", b"transfer-encoding"}
        return any(name in framing for name, _ in self.headers)

    @property
    def ended_with_connection(self) -> bool:
        """Return True if only the end of the connection tells that it is complete."""
        return not self.is_framed and self._done and self._connection.stream.ended

    def header(self, name: bytes) -> str | None:
        """Return the first header with a name, which must be in lower case."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None

    async def read(self) -> bytes:
        """Return the next chunk of the body, ``b""`` at its complete end.

        Raises
        ------
        LostError
            The reply is truncated or malformed.
        """
        if self._done:
            return b""
        event = await self._connection.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._done = True
            self._pool.release(self._connection, self)
            return b""
        raise LostError(f"unexpected {type(event).__name__} in a reply")

    async def read_all(self, max_bytes: int) -> bytes:
        """Return the rest of the body.

        Raises
        ------
        LostError
            The reply is truncated, malformed or longer than ``max_bytes``, or there is
            no memory for it.
        """
        body, buffers = bytearray(), self._pool.buffers
        buffers.bodies += 1
        try:
            while piece := await self.read():
                body += piece
                buffers.bytes += len(piece)
                if len(body) > max_bytes:
                    raise LostError(f"a reply is longer than {max_bytes} bytes")
                if buffers.excludes(len(body)):
                    raise LostError("the memory for bodies of replies is used up")
                while buffers.must_wait(id(self), len(body)):
                    await asyncio.sleep(TURN_INTERVAL_S)
            return bytes(body)
        finally:
            buffers.bodies -= 1
            buffers.bytes -= len(body)
            buffers.end(id(self))

    async def skip_body(self) -> None:
        """Read a body that isn't needed, so that its connection can be used again.

        The connection is aborted if that takes long.
        """
        try:
            async with asyncio.timeout(UNNEEDED_BODY_TIMEOUT_S):
                await self.read_all(MAX_UNNEEDED_BYTES)
        except (LostError, TimeoutError):
            self.drop()

    def drop(self) -> None:
        """Abort the connection unless the reply is complete."""
        if not self._done:
            self._done = True
            self._connection.stream.abort()


@define(eq=False)
class _Connection:
    address: str
    stream: ByteStream
    http: h11.Connection
    idle_deadline_s: float = 0.0
    reused: bool = False
    failed: set[tuple[bytes, bytes]] = field(factory=set)
    turns: LoopTurns = field(factory=LoopTurns)
    had_unnamed_error: bool = False

    def record_reply(self, reply: Reply) -> bool:
        """Record a complete reply, which the peer may write once more.

        Returns
        -------
        bool
            False if the connection should be closed.
        """
        if reply.status < FIRST_ERROR_STATUS:
            return True
        if reply.identity is None:
            self.had_unnamed_error = True
            return True
        self.failed.add(reply.identity)
        return reply.is_identified and len(self.failed) <= MAX_FAILED_REQUESTS

    def suits(self, identity: tuple[bytes, bytes] | None) -> bool:
        """Return True if no earlier error can be taken for the reply to a request.

        A repeated error would say of a request in progress that it was not run.
        """
        if identity is None:
            return True
        return not self.had_unnamed_error and identity not in self.failed

    async def next_event(self) -> h11.Event:
        while True:
            await self.turns.step()
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise LostError(f"malformed reply: {error}") from error
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                raise LostError("unexpected bytes after the end of a reply")
            try:
                self.http.receive_data(await self.stream.read())
            except ConnectionError as error:
                raise LostError("the connection broke in a reply") from error


@define
class BodyBuffers:
    """Number and total size of the bodies that are being read.

    Parameters
    ----------
    unread
        Returns the number of bytes of answers that callers haven't read.
    bound
        Bytes of both above which long bodies aren't read on, except for the one that
        began first: all others are read after it.
    """

    bodies: int = 0
    bytes: int = 0
    unread: Callable[[], int] = lambda: 0
    bound: float = inf
    _long: dict[object, None] = field(factory=dict)

    def must_wait(self, reader: object, length: int) -> bool:
        """Return True while a body that has this length by now isn't read on."""
        if length < MIN_LONG_BODY_BYTES:
            return False
        self._long[reader] = None
        if self.bytes + self.unread() <= self.bound:
            return False
        return next(iter(self._long)) != reader

    def end(self, reader: object) -> None:
        """Give up the turn of a body that isn't read any more."""
        self._long.pop(reader, None)

    def excludes(self, length: int) -> bool:
        """Return True if there is no room for a body that has this length by now.

        Without room, the bodies above the average fail, as endless ones do.
        """
        return self.bytes > MAX_BUFFERED_BYTES and length * self.bodies >= self.bytes


@define
class TargetConnections:
    """Pool of connections to other processes.

    Parameters
    ----------
    opened
        Number of connections opened so far.
    buffers
        Memory for the bodies of replies.
    """

    _idle_by_address: dict[str, list[_Connection]] = field(factory=dict)
    _idle_in_order: dict[_Connection, None] = field(factory=dict)
    opened: int = 0
    buffers: BodyBuffers = field(factory=BodyBuffers)

    async def send(
        self,
        address: str,
        request: OutgoingRequest,
        *,
        fresh: bool = False,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        on_sent: Callable[[], None] = lambda: None,
    ) -> Reply:
        """Send a request and return the reply once its head has arrived.

        Parameters
        ----------
        fresh
            True to open a new connection: an idle one may be closed by the peer while
            the request is sent.
        on_sent
            Called before the first byte is sent. Until then the request can't have run.

        Raises
        ------
        NotSentError, LostError
        """
        connection = None if fresh else self._acquire_idle(address, request.identity)
        if connection is None:
            connection = await self._open(address, connect_timeout_s)
        try:
            on_sent()
            await _write(connection, address, request)
            for _ in range(MAX_INTERIM_REPLIES + 1):
                event = await connection.next_event()
                _require_http_status(event)
                if isinstance(event, h11.Response):
                    reply = Reply(
                        event.status_code,
                        list(event.headers),
                        connection,
                        self,
                        request.identity,
                    )
                    _require_identity(reply, connection)
                    return reply
                if not isinstance(event, h11.InformationalResponse):
                    raise LostError("the connection ended before a reply")
            raise LostError(f"over {MAX_INTERIM_REPLIES} interim replies")
        except BaseException:
            connection.stream.abort()
            raise

    async def is_refused(self, address: str, timeout_s: float) -> bool:
        """Return True if nothing listens at an address, so its process has ended."""
        try:
            connection = await self._open(address, timeout_s)
        except NotSentError as error:
            return isinstance(error, PortClosedError)
        connection.stream.close()
        return False

    def release(self, connection: _Connection, reply: Reply) -> None:
        """Return the connection of a complete reply to the pool, or close it."""
        http, stream = connection.http, connection.stream
        idle_s = _keep_alive_s(reply)
        if (
            http.our_state is not h11.DONE
            or http.their_state is not h11.DONE
            or http.trailing_data[0]
            or stream.unread
            or not stream.usable
            or idle_s <= 0
            or not connection.record_reply(reply)
        ):
            stream.close()
            return
        http.start_next_cycle()
        stream.end_stall()
        connection.reused = True
        connection.idle_deadline_s = time.monotonic() + idle_s
        kept = self._idle_by_address.setdefault(connection.address, [])
        kept.append(connection)
        self._idle_in_order[connection] = None
        if len(kept) > MAX_IDLE_PER_ADDRESS:
            self._discard(kept[0])
        elif len(self._idle_in_order) > MAX_IDLE_CONNECTIONS:
            self._discard(next(iter(self._idle_in_order)))

    def _discard(self, connection: _Connection) -> None:
        """Remove an idle connection from the pool and close it."""
        self._remove_idle(connection)
        connection.stream.close()

    def _remove_idle(self, connection: _Connection) -> None:
        """Remove an idle connection from the pool."""
        kept = self._idle_by_address[connection.address]
        kept.remove(connection)
        if not kept:
            del self._idle_by_address[connection.address]
        del self._idle_in_order[connection]

    def idle_connections(self) -> int:
        """Return the number of connections that no request uses."""
        return len(self._idle_in_order)

    def close_idle(self, now_s: float) -> None:
        """Close idle connections that have expired or that the peer has closed."""
        for connection in list(self._idle_in_order):
            if not self._is_usable(connection, now_s):
                self._discard(connection)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            del self._idle_in_order[connection]
            connection.stream.abort()

    def _acquire_idle(
        self, address: str, identity: tuple[bytes, bytes] | None
    ) -> _Connection | None:
        now_s = time.monotonic()
        for connection in reversed(self._idle_by_address.get(address, [])):
            if not connection.suits(identity):
                continue
            self._remove_idle(connection)
            if self._is_usable(connection, now_s):
                return connection
            connection.stream.close()
        return None

    @staticmethod
    def _is_usable(connection: _Connection, now_s: float) -> bool:
        stream = connection.stream
        return (
            stream.usable and not stream.unread and now_s < connection.idle_deadline_s
        )

    async def _open(self, address: str, timeout_s: float) -> _Connection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, stream = await loop.create_connection(ByteStream, host, int(port))
        except ConnectionRefusedError as error:
            raise PortClosedError(f"connection to {address} refused") from error
        except (OSError, ValueError, OverflowError) as error:
            raise NotSentError(f"no connection to {address}: {error!r}") from error
        self.opened += 1
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        return _Connection(address, stream, http)


def _require_http_status(event: h11.Event) -> None:
    """Raise an error if a reply has a status that HTTP doesn't have.

    Such a reply proves nothing, neither a result nor that the request wasn't run.

    Raises
    ------
    LostError
    """
    match event:
        case h11.Response(status_code=status):
            first = FIRST_FINAL_STATUS
        case h11.InformationalResponse(status_code=status):
            first = FIRST_STATUS
        case _:
            return
    if not first <= status <= LAST_STATUS:
        raise LostError(f"status {status:03} is not one of HTTP")


def _require_identity(reply: Reply, connection: _Connection) -> None:
    """Raise an error if an earlier request may be the one that was answered.

    Raises
    ------
    LostError
        The reply is a success on a connection that had requests before, and doesn't
        name its request.
    """
    if (
        connection.reused
        and reply.identity is not None
        and not reply.is_identified
        and reply.status < FIRST_ERROR_STATUS
    ):
        raise LostError("the reply doesn't name its request")


async def _write(
    connection: _Connection, address: str, request: OutgoingRequest
) -> None:
    names = {name.lower() for name, _ in request.headers}
    headers: list[tuple[str, str | bytes]] = list(request.headers)
    if "host" not in names:
        headers.insert(0, ("Host", address))
    if request.body or request.method in {"POST", "PUT", "PATCH"}:
        headers.append(("Content-Length", str(len(request.body))))
    http = connection.http
    sent = http.send(
        h11.Request(
            method=request.method, target=request.target, headers=raw_headers(headers)
        )
    )
    if request.body:
        sent += http.send(h11.Data(data=request.body))
    sent += http.send(h11.EndOfMessage())
    if request.stall_timeout_s is not None and len(sent) > MIN_LONG_BYTES:
        connection.stream.allow_stall(request.stall_timeout_s)
    try:
        await connection.stream.write(sent)
    except ConnectionError as error:
        raise LostError("the connection broke in a request") from error


def _keep_alive_s(reply: Reply) -> float:
    for value in _tokens(reply.headers, b"keep-alive"):
        name, _, seconds = value.partition("=")
        seconds = seconds.strip()
        digits = seconds.isascii() and seconds.isdigit()
        if name.strip() == "timeout" and digits:
            # Further digits don't matter, as the result is capped.
            return min(
                IDLE_TIMEOUT_S,
                int(seconds[:MAX_TIMEOUT_DIGITS]) - IDLE_TIMEOUT_MARGIN_S,
            )
    return IDLE_TIMEOUT_S


def _tokens(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> list[str]:
    return [
        token.strip().lower()
        for key, value in headers
        if key == name
        for token in value.decode("latin-1").split(",")
    ]
