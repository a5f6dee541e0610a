"""HTTP towards plain services, telling apart whether a byte can have reached them.

Connecting is a step of its own, so that a failure before the request's first byte
is known as such. Nothing here retries.
"""

import contextlib
import time
from collections.abc import Mapping
from http.client import HTTPException

from attrs import field, frozen
from urllib3 import HTTPResponse, PoolManager, Timeout
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError
from urllib3.response import BaseHTTPResponse

MAX_ANSWER_BYTES = 8 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
MAX_POOLED_TARGETS = 256
MAX_IDLE_CONNECTIONS_PER_TARGET = 8
CONNECT_TIMEOUT_S = 2.0
# urllib3 passes the standard library's errors on where no pool is used.
TRANSPORT_ERRORS = (HTTPError, HTTPException, OSError, ValueError)
DEFAULT_CONTENT_TYPE = "application/octet-stream"


@frozen
class Sent:
    """A whole answer.

    Parameters
    ----------
    draining
        The target said that it takes no new work.
    retry_after_s
        When the target wants to be asked again, in seconds.
    """

    status: int
    content_type: str
    body: bytes = field(repr=False)
    draining: bool = False
    retry_after_s: float | None = None


@frozen
class NotSent:
    """Proof that no byte of the request left for the target.

    Parameters
    ----------
    unreachable
        The target took no connection; otherwise the deadline passed before.
    """

    reason: str
    unreachable: bool = False


@frozen
class Lost:
    """Part of the request may have reached the target; there is no whole answer.

    Parameters
    ----------
    timed_out
        The deadline passed; otherwise the connection broke or the answer was faulty.
    answer_too_large
        The target answered more than is taken, so that asking again is no use.
    """

    reason: str
    timed_out: bool = False
    answer_too_large: bool = False


SendResult = Sent | NotSent | Lost


class _AnswerFaultError(Exception):
    """The answer can't be taken as whole."""

    def __init__(self, lost: Lost) -> None:
        super().__init__(lost.reason)
        self.lost = lost


class ServiceClient:
    """Sends calls to plain services; safe to use from any thread.

    Parameters
    ----------
    largest_answer_bytes
        Longer answers are cut off and counted as lost.
    """

    def __init__(self, max_answer_bytes: int) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._pools = PoolManager(
            num_pools=MAX_POOLED_TARGETS,
            maxsize=MAX_IDLE_CONNECTIONS_PER_TARGET,
            retries=False,
        )

    def send(
        self,
        address: str,
        kind: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
        *,
        fresh: bool,
    ) -> SendResult:
        """Post one call.

        Parameters
        ----------
        address
            ``ip:port`` of the target.
        kind
            Path below the target's root.
        timeout_s
            Limit for connecting, sending and the whole answer, in seconds.
        fresh
            Open a connection for this call alone. A kept connection that the target
            has closed can't be told from one that took the call, so calls that are
            not idempotent set it.
        """
        return self._request("POST", address, kind, headers, body, timeout_s, fresh)

    def get(
        self, address: str, path: str, headers: Mapping[str, str], timeout_s: float
    ) -> SendResult:
        """Get an idempotent path, such as a kind's status call."""
        return self._request("GET", address, path, headers, None, timeout_s, False)

    def close(self) -> None:
        """Close the kept connections."""
        self._pools.clear()

    def _request(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        timeout_s: float,
        fresh: bool,
    ) -> SendResult:
        deadline_s = time.monotonic() + timeout_s
        path = "/" + path.lstrip("/")
        if timeout_s <= 0:
            return NotSent("the deadline passed before the call was sent")
        if fresh:
            return self._send_fresh(method, address, path, headers, body, deadline_s)
        return self._send_pooled(method, address, path, headers, body, deadline_s)

    def _send_fresh(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        deadline_s: float,
    ) -> SendResult:
        host, _, port = address.rpartition(":")
        remaining_s = deadline_s - time.monotonic()
        try:
            connection = HTTPConnection(
                host, int(port), timeout=min(CONNECT_TIMEOUT_S, remaining_s)
            )
            connection.connect()
        except (HTTPError, OSError, ValueError) as error:
            return NotSent(f"no connection to {address}: {error}", unreachable=True)
        with contextlib.closing(connection):
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                return NotSent("the deadline passed while connecting")
            connection.sock.settimeout(remaining_s)
            connection.timeout = remaining_s
            try:
                connection.request(method, path, body, headers, preload_content=False)
                response = connection.getresponse()
                return self._read(response, deadline_s)
            except _AnswerFaultError as fault:
                return fault.lost
            except TimeoutError:
                return Lost(f"{address} did not answer in time", timed_out=True)
            except TRANSPORT_ERRORS as error:
                return _lost_result(address, error)

    def _send_pooled(
        self,
        method: str,
        address: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        deadline_s: float,
    ) -> SendResult:
        remaining_s = deadline_s - time.monotonic()
        try:
            response = self._pools.urlopen(
                method,
                f"http://{address}{path}",
                redirect=False,
                body=body,
                headers=headers,
                timeout=Timeout(
                    connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s
                ),
                retries=False,
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            return NotSent(f"no connection to {address}: {error}", unreachable=True)
        except TRANSPORT_ERRORS as error:
            return _lost_result(address, error)
        try:
            answer = self._read(response, deadline_s)
        except _AnswerFaultError as fault:
            response.close()
            return fault.lost
        except TRANSPORT_ERRORS as error:
            response.close()
            return _lost_result(address, error)
        response.release_conn()
        return answer

    def _read(self, response: BaseHTTPResponse, deadline_s: float) -> Sent:
        """Return the whole answer, or raise where it isn't one."""
        if not _length_is_known(response):
            raise _AnswerFaultError(
                Lost("the answer's end is not marked; answer with Content-Length")
            )
        parts: list[bytes] = []
        size = 0
        while True:
            part = _read_chunk(response, deadline_s)
            if not part:
                break
            parts.append(part)
            size += len(part)
            if size > self._max_answer_bytes:
                raise _AnswerFaultError(
                    Lost(
                        f"the answer is longer than {self._max_answer_bytes} bytes",
                        answer_too_large=True,
                    )
                )
        return Sent(
            status=response.status,
            content_type=response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
            body=b"".join(parts),
            draining=response.headers.get("X-Draining", "").lower() == "true",
            retry_after_s=_parse_seconds(response.headers.get("Retry-After")),
        )


def make_service_client(
    max_answer_bytes: int = MAX_ANSWER_BYTES,
) -> ServiceClient:
    """Return a client for plain services."""
    return ServiceClient(max_answer_bytes)


def _read_chunk(response: BaseHTTPResponse, deadline_s: float) -> bytes:
    """Return what one read of the socket brings, b"" at the answer's end."""
    if time.monotonic() > deadline_s:
        raise _AnswerFaultError(
            Lost("the answer took longer than the deadline", timed_out=True)
        )
    if isinstance(response, HTTPResponse):
        return response.read1(READ_CHUNK_BYTES, decode_content=False)
    return response.read(READ_CHUNK_BYTES, decode_content=False)


def _length_is_known(response: BaseHTTPResponse) -> bool:
    """Tell whether a cut-off body can be told from a whole one."""
    if response.status in (204, 304):
        return True
    if isinstance(response, HTTPResponse) and response.chunked:
        return True
    return response.headers.get("Content-Length", "").isdecimal()


def _lost_result(address: str, error: Exception) -> Lost:
    timed_out = isinstance(error, TimeoutError) or "timed out" in str(error)
    return Lost(f"{address} gave no whole answer: {error}", timed_out=timed_out)


def _parse_seconds(text: str | None) -> float | None:
    try:
        return None if text is None else max(0.0, float(text))
    except ValueError:
        return None
