"""The datagrams between instances: reports, what relays tell, and loans of repeats."""

import time
from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any

from attrs import field, frozen
from celeryfork_routing.engine_loads import Load
from celeryfork_routing.layers import LayerRange
from orjson import dumps, loads

from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.field_parsers import parse_address, parse_finite_float, parse_int
from celeryfork_entry.ports import Peer
from celeryfork_entry.target_health import ReportedLayers

MOST_REPEATS = 256
"""Most repeats that one datagram asks for or lends."""
DownEngine = tuple[str, int | None]
"""An engine's id and its start in ms of wall clock, None where that is unknown."""


@frozen
class Heard:
    """What every datagram says.

    Parameters
    ----------
    sender
        The instance that sent it.
    fence
        With which it places layers, None if it doesn't.
    version
        Of its configuration, -1 for none.
    loads
        A member's own work by engine; the sum over its domain of the relay that leads
        there, None of the others.
    layers
        What engines reported and the list doesn't say, by engine.
    down
        Engines that were just found to be down.
    speeds
        Of engines that are or just were slow, by engine.
    """

    sender: Peer
    fence: int | None
    version: int
    loads: Mapping[str, Load] | None
    layers: Mapping[str, ReportedLayers]
    down: Sequence[DownEngine]
    speeds: Mapping[str, Speed]


@frozen
class MemberReport(Heard):
    """What an instance tells the relays of its domain.

    Parameters
    ----------
    spare
        Repeats of its share of the retry budget that it would lend, by service.
    """

    spare: Mapping[str, int] = field(factory=dict)


@frozen
class RelayDigest(Heard):
    """What a relay tells the instances of its domain and the relays of others.

    Parameters
    ----------
    revision
        Of its list of targets.
    list_age_s
        Time since it has read that.
    list_is_stale
        Whether the list may name engines that have left.
    counts
        Instances that live, by domain.
    away_loads
        The sums of other domains, by domain; empty where none is passed on.
    """

    revision: int
    list_age_s: float
    list_is_stale: bool
    counts: Mapping[str, int]
    away_loads: Mapping[str, Mapping[str, Load]]


class Reach(Enum):
    """Whom a relay may ask for repeats on behalf of another instance."""

    FLEET = "fleet"
    DOMAIN = "domain"
    NOBODY = "nobody"


@frozen
class RetryLoanRequest:
    """An instance asks for repeats that others leave of the retry budget.

    Parameters
    ----------
    borrower
        Address to which they are lent.
    number
        The borrower's number of this question.
    """

    borrower: str
    number: int
    service: str
    repeats: int
    reach: Reach


@frozen
class RetryLoan:
    """The answer of one that lends some.

    Parameters
    ----------
    lender
        Its address.
    number
        Of the question that it answers.
    """

    lender: str
    number: int
    repeats: int


Message = MemberReport | RelayDigest | RetryLoanRequest | RetryLoan


def encode_wanted(wanted: RetryLoanRequest) -> bytes:
    """Return the datagram of a question for repeats."""
    return dumps(
        {
            "wants": wanted.repeats,
            "for": wanted.borrower,
            "number": wanted.number,
            "service": wanted.service,
            "reach": wanted.reach.value,
        }
    )


def encode_lent(lent: RetryLoan) -> bytes:
    """Return the datagram of a loan."""
    return dumps({"lends": lent.repeats, "at": lent.lender, "number": lent.number})


def encode_report(report: MemberReport) -> bytes:
    """Return a member's datagram."""
    return dumps({**_common(report), "spare": dict(report.spare)})


def encode_digest(digest: RelayDigest) -> bytes:
    """Return a relay's datagram."""
    return dumps(
        {
            **_common(digest),
            "revision": digest.revision,
            "age": round(digest.list_age_s, 3),
            "old": digest.list_is_stale,
            "counts": digest.counts,
            "away": {
                domain: _load_rows(rows) for domain, rows in digest.away_loads.items()
            },
        }
    )


def decode(data: bytes) -> Message:
    """Return a datagram's content.

    Raises
    ------
    ValueError
        It is from other software, or its bytes are broken.
    """
    try:
        fields = loads(data)
        if "wants" in fields or "lends" in fields:
            return _decode_loan(fields)
        common = _decode_common(fields)
        if "revision" not in fields:
            spare = {
                str(service): _repeats(repeats)
                for service, repeats in fields.get("spare", {}).items()
            }
            return MemberReport(**common, spare=spare)
        return RelayDigest(
            **common,
            revision=parse_int(fields["revision"]),
            list_age_s=parse_finite_float(fields["age"]),
            list_is_stale=bool(fields["old"]),
            counts={str(key): parse_int(n) for key, n in fields["counts"].items()},
            away_loads={
                str(domain): _decode_loads(rows)
                for domain, rows in fields["away"].items()
            },
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"no message of a peer: {error!r}") from error


def _decode_loan(fields: dict[str, Any]) -> RetryLoanRequest | RetryLoan:
    number = parse_int(fields["number"])
    if "lends" in fields:
        return RetryLoan(parse_address(fields["at"]), number, _repeats(fields["lends"]))
    return RetryLoanRequest(
        parse_address(fields["for"]),
        number,
        str(fields["service"]),
        _repeats(fields["wants"]),
        Reach(fields["reach"]),
    )


def _repeats(value: Any) -> int:
    repeats = parse_int(value)
    if not 0 < repeats <= MOST_REPEATS:
        raise ValueError(f"{repeats} repeats in one datagram")
    return repeats


def _common(message: Heard) -> dict[str, Any]:
    sender = message.sender
    return {
        "from": sender.name,
        "at": sender.address,
        "domain": sender.domain,
        "power": sender.power,
        "fence": message.fence,
        "version": message.version,
        "layers": {key: _row(learnt) for key, learnt in message.layers.items()},
        "loads": None if message.loads is None else _load_rows(message.loads),
        "down": message.down,
        "speeds": {key: _speed_row(speed) for key, speed in message.speeds.items()},
    }


def _decode_common(fields: dict[str, Any]) -> dict[str, Any]:
    sender = Peer(
        str(fields["from"]),
        str(fields["domain"]),
        parse_address(fields["at"]),
        parse_finite_float(fields["power"]),
    )
    fence = fields["fence"]
    return {
        "sender": sender,
        "fence": None if fence is None else parse_int(fence),
        "version": parse_int(fields["version"]),
        "loads": None if fields["loads"] is None else _decode_loads(fields["loads"]),
        "layers": {str(key): _learnt(row) for key, row in fields["layers"].items()},
        "down": [_down(row) for row in fields["down"]],
        "speeds": {
            str(key): _speed(row) for key, row in fields.get("speeds", {}).items()
        },
    }


def _load_rows(load_by_engine: Mapping[str, Load]) -> dict[str, tuple[int, int]]:
    return {
        key: (load.requests, round(load.token_layers))
        for key, load in load_by_engine.items()
    }


def _decode_loads(rows: dict[str, Any]) -> dict[str, Load]:
    return {
        str(engine_id): Load(parse_int(requests), parse_finite_float(token_layers))
        for engine_id, (requests, token_layers) in rows.items()
    }


def _down(row: Any) -> DownEngine:
    match row:
        case [str(engine_id), int() | None as born_ms]:
            return engine_id, born_ms
    raise ValueError(f"no engine that is down: {row!r}")


def _row(learnt: ReportedLayers) -> list[int | None]:
    """Return what an engine holds, its start, and how long ago it said so in ms."""
    age_ms = _age_ms(learnt.at_s)
    if learnt.held is None:
        return [None, None, learnt.born_ms, age_ms]
    return [learnt.held.first, learnt.held.last, learnt.born_ms, age_ms]


def _learnt(row: Any) -> ReportedLayers:
    match row:
        case [None, None, int() | None as born_ms, int(age_ms)]:
            held = None
        case [int(first), int(last), int() | None as born_ms, int(age_ms)] if (
            0 <= first < last
        ):
            held = LayerRange(first, last)
        case _:
            raise ValueError(f"no layers of an engine: {row!r}")
    return ReportedLayers(held, born_ms, _at_s(age_ms), own=False)


def _speed_row(speed: Speed) -> list[float | int | None]:
    """Return an engine's slowness, its start, and how long ago it said so in ms."""
    return [speed.slowness, speed.born_ms, _age_ms(speed.at_s)]


def _speed(row: Any) -> Speed:
    match row:
        case [slowness, int() | None as born_ms, int(age_ms)] if (
            parse_finite_float(slowness) >= 1
        ):
            return Speed(float(slowness), born_ms, _at_s(age_ms), own=False)
    raise ValueError(f"no speed of an engine: {row!r}")


def _age_ms(at_s: float) -> int:
    return round((time.monotonic() - at_s) * 1000)


def _at_s(age_ms: int) -> float:
    return time.monotonic() - max(0, age_ms) / 1000
