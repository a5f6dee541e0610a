"""HTTP client of a platform service, with bounded time, size and concurrency."""

from collections.abc import Mapping
from typing import cast

import orjson
import urllib3
from attrs import frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError, PlatformUnavailableError
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from celeryfork_platform.deadline import make_connection_pool
from celeryfork_platform.outage import CallPermit, CircuitBreaker, ConcurrencyLimit

MAX_CONCURRENT_CALLS = 16
MAX_ANSWER_BYTES = 64 * 1024 * 1024
FINAL_STATUSES = range(200, 600)
_READ_CHUNK_BYTES = 64 * 1024


class NoAnswerError(CeleryforkError):
    """A request was sent but not fully answered; it may have taken effect."""


@frozen
class Answer:
    """A complete response of a platform service."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> dict[str, object]:
        """Return the body as a JSON object.

        Raises
        ------
        ValueError
            The body is not a JSON object.
        """
        value = orjson.loads(self.body)
        if not isinstance(value, dict):
            raise ValueError("response body is not a JSON object")
        return value


class PlatformHttp:
    """Thread-safe HTTP client of one platform service.

    The number of concurrent calls is bounded, and so is the duration of each call,
    even if the service sends its response a byte at a time.
    """

    def __init__(
        self, base_url: str, service: str, clock: Clock, counters: Counters
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._service = service
        self._clock = clock
        self._counters = counters
        self.breaker = CircuitBreaker(service, clock, counters)
        self._concurrency_limit = ConcurrencyLimit(service, MAX_CONCURRENT_CALLS)
        self._pool = make_connection_pool(MAX_CONCURRENT_CALLS)

    def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Answer:
        """Send one request and return the response.

        Parameters
        ----------
        timeout_s
            Timeout of the whole call in seconds.
        wait_s
            Long-poll time in seconds, sent as the last query parameter ``wait_ms``
            in milliseconds; 0 is sent when the call probes a service that is down.

        Raises
        ------
        PlatformUnavailableError
            The request was not sent.
        NoAnswerError
            The request was sent, but no complete response came in time.
        """
        deadline_s = self._clock.monotonic() + timeout_s
        with self._concurrency_limit.acquire(timeout_s):
            permit = self.breaker.acquire()
            if wait_s > 0:
                wait_ms = 0 if permit.probes else round(wait_s * 1000)
                path = f"{path}&wait_ms={wait_ms}"
            return self._call(permit, method, path, deadline_s, body)

    def _call(
        self,
        permit: CallPermit,
        method: str,
        path: str,
        deadline_s: float,
        body: bytes | None,
    ) -> Answer:
        try:
            answer = self._exchange(method, path, deadline_s, body)
        except (NewConnectionError, ConnectTimeoutError) as error:
            self.breaker.record_failure(permit, refused=True)
            raise PlatformUnavailableError(
                f"Cannot connect to the platform's {self._service} service: {error}",
                f"check that the service is running at {self._base_url}",
            ) from error
        except (HTTPError, OSError, ValueError) as error:
            self.breaker.record_failure(permit, refused=False)
            raise NoAnswerError(
                f"The platform's {self._service} service did not answer: {error}",
                "the request may have taken effect; check before you retry it",
            ) from error
        except BaseException:
            self.breaker.record_abandoned(permit)
            raise
        if answer.status >= 500:
            self.breaker.record_failure(permit, refused=False)
        else:
            self.breaker.record_success(permit)
        return answer

    def _exchange(
        self, method: str, path: str, deadline_s: float, body: bytes | None
    ) -> Answer:
        remaining_s = max(deadline_s - self._clock.monotonic(), 0.001)
        response = self._pool.request(
            method,
            self._base_url + path,
            body=body,
            headers={"Content-Type": "application/json"} if body else None,
            timeout=urllib3.Timeout(total=remaining_s),
            redirect=False,
            preload_content=False,
        )
        try:
            if response.status not in FINAL_STATUSES:
                raise ValueError(
                    f"status {response.status:03} is not a final one of HTTP"
                )
            content = self._read(cast(urllib3.HTTPResponse, response), deadline_s)
        except BaseException:
            # The rest of the response is unread, so the connection can't be reused.
            response.close()
            raise
        response.release_conn()
        return Answer(response.status, dict(response.headers), content)

    def _read(self, response: urllib3.HTTPResponse, deadline_s: float) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while chunk := response.read1(_READ_CHUNK_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if self._clock.monotonic() >= deadline_s:
                raise TimeoutError("response was not complete before the deadline")
            if size > MAX_ANSWER_BYTES:
                raise ValueError(f"response body exceeds {MAX_ANSWER_BYTES} bytes")
        return b"".join(chunks)
