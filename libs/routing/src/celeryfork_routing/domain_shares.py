"""Shares of a domain's requests that are sent to the engines of other domains.

Handles uneven demand: a wave that moves from domain to domain within seconds, a burst
in one domain, and domains of unequal capacity. The shares follow from the demand of
each domain's callers, which they don't change, so that instances which compute them
from the same late report don't oscillate together. How busy the engines are only
limits them.
"""

from collections.abc import Mapping
from math import exp, inf, isfinite

from attrs import define, field, frozen

from celeryfork_routing.layer_paths import FULL_MEMORY_FACTOR

RISE_S = 1.0
"""Time constant in s of a rising share: about the age of another domain's load."""
FALL_S = 2.0
"""Time constant in s of a falling share: a short dip of the demand isn't followed."""
MIN_SHARE = 0.02
"""Share below which no request is sent: it is within the error of the loads."""
LIMIT_S = 0.25
"""Time constant in s of a share above its limit: the demand of the receiving domain has
risen, so that it has to fall soon, but without a step at each report."""
MAX_RELATIVE_FILL = 0.8
"""Memory use of a receiving domain, relative to the sending one's, above which less is
sent. In simulations of a wave of 55% in 15 s with reports 1 s old and 60 instances, a
receiving domain became up to 1.14 times as busy as the sending one; with 0.9 it was
over 1.2 times, without limits 3 times."""
SEARCH_STEPS = 10
"""Steps of the bisection for equal times: it resolves 0.1% of a domain's surplus."""
UNEVEN_RATIO, UNEVEN_UTILISATION = 1.5, 0.4
"""Ratio of the highest to the lowest utilisation, and highest utilisation, from which
loads count as uneven."""
EVEN_RATIO, EVEN_UTILISATION = 1.25, 0.3
"""The same below which loads count as even again, so that demand near the limit doesn't
switch balancing on and off."""


@frozen
class DomainLoad:
    """Capacity and load of a service's engines in one domain, and the domain's demand.

    Parameters
    ----------
    total_tokens, free_tokens
        Room of the domain's engines, in all and not in use.
    used_tokens
        Tokens of the requests in flight of the domain's own callers, on the engines of
        any domain.
    busy_ms
        Predicted time of a mean request now, with the round trip from the instance's
        own domain; infinite if the domain has no path.
    """

    total_tokens: float
    free_tokens: float
    used_tokens: float
    busy_ms: float

    @property
    def capacity(self) -> float:
        """Return the tokens that the domain's engines can hold, 0 without a path."""
        return self.total_tokens if isfinite(self.busy_ms) else 0.0

    @property
    def utilisation(self) -> float:
        """Return the demand of the domain's callers as a share of its capacity."""
        return self.used_tokens / self.capacity if self.capacity else inf

    @property
    def fill(self) -> float:
        """Return the part of the engines' memory for requests that is in use."""
        held = max(0.0, self.total_tokens - self.free_tokens)
        return held / self.capacity if self.capacity else inf

    def predicted_ms(self, tokens: float) -> float:
        """Return the time of a mean request if the engines held ``tokens`` tokens."""
        if not self.capacity:
            return inf
        now = relative_cost(self.fill)
        return self.busy_ms * relative_cost(tokens / self.capacity) / now


def relative_cost(fill: float) -> float:
    """Return the cost of an engine by memory use, as in :func:`find_path`."""
    return float(1 + FULL_MEMORY_FACTOR * fill**3)


@define
class UnevenDemand:
    """Tells if the demand of domains is uneven, with hysteresis."""

    uneven: bool = False

    def update(self, load_by_domain: Mapping[str, DomainLoad]) -> bool:
        """Return True if the utilisation of the domains differs enough to balance.

        Domains without a path of their own don't count: in some deployments several
        domains hold one copy of the model together.
        """
        used = [load.utilisation for load in load_by_domain.values() if load.capacity]
        if len(used) < 2:
            self.uneven = False
            return False
        ratio, highest = UNEVEN_RATIO, UNEVEN_UTILISATION
        if self.uneven:
            ratio, highest = EVEN_RATIO, EVEN_UTILISATION
        self.uneven = max(used) > highest and max(used) >= ratio * min(used)
        return self.uneven


@define(eq=False)
class DomainShares:
    """Shares of one domain's requests by the domain whose engines run them.

    Parameters
    ----------
    phase
        From 0 to 1: the part of a request that the first pick counts as owed to other
        domains. Instances with different phases don't send at the same time.
    """

    _phase: float = 0.0
    _own_domain: str = ""
    _updated_s: float | None = None
    _smoothed: dict[str, float] = field(factory=dict)
    _by_domain: dict[str, float] = field(factory=dict)
    _credit_by_domain: dict[str, float] = field(factory=dict)

    def update(
        self,
        own_domain: str,
        load_by_domain: Mapping[str, DomainLoad],
        now_s: float,
        *,
        balanced: bool = True,
    ) -> None:
        """Move the shares towards those that follow from the loads.

        Parameters
        ----------
        load_by_domain
            Loads of the domains that are known and reachable. The shares of others end
            at once.
        balanced
            False to let all shares fall to zero.
        """
        targets = target_shares(own_domain, load_by_domain) if balanced else {}
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._own_domain, self._updated_s = own_domain, now_s
        reachable = {
            domain
            for domain, load in load_by_domain.items()
            if domain != own_domain and load.capacity
        }
        before = {d: s for d, s in self._smoothed.items() if d in reachable}
        rising = sum(targets.values()) > sum(before.values())
        weight = 1 - exp(-max(0.0, elapsed_s) / (RISE_S if rising else FALL_S))
        smoothed = {
            domain: (1 - weight) * before.get(domain, 0.0)
            + weight * targets.get(domain, 0.0)
            for domain in sorted(reachable)
        }
        limits = _limits(own_domain, load_by_domain, smoothed)
        weight = 1 - exp(-max(0.0, elapsed_s) / LIMIT_S)
        self._smoothed = {
            domain: share - weight * max(0.0, share - limits[domain])
            for domain, share in smoothed.items()
            if limits[domain] > 0
        }
        self._by_domain = {
            domain: share
            for domain, share in self._smoothed.items()
            if share >= MIN_SHARE
        }
        credits = self._credit_by_domain
        self._credit_by_domain = {d: credits.get(d, 0.0) for d in self._by_domain}

    @property
    def by_domain(self) -> Mapping[str, float]:
        """Return the shares of other domains, without those that are zero."""
        return self._by_domain

    def pick(self) -> str:
        """Return the domain whose engines the next request should use."""
        leaving = sum(self._by_domain.values())
        if not leaving:
            return self._own_domain
        self._phase += leaving
        if self._phase < 1:
            return self._own_domain
        self._phase -= 1
        credits = self._credit_by_domain
        for domain, share in self._by_domain.items():
            credits[domain] += share / leaving
        picked = max(credits, key=lambda domain: credits[domain])
        credits[picked] -= 1
        return picked


def _mean_utilisation(load_by_domain: Mapping[str, DomainLoad]) -> float:
    capacity = sum(load.capacity for load in load_by_domain.values())
    used = sum(load.used_tokens for load in load_by_domain.values())
    return used / capacity if capacity else 0.0


def surplus_tokens(own_domain: str, load_by_domain: Mapping[str, DomainLoad]) -> float:
    """Return the own domain's demand over the mean utilisation, 0 if it has none."""
    own, level = load_by_domain.get(own_domain), _mean_utilisation(load_by_domain)
    if own is None or not level:
        return 0.0
    return max(0.0, own.used_tokens - level * own.capacity)


def target_shares(
    own_domain: str, load_by_domain: Mapping[str, DomainLoad]
) -> dict[str, float]:
    """Return the shares of the own domain's requests that balance the domains.

    The surplus over the mean utilisation of all domains goes to those below it, in
    proportion to their room. Less is sent where a request would take longer there than
    in the own domain.
    """
    surplus = surplus_tokens(own_domain, load_by_domain)
    if surplus <= 0:
        return {}
    own, level = load_by_domain[own_domain], _mean_utilisation(load_by_domain)
    room_by_domain = {
        domain: level * load.capacity - load.used_tokens
        for domain, load in load_by_domain.items()
        if level * load.capacity > load.used_tokens
    }
    room = sum(room_by_domain.values())
    shares = {}
    for domain, room_there in sorted(room_by_domain.items()):
        part = _part_until_equal(own, surplus, load_by_domain[domain], room_there)
        if part:
            shares[domain] = part * surplus / own.used_tokens * room_there / room
    return shares


def _part_until_equal(
    own: DomainLoad, surplus: float, other: DomainLoad, room: float
) -> float:
    """Return the part of a transfer after which a request takes as long in both."""

    def is_quicker_there(part: float) -> bool:
        here_ms = own.predicted_ms(own.used_tokens - part * surplus)
        return other.predicted_ms(other.used_tokens + part * room) <= here_ms

    if is_quicker_there(1.0):
        return 1.0
    low, high = 0.0, 1.0
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        if is_quicker_there(middle):
            low = middle
        else:
            high = middle
    return low


def _limits(
    own_domain: str,
    load_by_domain: Mapping[str, DomainLoad],
    share_by_domain: Mapping[str, float],
) -> dict[str, float]:
    """Return the maximum share of each domain, so that none gets the busier one.

    Shares fall slowly, while the demand of the receiving domain may rise faster.
    """
    own = load_by_domain.get(own_domain)
    if own is None or own.used_tokens <= 0 or not own.capacity:
        return dict.fromkeys(share_by_domain, 1.0)
    kept = own.utilisation * (1 - sum(share_by_domain.values()))
    limits = {}
    for domain, share in share_by_domain.items():
        there = load_by_domain[domain]
        by_demand = kept * there.capacity - there.used_tokens
        moved_fill = own.utilisation + own.used_tokens / there.capacity
        more = (MAX_RELATIVE_FILL * own.fill - there.fill) / moved_fill
        limits[domain] = min(by_demand / own.used_tokens, share + more)
    return limits
