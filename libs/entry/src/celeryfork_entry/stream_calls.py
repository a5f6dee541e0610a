"""Streams over paths of engines, continued over other paths when engines fail."""

import asyncio
import time
from functools import partial
from typing import TypeVar

from attrs import define, field
from celeryfork_routing.engine_loads import EngineLoads, LayerPath

from celeryfork_entry.attempt_registry import AttemptRegistry
from celeryfork_entry.call import Call, CallContext, read_reply_metadata
from celeryfork_entry.crash_guard import CrashGuard
from celeryfork_entry.detours import Detours
from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.leaving_checks import LeavingChecks
from celeryfork_entry.path_attempts import (
    EngineFailed,
    Finished,
    Outcome,
    PathAttempt,
    PathBroke,
    PathRefused,
)
from celeryfork_entry.path_selector import (
    SEARCH_INTERVAL_S,
    PathSelector,
    expected_answer_tokens,
)
from celeryfork_entry.plain_calls import NOT_RUN_STATUSES
from celeryfork_entry.ports import ForwardingOptions
from celeryfork_entry.reachability_checks import ReachabilityChecks
from celeryfork_entry.stream_limits import (
    MAX_FAILURES,
)
from celeryfork_entry.stream_progress import EventGaps, StreamProgress
from celeryfork_entry.stream_replies import EventRelay, read_error_body
from celeryfork_entry.stream_retries import StreamRetries
from celeryfork_entry.stream_waits import (
    PathLeftError,
    wait_with_checks,
)
from celeryfork_entry.target_http import (
    LostError,
    NotSentError,
    PortClosedError,
    Reply,
)
from celeryfork_entry.target_waits import has_result
from celeryfork_entry.targets import Target

FIRST_EVENT_CHECK_DELAY_S = 0.2
"""Seconds without a first event after which the engines of the path are checked."""
MAX_ERROR_BYTES = 1 << 20
"""Maximum size of the body of an error reply."""
LOAN_WAIT_S = 1.0
"""Seconds for which the stream of a silent path waits for a retry of other instances
before it asks again."""
LAYERS_MISSING_STATUS = 421
"""Status of an engine that doesn't hold the layers that the path assigns to it."""
ANSWER_RESERVE_FACTOR = 1.0
"""Memory reserved for an answer, as a fraction of its expected length.

An answer fills memory only as it grows, but at any time the answers in flight are
longer than the average answer.
"""


Result = TypeVar("Result")


@define(eq=False)
class StreamCalls:
    """Runs streams over engines and forwards their events to callers.

    Parameters
    ----------
    kept
        Attempts on silent paths that have found no other path.
    """

    _context: CallContext
    _checks: EngineChecks
    _leaving: LeavingChecks
    _loads: EngineLoads
    _reachability: ReachabilityChecks
    _selector: PathSelector
    _detours: Detours
    _guard: CrashGuard
    _attempts: AttemptRegistry = field(init=False)
    _retries: StreamRetries = field(init=False)
    _kept: set[PathAttempt] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the registry of attempts, and what retries the streams."""
        self._attempts = AttemptRegistry(self._loads)
        self._retries = StreamRetries(self._context, self._guard)

    def uses(self, engine_id: str) -> bool:
        """Return True if any stream currently runs over an engine."""
        return bool(self._attempts.on_engine(engine_id))

    def engine_down(self, engine_id: str) -> None:
        """Reroute, doubt or interrupt the streams of an engine excluded as down."""
        self._reachability.engine_down(engine_id)
        for attempt in list(self._attempts.on_engine(engine_id)):
            if attempt.path.parts[0].engine_id == engine_id:
                self._doubt(attempt, [engine_id])
            elif attempt.detour is None or attempt.detour.done():
                attempt.detour = asyncio.ensure_future(self._reroute(attempt))
                self._checks.spawn(attempt.detour)

    async def _reroute(self, attempt: PathAttempt) -> None:
        """Reroute a stream around lost engines; doubt its path if that fails."""
        while down := self._unavailable_engines(attempt.path):
            detour = await self._detours.reroute(attempt.call, attempt.path)
            if detour is None:
                self._doubt(attempt, down)
                return
            self._attempts.remove(attempt)
            attempt.path = detour
            attempt.targets_by_id = self._listed(detour)
            self._attempts.add(attempt)

    def _doubt(self, attempt: PathAttempt, down: list[str]) -> None:
        """Interrupt an attempt if an engine has ended, else doubt its path.

        Engines that don't respond may go on after a pause.
        """
        reason = f"engine {down[0]} is down"
        if not attempt.sent or any(self._has_ended(each) for each in down):
            attempt.interrupt(reason)
        elif not attempt.doubt:
            attempt.record_doubt(reason)

    def _reserve_other_path(self, attempt: PathAttempt) -> bool:
        """Reserve another path and a send for the stream of a silent path.

        Returns
        -------
        bool
            False if there is none, or no repeat is left. The path is kept then.
        """
        call, now_s = attempt.call, time.monotonic()
        if now_s < attempt.next_search_s or not self._may_repeat(attempt):
            return False
        first = self._record_run(call, attempt.path)
        if not self._unavailable_engines(attempt.path):
            call.avoided.add(first)
        path = self._selector.find_other(call, attempt.path)
        if path is not None and self._guard.is_allowed(call):
            if self._context.reserve_retry(call):
                call.reserved_path = path
                return True
            self._borrow_retry(attempt)
        attempt.next_search_s = now_s + SEARCH_INTERVAL_S * len(self._kept)
        if attempt not in self._kept:
            self._kept.add(attempt)
            self._context.counters.add("streams.silent_paths_kept")
            self._context.log_event(
                call,
                "silent_path_kept",
                reason=attempt.doubt or "no event",
                other_path=path is not None,
                **self._context.retry_budget_usage(call),
            )
        return False

    def _borrow_retry(self, attempt: PathAttempt) -> None:
        """Ask other instances for a retry in the background."""
        if attempt.loan is None or attempt.loan.done():
            until_s = time.monotonic() + LOAN_WAIT_S
            attempt.loan = asyncio.ensure_future(
                self._context.loans.wait_for_retry(attempt.call.service.name, until_s)
            )

    def _may_repeat(self, attempt: PathAttempt) -> bool:
        """Return True if no limit of the call forbids another attempt."""
        call = attempt.call
        return (
            call.may_be_resumed
            and call.failures + 1 < MAX_FAILURES
            and call.first_engines.lost + 1 < self._guard.max_lost_engines(call)
        )

    async def serve(self, call: Call) -> None:
        """Answer a call with a stream of events.

        Raises
        ------
        RequestRefusedError
            The call was refused, or failed before its first event.
        """
        await self._retries.serve(call, self)

    def take_reserved(self, call: Call) -> LayerPath | None:
        """Return the path that was reserved for the next run, None for none."""
        path, call.reserved_path = call.reserved_path, None
        return path

    async def choose(self, call: Call, until_s: float | None) -> LayerPath | None:
        """Return a path for the next run, None if there is none."""
        path = await self._selector.choose(call, until_s)
        if path is None:
            self._selector.log_no_path(call)
        return path

    def first_target_id(self, path: LayerPath) -> str:
        """Return the id of the first engine of a path."""
        return path.parts[0].engine_id

    def describe(self, path: LayerPath) -> dict[str, object]:
        """Return a path as a field of a log line."""
        return {"path": path.describe()}

    def first_permit_s(self, call: Call) -> float:
        """Return the time at which a limited engine may be first in a path again."""
        return self._selector.first_permit_s(call)

    def retry_after_s(self, call: Call) -> float | None:
        """Return None: memory is freed as other streams end."""
        return None

    async def run(
        self, call: Call, path: LayerPath, progress: StreamProgress
    ) -> Outcome:
        """Run a stream over a path, and forward its events to the caller."""
        tokens = (
            call.metadata.prompt_tokens
            + expected_answer_tokens(call) * ANSWER_RESERVE_FACTOR
        )
        attempt = PathAttempt(call, path, tokens, targets_by_id=self._listed(path))
        self._attempts.add(attempt)
        if self._context.ramp_up is not None:
            attempt.ramp_run = self._context.ramp_up.begin_path(call.ramp_request, path)
        self._context.log_event(
            call,
            "path_chosen",
            path=path.describe(),
            predicted_ms=round(path.predicted_ms),
            after=progress.last_event,
        )
        with call.waiting("engine"):
            return await self._outcome(attempt, progress)

    async def _outcome(self, attempt: PathAttempt, progress: StreamProgress) -> Outcome:
        """Run an attempt until its end or its interruption."""
        call = attempt.call
        try:
            attempt.task = asyncio.ensure_future(self._run(attempt, progress))
            return await attempt.task
        except asyncio.CancelledError:
            if not attempt.interrupted or call.connection.stream.ended:
                raise
            if progress.complete:
                return Finished()
            if not attempt.sent:
                self._context.release_send(call)
                return PathRefused(attempt.interrupted)
            return await self._give_up(attempt, attempt.interrupted)
        finally:
            for task in (attempt.detour, attempt.loan):
                if task is not None:
                    task.cancel()
            self._kept.discard(attempt)
            self._attempts.remove(attempt)
            if self._context.ramp_up is not None and attempt.ramp_run is not None:
                self._context.ramp_up.end(attempt.ramp_run)

    async def _give_up(self, attempt: PathAttempt, reason: str) -> PathBroke:
        """Return the outcome of an attempt that is given up during its run."""
        if self._guard.may_crash(attempt):
            # A peer's report doesn't tell if an engine has ended.
            first = attempt.path.parts[0].engine_id
            await self._checks.find_down([first], ask_all=True)
        return self._path_broke(attempt, reason)

    async def _run(self, attempt: PathAttempt, progress: StreamProgress) -> Outcome:
        context, call, path = self._context, attempt.call, attempt.path
        first = context.table.by_id.get(path.parts[0].engine_id)
        if first is None:
            context.release_send(call)
            return PathRefused("the first engine of the path is no longer listed")
        options = ForwardingOptions(
            first,
            call.organisation,
            call.left_s,
            path,
            progress.last_event,
            call.priority,
        )
        request = context.dialect.build_target_request(call.request, options)
        attempt.first = first
        context.permits.record_send(first)
        try:
            sending = asyncio.ensure_future(
                context.connections.send(
                    first.address, request, on_sent=attempt.mark_sent
                )
            )
            try:
                reply = await wait_with_checks(
                    self._checks,
                    attempt,
                    sending,
                    FIRST_EVENT_CHECK_DELAY_S,
                    True,
                    self._reserve_other_path,
                )
                return await self._relay(attempt, reply, progress)
            finally:
                # The reply may have arrived in the iteration of the event loop in which
                # the attempt was cancelled.
                if has_result(sending):
                    sending.result().drop()
        except NotSentError as error:
            context.release_send(call)
            # Deferred until this attempt has ended: marking the engine as down would
            # interrupt it, and its send would be released twice.
            loop = asyncio.get_running_loop()
            ended = isinstance(error, PortClosedError)
            loop.call_soon(
                partial(self._checks.mark_down, first.id, str(error), ended=ended)
            )
            return PathRefused(str(error))
        except PathLeftError as error:
            return await self._give_up(attempt, str(error))
        except (LostError, TimeoutError, ValueError) as error:
            await self._checks.find_down(attempt.path.engine_ids, ask_all=True)
            if not attempt.sent:
                context.release_send(call)
                return PathRefused(repr(error))
            return self._path_broke(attempt, repr(error))

    async def _relay(
        self, attempt: PathAttempt, reply: Reply, progress: StreamProgress
    ) -> Outcome:
        call = attempt.call
        read_reply_metadata(self._context, call, attempt.first, reply)
        if reply.status != 200:
            outcome = await self._handle_refusal(call, attempt.path, reply)
            if not isinstance(outcome, PathRefused):
                self._record_ramp_failure(attempt, [attempt.path.parts[0].engine_id])
            return outcome
        relay = EventRelay(
            self._context, call, reply, progress, attempt.path.engine_ids
        )
        gaps = EventGaps()
        replied_s, fruitless = time.monotonic(), False
        while True:
            reading = asyncio.ensure_future(reply.read())
            last_event_s = attempt.last_event_s
            data = await wait_with_checks(
                self._checks,
                attempt,
                reading,
                gaps.check_delay_s if last_event_s else FIRST_EVENT_CHECK_DELAY_S,
                not last_event_s,
                self._reserve_other_path,
                since_s=last_event_s or replied_s,
                fruitless=fruitless,
            )
            if not data:
                break
            await relay.forward(data, partial(self._record_events, attempt, gaps))
            fruitless = attempt.last_event_s == last_event_s
        relay.require_complete()
        await self._require_running(attempt, reply)
        if attempt.is_starting:
            self._guard.record_sound(call)
        await relay.end()
        self._context.table.succeeded(attempt.path.parts[0].engine_id)
        return Finished()

    async def _require_running(self, attempt: PathAttempt, reply: Reply) -> None:
        """Raise an error if the end of a reply may be that of an engine of its path.

        The kernel closes the connections of a killed process like that of a whole
        reply, and a first engine ends the replies that a later one can't go on with.

        Raises
        ------
        LostError
            The first engine has ended, or a later one doesn't respond.
        """
        if reply.is_framed:
            return
        first, *later = attempt.path.engine_ids
        # Engines that have left the target list finish the requests that they have.
        down = await self._checks.find_down(
            [first, *later], ask_all=True, last_listed=attempt.targets_by_id
        )
        ended = self._has_ended(first)
        if first in down and first not in self._context.table.by_id:
            target = attempt.targets_by_id.get(first)
            ended = target is None or await self._guard.has_ended(target)
        if ended or not set(down).isdisjoint(later):
            raise LostError(f"the reply ended with its engines {','.join(down)}")

    def _listed(self, path: LayerPath) -> dict[str, Target]:
        """Return the engines of a path that are listed."""
        by_id = self._context.table.by_id
        return {each: by_id[each] for each in path.engine_ids if each in by_id}

    def _record_events(self, attempt: PathAttempt, gaps: EventGaps) -> None:
        """Record that events have arrived, and what that tells of the engines."""
        now_s = time.monotonic()
        self._kept.discard(attempt)
        self._attempts.end_prefill(attempt)
        was_starting = attempt.is_starting
        attempt.record_events(now_s)
        if self._context.ramp_up is not None and attempt.ramp_run is not None:
            self._context.ramp_up.record_answer(attempt.ramp_run)
        if was_starting and not attempt.is_starting:
            self._guard.record_sound(attempt.call)
        gaps.record_event(now_s)
        self._checks.record_progress(attempt.path.engine_ids, now_s, slow=gaps.is_slow)

    async def _handle_refusal(
        self, call: Call, path: LayerPath, reply: Reply
    ) -> Outcome:
        metadata = self._context.dialect.read_reply(reply.status, reply.headers)
        if metadata.not_run:
            await reply.skip_body()
            self._record_refusal(
                call, path, metadata.at_fault, reply.status == LAYERS_MISSING_STATUS
            )
            reason = f"status {reply.status} at {metadata.at_fault}"
            return PathRefused(reason, answered=True)
        body = await read_error_body(call, reply, MAX_ERROR_BYTES)
        self._record_failed_run(call, path)
        call.avoided.add(path.parts[0].engine_id)
        if reply.status in NOT_RUN_STATUSES:
            return PathBroke(
                f"status {reply.status} without the header that the request was not run"
            )
        call.failed_on.add(path.parts[0].engine_id)
        headers = self._context.dialect.reply_headers(reply.headers)
        return EngineFailed(reply.status, headers, body)

    def _record_refusal(
        self, call: Call, path: LayerPath, address: str | None, lacks_layers: bool
    ) -> None:
        """Record a refusal, and avoid the engine that caused it for this call."""
        part = next((p for p in path.parts if p.address == address), path.parts[0])
        call.avoided.add(part.engine_id)
        if self._context.table.refused(part.engine_id, time.monotonic()):
            self._leaving.check(part.engine_id, call.service.health_path)
        if self._context.ramp_up is not None:
            self._context.ramp_up.record_refusal(part.engine_id)
        self._reachability.refused(part.engine_id, path.parts[0].domain, lacks_layers)

    def _unavailable_engines(self, path: LayerPath) -> list[str]:
        """Return the engines of a path that are unlisted or excluded."""
        return [
            each for each in path.engine_ids if not self._selector.is_available(each)
        ]

    def _has_ended(self, engine_id: str) -> bool:
        """Return True if the process of an engine has certainly ended."""
        table = self._context.table
        return engine_id in table.by_id and table.health(engine_id).ended

    def _path_broke(self, attempt: PathAttempt, reason: str) -> PathBroke:
        call, path = attempt.call, attempt.path
        down = self._unavailable_engines(path)
        self._record_ramp_failure(attempt, down)
        self._record_failed_run(call, path)
        first = path.parts[0].engine_id
        # The first engine runs the request; the others only its layers.
        if attempt.is_starting and self._has_ended(first):
            self._guard.record_crash(call, first)
        # A sound stream doesn't crash engines; MAX_FAILURES limits runs without events.
        if first in down and not (call.was_sound and attempt.prefilling):
            call.first_engines.record_loss(attempt.writing_s)
        if not down:
            call.avoided.add(first)
        reason = f"{reason}; down: {','.join(down) or 'none'}"
        return PathBroke(reason, begun=not attempt.prefilling)

    def _record_ramp_failure(self, attempt: PathAttempt, at_fault: list[str]) -> None:
        if self._context.ramp_up is not None and attempt.ramp_run is not None:
            self._context.ramp_up.record_failure(attempt.ramp_run, at_fault)

    def _record_failed_run(self, call: Call, path: LayerPath) -> None:
        """Count a failure of a path that may have run the call."""
        self._record_run(call, path)
        call.may_have_run = True
        call.failures += 1

    def _record_run(self, call: Call, path: LayerPath) -> str:
        """Record that a path may have run the call; return its first engine."""
        engine_id = path.parts[0].engine_id
        first = self._context.table.by_id.get(engine_id)
        born_ms = first.born_ms if first else None
        call.first_engines.record_run(engine_id, born_ms)
        return engine_id
