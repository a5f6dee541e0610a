"""Registers this instance in the store and makes relays candidates for leadership.

The placement leader assigns model layers to engines; the store elects it among the
candidates. Relays are the instances of a domain that read the store for the others (see
:mod:`celeryfork_entry.roster`).
"""

import asyncio
import contextlib
import time
from collections.abc import Callable

from attrs import define
from logbook import Logger

from celeryfork_entry.placement_leader import PlacementLeader, renew_leadership
from celeryfork_entry.ports import LeaderElection, StoreUnavailableError
from celeryfork_entry.roster import Roster

RENEWAL_INTERVAL_S = 1.0
"""Seconds between two renewals of the candidacy."""
ROLE_CHECK_INTERVAL_S = 0.25
"""Seconds between two checks if this instance has become a relay."""
RELAY_SETTLING_S = 0.8
"""Seconds as a relay before an instance becomes a candidate: when a fleet starts, many
instances are relays briefly, and a leader that withdraws delays the placement of
layers."""
INSTANCE_POLL_S = 2.0
"""Seconds between two reads of the instances registered in the store."""
INITIAL_READS = 2
"""Number of reads after the start, since machines start within 2 s of each other; later
reads take place only while no relay is live."""
RESIGN_TIMEOUT_S = 1.0
"""Timeout in seconds for withdrawing the candidacy at a planned stop; if that fails, it
expires by itself in the store."""


@define(eq=False)
class LeaderCandidate:
    """Announces this instance, renews its candidacy and reads the other instances.

    Parameters
    ----------
    known_era
        Returns the era of the target list, None before the first. In a later era than
        that of its announcement the store may have lost this instance's registration.
    """

    _election: LeaderElection
    _roster: Roster
    _placement: PlacementLeader
    _log: Logger
    _stopping: Callable[[], bool]
    _known_era: Callable[[], int | None] = lambda: None
    _relay_since_s: float | None = None

    async def renew_while_eligible(self) -> None:
        """Renew the candidacy while this instance is a settled relay or the leader."""
        while not self._stopping():
            if self._is_settled() or self._placement.leadership.held:
                await renew_leadership(self._election.renew, self._placement, self._log)
                await asyncio.sleep(RENEWAL_INTERVAL_S)
            else:
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)

    def _is_settled(self) -> bool:
        now_s = time.monotonic()
        if not self._roster.is_relay:
            self._relay_since_s = None
        elif self._relay_since_s is None:
            self._relay_since_s = now_s
        since_s = self._relay_since_s
        return since_s is not None and now_s - since_s > RELAY_SETTLING_S

    async def announce_and_read_instances(self) -> None:
        """Announce this instance, and add the other instances to the roster."""
        announced_era, reads = -1, 0
        while not self._stopping():
            try:
                known_era = self._known_era()
                if announced_era < 0 or (known_era or 0) > announced_era:
                    announced_era = await self._election.announce()
                if reads < INITIAL_READS or self._has_no_live_relay():
                    self._roster.add_listed(await self._election.peers())
                    reads += 1
            except StoreUnavailableError as error:
                self._log.info("instances_not_read", reason=str(error))
            await asyncio.sleep(INSTANCE_POLL_S)

    def _has_no_live_relay(self) -> bool:
        return not self._roster.live_relays(self._roster.own.domain)

    async def resign(self) -> None:
        """Resign at a planned stop; errors of the store are ignored."""
        with contextlib.suppress(StoreUnavailableError, TimeoutError):
            async with asyncio.timeout(RESIGN_TIMEOUT_S):
                await self._election.resign()
