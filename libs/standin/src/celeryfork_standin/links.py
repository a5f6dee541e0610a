"""Links between failure domains: latency, degradation and partitions."""

import math
import threading
from collections.abc import Callable, Mapping, Sequence

SAME_DOMAIN_LATENCY_S = 0.00005
UNREACHABLE = math.inf


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
        self._subscribers: list[Callable[[], None]] = []

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
        self.changed()

    def partition(self, groups: Sequence[Sequence[str]]) -> None:
        """Cut domains of different groups off from one another.

        Domains in no group still reach everyone.
        """
        with self._lock:
            self._group_by_domain = {
                domain: number
                for number, group in enumerate(groups)
                for domain in group
            }
        self.changed()

    def changed(self) -> None:
        """Let everyone measure the links anew."""
        self.revision += 1
        for subscriber in self._subscribers:
            subscriber()

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back after each change, on the thread that made it."""
        self._subscribers.append(changed)

    def heal(self) -> None:
        """End every partition."""
        self.partition(())

    def is_cut(self, from_domain: str | None, to_domain: str) -> bool:
        """Whether a partition stands between two domains; None is never cut off."""
        groups = self._group_by_domain
        if from_domain is None or from_domain not in groups or to_domain not in groups:
            return False
        return groups[from_domain] != groups[to_domain]

    def _base_latency_s(self, from_domain: str, to_domain: str) -> float:
        if from_domain == to_domain:
            return SAME_DOMAIN_LATENCY_S
        table = self._latency_s_by_pair
        named = table.get((from_domain, to_domain), table.get((to_domain, from_domain)))
        return self._default_s if named is None else named
