"""Liveness checks of the engines on the path of a silent stream.

A path is the sequence of engines that run the layers of a model. An engine over which
any stream made progress recently isn't asked. Several streams that fall silent together
cause one request to each engine.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping

from attrs import define, field
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.engine_speeds import SLOWNESS_TTL_S, Speed
from celeryfork_entry.ports import Dialect, EngineReport, ReplyMetadata
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.target_http import (
    LostError,
    NotSentError,
    PortClosedError,
    TargetConnections,
)
from celeryfork_entry.targets import Target, TargetTable

ANSWER_TIMEOUT_S = 0.04
"""Timeout in seconds for a report. A live engine answers at once, without waiting for a
free slot. Callers count a gap of 0.2 s between events as late, and a new path takes
about 0.06 s of that."""
LATE_WAKEUP_S = 0.01
"""Seconds by which a wait must overrun for this process to count as starved of
processor time."""
MAX_REPORT_REQUESTS = 3
"""Maximum number of requests until silence is judged. A request is repeated if this
process was starved, or if no engine answered meanwhile, as when this instance's link is
full."""
BACKLOG_S = 0.01
"""Seconds, in addition to the timeout, to process what arrived while this process was
starved, before silence counts."""
DOWN_REPORT_SILENCE_S = 0.04
"""Seconds of silence of an engine in use after which a peer's down report of it is
believed."""
LIVENESS_TTL_S = 0.06
"""Seconds for which an engine counts as alive after its last report, or after progress
of a stream over it."""
SPEED_CHECK_INTERVAL_S = 2.4
"""Age in seconds of an engine's speed report at which this instance asks for another
while streams over the engine are slow. The lead relay of the engine's domain (see
:mod:`celeryfork_entry.roster`) asks sooner, unless that relay has just died."""
MAX_REPORT_BYTES = 1 << 20


@define(eq=False)
class EngineChecks:
    """Asks engines for their reports and updates their health.

    Parameters
    ----------
    domain
        This instance's own domain.
    on_down
        Called with an engine's id when it is excluded.
    on_found_down
        Called with an engine that this instance itself has found to be down.
    is_in_use
        Returns True if a stream of this instance runs over an engine.
    spawn
        Starts a concurrent task.
    on_reply
        Called with an engine and the metadata of its reply.
    """

    _table: TargetTable
    _connections: TargetConnections
    _dialect: Dialect
    _log: Logger
    _counters: Counters
    domain: str = ""
    on_down: Callable[[str], None] = lambda engine_id: None
    on_found_down: Callable[[Target], None] = lambda target: None
    is_in_use: Callable[[str], bool] = lambda engine_id: False
    spawn: Callable[[Awaitable[object]], None] = lambda work: None
    on_reply: Callable[[Target, ReplyMetadata], None] = lambda target, metadata: None
    _alive_s_by_id: dict[str, float] = field(factory=dict)
    _last_answer_s: float = 0.0
    _report_task_by_id: dict[str, asyncio.Task[EngineReport | None]] = field(
        factory=dict
    )

    def record_progress(
        self, engine_ids: Iterable[str], now_s: float, *, slow: bool = False
    ) -> None:
        """Record that a stream over these engines has just made progress.

        Parameters
        ----------
        slow
            True if the stream is slow: the engines' speeds are then asked for at
            intervals.
        """
        self._last_answer_s = now_s
        for engine_id in engine_ids:
            self._alive_s_by_id[engine_id] = now_s
            if slow and now_s - self._reported_s(engine_id) > SPEED_CHECK_INTERVAL_S:
                self._ask_speed(engine_id)

    def _ask_speed(self, engine_id: str) -> None:
        if engine_id not in self._report_task_by_id and engine_id in self._table.by_id:
            self.spawn(self.ask(engine_id))

    def last_alive_s(self, engine_id: str) -> float:
        """Return the monotonic time of an engine's last report or progress, 0 for none.

        Progress is that of any stream of this instance over the engine.
        """
        return self._alive_s_by_id.get(engine_id, 0.0)

    async def find_down(
        self,
        engine_ids: Iterable[str],
        ask_all: bool = False,
        speeds: bool = False,
        last_listed: Mapping[str, Target] | None = None,
    ) -> list[str]:
        """Return the engines that don't answer, and exclude them.

        Parameters
        ----------
        ask_all
            If True, engines that count as alive are asked too: the path has just
            broken.
        speeds
            If True, live engines without a valid speed report are asked too.
        last_listed
            Engines by id that are asked even if they aren't listed any more.
        """
        unlisted = last_listed or {}
        now_s = time.monotonic()
        ids_to_ask = [
            engine_id
            for engine_id in engine_ids
            if ask_all
            or (speeds and now_s - self._reported_s(engine_id) > SLOWNESS_TTL_S)
            or now_s - self.last_alive_s(engine_id) > LIVENESS_TTL_S
        ]
        reports = await asyncio.gather(
            *(self.ask(each, last_listed=unlisted.get(each)) for each in ids_to_ask)
        )
        return [
            engine_id
            for engine_id, report in zip(ids_to_ask, reports, strict=True)
            if report is None
        ]

    def _reported_s(self, engine_id: str) -> float:
        return self._table.speeds.last_report_s(engine_id)

    async def ask(
        self,
        engine_id: str,
        timeout_s: float = ANSWER_TIMEOUT_S,
        last_listed: Target | None = None,
    ) -> EngineReport | None:
        """Return an engine's report, None if it doesn't answer as expected.

        Parameters
        ----------
        timeout_s
            Timeout in seconds for the answer; callers for which no stream waits pass a
            longer one than the default.
        last_listed
            The engine as it was last listed, None to ask it only if it still is.
            Nothing is recorded of an unlisted engine.
        """
        target = self._table.by_id.get(engine_id, last_listed)
        if target is None:
            return None
        task = self._report_task_by_id.get(engine_id)
        if task is None:
            task = asyncio.ensure_future(self._ask(target, timeout_s))
            self._report_task_by_id[engine_id] = task
            task.add_done_callback(
                lambda _: self._report_task_by_id.pop(engine_id, None)
            )
        return await asyncio.shield(task)

    async def _ask(self, target: Target, timeout_s: float) -> EngineReport | None:
        late, lost = False, False
        for _ in range(MAX_REPORT_REQUESTS):
            started_s = time.monotonic()
            try:
                report = await self._request_report(target, timeout_s)
            except TimeoutError as error:
                waited_s = time.monotonic() - started_s
                late = waited_s >= timeout_s + BACKLOG_S + LATE_WAKEUP_S
                self._counters.add("engines.asked_late", int(late))
                if not late and self._last_answer_s > started_s:
                    return self._judge(target, None, repr(error))
            except NotSentError as error:
                ended = isinstance(error, PortClosedError)
                return self._judge(target, None, repr(error), ended=ended)
            except LostError as error:
                if lost:
                    return self._judge(target, None, repr(error))
                # Asked again, as the port of a process that has just ended is closed.
                late, lost = False, True
            else:
                return self._judge(target, report, "no valid report")
        if not late:
            return self._judge(target, None, "no answer from this or any other engine")
        self._log.info(
            "engine_not_judged", engine=target.id, questions=MAX_REPORT_REQUESTS
        )
        return None

    async def _request_report(
        self, target: Target, timeout_s: float
    ) -> EngineReport | None:
        """Ask once; an answer received by the end of the timeout counts.

        A starved process needs ``BACKLOG_S`` more to handle such an answer.
        """
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
            body = await reply.read_all(MAX_REPORT_BYTES)
        finally:
            reply.drop()
        if reply.status != 200:
            return None
        metadata = self._dialect.read_reply(reply.status, reply.headers)
        self.on_reply(target, metadata)
        return self._dialect.read_report(body)

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
        if target.id not in self._table.by_id:
            return report
        self._last_answer_s = self._alive_s_by_id[target.id] = now_s
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
        """Record a speed that an engine reported to this instance or to a peer."""
        if self._table.record_speed(engine_id, speed):
            self._log.info(
                "engine_speed", engine=engine_id, slowness=speed.slowness, own=speed.own
            )

    def handle_down_report(
        self, engine_id: str, born_ms: int | None, peer: str
    ) -> None:
        """Handle a peer's report that an engine is down.

        It is believed if this instance's own streams over the engine are silent too:
        the peer alone may be cut off from it. An engine that isn't in use is asked if
        it is of this instance's domain, since paths seldom leave the domain; an engine
        of another domain becomes a last resort, and is asked when it refuses work.
        """
        target = self._table.by_id.get(engine_id)
        if target is None or target.born_ms != born_ms:
            return
        if self._table.health(engine_id).excluded:
            return
        if not self.is_in_use(engine_id):
            if target.domain == self.domain:
                self.spawn(self.ask(engine_id))
            else:
                self._table.suspect(engine_id, time.monotonic())
        elif self._is_silent(engine_id):
            self.spawn(self._confirm_down_report(engine_id, born_ms, peer))

    def _is_silent(self, engine_id: str) -> bool:
        return time.monotonic() - self.last_alive_s(engine_id) >= DOWN_REPORT_SILENCE_S

    async def _confirm_down_report(
        self, engine_id: str, born_ms: int | None, peer: str
    ) -> None:
        """Exclude the engine, unless events of it have arrived meanwhile."""
        await asyncio.sleep(BACKLOG_S)
        target = self._table.by_id.get(engine_id)
        known = target is not None and target.born_ms == born_ms
        if known and self._is_silent(engine_id):
            self.mark_down(engine_id, f"reported down by {peer}", own=False)

    def mark_down(
        self, engine_id: str, reason: str, *, own: bool = True, ended: bool = False
    ) -> None:
        """Exclude an engine and notify the streams that use it.

        Parameters
        ----------
        own
            True if this instance found it down by asking it; peers are notified then.
        ended
            True if its process has certainly ended, so that it runs nothing.
        """
        if engine_id not in self._table.by_id:
            return
        now_s, health = time.monotonic(), self._table.health(engine_id)
        has_ended = ended and not health.ended
        if health.excluded and now_s < health.held_until_s and not has_ended:
            # Streams that wait for the engine ask more often than it is due.
            return
        newly_down = self._table.exclude(engine_id, reason, now_s, ended=ended)
        if newly_down or has_ended:
            self._counters.add("engines.down", int(newly_down))
            target = self._table.by_id[engine_id]
            self._log.info(
                "engine_down",
                engine=engine_id,
                address=target.address,
                reason=reason,
                ended=ended,
            )
            self._connections.forget(target.address)
            if own:
                self.on_found_down(target)
            self.on_down(engine_id)
