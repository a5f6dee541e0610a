"""Services whose capacity a configuration shares by urgency or weight.

Only for these do admission control, balancing and ramp-up apply by default, so that
configurations without competing routes or weights are served as before.
"""

from collections.abc import Callable, Mapping

from attrs import define, field, frozen
from celeryfork_admission.service_load import Urgency

from celeryfork_entry.configuration import (
    Configuration,
    Organisation,
    Route,
    Stream,
    urgency,
)


@frozen(eq=False)
class SharedServices:
    """How one configuration shares the capacity of services.

    Parameters
    ----------
    rank_by_urgency_by_service
        Ranks of the urgencies of each service that has streams, the most urgent first.
    services
        Services whose streams have routes of more than one priority, or all with
        streams if an organisation has a weight other than 1. Priorities of
        organisations alone are left to the engines.
    """

    configuration: Configuration | None = None
    organisation_by_name: Mapping[str, Organisation] = field(factory=dict)
    rank_by_urgency_by_service: Mapping[str, Mapping[Urgency, int]] = field(
        factory=dict
    )
    services: frozenset[str] = frozenset()


@define(eq=False)
class CapacitySharing:
    """The shared services of the configuration in force."""

    _configuration: Callable[[], Configuration | None]
    _known: SharedServices = field(factory=SharedServices)

    def current(self) -> SharedServices:
        """Return the shared services, computed once for each configuration."""
        configuration = self._configuration()
        if configuration is not self._known.configuration:
            self._known = _make_shared_services(configuration)
        return self._known

    def is_configured(self) -> bool:
        """Return True if the configuration shares the capacity of any service."""
        return bool(self.current().services)


def _make_shared_services(configuration: Configuration | None) -> SharedServices:
    if configuration is None:
        return SharedServices()
    organisations = configuration.organisation_by_key.values()
    by_name = {each.name: each for each in organisations}
    priorities = {each.priority for each in by_name.values()}
    urgencies_by_service: dict[str, set[Urgency]] = {}
    for routes in configuration.routes_by_host.values():
        for route in routes:
            if isinstance(route.kind, Stream):
                found = _urgencies(route, priorities, needs_key=configuration.needs_key)
                for service, _ in route.weight_by_service:
                    urgencies_by_service.setdefault(service, set()).update(found)
    weighted = any(each.weight != 1.0 for each in by_name.values())
    return SharedServices(
        configuration,
        by_name,
        {
            service: {each: rank for rank, each in enumerate(sorted(urgencies))}
            for service, urgencies in urgencies_by_service.items()
        },
        frozenset(
            service
            for service, urgencies in urgencies_by_service.items()
            if weighted or len({each.route_priority for each in urgencies}) > 1
        ),
    )


def _urgencies(
    route: Route, priorities: set[int | None], *, needs_key: bool
) -> set[Urgency]:
    """Return the urgencies of the requests that may come on a route."""
    found = {urgency(route, Organisation("", each)) for each in priorities}
    if route.open or not needs_key:
        found.add(urgency(route, None))
    return found
