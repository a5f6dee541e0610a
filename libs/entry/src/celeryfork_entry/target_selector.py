"""Selects targets of services without a model."""

import asyncio
import random
import time
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

from celeryfork_entry.call import Call, CallContext
from celeryfork_entry.targets import Target

PERMIT_WAIT_S = 0.25
"""Seconds from its arrival for which a call that hasn't run waits for a permit."""
MIN_PERMIT_WAIT_S = 0.005
"""Minimum seconds of such a wait."""
OTHER_DOMAIN_PENALTY = 2.0
"""Requests in flight added to the load of a target in another failure domain."""
FAILING_PENALTY = 8.0
"""Requests in flight added to the load of a target whose replies all fail."""


@define(eq=False)
class TargetSelector:
    """Chooses the least loaded of the targets that may run a call."""

    _context: CallContext
    _random: random.Random = field(factory=random.Random)

    def choose(self, call: Call) -> Target | None:
        """Return a target that the call has not avoided, None if there is none now."""
        for targets in self._listed(call):
            untried = [each for each in targets if each.id not in call.avoided]
            if untried:
                return self._least_loaded(untried)
        return None

    def choose_again(self, call: Call) -> Target | None:
        """Return a target for a call that may have run, also one that it avoids.

        Targets that answered with an error of their own are left out.
        """
        for targets in self._listed(call):
            usable = [each for each in targets if each.id not in call.failed_on]
            untried = [each for each in usable if each.id not in call.avoided]
            target = self._least_loaded(untried) or self._least_loaded(usable)
            if target is not None:
                return target
        return None

    def others(self, call: Call, target: Target, *, again: bool = False) -> set[str]:
        """Return the ids of available targets that may be tried after ``target``.

        Parameters
        ----------
        again
            True to include those that the call avoids, as :meth:`choose_again`.
        """
        available, _ = self._listed(call)
        left_out = call.failed_on if again else call.avoided
        others = {each.id for each in available} - left_out - {target.id}
        return others - self._context.permits.limited()

    def _listed(self, call: Call) -> tuple[list[Target], list[Target]]:
        """Return the available targets of a call, and all that aren't leaving."""
        table, service = self._context.table, call.service.name
        allowed = call.first_engines.allowed(table.may_still_run)
        available, listed = (
            [each for each in targets if allowed is None or each.id in allowed]
            for targets in (table.available(service), table.not_leaving(service))
        )
        return available, listed

    def _least_loaded(self, targets: list[Target]) -> Target | None:
        """Return the best of the targets that have a permit, None if none has."""
        unavailable = self._context.permits.unavailable(time.monotonic())
        usable = [each for each in targets if each.id not in unavailable]
        ramp_up = self._context.ramp_up
        if ramp_up is not None and ramp_up.active:
            held_back = ramp_up.held_back(time.monotonic())
            usable = [e for e in usable if e.id not in held_back] or usable
        return min(usable, key=self._cost, default=None)

    def _cost(self, target: Target) -> float:
        in_flight = self._context.table.in_flight_by_id.get(target.id, 0)
        domain_penalty = (
            0.0 if target.domain == self._context.domain else OTHER_DOMAIN_PENALTY
        )
        failed_share = self._context.table.health(target.id).failed_share
        failure_penalty = FAILING_PENALTY * failed_share
        return in_flight + domain_penalty + failure_penalty + self._random.random()

    @contextmanager
    def sending_to(self, target: Target) -> Iterator[None]:
        """Count a request at a target as in flight."""
        in_flight = self._context.table.in_flight_by_id
        in_flight[target.id] = in_flight.get(target.id, 0) + 1
        try:
            yield
        finally:
            in_flight[target.id] -= 1

    async def wait_for_permit(self, call: Call, until_s: float | None) -> bool:
        """Wait for a permit for a target; return False if that takes too long.

        Parameters
        ----------
        until_s
            Monotonic time until which a call that may have run may wait.
        """
        next_s = self.next_permit_s(call)
        if until_s is None:
            until_s = call.request.arrived_s + PERMIT_WAIT_S
        if next_s > min(until_s, time.monotonic() + call.left_s):
            return False
        with call.waiting("permit"):
            await asyncio.sleep(max(MIN_PERMIT_WAIT_S, next_s - time.monotonic()))
        return True

    def next_permit_s(self, call: Call) -> float:
        """Return the time of the next permit for an untried target, inf for none."""
        targets = self._context.table.not_leaving(call.service.name)
        untried = {each.id for each in targets} - call.avoided
        return self._context.permits.next_permit_s(untried)
