"""HTTP client for plain services; results tell if the request may have been sent.

A failure to connect, before the first byte of the request, is reported apart from
later failures. Nothing here retries.
"""

import contextlib
import time
from collections.abc import Mapping
from http.client import BadStatusLine, HTTPException, RemoteDisconnected

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
# Without a pool, urllib3 raises the standard library's errors unchanged.
TRANSPORT_ERRORS = (HTTPError, HTTPException, OSError, ValueError)
FINAL_STATUSES = range(200, 600)
DEFAULT_CONTENT_TYPE = "application/octet-stream"


@frozen
class Sent:
    """The request was sent, and a complete answer arrived.

    Parameters
    ----------
    draining
        True if the target announced that it accepts no new calls.
    retry_after_s
        The target's ``Retry-After``, in seconds.
    """

    status: int
    content_type: str
    body: bytes = field(repr=False)
    draining: bool = False
    retry_after_s: float | None = None


@frozen
class NotSent:
    """Proof that no byte of the request was sent to the target.

    Parameters
    ----------
    unreachable
        True if connecting failed, False if the deadline passed before sending.
    """

    reason: str
    unreachable: bool = False


@frozen
class Lost:
    """The request may have reached the target, and there is no complete answer.

    Parameters
    ----------
    timed_out
        True if the deadline passed, False if the connection broke or the answer
        was malformed.
    answer_too_large
        True if the answer exceeded the size limit, so that a retry would not help.
    bad_status
        True if the target answered with a status that HTTP doesn't have for a final
        answer. So it still runs, and the call has not crashed it.
    """

    reason: str
    timed_out: bool = False
    answer_too_large: bool = False
    bad_status: bool = False


SendResult = Sent | NotSent | Lost


class _AnswerFaultError(Exception):
    """The answer's status or end is unusable, or the answer is too large or late."""

    def __init__(self, lost: Lost) -> None:
        super().__init__(lost.reason)
        self.lost = lost


class ServiceClient:
    """Sends calls to plain services. Thread-safe.

    Parameters
    ----------
    max_answer_bytes
        Size limit of an answer's body; a longer one is reported as ``Lost``.
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
        """Send one call as a POST request.

        Parameters
        ----------
        address
            ``ip:port`` of the target.
        kind
            Kind of call, used as the path.
        timeout_s
            Timeout for connecting, sending and the complete answer, in seconds.
        fresh
            Open a new connection for this call. A failure on a pooled connection
            doesn't tell whether the target had closed it before or received the
            call, so calls that are not idempotent set this.
        """
        return self._request("POST", address, kind, headers, body, timeout_s, fresh)

    def get(
        self, address: str, path: str, headers: Mapping[str, str], timeout_s: float
    ) -> SendResult:
        """Send a GET request, such as a kind's status call, on a pooled connection."""
        return self._request("GET", address, path, headers, None, timeout_s, False)

    def close(self) -> None:
        """Close the pooled connections."""
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
        """Return the complete answer.

        Raises
        ------
        _AnswerFaultError
            The answer's status is not one of HTTP, its end is not marked, or the answer
            is too large or late.
        """
        if response.status not in FINAL_STATUSES:
            raise _AnswerFaultError(
                Lost(
                    f"the answer's status {response.status:03} is not a final one of "
                    "HTTP; answer with 200 to 599",
                    bad_status=True,
                )
            )
        if not _length_is_known(response):
            raise _AnswerFaultError(
                Lost("the answer has no marked end; answer with Content-Length")
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
    """Return the bytes of one read of the socket, b"" at the answer's end."""
    if time.monotonic() > deadline_s:
        raise _AnswerFaultError(
            Lost("the answer was incomplete at the deadline", timed_out=True)
        )
    if isinstance(response, HTTPResponse):
        return response.read1(READ_CHUNK_BYTES, decode_content=False)
    return response.read(READ_CHUNK_BYTES, decode_content=False)


def _length_is_known(response: BaseHTTPResponse) -> bool:
    """Return True if a truncated body can be told from a complete one."""
    if response.status in (204, 304):
        return True
    if isinstance(response, HTTPResponse) and response.chunked:
        return True
    return response.headers.get("Content-Length", "").isdecimal()


def _lost_result(address: str, error: Exception) -> Lost:
    timed_out = isinstance(error, TimeoutError) or "timed out" in str(error)
    return Lost(
        f"{address} gave no complete answer: {error}",
        timed_out=timed_out,
        bad_status=any(_is_status_fault(each) for each in (error, *error.args)),
    )


def _is_status_fault(error: object) -> bool:
    """Return True if a status line was received that is not one of HTTP."""
    # RemoteDisconnected is a BadStatusLine too, but without any bytes.
    return isinstance(error, BadStatusLine) and not isinstance(
        error, RemoteDisconnected
    )


def _parse_seconds(text: str | None) -> float | None:
    try:
        return None if text is None else max(0.0, float(text))
    except ValueError:
        return None
