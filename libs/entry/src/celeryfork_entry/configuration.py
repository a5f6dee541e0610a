"""The configuration in force: routes, services, organisations and limits."""

from collections.abc import Mapping

from attrs import frozen
from celeryfork_admission.service_load import Urgency
from celeryfork_routing.layers import ModelShape


@frozen
class Stream:
    """A streamed answer.

    Parameters
    ----------
    resumable
        True if another engine can resume it after a given event.
    max_event_gap_s
        Maximum gap in seconds between two events that callers count as on time.
    """

    resumable: bool
    max_event_gap_s: float


@frozen
class Idempotent:
    """A call that may run more than once."""


@frozen
class AtMostOnce:
    """A call that may run once at most."""


Kind = Stream | Idempotent | AtMostOnce


def is_resumable(kind: Kind) -> bool:
    """Return True if another target may continue an answer after a given event."""
    return isinstance(kind, Stream) and kind.resumable


@frozen
class Route:
    """Requests of one host below one path.

    Parameters
    ----------
    timeout_s
        Seconds from the request until the final answer is due.
    latency_goal_s
        Seconds to the answer, or to a stream's first event, that earn full credit.
    priority
        0 is the most urgent.
    weight_by_service
        Services that serve its requests, with their weights.
    max_targets
        Maximum number of targets that one request may be sent to.
    open
        True if requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    timeout_s: float
    latency_goal_s: float
    priority: int
    weight_by_service: tuple[tuple[str, float], ...]
    max_targets: int
    open: bool


@frozen
class Service:
    """Configuration of a service.

    Parameters
    ----------
    model
        Sizes and load times of its model; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    model: ModelShape | None


@frozen
class Organisation:
    """Owner of a set of keys.

    Parameters
    ----------
    priority
        Priority of its requests; None for that of the route.
    weight
        Share of the capacity under a shortage, relative to other organisations.
    """

    name: str
    priority: int | None
    weight: float = 1.0


@frozen
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@frozen
class Configuration:
    """One accepted configuration.

    Parameters
    ----------
    routes_by_host
        Routes of each host, the longest path prefix first.
    needs_key
        True if requests on routes that aren't open need a key.
    encoded
        Bytes published by the operator, from which it was decoded.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    organisation_by_key: Mapping[str, Organisation]
    needs_key: bool
    limits: CallerLimits
    encoded: bytes = b""

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def urgency(route: Route, organisation: Organisation | None) -> Urgency:
    """Return the urgency of an organisation's requests on a route."""
    if organisation is None or organisation.priority is None:
        return Urgency(route.priority, route.priority)
    return Urgency(organisation.priority, route.priority)
