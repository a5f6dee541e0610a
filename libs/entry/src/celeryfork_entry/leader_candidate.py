"""An instance made known to the others, and offered for the duty as a relay."""

import asyncio
import contextlib
import time
from collections.abc import Callable

from attrs import define
from logbook import Logger

from celeryfork_entry.placement_leader import PlacementLeader, renew_leadership
from celeryfork_entry.ports import LeaderElection, StoreUnavailableError
from celeryfork_entry.roster import Roster

RENEWAL_S = 1.0
"""Pause between two renewals of the candidacy."""
ROLE_LOOK_S = 0.25
"""Pause between two looks whether this instance has become a relay."""
SETTLED_S = 0.8
"""Time as a relay after which an instance offers to take the duty: at the start of a
fleet many are relays for a moment, and one that leaves again holds the duty up."""
INSTANCES_INTERVAL_S = 2.0
"""Pause between two looks at the instances that the store names."""
FIRST_LOOKS = 2
"""Such looks after the start; machines start within 2 s of each other. Later ones only
while no relay is heard."""
RESIGN_TIMEOUT_S = 1.0
"""Time for leaving the group at a planned stop; its membership lapses in any case."""


@define(eq=False)
class LeaderCandidate:
    """What this instance tells the store of itself, and reads of the others."""

    _election: LeaderElection
    _roster: Roster
    _placement: PlacementLeader
    _log: Logger
    _stopping: Callable[[], bool]
    _relay_since_s: float | None = None

    async def follow_duty(self) -> None:
        """Renew the candidacy while this instance relays, or holds the duty."""
        while not self._stopping():
            if self._is_settled() or self._placement.leadership.held:
                await renew_leadership(self._election.renew, self._placement, self._log)
                await asyncio.sleep(RENEWAL_S)
            else:
                await asyncio.sleep(ROLE_LOOK_S)

    def _is_settled(self) -> bool:
        now_s = time.monotonic()
        if not self._roster.is_relay:
            self._relay_since_s = None
        elif self._relay_since_s is None:
            self._relay_since_s = now_s
        since_s = self._relay_since_s
        return since_s is not None and now_s - since_s > SETTLED_S

    async def follow_instances(self) -> None:
        """Make this instance known, and learn of the others."""
        announced, looks = False, 0
        while not self._stopping():
            try:
                if not announced:
                    await self._election.announce()
                    announced = True
                if looks < FIRST_LOOKS or self._hears_no_relay():
                    self._roster.listed(await self._election.peers())
                    looks += 1
            except StoreUnavailableError as error:
                self._log.info("instances_not_read", reason=str(error))
            await asyncio.sleep(INSTANCES_INTERVAL_S)

    def _hears_no_relay(self) -> bool:
        return not self._roster.live_relays(self._roster.own.domain)

    async def resign(self) -> None:
        """Leave at a planned stop, if the store answers."""
        with contextlib.suppress(StoreUnavailableError, TimeoutError):
            async with asyncio.timeout(RESIGN_TIMEOUT_S):
                await self._election.resign()
