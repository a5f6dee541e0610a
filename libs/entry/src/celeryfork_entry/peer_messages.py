"""Datagrams between instances: member reports, relay digests, and loans of retries.

A member is any instance of a failure domain; it reports to the relays of the domain.
Relays send digests, which summarise reports and name the revision of the target list
(see :mod:`celeryfork_entry.roster`). Loans are described in
:mod:`celeryfork_entry.budget_loans`, permits in :mod:`celeryfork_entry.engine_permits`.
"""

import time
from collections.abc import Mapping, Sequence
from enum import Enum
from math import ceil, floor
from typing import Any

from attrs import field, frozen
from celeryfork_admission.crash_evidence import (
    MAX_CRASHES,
    MAX_VALUE_CHARS,
    CrashRecord,
    Trait,
    TraitKind,
    TraitRecord,
)
from celeryfork_routing.engine_loads import Load
from orjson import dumps, loads

from celeryfork_entry.demand_messages import (
    DemandAway,
    DemandSum,
    demand_away_fields,
    demand_fields,
    parse_demand,
    parse_demand_away,
)
from celeryfork_entry.engine_limits import EngineLimit
from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.field_parsers import (
    parse_address,
    parse_finite_float,
    parse_int,
    parse_layers,
    parse_text,
)
from celeryfork_entry.log_position import LogPosition, parse_position, position_fields
from celeryfork_entry.permit_messages import (
    PermitGrant,
    PermitRequest,
    decode_permit_message,
    limit_row,
    parse_limit,
)
from celeryfork_entry.ports import Peer
from celeryfork_entry.target_health import ReportedLayers

MAX_LOAN_RETRIES = 256
"""Maximum number of retries that one datagram requests or lends."""
MAX_CRASH_RECORDS = 32
"""Maximum number of records of crash evidence in one datagram."""
MAX_LIMITS = 64
"""Maximum number of engines' limits in one datagram; more of them take turns."""
MAX_NAME_CHARS = 200
"""Maximum length of the name of a service, an organisation or a run in crash evidence;
what has a longer one is left out, as peers reject the whole datagram."""
DownEngine = tuple[str, int | None]
"""Id of an engine that is down, and its wall-clock start in ms, None if unknown."""


@frozen
class PeerMessage:
    """Common fields of reports and digests.

    Parameters
    ----------
    sender
        Instance that sent the message.
    fence
        Fencing token with which the sender places layers, None if it doesn't.
    version
        Version of the sender's configuration, -1 for none.
    loads
        Load by engine: in a report the member's own, in a digest of the lead relay (the
        first-ranked live one) the sum over its domain; None in other digests.
    layers
        Layers that engines reported and the target list doesn't show yet, by engine.
    down
        Engines that were just found to be down.
    speeds
        Speeds of engines that are slow or were slow recently, by engine.
    limits
        Limits of engines that name one or did so recently, by engine, at most
        ``MAX_LIMITS``.
    crashes
        Evidence of what requests that crash engines have in common, at most
        ``MAX_CRASH_RECORDS``.
    demand
        Demand for services: in a report the member's own, in a digest of the lead relay
        the sum over its domain; None if none is due, or there is none.
    """

    sender: Peer
    fence: int | None
    version: int
    loads: Mapping[str, Load] | None
    layers: Mapping[str, ReportedLayers]
    down: Sequence[DownEngine]
    speeds: Mapping[str, Speed]
    crashes: Sequence[TraitRecord] = field(default=(), kw_only=True)
    limits: Mapping[str, EngineLimit] = field(factory=dict, kw_only=True)
    demand: DemandSum | None = field(default=None, kw_only=True)


@frozen
class MemberReport(PeerMessage):
    """Report of an instance to the relays of its domain.

    Parameters
    ----------
    lendable
        Retries of its share of the retry budget that it would lend, by service.
    """

    lendable: Mapping[str, int] = field(factory=dict)


@frozen
class RelayDigest(PeerMessage):
    """Digest of a relay for the instances of its domain and the relays of others.

    Parameters
    ----------
    revision
        Revision of its target list.
    list_position
        Position in the store's log up to which that list was read, by the relay or by
        the peer that it comes from; None if unknown.
    list_age_s
        Seconds since it read the target list.
    list_is_stale
        True if the target list may name engines that have left.
    list_from_store
        True if the relay reads the list itself, and the store still answers it.
    demand_away
        Demand for services in other domains, in a digest of the lead relay to
        followers; None if none is due, or there is none.
    counts
        Number of live instances by domain.
    remote_loads
        Summed loads of other domains, by domain and engine; empty if no load is
        forwarded.
    """

    revision: int
    list_age_s: float
    list_is_stale: bool
    counts: Mapping[str, int]
    remote_loads: Mapping[str, Mapping[str, Load]]
    list_position: LogPosition | None = None
    list_from_store: bool = True
    demand_away: DemandAway | None = None


class LoanScope(Enum):
    """Instances to which the receiver of a loan request may forward it."""

    FLEET = "fleet"
    DOMAIN = "domain"
    NOBODY = "nobody"


@frozen
class RetryLoanRequest:
    """Request of an instance for unused retries of other instances.

    Parameters
    ----------
    borrower
        Address of the instance that borrows.
    number
        The borrower's number of this request.
    """

    borrower: str
    number: int
    service: str
    retries: int
    scope: LoanScope


@frozen
class RetryLoan:
    """Answer of an instance that lends retries.

    Parameters
    ----------
    lender
        Address of the lending instance.
    number
        Number of the request that it answers.
    """

    lender: str
    number: int
    retries: int


Message = (
    MemberReport
    | RelayDigest
    | RetryLoanRequest
    | RetryLoan
    | PermitRequest
    | PermitGrant
)


def encode_loan_request(wanted: RetryLoanRequest) -> bytes:
    """Return the datagram of a loan request."""
    return dumps(
        {
            "wants": wanted.retries,
            "for": wanted.borrower,
            "number": wanted.number,
            "service": wanted.service,
            "reach": wanted.scope.value,
        }
    )


def encode_loan(lent: RetryLoan) -> bytes:
    """Return the datagram of a loan."""
    return dumps({"lends": lent.retries, "at": lent.lender, "number": lent.number})


def encode_report(report: MemberReport) -> bytes:
    """Return the datagram of a member's report."""
    return dumps({**_common_fields(report), "spare": dict(report.lendable)})


def encode_digest(digest: RelayDigest) -> bytes:
    """Return the datagram of a relay's digest."""
    return dumps(
        {
            **_common_fields(digest),
            "revision": digest.revision,
            "age": round(digest.list_age_s, 3),
            "old": digest.list_is_stale,
            "reads": digest.list_from_store,
            **position_fields(digest.list_position),
            "counts": digest.counts,
            "away": {
                domain: _load_rows(rows) for domain, rows in digest.remote_loads.items()
            },
            **demand_away_fields(digest.demand_away),
        }
    )


def crash_rows_size(records: Sequence[TraitRecord]) -> int:
    """Return the number of bytes that records of crash evidence take in a datagram."""
    return len(dumps(_crash_rows(records)))


def decode(data: bytes) -> Message:
    """Return the message of a datagram.

    Raises
    ------
    ValueError
        The datagram is malformed, or not from this program.
    """
    try:
        fields = loads(data)
        if "asks" in fields or "issues" in fields:
            return decode_permit_message(fields)
        if "wants" in fields or "lends" in fields:
            return _decode_loan(fields)
        common = _decode_common(fields)
        if "revision" not in fields:
            lendable = {
                str(service): _parse_retries(retries)
                for service, retries in fields.get("spare", {}).items()
            }
            return MemberReport(**common, lendable=lendable)
        return RelayDigest(
            **common,
            revision=parse_int(fields["revision"]),
            list_age_s=_parse_age(fields["age"]),
            list_is_stale=bool(fields["old"]),
            counts={str(key): parse_int(n) for key, n in fields["counts"].items()},
            remote_loads={
                str(domain): _decode_loads(rows)
                for domain, rows in fields["away"].items()
            },
            list_position=parse_position(fields),
            # A relay of an earlier release tells only whether its list is stale.
            list_from_store=bool(fields.get("reads", not fields["old"])),
            demand_away=parse_demand_away(fields),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed datagram of a peer: {error!r}") from error


def _decode_loan(fields: dict[str, Any]) -> RetryLoanRequest | RetryLoan:
    number = parse_int(fields["number"])
    if "lends" in fields:
        return RetryLoan(
            parse_address(fields["at"]), number, _parse_retries(fields["lends"])
        )
    return RetryLoanRequest(
        parse_address(fields["for"]),
        number,
        str(fields["service"]),
        _parse_retries(fields["wants"]),
        LoanScope(fields["reach"]),
    )


def _parse_age(value: Any) -> float:
    age_s = parse_finite_float(value)
    if age_s < 0:
        raise ValueError(f"an age is below 0: {age_s}")
    return age_s


def _parse_retries(value: Any) -> int:
    retries = parse_int(value)
    if not 0 < retries <= MAX_LOAN_RETRIES:
        raise ValueError(f"number of retries in a datagram is out of range: {retries}")
    return retries


def _common_fields(message: PeerMessage) -> dict[str, Any]:
    sender = message.sender
    crashes = _crash_rows(message.crashes)
    limits = {key: limit_row(limit) for key, limit in message.limits.items()}
    return {
        "from": sender.name,
        "at": sender.address,
        "domain": sender.domain,
        "power": sender.power,
        "fence": message.fence,
        "version": message.version,
        "layers": {key: _layers_row(learnt) for key, learnt in message.layers.items()},
        "loads": None if message.loads is None else _load_rows(message.loads),
        "down": message.down,
        "speeds": {key: _speed_row(speed) for key, speed in message.speeds.items()},
        **({"crashes": crashes} if crashes else {}),
        **({"limits": limits} if limits else {}),
        **demand_fields(message.demand),
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
        "layers": {
            str(key): _parse_layers(row) for key, row in fields["layers"].items()
        },
        "down": [_parse_down(row) for row in fields["down"]],
        "speeds": {
            str(key): _parse_speed(row) for key, row in fields.get("speeds", {}).items()
        },
        "crashes": _parse_crashes(fields.get("crashes", [])),
        "limits": {
            str(key): parse_limit(row) for key, row in fields.get("limits", {}).items()
        },
        "demand": parse_demand(fields),
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


def _parse_down(row: Any) -> DownEngine:
    match row:
        case [str(engine_id), int() | None as born_ms]:
            return engine_id, born_ms
    raise ValueError(f"malformed entry of an engine that is down: {row!r}")


def _layers_row(learnt: ReportedLayers) -> list[int | None]:
    """Return an engine's layers, its start time, and the report's age in ms."""
    age_ms = _age_ms(learnt.at_s)
    if learnt.held is None:
        return [None, None, learnt.born_ms, age_ms]
    return [learnt.held.first, learnt.held.last, learnt.born_ms, age_ms]


def _parse_layers(row: Any) -> ReportedLayers:
    match row:
        case [None, None, int() | None as born_ms, int(age_ms)]:
            held = None
        case [int(first), int(last), int() | None as born_ms, int(age_ms)] if (
            first < last
        ):
            held = parse_layers(first, last)
        case _:
            raise ValueError(f"malformed layers of an engine: {row!r}")
    return ReportedLayers(held, born_ms, _at_s(age_ms), own=False)


def _speed_row(speed: Speed) -> list[float | int | None]:
    """Return an engine's slowness, its start time, and the report's age in ms."""
    return [speed.slowness, speed.born_ms, _age_ms(speed.at_s)]


def _parse_speed(row: Any) -> Speed:
    match row:
        case [slowness, int() | None as born_ms, int(age_ms)] if (
            parse_finite_float(slowness) >= 1
        ):
            return Speed(float(slowness), born_ms, _at_s(age_ms), own=False)
    raise ValueError(f"malformed speed of an engine: {row!r}")


def _crash_rows(records: Sequence[TraitRecord]) -> list[list[Any]]:
    """Return service, kind, value, crashes and the ages of the marks, by record."""
    rows = []
    for record in records:
        crashes = [
            [crash.run, crash.organisation, _crash_age_ms(crash), crash.probe]
            for crash in record.crashes
            if _is_name(crash.run) and _is_organisation(crash.organisation)
        ]
        marks = [_mark_age_ms(record.sound_s), _mark_age_ms(record.probe_s)]
        trait = record.trait
        if _is_name(trait.service) and (crashes or marks != [None, None]):
            rows.append([trait.service, trait.kind.value, trait.value, crashes, *marks])
    return rows


def _parse_crashes(rows: Any) -> tuple[TraitRecord, ...]:
    if not isinstance(rows, list) or len(rows) > MAX_CRASH_RECORDS:
        raise ValueError("the crash evidence in a datagram is no list, or is too long")
    return tuple(_parse_trait_record(row) for row in rows)


def _parse_trait_record(row: Any) -> TraitRecord:
    match row:
        case [service, kind, str(value), [*crashes], sound_ms, probe_ms] if (
            _is_name(service)
            and 0 < len(value) <= MAX_VALUE_CHARS
            and value.isascii()
            and value.isprintable()
            and len(crashes) <= MAX_CRASHES
        ):
            return TraitRecord(
                Trait(service, TraitKind(kind), value),
                tuple(sorted(map(_parse_crash, crashes), key=_crash_time_s)),
                _parse_mark(sound_ms),
                _parse_mark(probe_ms),
            )
    raise ValueError(f"malformed crash evidence: {row!r}")


def _parse_crash(row: Any) -> CrashRecord:
    match row:
        case [run, organisation, int(age_ms), bool(probe)] if _is_name(
            run
        ) and _is_organisation(organisation):
            return CrashRecord(run, organisation, _at_s(parse_int(age_ms)), probe)
    raise ValueError(f"malformed crash of an engine: {row!r}")


def _crash_time_s(crash: CrashRecord) -> float:
    return crash.at_s


def _parse_mark(age_ms: Any) -> float | None:
    return None if age_ms is None else _at_s(parse_int(age_ms))


def _is_name(value: Any) -> bool:
    """Return True for a text that peers accept as a name."""
    try:
        return len(parse_text(value)) <= MAX_NAME_CHARS
    except ValueError:
        return False


def _is_organisation(value: Any) -> bool:
    return value is None or _is_name(value)


def _crash_age_ms(crash: CrashRecord) -> int:
    """Return a crash's age rounded down: peers keep the earliest time of each crash."""
    return max(0, floor((time.monotonic() - crash.at_s) * 1000))


def _mark_age_ms(at_s: float | None) -> int | None:
    """Return the age of a mark rounded up: peers keep the latest time of each mark."""
    if at_s is None:
        return None
    return max(0, ceil((time.monotonic() - at_s) * 1000))


def _age_ms(at_s: float) -> int:
    return round((time.monotonic() - at_s) * 1000)


def _at_s(age_ms: int) -> float:
    return time.monotonic() - max(0, age_ms) / 1000
