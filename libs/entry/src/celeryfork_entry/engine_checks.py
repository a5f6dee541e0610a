"""Whether the engines of a silent path live, asked of them directly.

An engine through which any stream made progress lately isn't asked. Several streams
that fall silent together ask each engine once.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.engine_speeds import SLOWNESS_LIFE_S, Speed
from celeryfork_entry.ports import Dialect, EngineReport
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.target_http import (
    LostError,
    NotSentError,
    PortClosedError,
    TargetConnections,
)
from celeryfork_entry.targets import Target, TargetTable

ANSWER_TIMEOUT_S = 0.04
"""Wait for a report; a live engine answers at once, without a slot, and callers count
a pause of 0.2 s as late, of which a new path takes about 0.06."""
LATE_S = 0.01
"""A wait that ends so much later than it should is of a process that had no time."""
MOST_QUESTIONS = 3
"""Questions until silence is judged: one is put again if it was late, or if nothing
came from any engine meanwhile, as where this instance's own link is full."""
BACKLOG_S = 0.01
"""Time for what has arrived while the process had no time, before silence is judged;
it comes on top of the wait for a report."""
NEWS_SILENCE_S = 0.04
"""Silence of an engine in use that makes a peer's news of it credible."""
PROOF_LIFE_S = 0.06
"""Time that an engine's last sign of life counts for."""
SPEED_PAUSE_S = 2.4
"""Age of an engine's last word on its speed at which it is asked again while its
streams are slow. Whoever leads its domain asks sooner, unless it has just died."""
MOST_REPORT_BYTES = 1 << 20


@define(eq=False)
class EngineChecks:
    """Asks engines for their reports and keeps their standing.

    Parameters
    ----------
    domain
        This instance's own.
    on_down
        Called with an engine's id when it goes out of choice.
    tell
        Called with an engine that this instance itself has found to be down.
    uses
        Tells whether a stream of this instance runs over an engine.
    spawn
        Runs a task beside the calls.
    """

    _table: TargetTable
    _connections: TargetConnections
    _dialect: Dialect
    _log: Logger
    _counters: Counters
    domain: str = ""
    on_down: Callable[[str], None] = lambda engine_id: None
    tell: Callable[[Target], None] = lambda target: None
    uses: Callable[[str], bool] = lambda engine_id: False
    spawn: Callable[[Awaitable[object]], None] = lambda work: None
    _proved_s_by_id: dict[str, float] = field(factory=dict)
    _heard_s: float = 0.0
    _asked_by_id: dict[str, asyncio.Task[EngineReport | None]] = field(factory=dict)

    def record_progress(
        self, engine_ids: Iterable[str], now_s: float, *, slow: bool = False
    ) -> None:
        """Record that a stream over these engines has just made progress.

        Parameters
        ----------
        slow
            Whether the stream is slow: their speeds are asked for now and then.
        """
        self._heard_s = now_s
        for engine_id in engine_ids:
            self._proved_s_by_id[engine_id] = now_s
            if slow and now_s - self._reported_s(engine_id) > SPEED_PAUSE_S:
                self._ask_speed(engine_id)

    def _ask_speed(self, engine_id: str) -> None:
        if engine_id not in self._asked_by_id and engine_id in self._table.by_id:
            self.spawn(self.ask(engine_id))

    def last_alive_s(self, engine_id: str) -> float:
        """Return the steady time of its last sign of life, 0 for none."""
        return self._proved_s_by_id.get(engine_id, 0.0)

    async def find_down(
        self,
        engine_ids: Iterable[str],
        ask_all: bool = False,
        speeds: bool = False,
    ) -> list[str]:
        """Return those engines that don't answer; put them out of choice.

        Parameters
        ----------
        doubted
            Whether all are asked, whatever they have shown: their path has just broken.
        speeds
            Whether engines that live are asked too if their speed isn't known.
        """
        now_s = time.monotonic()
        asked = [
            engine_id
            for engine_id in engine_ids
            if ask_all
            or (speeds and now_s - self._reported_s(engine_id) > SLOWNESS_LIFE_S)
            or now_s - self.last_alive_s(engine_id) > PROOF_LIFE_S
        ]
        reports = await asyncio.gather(*(self.ask(each) for each in asked))
        return [
            engine_id
            for engine_id, report in zip(asked, reports, strict=True)
            if report is None
        ]

    def _reported_s(self, engine_id: str) -> float:
        return self._table.speeds.last_report_s(engine_id)

    async def ask(
        self, engine_id: str, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> EngineReport | None:
        """Return an engine's report, None if it doesn't answer as expected.

        Parameters
        ----------
        timeout_s
            Wait for the answer; longer where no stream waits for it.
        """
        target = self._table.by_id.get(engine_id)
        if target is None:
            return None
        asked = self._asked_by_id.get(engine_id)
        if asked is None:
            asked = asyncio.ensure_future(self._ask(target, timeout_s))
            self._asked_by_id[engine_id] = asked
            asked.add_done_callback(lambda _: self._asked_by_id.pop(engine_id, None))
        return await asyncio.shield(asked)

    async def _ask(self, target: Target, timeout_s: float) -> EngineReport | None:
        late = False
        for _ in range(MOST_QUESTIONS):
            begun_s = time.monotonic()
            try:
                report = await self._question(target, timeout_s)
            except TimeoutError as error:
                waited_s = time.monotonic() - begun_s
                late = waited_s >= timeout_s + BACKLOG_S + LATE_S
                self._counters.add("engines.asked_late", int(late))
                if not late and self._heard_s > begun_s:
                    return self._judge(target, None, repr(error))
            except (NotSentError, LostError) as error:
                ended = isinstance(error, PortClosedError)
                return self._judge(target, None, repr(error), ended=ended)
            else:
                return self._judge(target, report, "no report")
        if not late:
            return self._judge(target, None, "silent, like all others")
        self._log.info("engine_not_judged", engine=target.id, questions=MOST_QUESTIONS)
        return None

    async def _question(self, target: Target, timeout_s: float) -> EngineReport | None:
        """Ask once; an answer that is there when the time is up still counts."""
        self._counters.add("engines.asked")
        exchange = asyncio.ensure_future(self._exchange(target))
        try:
            for wait_s in (timeout_s, BACKLOG_S):
                await asyncio.wait({exchange}, timeout=wait_s)
                if exchange.done():
                    return exchange.result()
        finally:
            exchange.cancel()
        raise TimeoutError

    async def _exchange(self, target: Target) -> EngineReport | None:
        reply = await self._connections.send(
            target.address, self._dialect.build_report_request()
        )
        try:
            body = await reply.read_all(MOST_REPORT_BYTES)
        finally:
            reply.drop()
        return self._dialect.read_report(body) if reply.status == 200 else None

    def _judge(
        self,
        target: Target,
        report: EngineReport | None,
        reason: str,
        *,
        ended: bool = False,
    ) -> EngineReport | None:
        now_s = time.monotonic()
        if report is not None and target.born_ms not in {None, report.born_ms}:
            report, reason, ended = None, "it has restarted", True
        if report is None:
            self.mark_down(target.id, reason, ended=ended)
            return None
        self._heard_s = self._proved_s_by_id[target.id] = now_s
        health = self._table.health(target.id)
        if health.excluded:
            self._log.info("engine_back", engine=target.id, held=health.reason)
            self._table.check_domain_now(target.domain, now_s)
        learnt = ReportedLayers(report.held, report.born_ms, now_s, own=True)
        if self._table.record_layers(target.id, learnt):
            self._log.info("layers_learnt", engine=target.id, held=str(report.held))
        self.record_speed(
            target.id,
            Speed(max(1.0, report.slowness), report.born_ms, now_s, own=True),
        )
        self._table.succeeded(target.id)
        return report

    def record_speed(self, engine_id: str, speed: Speed) -> None:
        """Take what an engine said of its speed, to this instance or to a peer."""
        if self._table.record_speed(engine_id, speed):
            self._log.info(
                "engine_speed", engine=engine_id, slowness=speed.slowness, own=speed.own
            )

    def handle_down_report(
        self, engine_id: str, born_ms: int | None, peer: str
    ) -> None:
        """Take a peer's news that an engine is down.

        It counts where this instance's own streams over the engine are silent too: the
        peer alone may be cut off from it. One that isn't in use is asked if it belongs
        to this instance's domain, as paths seldom leave that; elsewhere it becomes the
        last choice, and is asked when it refuses work.
        """
        target = self._table.by_id.get(engine_id)
        if target is None or target.born_ms != born_ms:
            return
        if self._table.health(engine_id).excluded:
            return
        if not self.uses(engine_id):
            if target.domain == self.domain:
                self.spawn(self.ask(engine_id))
            else:
                self._table.suspect(engine_id, time.monotonic())
        elif self._is_silent(engine_id):
            self.spawn(self._believe(engine_id, born_ms, peer))

    def _is_silent(self, engine_id: str) -> bool:
        return time.monotonic() - self.last_alive_s(engine_id) >= NEWS_SILENCE_S

    async def _believe(self, engine_id: str, born_ms: int | None, peer: str) -> None:
        """Believe a peer's news, unless events of the engine have come meanwhile."""
        await asyncio.sleep(BACKLOG_S)
        target = self._table.by_id.get(engine_id)
        known = target is not None and target.born_ms == born_ms
        if known and self._is_silent(engine_id):
            self.mark_down(engine_id, f"told by {peer}", own=False)

    def mark_down(
        self, engine_id: str, reason: str, *, own: bool = True, ended: bool = False
    ) -> None:
        """Put an engine out of choice and tell the streams that use it.

        Parameters
        ----------
        own
            Whether this instance has found it by asking that engine; peers are told.
        ended
            Whether its process has ended for certain, so that it runs nothing.
        """
        if engine_id not in self._table.by_id:
            return
        if self._table.exclude(engine_id, reason, time.monotonic(), ended=ended):
            self._counters.add("engines.down")
            target = self._table.by_id[engine_id]
            self._log.info(
                "engine_down", engine=engine_id, address=target.address, reason=reason
            )
            self._connections.forget(target.address)
            if own:
                self.tell(target)
            self.on_down(engine_id)
