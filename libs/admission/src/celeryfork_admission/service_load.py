"""Demand for a service and its free capacity, as one instance knows them."""

from attrs import frozen
from celeryfork_routing.room import Room


@frozen(order=True, cache_hash=True)
class Urgency:
    """Precedence of a request under a shortage; the lowest is the most urgent.

    Parameters
    ----------
    organisation_priority
        Priority of the organisation, that of the route if it has none.
    """

    organisation_priority: int
    route_priority: int


@frozen
class DemandRow:
    """Demand of one urgency, by one organisation or by several together.

    Parameters
    ----------
    organisation
        None for all organisations of this urgency that have no row of their own, and
        for requests without an organisation.
    tokens_per_s, requests_per_s
        Arrivals, whether or not they were admitted.
    organisations
        Number of organisations that the row stands for.
    """

    urgency: Urgency
    organisation: str | None
    tokens_per_s: float
    requests_per_s: float
    organisations: int = 1


@frozen
class ServiceDemand:
    """Demand for a service at one instance, or summed over several.

    Parameters
    ----------
    admitted_tokens_per_s, released_tokens_per_s
        Tokens of requests that were admitted, and of those that have ended.
    """

    service: str
    rows: tuple[DemandRow, ...]
    admitted_tokens_per_s: float
    released_tokens_per_s: float


@frozen
class ServiceLoad:
    """Free capacity of a service and the demand for it, over all known domains.

    Parameters
    ----------
    room
        Tokens that the engines of the known domains have memory for.
    age_s
        Age in seconds of the oldest sum that is included.
    instances
        Number of live instances that the demand comes from.
    complete
        False if a domain's sum is missing.
    """

    room: Room
    demand: ServiceDemand
    age_s: float
    instances: int
    complete: bool
