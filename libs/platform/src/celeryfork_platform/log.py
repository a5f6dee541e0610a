"""Client of the platform's append-only log; docs/PLATFORM.md has the interface."""

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
    """Appends to the log's streams and reads them; safe from any thread."""

    @property
    def available(self) -> bool:
        """Whether the last that was heard of the log was good."""

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        """Append one record and return its offset.

        Parameters
        ----------
        nonce
            By which the record can be found again after a lost answer.
        timeout_s
            The longest that the call takes, in seconds.

        Raises
        ------
        InputFaultError
            The record is too large; it is not in the log.
        PlatformUnavailableError
            The record is not in the log.
        AppendUnknownError
            The record may be in the log, or turn up later.
        """

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
        timeout_s: float,
    ) -> LogSlice:
        """Read at most ``limit`` records from an offset on.

        Parameters
        ----------
        wait_s
            How long to wait for a record where there is none yet, in seconds.
        timeout_s
            The longest that the call takes, in seconds; more than ``wait_s``.

        Raises
        ------
        PlatformUnavailableError
            No whole answer came.
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
        return self._http.outage.available

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        body = orjson.dumps({"nonce": nonce, "data": data})
        if len(body) > LARGEST_RECORD_BYTES:
            raise _too_large(len(body))
        try:
            answer = self._http.call("POST", _path(stream), timeout_s, body=body)
        except NoAnswerError as error:
            raise self._unknown(str(error)) from error
        match answer.status:
            case 200:
                return self._offset_of(answer)
            case 413:
                raise _too_large(len(body))
            case 429 | 503:
                raise _turned_away(answer)
            case status:
                raise self._unknown(f"it answered {status}")

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
        timeout_s: float,
    ) -> LogSlice:
        path = f"{_path(stream)}?from={from_offset}&limit={limit}"
        try:
            answer = self._http.call("GET", path, timeout_s, wait_s=wait_s)
        except NoAnswerError as error:
            raise PlatformUnavailableError(error.message, "read again") from error
        if answer.status != 200:
            raise _turned_away(answer)
        try:
            return _converter.structure(answer.json(), LogSlice)
        except (BaseValidationError, ValueError, TypeError) as error:
            self._counters.add("platform.log.malformed_answers")
            raise PlatformUnavailableError(
                f"The log's answer can't be read: {error}",
                "check that log_url is the log service",
            ) from error

    def _offset_of(self, answer: Answer) -> int:
        try:
            offset = answer.json()["offset"]
        except (ValueError, KeyError) as error:
            raise self._unknown(f"its answer can't be read: {error}") from error
        if not isinstance(offset, int):
            raise self._unknown("its answer holds no offset")
        return offset

    def _unknown(self, reason: str) -> AppendUnknownError:
        self._counters.add("platform.log.appends_unknown")
        return AppendUnknownError(
            f"Whether the log took the record is not known: {reason}",
            "look for the record's nonce in the log; it may still turn up",
        )


def _path(stream: str) -> str:
    return f"/v1/log/{quote(stream, safe='')}/records"


def _too_large(size: int) -> InputFaultError:
    return InputFaultError(
        "$",
        f"The record has {size} bytes; it was not appended.",
        f"keep it under {LARGEST_RECORD_BYTES} bytes",
    )


def _turned_away(answer: Answer) -> PlatformUnavailableError:
    retry_after = answer.headers.get("Retry-After", "1")
    return PlatformUnavailableError(
        f"The platform answered {answer.status} and did nothing.",
        f"try again in {retry_after} s",
    )
