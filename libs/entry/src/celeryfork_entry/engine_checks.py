"""Whether the engines of a silent path live, asked of them directly.

An engine through which any stream made progress lately isn't asked. Several streams
that fall silent together ask each engine once.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.ports import Dialect, EngineReport
from celeryfork_entry.target_http import LostError, NotSentError, TargetConnections
from celeryfork_entry.targets import LearntLayers, Target, TargetTable

ANSWER_TIMEOUT_S = 0.08
"""Wait for a report; a live engine answers at once, without a slot."""
PROOF_LIFE_S = 0.06
"""Time that an engine's last sign of life counts for."""
REPORT_LIFE_S = 3.0
"""Time that an engine's report on its speed counts for."""
MOST_REPORT_BYTES = 1 << 20


@define(eq=False)
class EngineChecks:
    """Asks engines for their reports and keeps their standing.

    Parameters
    ----------
    on_down
        Called with an engine's id when it goes out of choice.
    """

    _table: TargetTable
    _connections: TargetConnections
    _dialect: Dialect
    _log: Logger
    _counters: Counters
    on_down: Callable[[str], None] = lambda engine_id: None
    _proved_s_by_id: dict[str, float] = field(factory=dict)
    _asked_by_id: dict[str, asyncio.Task[EngineReport | None]] = field(factory=dict)

    def progressed(self, engine_ids: Iterable[str], now_s: float) -> None:
        """Record that a stream over these engines has just made progress."""
        for engine_id in engine_ids:
            self._proved_s_by_id[engine_id] = now_s

    def proved_s(self, engine_id: str) -> float:
        """Return the steady time of its last sign of life, 0 for none."""
        return self._proved_s_by_id.get(engine_id, 0.0)

    async def find_down(
        self,
        engine_ids: Iterable[str],
        doubted: str | None = None,
        speeds: bool = False,
    ) -> list[str]:
        """Return those engines that don't answer; put them out of choice.

        Parameters
        ----------
        doubted
            An engine that is asked in any case: its connection has just broken.
        speeds
            Whether engines that live are asked too if their speed isn't known.
        """
        now_s = time.monotonic()
        asked = [
            engine_id
            for engine_id in engine_ids
            if engine_id == doubted
            or (speeds and now_s - self._reported_s(engine_id) > REPORT_LIFE_S)
            or now_s - self.proved_s(engine_id) > PROOF_LIFE_S
        ]
        reports = await asyncio.gather(*(self.ask(each) for each in asked))
        return [
            engine_id
            for engine_id, report in zip(asked, reports, strict=True)
            if report is None
        ]

    def _reported_s(self, engine_id: str) -> float:
        return self._table.standing(engine_id).reported_s

    async def ask(self, engine_id: str) -> EngineReport | None:
        """Return an engine's report, None if it doesn't answer as expected."""
        target = self._table.by_id.get(engine_id)
        if target is None:
            return None
        asked = self._asked_by_id.get(engine_id)
        if asked is None:
            asked = asyncio.ensure_future(self._ask(target))
            self._asked_by_id[engine_id] = asked
            asked.add_done_callback(lambda _: self._asked_by_id.pop(engine_id, None))
        return await asyncio.shield(asked)

    async def _ask(self, target: Target) -> EngineReport | None:
        self._counters.add("engines.asked")
        report, reason = None, "no report"
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reply = await self._connections.send(
                    target.address, self._dialect.ask_report()
                )
                try:
                    body = await reply.read_all(MOST_REPORT_BYTES)
                finally:
                    reply.drop()
            report = self._dialect.read_report(body) if reply.status == 200 else None
        except (NotSentError, LostError, TimeoutError) as error:
            reason = repr(error)
        return self._judge(target, report, reason)

    def _judge(
        self, target: Target, report: EngineReport | None, reason: str
    ) -> EngineReport | None:
        now_s = time.monotonic()
        if report is not None and target.born_ms not in {None, report.born_ms}:
            report, reason = None, "it has restarted"
        if report is None:
            self.mark_down(target.id, reason)
            return None
        self._proved_s_by_id[target.id] = now_s
        standing = self._table.standing(target.id)
        if standing.held:
            self._log.info("engine_back", engine=target.id, held=standing.reason)
            self._table.ask_domain_now(target.domain, now_s)
        learnt = LearntLayers(report.held, report.born_ms, now_s, own=True)
        if self._table.learn_layers(target.id, learnt):
            self._log.info("layers_learnt", engine=target.id, held=str(report.held))
        standing.slowness = max(1.0, report.slowness)
        standing.reported_s = now_s
        self._table.succeeded(target.id)
        return report

    def mark_down(self, engine_id: str, reason: str) -> None:
        """Put an engine out of choice and tell the streams that use it."""
        if engine_id not in self._table.by_id:
            return
        if self._table.hold(engine_id, reason, time.monotonic()):
            self._counters.add("engines.down")
            target = self._table.by_id[engine_id]
            self._log.info(
                "engine_down", engine=engine_id, address=target.address, reason=reason
            )
            self._connections.forget(target.address)
            self.on_down(engine_id)
