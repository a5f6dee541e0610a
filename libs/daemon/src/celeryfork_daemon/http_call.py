"""One HTTP request as the entry instance reads it, and its plain reply."""

import re
from collections.abc import Mapping
from math import ceil
from typing import Protocol

from attrs import frozen
from celeryfork_base.clock import Clock
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.identity import make_uuid7
from celeryfork_base.outcomes import OUTCOME_HEADER, REQUEST_ID_HEADER
from celeryfork_streams.formats import error_body
from orjson import dumps

from celeryfork_daemon.refusals import body_too_large, malformed

JSON = "application/json"
LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 9
USUAL_PRIORITY = 5
_REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


class BodyReader(Protocol):
    """What a body is read from."""

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes."""


@frozen
class HttpCall:
    """One request.

    Parameters
    ----------
    headers
        By lower-case name.
    received_s
        Monotonic time at which it was read, in seconds.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    request_id: str
    received_s: float

    def header(self, name: str) -> str | None:
        """Return a header, None if it isn't there."""
        return self.headers.get(name.lower())


@frozen
class Reply:
    """A whole reply.

    Parameters
    ----------
    headers
        Besides Content-Type, Content-Length and the request id.
    """

    status: int
    content_type: str
    body: bytes
    headers: Mapping[str, str]


def json_reply(status: int, value: object, **headers: str) -> Reply:
    """Return a reply with a JSON body."""
    return Reply(status, JSON, dumps(value, default=str), headers)


def error_reply(error: RequestRefusedError, request_id: str) -> Reply:
    """Return the reply that tells a caller of a refusal."""
    headers = {OUTCOME_HEADER: str(error.outcome)}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(ceil(error.retry_after_s))
    body = dumps(error_body(error, request_id))
    return Reply(error.status, JSON, body, headers)


def request_id_of(headers: Mapping[str, str], clock: Clock) -> str:
    """Return the caller's request id where it is sound, else a new one."""
    given = headers.get(REQUEST_ID_HEADER.lower(), "")
    if _REQUEST_ID.fullmatch(given):
        return given
    return str(make_uuid7(clock.wall_ms()))


def read_body(reader: BodyReader, headers: Mapping[str, str], most_bytes: int) -> bytes:
    """Return the whole body.

    Raises
    ------
    RequestRefusedError
        It is larger than ``most_bytes``, or ends early.
    """
    length = headers.get("content-length")
    if length is not None and int(length) > most_bytes:
        raise body_too_large(most_bytes)
    body = reader.read(most_bytes + 1)
    if len(body) > most_bytes:
        raise body_too_large(most_bytes)
    if length is not None and len(body) < int(length):
        raise malformed("The body ended early.", "send as much as Content-Length says")
    return body


def priority_of(call: HttpCall, highest: int) -> int:
    """Return the wished priority, at most the organisation's.

    Raises
    ------
    RequestRefusedError
        ``X-Priority`` is no number from 0 to 9.
    """
    given = call.header("X-Priority")
    if given is None:
        return min(USUAL_PRIORITY, highest)
    if len(given) != 1 or not given.isascii() or not given.isdigit():
        raise malformed(
            f"X-Priority is {given[:40]!r}.",
            f"send a number from {LOWEST_PRIORITY} to {HIGHEST_PRIORITY}",
        )
    return min(int(given), highest)
