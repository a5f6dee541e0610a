"""Finds out which engine of a chain that fell silent doesn't answer any more.

The caller's side hears only the first engine; the silence may be any stage's. Each is
asked for its state, once for all streams that ask at about the same time.
"""

import asyncio

from attrs import frozen
from celeryfork_base.counters import Counters

from celeryfork_streams.engine_client import EngineSession
from celeryfork_streams.ports import Chain, Target

ANSWER_KEPT_S = 0.5
"""How long an engine that didn't answer is taken to be silent."""


@frozen
class _Asked:
    """An engine that was asked, and since when."""

    answers: "asyncio.Task[bool]"
    asked_s: float

    def stands(self, now_s: float) -> bool:
        """Return whether the engine needn't be asked again.

        That it has answered says nothing of its state a moment later.
        """
        if now_s - self.asked_s > ANSWER_KEPT_S:
            return False
        if not self.answers.done():
            return True
        failed = self.answers.cancelled() or self.answers.exception() is not None
        return not failed and not self.answers.result()


class StallCheck:
    """Asks engines whether they still answer; belongs to the event loop's thread."""

    def __init__(self, session: EngineSession, counters: Counters) -> None:
        self._session = session
        self._counters = counters
        self._asked_by_address: dict[str, _Asked] = {}

    async def silent(self, chain: Chain, timeout_s: float) -> frozenset[str]:
        """Return the ids of the engines that don't answer within ``timeout_s``."""
        targets = [hop.target for hop in chain.hops]
        answers = await asyncio.gather(*(self._ask(t, timeout_s) for t in targets))
        return frozenset(
            target.id
            for target, answered in zip(targets, answers, strict=True)
            if not answered
        )

    async def _ask(self, target: Target, timeout_s: float) -> bool:
        now_s = asyncio.get_running_loop().time()
        asked = self._asked_by_address.get(target.address)
        if asked is None or not asked.stands(now_s):
            self._forget_old(now_s)
            self._counters.add("streams.stall_checks")
            answers = asyncio.create_task(
                self._session.alive(target.address, timeout_s)
            )
            asked = _Asked(answers, now_s)
            self._asked_by_address[target.address] = asked
        # A stream that is cancelled mustn't cancel what others wait for.
        return await asyncio.shield(asked.answers)

    def _forget_old(self, now_s: float) -> None:
        self._asked_by_address = {
            address: asked
            for address, asked in self._asked_by_address.items()
            if now_s - asked.asked_s <= ANSWER_KEPT_S
        }
