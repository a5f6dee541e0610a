"""Load balancing over the targets of a plain service.

A plain service is one that is not a model, so that a single target handles a call.
"""

from collections.abc import Sequence
from random import Random

from celeryfork_membership.targets import Target

NEAR_LOAD_LIMIT = 1.25
"""Calls in flight, as a multiple of the mean of all targets, up to which (plus one
call) a target of the own failure domain is preferred."""


class ServiceBalancer:
    """Chooses the less loaded of two random targets, by this instance's own calls.

    Targets in the own failure domain are preferred unless they are overloaded. Not
    thread-safe; the router calls it with its lock held.

    Parameters
    ----------
    domain
        Failure domain of the instance.
    random
        Source of randomness.
    """

    def __init__(self, domain: str, random: Random) -> None:
        self._domain = domain
        self._random = random
        self._in_flight_by_id: dict[str, int] = {}

    def choose(self, targets: Sequence[Target]) -> Target:
        """Return one of ``targets`` and count a call to it as in flight."""
        chosen = self._less_loaded(targets)
        near = [target for target in targets if target.domain == self._domain]
        if near and len(near) < len(targets):
            candidate = self._less_loaded(near)
            mean = sum(self._calls_in_flight(target) for target in targets) / len(
                targets
            )
            if self._calls_in_flight(candidate) <= NEAR_LOAD_LIMIT * mean + 1:
                chosen = candidate
        self._in_flight_by_id[chosen.id] = self._calls_in_flight(chosen) + 1
        return chosen

    def release(self, target_id: str) -> None:
        """Stop counting a call as in flight."""
        left = self._in_flight_by_id.get(target_id, 0) - 1
        if left > 0:
            self._in_flight_by_id[target_id] = left
        else:
            self._in_flight_by_id.pop(target_id, None)

    def dump(self) -> dict[str, int]:
        """Return the number of calls in flight by target id."""
        return dict(self._in_flight_by_id)

    def _calls_in_flight(self, target: Target) -> int:
        return self._in_flight_by_id.get(target.id, 0)

    def _less_loaded(self, targets: Sequence[Target]) -> Target:
        if len(targets) == 1:
            return targets[0]
        one, other = self._random.sample(targets, 2)
        return (
            one if self._calls_in_flight(one) <= self._calls_in_flight(other) else other
        )
