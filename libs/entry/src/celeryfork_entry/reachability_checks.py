"""Whether engines at fault are in reach, and whole domains with them.

An engine behind a cut is named at fault by the engines before it. Unless it is asked,
each request in turn is offered a path over it, or over the next one behind the cut.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from logbook import Logger

from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.targets import Target, TargetTable

SAMPLE = 3
"""Engines of a domain that are asked; if all are silent, it is out of reach."""
DOMAIN_PAUSE_S = 1.0
"""Pause between two looks at one domain."""
ENGINE_PAUSE_S = 0.5
"""Pause between two questions to an engine at fault; its standing lasts as long."""
PROOF_LIFE_S = 0.3
"""Progress of a stream over an engine shows for so long that it is in reach."""
OUT_OF_REACH = "its failure domain is out of reach"


@define(eq=False)
class ReachabilityChecks:
    """Asks engines at fault, and a few engines of a domain where one is silent.

    Parameters
    ----------
    domain
        This instance's own, whose engines are judged one by one.
    spawn
        Runs a task beside the calls.
    """

    domain: str
    _table: TargetTable
    _checks: EngineChecks
    _log: Logger
    _spawn: Callable[[Awaitable[None]], None]
    _asked_s_by_id: dict[str, float] = field(factory=dict)
    _looked_s_by_domain: dict[str, float] = field(factory=dict)
    _random: random.Random = field(factory=random.Random)

    def refused(self, engine_id: str, first_domain: str, lacks_layers: bool) -> None:
        """Have an engine asked that is at fault for a refusal.

        Parameters
        ----------
        first_domain
            The domain of the engine that the request was sent to. One of the same
            domain that is short of memory is in reach, and isn't asked, unless a peer
            has said that it is down.
        lacks_layers
            Whether it doesn't hold its part: its entry is older than its report.
        """
        target, now_s = self._table.by_id.get(engine_id), time.monotonic()
        if target is None:
            return
        doubted = self._table.health(engine_id).is_suspected(now_s)
        if target.domain == first_domain and not (lacks_layers or doubted):
            return
        if now_s - self._asked_s_by_id.get(engine_id, -ENGINE_PAUSE_S) < ENGINE_PAUSE_S:
            return
        self._asked_s_by_id[engine_id] = now_s
        self._spawn(self._ask(engine_id))

    async def _ask(self, engine_id: str) -> None:
        await self._checks.ask(engine_id)

    def engine_down(self, engine_id: str) -> None:
        """Have its domain looked at when an engine elsewhere goes out of choice."""
        target, now_s = self._table.by_id.get(engine_id), time.monotonic()
        if target is None or target.domain == self.domain:
            return
        looked_s = self._looked_s_by_domain.get(target.domain, -DOMAIN_PAUSE_S)
        if now_s - looked_s >= DOMAIN_PAUSE_S:
            self._looked_s_by_domain[target.domain] = now_s
            self._spawn(self._look(target.domain))

    async def _look(self, domain: str) -> None:
        """Look twice, so that engines that made progress just before are judged too."""
        for wait_s in (0.0, PROOF_LIFE_S):
            await asyncio.sleep(wait_s)
            unproved = self._unproved(domain)
            sample = self._random.sample(unproved, min(SAMPLE, len(unproved)))
            silent = await self._checks.find_down(each.id for each in sample)
            if len(silent) < len(sample):
                return
            if silent:
                self._leave(domain, silent)

    def _leave(self, domain: str, silent: list[str]) -> None:
        """Put a domain out of choice, but for engines that have made progress."""
        for target in self._unproved(domain):
            self._checks.mark_down(target.id, OUT_OF_REACH, own=False)
        cut_off = self.cut_off()
        self._table.list_is_stale |= cut_off
        self._log.info(
            "domain_out_of_reach", domain=domain, asked=silent, cut_off=cut_off
        )

    def _unproved(self, domain: str) -> list[Target]:
        since_s = time.monotonic() - PROOF_LIFE_S
        return [
            target
            for target in self._table.engines()
            if target.domain == domain
            and not self._table.health(target.id).excluded
            and self._checks.last_alive_s(target.id) < since_s
        ]

    def cut_off(self) -> bool:
        """Return whether the engines of every other domain are out of choice."""
        elsewhere = [t for t in self._table.engines() if t.domain != self.domain]
        return bool(elsewhere) and all(
            self._table.health(target.id).excluded for target in elsewhere
        )
