"""Links between failure domains: latency, degradation and partitions."""

import math
import threading
from collections.abc import Iterable, Mapping

from attrs import frozen

SAME_DOMAIN_LATENCY_S = 0.00005
UNREACHABLE = math.inf


@frozen
class Pair:
    """Two failure domains, in the order of sending."""

    from_domain: str
    to_domain: str


class LinkTable:
    """One-way latencies between domains, and which domains are cut off.

    Parameters
    ----------
    latency_s_by_pair
        One-way latency in seconds; a pair given in one order counts for both.
    default_s
        Latency between domains that aren't named.
    timeout_s
        How long an engine waits for a hop over a cut link before it reports the
        stage lost; None lets it wait for good.
    """

    def __init__(
        self,
        latency_s_by_pair: Mapping[tuple[str, str], float],
        default_s: float,
        timeout_s: float | None,
    ) -> None:
        self.timeout_s = timeout_s
        self._latency_s_by_pair = dict(latency_s_by_pair)
        self._default_s = default_s
        self._lock = threading.Lock()
        self._group_by_domain: dict[str, int] = {}
        self._factor_by_pair: dict[tuple[str, str], float] = {}
        self.revision = 0

    def latency_s(self, from_domain: str, to_domain: str) -> float:
        """Return the one-way latency now, in seconds, or ``UNREACHABLE``."""
        if self.is_cut(from_domain, to_domain):
            return UNREACHABLE
        factor = self._factor_by_pair.get((from_domain, to_domain), 1.0)
        return factor * self._base_latency_s(from_domain, to_domain)

    def degrade(self, from_domain: str, to_domain: str, factor: float) -> None:
        """Multiply the latency between two domains, both ways; 1 heals it."""
        self._factor_by_pair[from_domain, to_domain] = factor
        self._factor_by_pair[to_domain, from_domain] = factor
        self.revision += 1

    def partition(self, groups: Iterable[Iterable[str]]) -> None:
        """Cut domains of different groups off from one another.

        Domains in no group still reach everyone.
        """
        with self._lock:
            self._group_by_domain = {
                domain: number
                for number, group in enumerate(groups)
                for domain in group
            }
            self.revision += 1

    def heal(self) -> None:
        """End every partition."""
        self.partition(())

    def is_cut(self, from_domain: str, to_domain: str) -> bool:
        """Whether a partition stands between two domains."""
        groups = self._group_by_domain
        if not groups or from_domain not in groups or to_domain not in groups:
            return False
        return groups[from_domain] != groups[to_domain]

    def _base_latency_s(self, from_domain: str, to_domain: str) -> float:
        if from_domain == to_domain:
            return SAME_DOMAIN_LATENCY_S
        table = self._latency_s_by_pair
        named = table.get((from_domain, to_domain), table.get((to_domain, from_domain)))
        return self._default_s if named is None else named
