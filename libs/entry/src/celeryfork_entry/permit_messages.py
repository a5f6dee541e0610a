"""Datagrams by which instances ask for permits for limited engines, and issue them.

See :mod:`celeryfork_entry.engine_permits`.
"""

import time
from math import inf, isfinite
from typing import Any

from attrs import frozen
from orjson import dumps

from celeryfork_entry.engine_limits import EngineLimit
from celeryfork_entry.field_parsers import (
    parse_address,
    parse_finite_float,
    parse_id,
    parse_int,
)

MAX_PERMITS = 256
"""Maximum number of permits that one datagram asks for or issues."""
MAX_WAIT_S = 30.0
"""Maximum wait in s for the next permit that an instance is told."""
TRANSIT_S = 0.05
"""Seconds that a peer's message may have taken. A limit that it tells counts as that
much older, so that an old answer never goes before a newer one."""
MAX_FORWARDS = 2
"""Maximum number of relays that forward a request: to the engine's domain, and there to
the lead relay."""


@frozen
class PermitRequest:
    """Request of an instance for permits.

    Parameters
    ----------
    asker
        Address of the instance that asks.
    number
        The asker's number of this request.
    limit
        What the asker knows of the engine's limit.
    forwards
        Number of relays that have forwarded the request.
    """

    asker: str
    number: int
    engine_id: str
    permits: int
    limit: EngineLimit
    forwards: int = 0


@frozen
class PermitGrant:
    """Answer to a request for permits.

    Parameters
    ----------
    permits
        Number of permits issued, 0 for none.
    wait_s
        Seconds until the next permit is due.
    limit
        What the issuer knows of the engine's limit, if that is another one than the
        asker's.
    """

    number: int
    permits: int
    wait_s: float
    limit: EngineLimit | None = None


def encode_permit_request(request: PermitRequest) -> bytes:
    """Return the datagram of a request for permits."""
    return dumps(
        {
            "asks": request.permits,
            "for": request.asker,
            "number": request.number,
            "engine": request.engine_id,
            "limit": limit_row(request.limit),
            "forwards": request.forwards,
        }
    )


def encode_permit_grant(grant: PermitGrant) -> bytes:
    """Return the datagram of an answer to such a request."""
    return dumps(
        {
            "issues": grant.permits,
            "number": grant.number,
            "wait": round(min(MAX_WAIT_S, grant.wait_s), 4),
            "limit": None if grant.limit is None else limit_row(grant.limit),
        }
    )


def decode_permit_message(fields: dict[str, Any]) -> PermitRequest | PermitGrant:
    """Return the message of a datagram's fields.

    Raises
    ------
    ValueError, KeyError, TypeError
        A field is missing, malformed or out of range.
    """
    number, row = parse_int(fields["number"]), fields["limit"]
    if "issues" in fields:
        permits = _parse_count(fields["issues"], 0, MAX_PERMITS)
        wait_s = min(MAX_WAIT_S, max(0.0, parse_finite_float(fields["wait"])))
        return PermitGrant(
            number, permits, wait_s, None if row is None else parse_limit(row)
        )
    return PermitRequest(
        parse_address(fields["for"]),
        number,
        parse_id(fields["engine"]),
        _parse_count(fields["asks"], 1, MAX_PERMITS),
        parse_limit(row),
        _parse_count(fields["forwards"], 0, MAX_FORWARDS),
    )


def _parse_count(value: Any, least: int, most: int) -> int:
    count = parse_int(value)
    if not least <= count <= most:
        raise ValueError(f"number in a datagram is out of range: {count}")
    return count


def limit_row(limit: EngineLimit) -> list[float | int | None]:
    """Return a limit, null for none, the engine's start time, and the age in ms."""
    per_s = limit.per_s if isfinite(limit.per_s) else None
    age_ms = max(0, round((time.monotonic() - limit.at_s) * 1000))
    return [per_s, limit.born_ms, age_ms]


def parse_limit(row: Any) -> EngineLimit:
    """Return the limit of a row, learnt from a peer.

    Raises
    ------
    ValueError
        The row is malformed.
    """
    match row:
        case [None | float() | int() as per_s, None | int() as born_ms, int(age_ms)]:
            per_s = inf if per_s is None else parse_finite_float(per_s)
            if per_s >= 0 and age_ms >= 0:
                at_s = time.monotonic() - age_ms / 1000 - TRANSIT_S
                return EngineLimit(per_s, born_ms, at_s, own=False)
    raise ValueError(f"malformed limit of an engine: {row!r}")
