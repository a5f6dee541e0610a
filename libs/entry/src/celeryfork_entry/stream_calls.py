"""Streams over paths of engines: one answer, also when engines fail on the way."""

import asyncio
import time
from functools import partial
from typing import TypeVar

from attrs import define, field
from celeryfork_admission.retry_after import RetryAfterEstimator
from celeryfork_routing.engine_loads import EngineLoads, LayerPath

from celeryfork_entry.attempt_ledger import AttemptLedger
from celeryfork_entry.call import Call, CallContext, not_run, unknown
from celeryfork_entry.configuration import Stream
from celeryfork_entry.detours import Detours
from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.events import Event, EventSplitter
from celeryfork_entry.leaving_checks import LeavingChecks
from celeryfork_entry.path_attempts import (
    EngineFailed,
    Finished,
    Outcome,
    PathAttempt,
    PathBroke,
    PathRefused,
)
from celeryfork_entry.path_selector import PathSelector, expected_answer_tokens
from celeryfork_entry.plain_calls import MOST_REPLY_BYTES, PROMISES_NOT_RUN
from celeryfork_entry.ports import ForwardingOptions
from celeryfork_entry.reachability_checks import ReachabilityChecks
from celeryfork_entry.refusal_pauses import refused_pause_s
from celeryfork_entry.stream_bounds import exhausted_by, recovers_until_s
from celeryfork_entry.stream_progress import Pace, Progress
from celeryfork_entry.target_http import (
    LostError,
    NotSentError,
    PortClosedError,
    Reply,
)

FIRST_EVENT_PATIENCE_S = 0.2
"""Silence before the first event after which the path's engines are asked."""
SILENCE_LIMIT_S = 1.2
"""Silence after which a path is left though its engines answer.

Callers leave after 2 s.
"""
LACKS_LAYERS = 421
"""Status of an engine that doesn't hold its part of the path."""
ANSWER_RESERVE = 1.0
"""Room reserved for an answer, as a part of its expected length.

Memory fills as the answer grows; long answers are among those in flight more often.
"""


Got = TypeVar("Got")


@define(eq=False)
class StreamCalls:
    """Carries streams from engines to callers."""

    _parts: CallContext
    _checks: EngineChecks
    _leaving: LeavingChecks
    _loads: EngineLoads
    _reach: ReachabilityChecks
    _choice: PathSelector
    _detours: Detours
    _ledger: AttemptLedger = field(init=False)
    _retry_after_estimator: RetryAfterEstimator = field(factory=RetryAfterEstimator)

    def __attrs_post_init__(self) -> None:
        """Count the attempts in the work in flight."""
        self._ledger = AttemptLedger(self._loads)

    def uses(self, engine_id: str) -> bool:
        """Return whether any stream runs over an engine now."""
        return bool(self._ledger.over(engine_id))

    def engine_down(self, engine_id: str) -> None:
        """Take the streams off an engine that has gone out of choice."""
        self._reach.engine_down(engine_id)
        for attempt in list(self._ledger.over(engine_id)):
            if attempt.path.parts[0].engine_id == engine_id:
                attempt.interrupt(f"engine {engine_id} is down")
            elif attempt.detour is None or attempt.detour.done():
                attempt.detour = asyncio.ensure_future(self._go_around(attempt))
                self._checks.spawn(attempt.detour)

    async def _go_around(self, attempt: PathAttempt) -> None:
        """Lead a stream around lost engines; begin it anew where that fails."""
        while down := self._down(attempt.path):
            detour = await self._detours.take(attempt.call, attempt.path)
            if detour is None:
                attempt.interrupt(f"engine {down[0]} is down")
                return
            self._ledger.leave(attempt)
            attempt.path = detour
            self._ledger.take(attempt)

    async def serve(self, call: Call) -> None:
        """Answer a call for a stream.

        Raises
        ------
        RequestRefusedError
            It was refused, or failed before its first event.
        """
        self._retry_after_estimator.record_arrival(time.monotonic())
        progress = Progress(call.facts.last_event)
        call.first_engines.most = call.route.max_targets
        last: Outcome = PathRefused("no path")
        refusals = 0
        until_s: float | None = None
        while (ended_by := exhausted_by(call)) is None:
            path = await self._choice.choose(call, until_s)
            if path is None:
                self._choice.note_no_path(call)
                ended_by = "no_path"
                break
            if not self._parts.acquire_send(call):
                if await self._parts.wait_for_retry_budget(call, until_s):
                    # The path may be gone by now.
                    continue
                ended_by = "retry_budget"
                break
            last = await self._attempt(call, path, progress)
            if not self._again(call, last, path, progress):
                ended_by = "first_engines" if _resumable(call) else "kind"
                break
            if not isinstance(last, PathRefused):
                refusals, until_s = 0, recovers_until_s(call, begun=progress.begun)
            elif until_s is not None:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    ended_by = "refusals"
                    break
                if last.answered:
                    refusals += 1
                    await asyncio.sleep(min(left_s, refused_pause_s(refusals)))
        await self._finish(call, last, progress, ended_by)

    async def _attempt(
        self, call: Call, path: LayerPath, progress: Progress
    ) -> Outcome:
        tokens = (
            call.facts.prompt_tokens + expected_answer_tokens(call) * ANSWER_RESERVE
        )
        attempt = PathAttempt(call, path, tokens)
        self._ledger.take(attempt)
        self._parts.note(
            call,
            "path_chosen",
            path=path.describe(),
            predicted_ms=round(path.predicted_ms),
            after=progress.last_event,
        )
        try:
            attempt.task = asyncio.ensure_future(self._run(attempt, progress))
            return await attempt.task
        except asyncio.CancelledError:
            if not attempt.interrupted or call.connection.stream.ended:
                raise
            if progress.complete:
                return Finished()
            if not attempt.sent:
                self._parts.release_send(call)
                return PathRefused(attempt.interrupted)
            return self._broke(call, attempt.path, attempt.interrupted)
        finally:
            if attempt.detour is not None:
                attempt.detour.cancel()
            self._ledger.leave(attempt)

    async def _run(self, attempt: PathAttempt, progress: Progress) -> Outcome:
        parts, call, path = self._parts, attempt.call, attempt.path
        first = parts.table.by_id.get(path.parts[0].engine_id)
        if first is None:
            parts.release_send(call)
            return PathRefused("its first engine has left")
        options = ForwardingOptions(
            first,
            call.organisation,
            call.left_s,
            path,
            progress.last_event,
            call.priority,
        )
        request = parts.dialect.build_target_request(call.request, options)
        try:
            sending = asyncio.ensure_future(
                parts.connections.send(
                    first.address, request, on_sent=attempt.note_sent
                )
            )
            try:
                reply = await self._patiently(
                    attempt, sending, FIRST_EVENT_PATIENCE_S, speeds=True
                )
                return await self._relay(attempt, reply, progress)
            finally:
                # Also a reply that came in the turn in which the attempt was ended.
                if _has_result(sending):
                    sending.result().drop()
        except NotSentError as error:
            parts.release_send(call)
            # After this attempt's end, which marking would interrupt as a broken one.
            loop = asyncio.get_running_loop()
            ended = isinstance(error, PortClosedError)
            loop.call_soon(
                partial(self._checks.mark_down, first.id, str(error), ended=ended)
            )
            return PathRefused(str(error))
        except (LostError, TimeoutError, ValueError) as error:
            await self._checks.find_down(attempt.path.engine_ids, ask_all=True)
            if not attempt.sent:
                parts.release_send(call)
                return PathRefused(repr(error))
            return self._broke(call, attempt.path, repr(error))

    async def _relay(
        self, attempt: PathAttempt, reply: Reply, progress: Progress
    ) -> Outcome:
        call = attempt.call
        facts = self._parts.dialect.read_reply(reply.status, reply.headers)
        if facts.request_id not in {None, call.facts.id}:
            raise LostError("the reply belongs to another request")
        if reply.status != 200:
            return await self._refusal(call, attempt.path, reply)
        splitter = EventSplitter()
        pace: Pace | None = None
        event_s = time.monotonic()
        while True:
            reading = asyncio.ensure_future(reply.read())
            patience_s = pace.patience_s if pace else FIRST_EVENT_PATIENCE_S
            data = await self._patiently(
                attempt, reading, patience_s, pace is None, since_s=event_s
            )
            if not data:
                break
            events = splitter.feed(data)
            if events:
                self._ledger.end_prefill(attempt)
                event_s = time.monotonic()
                pace = pace or Pace()
                pace.heard(event_s)
                self._checks.record_progress(
                    attempt.path.engine_ids, time.monotonic(), slow=pace.is_slow
                )
                await self._pass_on(attempt, reply, events, progress)
        if splitter.incomplete or not progress.begun:
            raise LostError("the stream ended within an event")
        progress.complete = True
        await call.connection.end()
        self._parts.table.succeeded(attempt.path.parts[0].engine_id)
        return Finished()

    async def _pass_on(
        self,
        attempt: PathAttempt,
        reply: Reply,
        events: list[Event],
        progress: Progress,
    ) -> None:
        """Send events that the caller doesn't have yet, each once and in order."""
        call, fresh = attempt.call, []
        for event in events:
            if event.number is not None and progress.last_event is not None:
                if event.number <= progress.last_event:
                    continue
                if event.number != progress.last_event + 1:
                    raise LostError(f"event {event.number} after {progress.last_event}")
            if event.number is not None:
                progress.last_event = event.number
            fresh.append(event.data)
        if not fresh:
            return
        data = b"".join(fresh)
        call.failures = 0
        progress.passed(time.monotonic())
        if progress.begun:
            await call.connection.more(data)
            return
        progress.begun = True
        self._parts.note(call, "first_event", sends=call.sends)
        self._parts.table.accepted(attempt.path.engine_ids)
        self._parts.histograms.record(
            "streams.first_event", time.monotonic() - call.request.arrived_s
        )
        headers = self._parts.dialect.reply_headers(reply.headers)
        await call.connection.begin(reply.status, headers, data)

    async def _patiently(
        self,
        attempt: PathAttempt,
        task: asyncio.Future[Got],
        patience_s: float,
        speeds: bool,
        since_s: float | None = None,
    ) -> Got:
        """Wait for ``task``; ask the path's engines when it takes long.

        Parameters
        ----------
        since_s
            When the last whole event came, None to count from now. Bytes that complete
            no event don't end a silence.
        speeds
            Whether they are asked for their speed too, if it isn't known.

        Raises
        ------
        TimeoutError
            The silence is over its limit, or the caller's time is up.
        """
        begun_s = time.monotonic() if since_s is None else since_s
        check: asyncio.Future[list[str]] | None = None
        try:
            while True:
                silent_s = time.monotonic() - begun_s
                left_s = min(SILENCE_LIMIT_S - silent_s, attempt.call.left_s)
                if left_s <= 0:
                    raise TimeoutError(f"silent for {silent_s:.3f} s")
                await asyncio.wait({task}, timeout=min(patience_s, left_s))
                if task.done():
                    return task.result()
                patience_s *= 2
                # Beside the wait: what comes meanwhile is passed on at once.
                if check is None or check.done():
                    check = asyncio.ensure_future(
                        self._checks.find_down(attempt.path.engine_ids, speeds=speeds)
                    )
        finally:
            task.cancel()
            if check is not None:
                check.cancel()

    async def _refusal(self, call: Call, path: LayerPath, reply: Reply) -> Outcome:
        facts = self._parts.dialect.read_reply(reply.status, reply.headers)
        body = await reply.read_all(MOST_REPLY_BYTES)
        if facts.not_run:
            self._blame(call, path, facts.at_fault, reply.status == LACKS_LAYERS)
            reason = f"status {reply.status} at {facts.at_fault}"
            return PathRefused(reason, answered=True)
        self._note_run(call, path)
        call.avoided.add(path.parts[0].engine_id)
        if reply.status in PROMISES_NOT_RUN:
            return PathBroke(f"status {reply.status} without the promise")
        call.failed_on.add(path.parts[0].engine_id)
        headers = self._parts.dialect.reply_headers(reply.headers)
        return EngineFailed(reply.status, headers, body)

    def _blame(
        self, call: Call, path: LayerPath, address: str | None, lacks_layers: bool
    ) -> None:
        """Leave the engine at fault out for this call."""
        part = next((p for p in path.parts if p.address == address), path.parts[0])
        call.avoided.add(part.engine_id)
        if self._parts.table.refused(part.engine_id, time.monotonic()):
            self._leaving.check(part.engine_id, call.service.health_path)
        self._reach.refused(part.engine_id, path.parts[0].domain, lacks_layers)

    def _down(self, path: LayerPath) -> list[str]:
        """Return the engines of a path that are out of choice."""
        return [each for each in path.engine_ids if not self._choice.lives(each)]

    def _broke(self, call: Call, path: LayerPath, reason: str) -> PathBroke:
        down = self._down(path)
        self._note_run(call, path)
        if path.parts[0].engine_id in down:
            call.first_engines.lost += 1
        if not down:
            call.avoided.add(path.parts[0].engine_id)
        return PathBroke(f"{reason}; down: {','.join(down) or 'none'}")

    def _note_run(self, call: Call, path: LayerPath) -> None:
        """Note that a path has run the call, or may have, and gave no good answer."""
        first = self._parts.table.by_id.get(path.parts[0].engine_id)
        born_ms = first.born_ms if first else None
        call.first_engines.begun(path.parts[0].engine_id, born_ms)
        call.may_have_run = True
        call.failures += 1

    def _again(
        self, call: Call, outcome: Outcome, path: LayerPath, progress: Progress
    ) -> bool:
        allowed = call.first_engines.allowed(self._choice.may_run)
        elsewhere = allowed is None or bool(allowed - call.avoided)
        match outcome:
            case Finished():
                return False
            case PathRefused(reason):
                again, event = True, "path_refused"
            case PathBroke(reason):
                again, event = _resumable(call), "path_broke"
            case EngineFailed(status):
                # The engine's failure is an answer to pass on, unless one has begun.
                again = _resumable(call) and (progress.begun or elsewhere)
                event, reason = "engine_failed", f"status {status}"
        self._parts.counters.add(f"streams.{event}")
        self._parts.note(call, event, path=path.describe(), reason=reason, again=again)
        return again

    async def _finish(
        self, call: Call, outcome: Outcome, progress: Progress, ended_by: str
    ) -> None:
        match outcome:
            case Finished():
                self._parts.histograms.record(
                    "streams.longest_pause", progress.max_event_gap_s
                )
                self._parts.note_end(
                    call,
                    "answered",
                    status=200,
                    longest_pause_ms=round(progress.max_event_gap_s * 1000),
                )
                return
            case _ if progress.begun:
                self._parts.note_end(
                    call,
                    "broken_off",
                    ended_by=ended_by,
                    last=progress.last_event,
                    left_ms=round(call.left_s * 1000),
                    begun_on=call.first_engines.known,
                    avoided=len(call.avoided),
                    **self._parts.share_used(call),
                )
                self._parts.counters.add("streams.broken_off")
                self._parts.counters.add(f"streams.broken_off.{ended_by}")
                call.connection.break_off()
                return
            case EngineFailed(status, headers, body):
                await call.connection.answer(status, headers, body)
                self._parts.note_end(call, "answered", status=status)
                return
            case PathRefused(reason) | PathBroke(reason):
                pass
        if not call.may_have_run and isinstance(outcome, PathRefused):
            after_s = self._retry_after_estimator.record_refusal(time.monotonic())
            raise not_run("no_path", f"No path took it: {reason}.", after_s)
        status = 504 if call.left_s <= 0 else 502
        raise unknown(status, "path_broke", f"The path stopped: {reason}.")


def _resumable(call: Call) -> bool:
    """Return whether another engine may go on with the stream."""
    kind = call.route.kind
    return isinstance(kind, Stream) and kind.resumable


def _has_result(task: asyncio.Future[Got]) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None
