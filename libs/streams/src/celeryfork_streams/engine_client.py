"""The one place that speaks ``POST /v1/generate`` of docs/ENGINE.md to engines.

Every attempt has a connection of its own; closing it cancels the attempt.
"""

import asyncio
from http import HTTPStatus

from orjson import dumps

from celeryfork_streams.engine_connection import RECEIVE_BYTES, EngineConnection
from celeryfork_streams.errors import (
    EngineAnswerError,
    EngineCutError,
    EngineNotReachedError,
    EngineRejectedError,
)
from celeryfork_streams.requests import GenerateRequest
from celeryfork_streams.salvage import Stage

REJECTED_STATUSES = frozenset({400, 404, 409, 429})


def generate_body(
    request: GenerateRequest,
    attempt: int,
    stages: tuple[Stage, ...],
    emitted: list[str],
) -> bytes:
    """Return the body of ``POST /v1/generate``."""
    return dumps(
        {
            "stream_id": request.stream_id,
            "attempt": attempt,
            "model": request.model,
            "version": stages[0].hop.target.version,
            "adapter": None,
            "prompt": request.prompt,
            "emitted": emitted,
            "position": len(emitted),
            "max_tokens": request.max_tokens,
            "priority": request.priority,
            "seed": request.seed,
            "chain": [
                {
                    "engine": stage.hop.target.id,
                    "address": stage.hop.target.address,
                    "first": stage.hop.first,
                    "last": stage.hop.last,
                    "kv_from": stage.kv_from,
                }
                for stage in stages
            ],
        }
    )


class EngineStream:
    """One attempt on a connection of its own."""

    def __init__(self, address: str, connection: EngineConnection) -> None:
        self._address = address
        self._connection = connection

    async def begin(self, body: bytes) -> None:
        """Send the request and wait until the engine has accepted it.

        Raises
        ------
        EngineRejectedError
            It answered that it did not run.
        EngineCutError
            The connection broke; the engine may have run it.
        EngineAnswerError
            An answer that the interface does not have.
        """
        connection = self._connection
        connection.send(_generate_head(self._address, len(body)) + body)
        if not await connection.answered():
            _raise_fault(self._address, connection)
            raise EngineCutError(
                self._address, "closed without an answer", "resume on another chain"
            )
        head = connection.head
        assert head is not None
        if head.code == HTTPStatus.OK:
            return
        if head.code not in REJECTED_STATUSES:
            message = f"answered {head.code}, which the interface does not have"
            raise EngineAnswerError(self._address, message)
        text = (await connection.body()).decode(errors="replace")
        retry_after_s = _seconds(head.headers.get("Retry-After"))
        raise EngineRejectedError(self._address, head.code, text, retry_after_s)

    async def lines(self) -> list[bytes]:
        """Return the whole lines that have come, at least one.

        Raises
        ------
        EngineCutError
            The connection broke, or the body ended.
        EngineAnswerError
            What came is no HTTP.
        """
        lines = await self._connection.lines()
        if lines:
            return lines
        _raise_fault(self._address, self._connection)
        raise EngineCutError(
            self._address,
            "the body ended before the answer did",
            "resume on another chain",
        )

    def close(self) -> None:
        """Close the connection, which cancels the attempt."""
        self._connection.close()


class EngineSession:
    """Opens attempts on one event loop, and closes them at the end.

    Parameters
    ----------
    connect_timeout_s
        Limit for connecting to an engine, in seconds.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, connect_timeout_s: float
    ) -> None:
        self._loop = loop
        self._connect_timeout_s = connect_timeout_s
        self._buffer = memoryview(bytearray(RECEIVE_BYTES))

    async def connect(self, address: str) -> EngineStream:
        """Connect to an engine; nothing is sent yet.

        Raises
        ------
        EngineNotReachedError
            Nothing listens there, or not within the limit.
        """
        return EngineStream(address, await self._connect(address))

    async def alive(self, address: str, timeout_s: float) -> bool:
        """Return whether an engine answers ``GET /v1/engine`` within ``timeout_s``."""
        connection = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect(address)
                connection.send(_head("GET /v1/engine", address))
                return await connection.answered()
        except (EngineNotReachedError, TimeoutError):
            return False
        finally:
            if connection is not None:
                connection.close()

    async def close(self) -> None:
        """Do nothing: the connections are their attempts'."""

    async def _connect(self, address: str) -> EngineConnection:
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: EngineConnection(self._loop, self._buffer), host, int(port)
                )
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            raise EngineNotReachedError(
                address, f"not reached: {error}", "send the request elsewhere"
            ) from error
        return connection


def _head(call: str, address: str, *headers: str) -> bytes:
    """Return the head of a request, such as ``GET /v1/engine``."""
    lines = [f"{call} HTTP/1.1", f"Host: {address}", *headers]
    return "\r\n".join([*lines, "Connection: close\r\n\r\n"]).encode("ascii")


def _generate_head(address: str, length: int) -> bytes:
    return _head(
        "POST /v1/generate",
        address,
        "Content-Type: application/json",
        f"Content-Length: {length}",
    )


def _raise_fault(address: str, connection: EngineConnection) -> None:
    """Raise if what came was no HTTP."""
    if connection.fault is not None:
        message = f"sent what is no HTTP: {connection.fault.message}"
        raise EngineAnswerError(address, message)


def _seconds(text: str | None) -> float | None:
    """Return a ``Retry-After`` in seconds; None for a date or nonsense."""
    if text is None or not text.isdecimal():
        return None
    return float(text)


async def make_engine_session(connect_timeout_s: float) -> EngineSession:
    """Return a session of the running event loop.

    Parameters
    ----------
    connect_timeout_s
        Limit for connecting to an engine, in seconds.
    """
    return EngineSession(asyncio.get_running_loop(), connect_timeout_s)
