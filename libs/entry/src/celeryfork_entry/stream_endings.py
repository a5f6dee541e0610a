"""What callers of streams get after the last attempt, and the log lines of ends."""

import time

from attrs import define, field
from celeryfork_admission.retry_after import RetryAfterEstimator

from celeryfork_entry.call import (
    Call,
    CallContext,
    not_run_error,
    outcome_unknown_error,
)
from celeryfork_entry.crash_guard import REFUSAL_CODE, CrashGuard
from celeryfork_entry.path_attempts import (
    EngineFailed,
    Finished,
    Outcome,
    PathBroke,
    PathRefused,
)
from celeryfork_entry.stream_progress import StreamProgress


@define(eq=False)
class StreamEndings:
    """Ends the calls of streams."""

    _context: CallContext
    _guard: CrashGuard
    _retry_after: RetryAfterEstimator = field(factory=RetryAfterEstimator)

    def record_arrival(self) -> None:
        """Record that a call arrived, for the Retry-After of refusals."""
        self._retry_after.record_arrival(time.monotonic())

    async def finish(
        self,
        call: Call,
        outcome: Outcome,
        progress: StreamProgress,
        ended_by: str,
        permit_s: float = 0.0,
        retry_after_s: float | None = None,
    ) -> None:
        """Answer or break off a call after its last attempt, and log its end.

        Parameters
        ----------
        ended_by
            Limit or reason that forbids another attempt.
        permit_s
            Monotonic time at which a limited engine may be first in a path again, 0 if
            one may be first now.
        retry_after_s
            Seconds after which the caller of a refused stream should come back, None to
            compute them from the share of refusals.

        Raises
        ------
        RequestRefusedError
            The caller has no event, and no reply of an engine can be forwarded.
        """
        match outcome:
            case Finished():
                self._context.histograms.record(
                    "streams.longest_pause", progress.max_event_gap_s
                )
                self._context.log_end(
                    call,
                    "answered",
                    status=200,
                    longest_pause_ms=round(progress.max_event_gap_s * 1000),
                )
                return
            case _ if progress.started:
                self._context.log_end(
                    call,
                    "broken_off",
                    ended_by=ended_by,
                    last=progress.last_event,
                    left_ms=round(call.left_s * 1000),
                    begun_on=call.first_engines.engine_ids,
                    avoided=len(call.avoided),
                    **self._context.retry_budget_usage(call),
                )
                self._context.counters.add("streams.broken_off")
                self._context.counters.add(f"streams.broken_off.{ended_by}")
                call.connection.abort()
                return
            case EngineFailed(status, headers, body):
                await call.connection.answer(status, headers, body)
                self._context.log_end(call, "answered", status=status)
                return
            case PathRefused(reason) | PathBroke(reason):
                pass
        if not call.may_have_run and isinstance(outcome, PathRefused):
            now_s = time.monotonic()
            after_s = retry_after_s
            if after_s is None:
                after_s = self._retry_after.record_refusal(now_s)
            after_s = max(after_s, round(permit_s - now_s, 2))
            raise not_run_error(
                "no_path", f"No path accepted the request: {reason}.", after_s
            )
        if ended_by == REFUSAL_CODE:
            raise self._guard.refusal(reason)
        status = 504 if call.left_s <= 0 else 502
        raise outcome_unknown_error(
            status, "path_broke", f"The stream stopped before its end: {reason}."
        )
