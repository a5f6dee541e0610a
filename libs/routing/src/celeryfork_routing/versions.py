"""The fleets of one model, one for each version of the weights.

A chain must not mix versions: the layers of one version can't process activations of
another. During a rollout, requests are spread over the versions in proportion to their
throughput bounds.
"""

from collections.abc import Callable, Sequence

from celeryfork_membership.targets import Target

from celeryfork_routing.chains import Hop
from celeryfork_routing.fleet import Fleet


class ModelFleets:
    """The fleets of one model by version.

    Not thread-safe; the router calls it with its lock held.

    Parameters
    ----------
    make_fleet
        Returns a new fleet.
    """

    def __init__(self, make_fleet: Callable[[], Fleet]) -> None:
        self.fleets_by_version: dict[str, Fleet] = {}
        self._make_fleet = make_fleet
        self._eligible: Sequence[Target] | None = None
        self._targets_by_version: dict[str, tuple[Target, ...]] = {}

    def update_targets(self, eligible: Sequence[Target]) -> None:
        """Pass the eligible targets on to the fleets of their versions."""
        if eligible is not self._eligible:
            self._split(eligible)
        for version, targets in self._targets_by_version.items():
            self.fleets_by_version[version].update_targets(targets)

    def in_order(self, point: float, keep: Sequence[Hop]) -> list[Fleet]:
        """Return the fleets in the order in which to try them.

        The first is the one that the kept hops belong to, or else is drawn in
        proportion to the throughput bounds.

        Parameters
        ----------
        point
            Random number in [0, 1) that decides the draw.
        keep
            Hops of an earlier attempt.
        """
        if len(self.fleets_by_version) == 1:
            return list(self.fleets_by_version.values())
        fleets = sorted(
            self.fleets_by_version.values(), key=lambda fleet: -fleet.bound()
        )
        kept = self.fleets_by_version.get(keep[0].target.version) if keep else None
        first = kept or _draw(fleets, point)
        return [first, *(fleet for fleet in fleets if fleet is not first)]

    def _split(self, eligible: Sequence[Target]) -> None:
        """Group targets by version; add new fleets, drop idle ones without targets."""
        members: dict[str, list[Target]] = {}
        for target in eligible:
            members.setdefault(target.version, []).append(target)
        for version, fleet in list(self.fleets_by_version.items()):
            if version not in members:
                fleet.update_targets(())
                if not fleet.own_chains:
                    del self.fleets_by_version[version]
        for version in members:
            if version not in self.fleets_by_version:
                self.fleets_by_version[version] = self._make_fleet()
        self._targets_by_version = {v: tuple(group) for v, group in members.items()}
        self._eligible = eligible


def _draw(fleets: Sequence[Fleet], point: float) -> Fleet:
    """Return the fleet at ``point`` of [0, 1), divided in proportion to the bounds."""
    left = point * sum(fleet.bound() for fleet in fleets)
    for fleet in fleets:
        left -= fleet.bound()
        if left < 0:
            return fleet
    return fleets[0]
