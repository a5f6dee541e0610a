"""Streams of services without a model, each run by one target at a time."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from math import inf
from typing import TypeVar

from attrs import define, field

from celeryfork_entry.call import Call, CallContext, read_reply_metadata
from celeryfork_entry.configuration import is_resumable
from celeryfork_entry.crash_guard import CrashGuard
from celeryfork_entry.path_attempts import (
    EngineFailed,
    Finished,
    Outcome,
    PathBroke,
    PathRefused,
)
from celeryfork_entry.plain_calls import (
    BUSY_RETRY_AFTER_S,
    MAX_REPLY_BYTES,
    NO_TARGETS_RETRY_AFTER_S,
    NOT_RUN_STATUSES,
)
from celeryfork_entry.ports import ForwardingOptions
from celeryfork_entry.stream_limits import MAX_FAILURES
from celeryfork_entry.stream_progress import StreamProgress
from celeryfork_entry.stream_replies import EventRelay, read_error_body
from celeryfork_entry.stream_retries import StreamRetries
from celeryfork_entry.stream_runs import StreamRun
from celeryfork_entry.stream_waits import SILENCE_LIMIT_S
from celeryfork_entry.target_http import (
    LostError,
    NotSentError,
    PortClosedError,
    Reply,
)
from celeryfork_entry.target_selector import TargetSelector
from celeryfork_entry.target_waits import has_result, wait_or_leave
from celeryfork_entry.targets import Target

TARGET_POLL_S = 0.02
"""Seconds between two looks for a target of a stream that may have run."""

Result = TypeVar("Result")


@define(eq=False)
class TargetRun(StreamRun):
    """A run of a stream at one target.

    Parameters
    ----------
    kept
        True once the target was silent, and there was no other one or no retry left.
    """

    call: Call
    target: Target
    kept: bool = False


@define(eq=False)
class TargetStreams:
    """Runs streams at targets, and continues them at others.

    Unlike engines, these targets have no reports: a silent one is left only after
    :data:`SILENCE_LIMIT_S`, and one that has ended is found by its closed port.
    """

    _context: CallContext
    _guard: CrashGuard
    _targets: TargetSelector = field(init=False)
    _retries: StreamRetries = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create what chooses the targets, and what retries the streams."""
        self._targets = TargetSelector(self._context)
        self._retries = StreamRetries(self._context, self._guard)

    async def serve(self, call: Call) -> None:
        """Answer a call with a stream of events.

        Raises
        ------
        RequestRefusedError
            The call was refused, or failed before its first event.
        """
        await self._retries.serve(call, self)

    def take_reserved(self, call: Call) -> Target | None:
        """Return None, as only the send of the next run is reserved."""
        return None

    def first_target_id(self, target: Target) -> str:
        """Return the id of a target."""
        return target.id

    def describe(self, target: Target) -> dict[str, object]:
        """Return a target as a field of a log line."""
        return {"target": target.id}

    def first_permit_s(self, call: Call) -> float:
        """Return the monotonic time of the next permit, 0 if none is needed."""
        next_s = self._targets.next_permit_s(call)
        return 0.0 if next_s == inf else next_s

    def retry_after_s(self, call: Call) -> float | None:
        """Return the seconds after which a refused caller should come back."""
        return BUSY_RETRY_AFTER_S if call.sends else NO_TARGETS_RETRY_AFTER_S

    async def choose(self, call: Call, until_s: float | None) -> Target | None:
        """Return a target for the next run, None if there is none.

        A call that may have run waits for one until ``until_s``, as it can't be refused
        any more.
        """
        while True:
            if call.may_have_run:
                target = self._targets.choose_again(call)
            else:
                target = self._targets.choose(call)
            if target is not None:
                return target
            if await self._targets.wait_for_permit(call, until_s):
                continue
            left_s = 0.0 if until_s is None else until_s - time.monotonic()
            if not call.may_have_run or left_s <= 0:
                self._log_no_target(call)
                return None
            with call.waiting("path"):
                await asyncio.sleep(min(left_s, TARGET_POLL_S))

    def _log_no_target(self, call: Call) -> None:
        table = self._context.table
        listed = table.not_leaving(call.service.name)
        self._context.log_event(
            call,
            "no_path",
            targets=len(listed),
            down=sum(table.health(each.id).excluded for each in listed),
            avoided=len(call.avoided),
            without_permit=len(self._context.permits.unavailable(time.monotonic())),
        )

    async def run(
        self, call: Call, target: Target, progress: StreamProgress
    ) -> Outcome:
        """Run a stream at a target, and forward its events to the caller."""
        run = TargetRun(call, target)
        self._context.log_event(
            call, "path_chosen", target=target.id, after=progress.last_event
        )
        with (
            self._targets.sending_to(target),
            self._ramping(run),
            call.waiting("target"),
        ):
            return await self._outcome(run, progress)

    @contextmanager
    def _ramping(self, run: TargetRun) -> Iterator[None]:
        """Count a run for the ramp-up of its target."""
        ramp_up = self._context.ramp_up
        if ramp_up is None:
            yield
            return
        run.ramp_run = ramp_up.begin_plain(run.call.ramp_request, run.target)
        try:
            yield
        finally:
            if run.ramp_run is not None:
                ramp_up.end(run.ramp_run)

    async def _outcome(self, run: TargetRun, progress: StreamProgress) -> Outcome:
        context, call, target = self._context, run.call, run.target
        try:
            return await self._exchange(run, progress)
        except NotSentError as error:
            ended = isinstance(error, PortClosedError)
            context.table.exclude(target.id, "refused", time.monotonic(), ended=ended)
            reason = str(error)
        except (LostError, TimeoutError, ValueError) as error:
            if run.sent:
                return await self._broke(run, error)
            context.table.failed(target.id)
            reason = repr(error)
        call.avoided.add(target.id)
        context.release_send(call)
        return PathRefused(reason)

    async def _exchange(self, run: TargetRun, progress: StreamProgress) -> Outcome:
        context, call, target = self._context, run.call, run.target
        options = ForwardingOptions(
            target,
            call.organisation,
            call.left_s,
            after_event=progress.last_event,
            priority=call.priority,
        )
        request = context.dialect.build_target_request(call.request, options)
        context.permits.record_send(target)
        sending = asyncio.ensure_future(
            context.connections.send(
                target.address,
                request,
                # The peer may close a kept connection while the request is sent.
                fresh=not is_resumable(call.route.kind),
                on_sent=run.mark_sent,
            )
        )
        try:
            reply = await self._wait(run, sending, time.monotonic())
            return await self._relay(run, reply, progress)
        finally:
            # The reply may have arrived in the iteration of the event loop in which the
            # wait was cancelled.
            if has_result(sending):
                sending.result().drop()

    async def _wait(
        self,
        run: TargetRun,
        task: asyncio.Future[Result],
        since_s: float,
        *,
        fruitless: bool = False,
    ) -> Result:
        """Wait for data of a target that has made no progress since a time."""
        return await wait_or_leave(
            task,
            run.call,
            since_s + SILENCE_LIMIT_S,
            partial(self._reserve_other, run),
            fruitless=fruitless,
        )

    def _reserve_other(self, run: TargetRun) -> bool:
        """Reserve a send for the stream of a silent target.

        Returns
        -------
        bool
            False if there is no other target, or no limit allows one. The silent target
            is kept then: it may go on after a pause.
        """
        call, target = run.call, run.target
        if not run.sent:
            return bool(self._targets.others(call, target))
        # Counts towards the limit of targets from now on.
        call.first_engines.record_run(target.id, target.born_ms)
        others = self._targets.others(call, target, again=True)
        if others and self._may_repeat(run) and self._context.reserve_retry(call):
            return True
        if not run.kept:
            run.kept = True
            self._context.counters.add("streams.silent_paths_kept")
            self._context.log_event(
                call,
                "silent_path_kept",
                target=target.id,
                reason="no event",
                other_path=bool(others),
                **self._context.retry_budget_usage(call),
            )
        return False

    def _may_repeat(self, run: TargetRun) -> bool:
        """Return True if no limit of the call forbids another run."""
        return (
            run.call.may_be_resumed
            and run.call.failures + 1 < MAX_FAILURES
            and self._guard.is_allowed(run.call)
        )

    async def _relay(
        self, run: TargetRun, reply: Reply, progress: StreamProgress
    ) -> Outcome:
        context, call, target = self._context, run.call, run.target
        metadata = read_reply_metadata(context, call, target, reply)
        if metadata.not_run:
            await reply.skip_body()
            call.avoided.add(target.id)
            if context.ramp_up is not None:
                context.ramp_up.record_refusal(target.id)
            return PathRefused(f"status {reply.status}", answered=True)
        if reply.status != 200:
            return await self._read_answer(run, reply)
        relay = EventRelay(context, call, reply, progress, (target.id,))
        since_s, fruitless = time.monotonic(), False
        while data := await self._wait(
            run, asyncio.ensure_future(reply.read()), since_s, fruitless=fruitless
        ):
            before_s = run.last_event_s
            await relay.forward(data, partial(self._record_events, run))
            fruitless = run.last_event_s == before_s
            if not fruitless:
                # The time that the caller took to read doesn't count as silence.
                since_s = time.monotonic()
        relay.require_complete()
        await self._require_running(target, reply)
        if run.is_starting:
            self._guard.record_sound(call)
        await relay.end()
        context.table.succeeded(target.id)
        return Finished()

    def _record_events(self, run: TargetRun) -> None:
        was_starting = run.is_starting
        run.record_events(time.monotonic())
        ramp_up = self._context.ramp_up
        if ramp_up is not None and run.ramp_run is not None:
            ramp_up.record_answer(run.ramp_run)
        if was_starting and not run.is_starting:
            self._guard.record_sound(run.call)

    async def _require_running(self, target: Target, reply: Reply) -> None:
        """Raise an error if the end of a reply may be that of its target.

        The kernel closes the connections of a killed process like that of a whole
        reply.

        Raises
        ------
        LostError
        """
        if reply.ended_with_connection and await self._guard.has_ended(target):
            raise LostError("the target ended with its reply")

    async def _read_answer(self, run: TargetRun, reply: Reply) -> Outcome:
        """Return the outcome of a run whose reply is no stream."""
        context, call, target = self._context, run.call, run.target
        body = await read_error_body(call, reply, MAX_REPLY_BYTES)
        await self._require_running(target, reply)
        if reply.status in NOT_RUN_STATUSES:
            raise LostError(
                f"status {reply.status} without the header that the request was not run"
            )
        self._guard.record_sound(call)
        call.failed_on.add(target.id)
        headers = context.dialect.reply_headers(reply.headers)
        if reply.status >= 500:
            self._record_failed_run(run)
            return EngineFailed(reply.status, headers, body)
        self._record_run(run)
        context.table.succeeded(target.id)
        if context.ramp_up is not None and run.ramp_run is not None:
            context.ramp_up.record_answer(run.ramp_run)
        return EngineFailed(reply.status, headers, body, may_retry=False)

    async def _broke(self, run: TargetRun, error: Exception) -> PathBroke:
        """Return the outcome of a run that broke off, or whose target is left."""
        call, target = run.call, run.target
        self._record_failed_run(run)
        # A silent target may go on after a pause.
        ended = not isinstance(error, TimeoutError) and await self._guard.has_ended(
            target
        )
        if ended:
            now_s = time.monotonic()
            self._context.table.exclude(target.id, "ended", now_s, ended=True)
            if run.is_starting:
                self._guard.record_crash(call, target.id)
            if not call.was_sound or run.begun:
                call.first_engines.record_loss(run.writing_s)
        reason = f"{error!r}; down: {target.id if ended else 'none'}"
        return PathBroke(reason, begun=run.begun)

    def _record_run(self, run: TargetRun) -> None:
        """Record that a target has run the call, or may have."""
        run.call.first_engines.record_run(run.target.id, run.target.born_ms)
        run.call.may_have_run = True
        run.call.avoided.add(run.target.id)

    def _record_failed_run(self, run: TargetRun) -> None:
        """Count a failure of a target that may have run the call."""
        self._record_run(run)
        run.call.failures += 1
        self._context.table.failed(run.target.id)
        ramp_up = self._context.ramp_up
        if ramp_up is not None and run.ramp_run is not None:
            ramp_up.record_failure(run.ramp_run, [run.target.id])
