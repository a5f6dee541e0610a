"""Fields of reports and digests that tell the demand for services.

See :mod:`celeryfork_entry.demand_exchange`.
"""

import time
from collections.abc import Mapping
from typing import Any

from attrs import field, frozen
from celeryfork_admission.demand import MAX_MERGED_ROWS, MAX_URGENCIES
from celeryfork_admission.service_load import DemandRow, ServiceDemand, Urgency
from orjson import dumps

from celeryfork_entry.field_parsers import (
    parse_count,
    parse_finite_float,
    parse_int,
    parse_text,
)

MAX_SERVICES = 4
"""Maximum number of services in one datagram; more of them take turns."""
MAX_ROWS = MAX_MERGED_ROWS + MAX_URGENCIES
"""Maximum number of rows of one service."""
MAX_NAME_CHARS = 200
"""Maximum length of the name of a service or an organisation. Peers reject the whole
datagram for a longer one: such a service isn't told, and such an organisation counts
for the rest of its urgency."""
MAX_PER_S = 1e12
"""Highest rate that is accepted, so that sums of rates stay finite."""


@frozen
class DemandSum:
    """Demand for some services at one instance, or summed over a domain.

    Parameters
    ----------
    at_s
        Monotonic time of the oldest report that is included.
    """

    at_s: float
    demands: tuple[ServiceDemand, ...]


@frozen
class DemandAway:
    """Demand summed over other domains, as a lead relay forwards it to its domain.

    Parameters
    ----------
    at_s_by_domain
        Monotonic time of each domain's oldest report that is included; domains that
        the lead relay doesn't hear are left out.
    """

    demands: tuple[ServiceDemand, ...]
    at_s_by_domain: Mapping[str, float] = field(factory=dict)


def demand_fields(demand: DemandSum | None) -> dict[str, Any]:
    """Return the field of a demand, none if there is no demand to tell."""
    if demand is None:
        return {}
    return {"demand": [_age_ms(demand.at_s), _service_rows(demand.demands)]}


def demand_away_fields(away: DemandAway | None) -> dict[str, Any]:
    """Return the field of the demand elsewhere, none if there is nothing to tell."""
    if away is None:
        return {}
    ages = {domain: _age_ms(at_s) for domain, at_s in away.at_s_by_domain.items()}
    return {"demand_away": [ages, _service_rows(away.demands)]}


def demand_size(demands: tuple[ServiceDemand, ...]) -> int:
    """Return the number of bytes that demands take in a datagram."""
    return len(dumps(_service_rows(demands)))


def parse_demand(fields: Mapping[str, Any]) -> DemandSum | None:
    """Return the demand in a message, None without one, as from an earlier release.

    Raises
    ------
    ValueError
        A row is malformed.
    """
    match fields.get("demand"):
        case None if "demand" not in fields:
            return None
        case [age_ms, rows]:
            return DemandSum(_at_s(age_ms), _parse_services(rows))
    raise ValueError("the demand in a datagram is malformed")


def parse_demand_away(fields: Mapping[str, Any]) -> DemandAway | None:
    """Return the demand elsewhere in a digest, None without one.

    Raises
    ------
    ValueError
        A row is malformed.
    """
    match fields.get("demand_away"):
        case None if "demand_away" not in fields:
            return None
        case [dict(ages), rows]:
            at_s_by_domain = {str(key): _at_s(age_ms) for key, age_ms in ages.items()}
            return DemandAway(_parse_services(rows), at_s_by_domain)
    raise ValueError("the demand elsewhere in a datagram is malformed")


def is_name(value: Any) -> bool:
    """Return True for a text that peers accept as a name."""
    try:
        return len(parse_text(value)) <= MAX_NAME_CHARS
    except ValueError:
        return False


def _service_rows(demands: tuple[ServiceDemand, ...]) -> list[list[Any]]:
    """Return name, admitted and released tokens/s, and rows of each service."""
    return [
        [
            demand.service,
            round(demand.admitted_tokens_per_s),
            round(demand.released_tokens_per_s),
            [_demand_row(row) for row in demand.rows],
        ]
        for demand in demands
        if is_name(demand.service)
    ]


def _demand_row(row: DemandRow) -> list[Any]:
    """Return both priorities, organisation, tokens/s, requests/s and organisations."""
    named = row.organisation is not None and is_name(row.organisation)
    return [
        row.urgency.organisation_priority,
        row.urgency.route_priority,
        row.organisation if named else None,
        round(row.tokens_per_s),
        round(row.requests_per_s, 1),
        row.organisations,
    ]


def _parse_services(rows: Any) -> tuple[ServiceDemand, ...]:
    if not isinstance(rows, list) or len(rows) > MAX_SERVICES:
        raise ValueError("the demand in a datagram is no list, or is too long")
    return tuple(map(_parse_service, rows))


def _parse_service(row: Any) -> ServiceDemand:
    match row:
        case [service, admitted, released, [*rows]] if (
            is_name(service) and len(rows) <= MAX_ROWS
        ):
            return ServiceDemand(
                service,
                tuple(map(_parse_row, rows)),
                _parse_rate(admitted),
                _parse_rate(released),
            )
    raise ValueError(f"malformed demand for a service: {row!r}")


def _parse_row(row: Any) -> DemandRow:
    match row:
        case [of_organisation, of_route, organisation, tokens, requests, count] if (
            organisation is None or is_name(organisation)
        ):
            organisations = parse_count(count)
            if organisations > 0:
                return DemandRow(
                    Urgency(parse_int(of_organisation), parse_int(of_route)),
                    organisation,
                    _parse_rate(tokens),
                    _parse_rate(requests),
                    organisations,
                )
    raise ValueError(f"malformed row of a demand: {row!r}")


def _parse_rate(value: Any) -> float:
    rate = parse_finite_float(value)
    if not 0 <= rate <= MAX_PER_S:
        raise ValueError(f"a rate is not from 0 to {MAX_PER_S:g}: {rate}")
    return rate


def _age_ms(at_s: float) -> int:
    return max(0, round((time.monotonic() - at_s) * 1000))


def _at_s(age_ms: Any) -> float:
    return time.monotonic() - parse_count(age_ms) / 1000
