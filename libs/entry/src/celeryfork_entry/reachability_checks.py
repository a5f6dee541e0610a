"""Checks if engines blamed for refusals, and their whole domains, are reachable.

An engine behind a network partition is blamed by the engines before it on a path. If it
isn't checked, each request gets a path over it, or over the next engine behind the
partition.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from logbook import Logger

from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.targets import Target, TargetTable

SAMPLE_SIZE = 3
"""Number of engines of a domain that are asked for a report; if none answers, the
domain is unreachable."""
DOMAIN_CHECK_INTERVAL_S = 1.0
"""Minimum seconds between two checks of one domain."""
ENGINE_CHECK_INTERVAL_S = 0.5
"""Minimum seconds between two checks of an engine blamed for refusals; equal to the
length of an engine's first exclusion."""
LIVENESS_TTL_S = 0.3
"""Seconds for which progress of a stream over an engine proves it reachable."""
OUT_OF_REACH = "its failure domain is unreachable"


@define(eq=False)
class ReachabilityChecks:
    """Checks engines blamed for refusals, and domains of which one engine is down.

    Parameters
    ----------
    domain
        This instance's own domain, whose engines are checked one by one.
    spawn
        Starts a concurrent task.
    """

    domain: str
    _table: TargetTable
    _checks: EngineChecks
    _log: Logger
    _spawn: Callable[[Awaitable[None]], None]
    _checked_s_by_id: dict[str, float] = field(factory=dict)
    _checked_s_by_domain: dict[str, float] = field(factory=dict)
    _random: random.Random = field(factory=random.Random)

    def refused(self, engine_id: str, first_domain: str, lacks_layers: bool) -> None:
        """Check an engine that is blamed for a refusal.

        Parameters
        ----------
        first_domain
            Domain of the engine that the request was sent to. A blamed engine of the
            same domain that is short of memory is reachable, and isn't checked unless a
            peer has reported it down.
        lacks_layers
            True if the blamed engine doesn't hold its layers of the path: its entry in
            the target list is outdated.
        """
        target, now_s = self._table.by_id.get(engine_id), time.monotonic()
        if target is None:
            return
        suspected = self._table.health(engine_id).is_suspected(now_s)
        if target.domain == first_domain and not (lacks_layers or suspected):
            return
        if (
            now_s - self._checked_s_by_id.get(engine_id, -ENGINE_CHECK_INTERVAL_S)
            < ENGINE_CHECK_INTERVAL_S
        ):
            return
        self._checked_s_by_id[engine_id] = now_s
        self._spawn(self._ask(engine_id))

    async def _ask(self, engine_id: str) -> None:
        await self._checks.ask(engine_id)

    def engine_down(self, engine_id: str) -> None:
        """Check the domain of an excluded engine, unless it is this instance's own."""
        target, now_s = self._table.by_id.get(engine_id), time.monotonic()
        if target is None or target.domain == self.domain:
            return
        checked_s = self._checked_s_by_domain.get(
            target.domain, -DOMAIN_CHECK_INTERVAL_S
        )
        if now_s - checked_s >= DOMAIN_CHECK_INTERVAL_S:
            self._checked_s_by_domain[target.domain] = now_s
            self._spawn(self._check_domain(target.domain))

    async def _check_domain(self, domain: str) -> None:
        """Check twice, so that engines with progress just before are judged too."""
        for wait_s in (0.0, LIVENESS_TTL_S):
            await asyncio.sleep(wait_s)
            candidates = self._without_recent_progress(domain)
            sample = self._random.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
            silent = await self._checks.find_down(each.id for each in sample)
            if len(silent) < len(sample):
                return
            if silent:
                self._exclude_domain(domain, silent)

    def _exclude_domain(self, domain: str, silent: list[str]) -> None:
        """Exclude all engines of a domain that have made no progress recently."""
        for target in self._without_recent_progress(domain):
            self._checks.mark_down(target.id, OUT_OF_REACH, own=False)
        cut_off = self.cut_off()
        self._table.list_is_stale |= cut_off
        self._log.info(
            "domain_out_of_reach", domain=domain, asked=silent, cut_off=cut_off
        )

    def _without_recent_progress(self, domain: str) -> list[Target]:
        since_s = time.monotonic() - LIVENESS_TTL_S
        return [
            target
            for target in self._table.engines()
            if target.domain == domain
            and not self._table.health(target.id).excluded
            and self._checks.last_alive_s(target.id) < since_s
        ]

    def cut_off(self) -> bool:
        """Return True if the engines of all other domains are excluded."""
        elsewhere = [t for t in self._table.engines() if t.domain != self.domain]
        return bool(elsewhere) and all(
            self._table.health(target.id).excluded for target in elsewhere
        )
