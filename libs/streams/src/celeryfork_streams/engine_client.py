"""The one place that speaks ``POST /v1/generate`` of docs/ENGINE.md to engines.

Every attempt has a connection of its own; closing it cancels the attempt.
"""

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from orjson import dumps

from celeryfork_streams.errors import (
    EngineAnswerError,
    EngineCutError,
    EngineNotReachedError,
    EngineRejectedError,
)
from celeryfork_streams.requests import GenerateRequest
from celeryfork_streams.stages import Stage

LARGEST_LINE_BYTES = 16 * 1024
LARGEST_ERROR_BYTES = 4 * 1024
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
            "stream_id": request.request_id,
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
    """The events of one attempt, line by line."""

    def __init__(self, address: str, response: ClientResponse) -> None:
        self._address = address
        self._response = response
        self._content = response.content
        self._rest = b""

    async def lines(self) -> list[bytes]:
        """Return the whole lines that have come, at least one.

        Raises
        ------
        EngineCutError
            The connection broke, or the body ended.
        EngineAnswerError
            A line is longer than ``LARGEST_LINE_BYTES``.
        """
        while True:
            try:
                data = await self._content.readany()
            except (ClientError, OSError) as error:
                raise self._cut(f"the connection broke: {error}") from error
            if not data:
                raise self._cut("the body ended before the answer did")
            lines = data.split(b"\n")
            lines[0] = self._rest + lines[0]
            longest = max(map(len, lines))
            if longest > LARGEST_LINE_BYTES:
                raise self._too_long()
            self._rest = lines.pop()
            if lines:
                return lines

    def close(self) -> None:
        """Close the connection, which cancels the attempt."""
        self._response.close()

    def _too_long(self) -> EngineAnswerError:
        return EngineAnswerError(
            self._address,
            f"an event is longer than {LARGEST_LINE_BYTES} bytes",
        )

    def _cut(self, message: str) -> EngineCutError:
        return EngineCutError(self._address, message, "resume on another chain")


class EngineSession:
    """Opens attempts; belongs to one event loop."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._session = ClientSession(
            connector=TCPConnector(limit=0, force_close=True, use_dns_cache=False),
            timeout=ClientTimeout(total=None, sock_connect=connect_timeout_s),
            auto_decompress=False,
            headers={"Content-Type": "application/json"},
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def open(self, address: str, body: bytes) -> EngineStream:
        """Send one attempt and return its events once the engine has accepted it.

        Raises
        ------
        EngineNotReachedError
            Not connected: no byte was sent.
        EngineRejectedError
            Answered that it did not run.
        EngineCutError
            The connection broke after the request may have been sent.
        EngineAnswerError
            An answer that the interface does not have.
        """
        try:
            response = await self._session.post(
                f"http://{address}/v1/generate", data=body
            )
        except (ClientConnectorError, TimeoutError) as error:
            raise EngineNotReachedError(
                address, f"not reached: {error}", "send the request elsewhere"
            ) from error
        except (ClientError, OSError) as error:
            raise EngineCutError(
                address, f"no answer: {error}", "resume on another chain"
            ) from error
        if response.status == 200:
            return EngineStream(address, response)
        try:
            await _raise_for(address, response)
        finally:
            response.close()
        raise AssertionError("unreachable")

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()


async def _raise_for(address: str, response: ClientResponse) -> None:
    """Raise the error that a status other than 200 stands for."""
    try:
        text = (await response.content.read(LARGEST_ERROR_BYTES)).decode(
            errors="replace"
        )
    except (ClientError, OSError):
        text = ""
    if response.status not in REJECTED_STATUSES:
        raise EngineAnswerError(
            address,
            f"answered {response.status}, which the interface does not have",
        )
    raise EngineRejectedError(
        address,
        response.status,
        text,
        _seconds(response.headers.get("Retry-After")),
    )


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
    return EngineSession(connect_timeout_s)
