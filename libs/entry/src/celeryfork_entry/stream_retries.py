"""Runs of a stream one after the other, until it ends or a limit forbids another one.

The limits and the retry budget are the same whether a run uses a path of engines or a
single target: a :class:`StreamRunner` tells where a stream can run, and runs it there.
"""

import asyncio
import time
from typing import Protocol, TypeVar

from attrs import define, field

from celeryfork_entry.call import Call, CallContext
from celeryfork_entry.configuration import is_resumable
from celeryfork_entry.crash_guard import REFUSAL_CODE, CrashGuard
from celeryfork_entry.path_attempts import (
    EngineFailed,
    Finished,
    Outcome,
    PathBroke,
    PathRefused,
)
from celeryfork_entry.refusal_backoff import refusal_backoff_s
from celeryfork_entry.stream_endings import StreamEndings
from celeryfork_entry.stream_limits import (
    CAPACITY_WAIT_S,
    exhausted_limit,
    stream_retry_deadline_s,
)
from celeryfork_entry.stream_progress import StreamProgress

Place = TypeVar("Place")


class StreamRunner(Protocol[Place]):
    """Runs streams at places of one kind: paths of engines, or single targets."""

    def take_reserved(self, call: Call) -> Place | None:
        """Return the place that was reserved for the next run, None for none."""

    async def choose(self, call: Call, until_s: float | None) -> Place | None:
        """Return a place for the next run, None if there is none.

        Parameters
        ----------
        until_s
            Monotonic time until which a call that may have run may wait, None for a
            call that has not run.
        """

    def first_target_id(self, place: Place, /) -> str:
        """Return the id of the target that the request is sent to."""

    def describe(self, place: Place, /) -> dict[str, object]:
        """Return a place as fields of a log line."""

    async def run(
        self, call: Call, place: Place, progress: StreamProgress, /
    ) -> Outcome:
        """Run a stream at a place, and forward its events to the caller."""

    def first_permit_s(self, call: Call) -> float:
        """Return the monotonic time of the next permit, 0 if none is needed."""

    def retry_after_s(self, call: Call) -> float | None:
        """Return the seconds after which a refused caller should come back.

        Returns
        -------
        float or None
            None if they follow from the share of streams refused recently.
        """


@define(eq=False)
class StreamRetries:
    """Retries streams within the limits of their routes and the retry budget."""

    _context: CallContext
    _guard: CrashGuard
    _endings: StreamEndings = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create what ends the calls."""
        self._endings = StreamEndings(self._context, self._guard)

    async def serve(self, call: Call, runner: StreamRunner[Place]) -> None:
        """Answer a call with a stream of events.

        Raises
        ------
        RequestRefusedError
            The call was refused, or failed before its first event.
        """
        try:
            await self._serve(call, runner)
        finally:
            self._guard.end_probe(call)

    async def _serve(self, call: Call, runner: StreamRunner[Place]) -> None:
        self._endings.record_arrival()
        resumable = is_resumable(call.route.kind)
        # Another run can't go on after an event of the first one otherwise.
        progress = StreamProgress(call.metadata.last_event if resumable else None)
        call.first_engines.max_engines = call.route.max_targets
        last: Outcome = PathRefused("no path")
        refusals = 0
        until_s: float | None = None
        while (ended_by := self._exhausted_limit(call)) is None:
            place = await self._acquire_place(call, runner, until_s)
            if isinstance(place, str):
                ended_by = place
                break
            call.progress = progress
            last = await runner.run(call, place, progress)
            if not self._should_retry(call, last, runner.describe(place), progress):
                ended_by = "first_engines" if call.may_be_resumed else "kind"
                break
            if not isinstance(last, PathRefused):
                refusals = 0
                until_s = stream_retry_deadline_s(call, started=progress.started)
                await self._back_off(call)
            elif until_s is not None:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    ended_by = "refusals"
                    break
                if last.answered:
                    refusals += 1
                    await asyncio.sleep(min(left_s, refusal_backoff_s(refusals)))
        self._context.release_reserved_send(call)
        permit_s = runner.first_permit_s(call)
        after_s = runner.retry_after_s(call)
        await self._endings.finish(call, last, progress, ended_by, permit_s, after_s)

    def _exhausted_limit(self, call: Call) -> str | None:
        return exhausted_limit(call, self._guard.max_lost_engines(call))

    async def _back_off(self, call: Call) -> None:
        """Wait before the next run if several in a row sent no event.

        Runs that fail at once would reach the limit of failures within milliseconds.
        """
        if self._exhausted_limit(call) is None:
            await asyncio.sleep(min(call.left_s, refusal_backoff_s(call.failures)))

    async def _acquire_place(
        self, call: Call, runner: StreamRunner[Place], until_s: float | None
    ) -> Place | str:
        """Return a place and acquire a send, else return the reason for the end."""
        permits, place_until_s = self._context.permits, until_s
        found: Place | str | None
        while True:
            found = runner.take_reserved(call)
            if found is None:
                found = await self._find_place(call, runner, place_until_s)
            if isinstance(found, str):
                return found
            first = runner.first_target_id(found)
            if not await permits.acquire(first):
                # Another target may be first, or this one after a wait.
                if place_until_s is None:
                    place_until_s = time.monotonic() + min(CAPACITY_WAIT_S, call.left_s)
                elif time.monotonic() >= place_until_s:
                    return "no_permit"
                continue
            if self._context.acquire_next_send(call):
                return found
            permits.release(first)
            # The place may become unavailable during the wait.
            if not await self._context.wait_for_retry_budget(call, until_s):
                return "retry_budget"
            if (ended_by := self._exhausted_limit(call)) is not None:
                return ended_by

    async def _find_place(
        self, call: Call, runner: StreamRunner[Place], until_s: float | None
    ) -> Place | str:
        """Return where a call may be sent, else the reason for its end."""
        while True:
            if not await self._guard.wait_until_allowed(call, until_s):
                return REFUSAL_CODE
            place = await runner.choose(call, until_s)
            if place is None:
                return "no_path"
            if self._guard.is_allowed(call):
                return place
            # A crash was reported during the wait.

    def _should_retry(
        self,
        call: Call,
        outcome: Outcome,
        place: dict[str, object],
        progress: StreamProgress,
    ) -> bool:
        resumable = call.may_be_resumed
        inputs: dict[str, object] = {}
        match outcome:
            case Finished():
                return False
            case PathRefused(reason):
                again, event = True, "path_refused"
            case PathBroke(reason, begun):
                again, event = resumable, "path_broke"
                inputs["begun"] = begun
                inputs["parts"] = call.metadata.shared_parts
            case EngineFailed(status):
                # The error reply can be forwarded unless the caller has events already.
                may_retry = outcome.may_retry and self._may_run_elsewhere(call)
                again = resumable and (progress.started or may_retry)
                event, reason = "engine_failed", f"status {status}"
        self._context.counters.add(f"streams.{event}")
        self._context.log_event(
            call, event, **place, reason=reason, again=again, **inputs
        )
        return again

    def _may_run_elsewhere(self, call: Call) -> bool:
        """Return True if a target that hasn't failed may run the call next."""
        allowed = call.first_engines.allowed(self._context.table.may_still_run)
        return allowed is None or bool(allowed - call.avoided)
