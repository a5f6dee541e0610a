"""Client of the platform's append-only log; see docs/PLATFORM.md for its API."""

from typing import Protocol
from urllib.parse import quote

import orjson
from cattrs import Converter
from cattrs.errors import BaseValidationError
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import (
    AppendUnknownError,
    InputFaultError,
    PlatformUnavailableError,
)

from celeryfork_platform.http import Answer, NoAnswerError, PlatformHttp
from celeryfork_platform.model import LogSlice

LARGEST_RECORD_BYTES = 1024 * 1024
_converter = Converter()


class LogClient(Protocol):
    """Appends records to the log's streams and reads them; thread-safe."""

    @property
    def available(self) -> bool:
        """True unless the log service is considered down after failed calls."""

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        """Append one record and return its offset.

        Parameters
        ----------
        nonce
            Identifier by which the record can be found in the log if the response
            is lost.
        timeout_s
            Timeout of the call in seconds.

        Raises
        ------
        InputFaultError
            The record is too large and was not appended.
        PlatformUnavailableError
            The record was not appended.
        AppendUnknownError
            The record may be in the log, or may appear in it later.
        """

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
        timeout_s: float,
    ) -> LogSlice:
        """Read up to ``limit`` records, starting at ``from_offset``.

        Parameters
        ----------
        wait_s
            Long-poll time in seconds: how long the log waits for a record if there
            is none yet.
        timeout_s
            Timeout of the call in seconds; must exceed ``wait_s``.

        Raises
        ------
        PlatformUnavailableError
            The log gave no valid response.
        """


def make_log_client(base_url: str, clock: Clock, counters: Counters) -> LogClient:
    """Return a client of the log service at ``base_url``."""
    return _HttpLogClient(PlatformHttp(base_url, "log", clock, counters), counters)


class _HttpLogClient:
    def __init__(self, http: PlatformHttp, counters: Counters) -> None:
        self._http = http
        self._counters = counters

    @property
    def available(self) -> bool:
        return self._http.breaker.available

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        body = orjson.dumps({"nonce": nonce, "data": data})
        if len(body) > LARGEST_RECORD_BYTES:
            raise _too_large(len(body))
        try:
            answer = self._http.call(
                "POST", _records_path(stream), timeout_s, body=body
            )
        except NoAnswerError as error:
            raise self._append_unknown(str(error)) from error
        match answer.status:
            case 200:
                return self._parse_offset(answer)
            case 413:
                raise _too_large(len(body))
            case 429 | 503:
                raise _rejected(answer)
            case status:
                raise self._append_unknown(f"the log answered with status {status}")

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
        timeout_s: float,
    ) -> LogSlice:
        path = f"{_records_path(stream)}?from={from_offset}&limit={limit}"
        try:
            answer = self._http.call("GET", path, timeout_s, wait_s=wait_s)
        except NoAnswerError as error:
            raise PlatformUnavailableError(error.message, "retry the read") from error
        if answer.status != 200:
            raise _rejected(answer)
        try:
            return _converter.structure(answer.json(), LogSlice)
        except (BaseValidationError, ValueError, TypeError) as error:
            self._counters.add("platform.log.malformed_answers")
            raise PlatformUnavailableError(
                f"The log's response is malformed: {error}",
                "check that log_url is the URL of the log service",
            ) from error

    def _parse_offset(self, answer: Answer) -> int:
        try:
            offset = answer.json()["offset"]
        except (ValueError, KeyError) as error:
            raise self._append_unknown(f"malformed response: {error}") from error
        if not isinstance(offset, int):
            raise self._append_unknown("the response's offset is not an integer")
        return offset

    def _append_unknown(self, reason: str) -> AppendUnknownError:
        self._counters.add("platform.log.appends_unknown")
        return AppendUnknownError(
            f"Unknown whether the record was appended to the log: {reason}",
            "search the log for the record's nonce; it may still appear later",
        )


def _records_path(stream: str) -> str:
    return f"/v1/log/{quote(stream, safe='')}/records"


def _too_large(size: int) -> InputFaultError:
    return InputFaultError(
        "$",
        f"The record has {size} bytes, which is too large; it was not appended.",
        f"send at most {LARGEST_RECORD_BYTES} bytes",
    )


def _rejected(answer: Answer) -> PlatformUnavailableError:
    retry_after = answer.headers.get("Retry-After", "1")
    return PlatformUnavailableError(
        f"The log rejected the request with status {answer.status}; it had no effect.",
        f"retry after {retry_after} s",
    )
