"""Link latencies between failure domains, from the configuration in force."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from celeryfork_config.in_force import Configuration

SAME_DOMAIN_LATENCY_S = 0.0001
DEFAULT_LATENCY_S = 0.001


class LinkTable:
    """Caches latencies until the configuration changes.

    Parameters
    ----------
    configuration
        Returns the configuration in force.
    """

    def __init__(self, configuration: "Callable[[], Configuration]") -> None:
        self._configuration = configuration
        self._cached_for: Configuration | None = None
        self._latency_by_pair: dict[tuple[str, str], float] = {}

    def refresh(self) -> None:
        """Clear the cache if another configuration is in force."""
        configuration = self._configuration()
        if configuration is not self._cached_for:
            self._cached_for = configuration
            self._latency_by_pair = {}

    def latency_s(self, here: str, there: str) -> float:
        """Return the one-way latency between two failure domains, in seconds."""
        latency_s = self._latency_by_pair.get((here, there))
        if latency_s is None:
            latency_s = self._look_up(here, there)
            self._latency_by_pair[here, there] = latency_s
        return latency_s

    def _look_up(self, here: str, there: str) -> float:
        if here == there:
            return SAME_DOMAIN_LATENCY_S
        links = self._configuration().links_by_pair
        link = links.get((here, there)) or links.get((there, here))
        return DEFAULT_LATENCY_S if link is None else float(link.latency_ms) / 1000
