"""HTTP/1.1 server connections of callers, within the limits in force.

Each connection has one task, and another one while a request is answered.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

import h11
from attrs import Factory, define, evolve, field, frozen

from celeryfork_entry.byte_stream import ByteStream
from celeryfork_entry.caller_guard import (
    ConnectionGuard,
    ShedError,
    make_single_connection_guard,
)
from celeryfork_entry.caller_memory import ENTITLED_BYTES, Phase
from celeryfork_entry.configuration import CallerLimits
from celeryfork_entry.loop_turns import LoopTurns
from celeryfork_entry.raw_headers import raw_headers

LINGER_S = 0.5
"""Seconds for which a connection is still read after its last answer, so that the
answer isn't lost to a TCP reset."""
MIN_STALL_TIMEOUT_S = 1.0
"""Minimum seconds without an acknowledged byte after which a caller is left; a sender
asks a receiver without free memory again after 0.2 s and more."""
HEAD_PARSE_MARGIN_BYTES = 4_096
"""Bytes beyond the limit of the head that are still parsed, so that the refusal can
give the reason."""

WRITE_BYTES = 1 << 16
"""Bytes of a body that are written at once; the transport copies what the kernel
doesn't take."""

Headers = Sequence[tuple[str, str | bytes]]
"""Header names and values; values of type ``bytes`` are sent unchanged."""

HOP_BY_HOP = frozenset(
    {
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
        "content-length", "expect",
    }
)  # fmt: skip
"""Headers that apply to one connection only (RFC 9110, section 7.6.1), and framing."""


class CallerGoneError(ConnectionError):
    """The caller closed its connection before it had the complete answer."""


class BadRequestError(Exception):
    """The request exceeds a limit or violates the protocol.

    Parameters
    ----------
    status
        Status of the answer.
    message
        Description of the error, and what the caller has to change.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


@frozen
class CallerRequest:
    """A complete request as received.

    Parameters
    ----------
    target
        Path and query, unchanged.
    arrived_s
        Monotonic time at which its head was complete, in seconds.
    body_read
        False if the body wasn't read, as the answer doesn't need it.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_s: float
    body_read: bool = True


@define(eq=False)
class CallerConnection:
    """One caller's connection.

    Parameters
    ----------
    limits
        Returns the limits in force.
    handle
        Answers one request through :meth:`answer` or :meth:`begin_stream`.
    is_stopping
        Returns True while the instance is stopping.
    needs_body
        Returns True if the body of the request with this head is needed.
    guard
        Counts what the connection holds.
    close_after
        True if the connection closes after the current answer.
    """

    stream: ByteStream
    limits: Callable[[], CallerLimits]
    handle: Callable[["CallerConnection", CallerRequest], Awaitable[None]]
    is_stopping: Callable[[], bool]
    needs_body: Callable[[CallerRequest], bool] = lambda _: True
    guard: ConnectionGuard = Factory(
        lambda self: make_single_connection_guard(self.stream), takes_self=True
    )
    http: h11.Connection = field(init=False)
    _busy: bool = False
    _close_after: bool = False
    _method: bytes = b""
    _header_bytes: int = field(init=False)
    _begun_under: CallerLimits = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parser."""
        self._begun_under = self.limits()
        self._make_parser()

    def _make_parser(self) -> None:
        """Create a parser whose size limit of the head is that in force."""
        self._header_bytes = self.limits().header_bytes
        self.http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._header_bytes + HEAD_PARSE_MARGIN_BYTES,
        )

    async def serve(self) -> None:
        """Answer requests until either side closes the connection."""
        try:
            while await self._serve_one():
                pass
            if self.http.our_state is h11.MUST_CLOSE:
                await self._linger()
            self.stream.close()
            await self.stream.wait_closed(self._stall_timeout_s())
        except (ConnectionError, h11.LocalProtocolError):
            self.stream.abort()
        finally:
            self.stream.close()
            self.guard.end()

    async def _serve_one(self) -> bool:
        try:
            request: (
                CallerRequest | BadRequestError | ShedError | None
            ) = await self._next_request()
        except (BadRequestError, ShedError) as error:
            # Its frames would keep what was received of the body.
            request = error.with_traceback(None)
            error.__cause__ = error.__context__ = None
        if request is None:
            return False
        if isinstance(request, Exception):
            self._busy = True
            self.guard.end_request()
            await self._refuse(request)
            return False
        self.guard.begin(Phase.WAITING)
        try:
            await self._handle_until_closed(request)
        except ShedError as error:
            await self._refuse(error)
        finally:
            self._busy = False
            self.guard.end_request()
        if {self.http.our_state, self.http.their_state} != {h11.DONE}:
            return False
        if self._close_after and not self._has_unread_bytes:
            return False
        self.http.start_next_cycle()
        return True

    @property
    def _has_unread_bytes(self) -> bool:
        """Return True if part of the next request has been received."""
        return bool(self.stream.unread or self.http.trailing_data[0])

    async def _handle_until_closed(self, request: CallerRequest) -> None:
        handling = asyncio.ensure_future(self.handle(self, request))
        if self.stream.ended:
            handling.cancel()
        self.stream.on_closed = handling.cancel
        try:
            await handling
        except asyncio.CancelledError:
            if not self.stream.ended:
                raise
            raise CallerGoneError("the caller closed the connection") from None
        finally:
            self.stream.on_closed = None
            handling.cancel()

    async def _next_request(self) -> CallerRequest | None:
        first = await self._next_event()
        if first is None:
            return None
        limits = self.limits()
        arrived_s = asyncio.get_running_loop().time()
        self._method = first.method
        size = sum(len(name) + len(value) + 4 for name, value in first.headers)
        if size + len(first.target) > limits.header_bytes:
            raise BadRequestError(
                431, f"Headers exceed {limits.header_bytes} bytes: send fewer."
            )
        length = _body_length(first, limits.body_bytes)
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in first.headers
        )
        head = CallerRequest(
            first.method.decode("ascii"),
            first.target.decode("latin-1"),
            headers,
            b"",
            arrived_s,
        )
        del first
        if length != 0 and not self.needs_body(head):
            if not await self._skip_received_body():
                self._close_after = True
            return evolve(head, body_read=False)
        if length:
            await self.guard.reserve_body(length)
        if self.http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self.http.send(interim))
        return evolve(head, body=await self._body(limits, length))

    async def _skip_received_body(self) -> bool:
        """Discard what has been received of a body; return True if that is all."""
        turns = LoopTurns()
        while True:
            await turns.step()
            event = self._parse()
            if isinstance(event, h11.EndOfMessage):
                return True
            if isinstance(event, h11.Data):
                continue
            if not self.stream.unread:
                return False
            self.http.receive_data(await self.stream.read())

    async def _next_event(self) -> h11.Request | None:
        """Return the head of the next request, None if the connection is to be closed.

        The limits in force apply, which may change while the connection is idle.
        """
        loop = asyncio.get_running_loop()
        idle_since_s = loop.time()
        begun_s: float | None = None
        while True:
            unparsed = self.http.trailing_data[0]
            self.guard.record_parser(len(unparsed))
            event = await self._parse_head(unparsed)
            if isinstance(event, h11.Request):
                self._busy = True
                if begun_s is None:
                    self._begun_under = self.limits()
                self.stream.end_stall()
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if unparsed and begun_s is None:
                begun_s, self._begun_under = loop.time(), self.limits()
                self._busy = True
            try:
                data = await self._read_by(
                    partial(self._head_deadline_s, idle_since_s, begun_s)
                )
            except TimeoutError:
                if begun_s is None:
                    return None
                head_timeout_s = max(
                    self._begun_under.header_timeout_s, self.limits().header_timeout_s
                )
                raise BadRequestError(
                    408,
                    f"The headers took over {head_timeout_s:g} s: send them faster.",
                ) from None
            if begun_s is None and self._header_bytes != self.limits().header_bytes:
                # h11 can't change the limit of a parser; this one holds no bytes yet.
                self._make_parser()
            self.http.receive_data(data)

    async def _parse_head(self, unparsed: bytes) -> object:
        """Parse a head once it is complete and there is memory and time for it."""
        ends = [unparsed.find(end) for end in (b"\n\r\n", b"\n\n")]
        size = min((end for end in ends if end >= 0), default=None)
        if size is None:
            return self._parse()
        fields = unparsed.count(b"\n", 0, size)
        await self.guard.reserve_head(fields, size)
        async with self.guard.parsing(fields):
            return self._parse()

    async def _read_by(self, deadline_s: Callable[[], float]) -> bytes:
        """Return the next bytes.

        Parameters
        ----------
        deadline_s
            Returns the time of the event loop until which to wait for them, which may
            change meanwhile.

        Raises
        ------
        TimeoutError
            No byte has been received by then.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with asyncio.timeout_at(deadline_s()):
                    return await self.stream.read()
            except TimeoutError:
                if self.stream.unread:
                    # They arrived in the iteration of the event loop in which the
                    # timeout expired. A timeout in the past would cancel each attempt
                    # to read many bytes.
                    return await self.stream.read()
                if loop.time() >= deadline_s():
                    raise

    def _head_deadline_s(self, idle_since_s: float, begun_s: float | None) -> float:
        """Return the time of the event loop until which the next head may take.

        Callers go by the limit in force, or by that at the begin of their request.
        """
        limits = self.limits()
        if begun_s is None:
            return idle_since_s + limits.idle_timeout_s
        return begun_s + max(
            self._begun_under.header_timeout_s, limits.header_timeout_s
        )

    async def _body(self, limits: CallerLimits, length: int | None) -> bytes:
        """Return the body; its length is None if it comes in chunks."""
        body = bytearray()
        reserved = ENTITLED_BYTES if length is None else length
        turns = LoopTurns()
        while True:
            await turns.step()
            event = self._parse()
            if isinstance(event, h11.EndOfMessage):
                self.guard.record_parser(len(self.http.trailing_data[0]))
                return bytes(body)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _too_large(limits.body_bytes)
                if len(body) > reserved:
                    reserved = limits.body_bytes
                    await self.guard.reserve_body(reserved)
                continue
            since_s = asyncio.get_running_loop().time()
            try:
                data = await self._read_by(
                    partial(self._body_deadline_s, since_s, limits)
                )
            except TimeoutError:
                raise BadRequestError(
                    408, f"No body byte for {limits.idle_timeout_s:g} s: send faster."
                ) from None
            if not data:
                raise CallerGoneError(
                    "the caller closed the connection before the end of its request"
                )
            self.http.receive_data(data)

    def _body_deadline_s(self, since_s: float, limits: CallerLimits) -> float:
        """Return the time of the event loop until which the next bytes may take."""
        return since_s + max(limits.idle_timeout_s, self.limits().idle_timeout_s)

    def _parse(self) -> object:
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequestError(
                error.error_status_hint, f"Not an HTTP/1.1 request: {error}."
            ) from error

    @property
    def can_answer(self) -> bool:
        """Return True if no byte of an answer to the current request was sent."""
        return self.http.our_state in {h11.IDLE, h11.SEND_RESPONSE}

    async def _refuse(self, error: BadRequestError | ShedError) -> None:
        if not self.can_answer:
            return
        self._close_after = True
        status, headers = 503, []
        if isinstance(error, BadRequestError):
            status = error.status
        else:
            headers.append(("Retry-After", f"{error.retry_after_s:g}"))
        await self.answer(status, headers, f"{error.message}\n".encode())

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        framing = [("Content-Length", str(len(body)))]
        if status in {204, 304} or status < 200:
            framing, body = [], b""
        elif self._method == b"HEAD" and not body:
            # A target's answer to HEAD doesn't tell the length that GET would have.
            framing = []
        head = self._head(status, [*headers, *framing])
        sent = self.http.send(head)
        self.stream.allow_stall(self._stall_timeout_s())
        length = 0 if self._method == b"HEAD" else len(body)
        self.guard.begin(Phase.READING)
        for start in range(0, length, WRITE_BYTES):
            end = start + WRITE_BYTES
            sent += self.http.send(h11.Data(data=body[start:end]))
            if end < length:
                await self._write(sent, length - end)
                sent = b""
        await self._write(sent + self.http.send(h11.EndOfMessage()))

    async def begin_stream(self, status: int, headers: Headers, first: bytes) -> None:
        """Send the head and the first bytes of a streamed answer."""
        head = self._head(status, [*headers, ("Transfer-Encoding", "chunked")])
        sent = self.http.send(head)
        await self._write(sent + self.http.send(h11.Data(data=first)))

    async def send_chunk(self, data: bytes) -> None:
        """Send more bytes of a streamed answer."""
        await self._write(self.http.send(h11.Data(data=data)))

    async def end_stream(self) -> None:
        """Mark a streamed answer as complete."""
        await self._write(self.http.send(h11.EndOfMessage()))

    async def _write(self, data: bytes, rest: int = 0) -> None:
        """Send bytes of an answer of which ``rest`` bytes come later."""
        self.guard.begin(Phase.READING)
        self.guard.record_unsent(len(data) + rest)
        try:
            await self.stream.write(data, self._stall_timeout_s())
        finally:
            self.guard.record_unsent(rest)
        if not rest:
            self.guard.begin(Phase.WAITING)

    def _stall_timeout_s(self) -> float:
        return max(
            MIN_STALL_TIMEOUT_S,
            self._begun_under.idle_timeout_s,
            self.limits().idle_timeout_s,
        )

    def abort(self) -> None:
        """Abort the connection, so that the answer isn't taken for complete."""
        self._close_after = True
        self.stream.abort()

    @property
    def busy(self) -> bool:
        """Return True while a request is being received or answered."""
        return self._busy or self.stream.unsent > 0

    def close_when_idle(self) -> None:
        """Close the connection at once if it is idle, else after the current answer."""
        self._close_after = True
        if not self._busy and not self.stream.unread:
            self.stream.close()

    def _head(self, status: int, headers: Headers) -> h11.Response:
        sent = list(headers)
        if self._close_after or self.is_stopping():
            self._close_after = True
            sent.append(("Connection", "close"))
        return h11.Response(status_code=status, headers=raw_headers(sent))

    async def _linger(self) -> None:
        """Read on briefly, as closing with unread bytes would send a TCP reset.

        Only after an answer that announced the close: a caller that had no notice can't
        tell whether a request that is read here was run.
        """
        if self.stream.ended or self.stream.transport is None:
            return
        if self.stream.transport.can_write_eof():
            self.stream.transport.write_eof()
        with contextlib.suppress(TimeoutError, ConnectionError, ShedError):
            async with asyncio.timeout(LINGER_S):
                while await self.stream.read():
                    pass


def _body_length(request: h11.Request, max_bytes: int) -> int | None:
    """Return the length of a request's body, None if it comes in chunks.

    Raises
    ------
    BadRequestError
        The framing is ambiguous, or the body exceeds ``max_bytes``.
    """
    names = [name for name, _ in request.headers]
    lengths = [value for name, value in request.headers if name == b"content-length"]
    if lengths and b"transfer-encoding" in names:
        raise BadRequestError(
            400, "Content-Length and Transfer-Encoding together: send one of them."
        )
    if names.count(b"host") > 1:
        raise BadRequestError(400, "More than one Host header: send one.")
    if lengths and int(lengths[0]) > max_bytes:
        raise _too_large(max_bytes)
    if b"transfer-encoding" in names:
        return None
    return int(lengths[0]) if lengths else 0


def _too_large(max_bytes: int) -> BadRequestError:
    return BadRequestError(
        413, f"The body exceeds {max_bytes} bytes: send a smaller one."
    )
