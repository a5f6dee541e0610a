"""Calls that aren't streams, each answered by the complete reply of one target.

A call that must run at most once is sent to one target over a new connection. It is
sent to another target only if the first one certainly has not run it.
"""

import asyncio
import time
from collections.abc import Callable
from math import inf

from attrs import define, field, frozen

from celeryfork_entry.call import (
    Call,
    CallContext,
    not_run_error,
    outcome_unknown_error,
    read_reply_metadata,
)
from celeryfork_entry.configuration import AtMostOnce
from celeryfork_entry.crash_guard import CrashGuard
from celeryfork_entry.ports import ForwardingOptions
from celeryfork_entry.refusal_backoff import refusal_backoff_s
from celeryfork_entry.target_http import LostError, NotSentError
from celeryfork_entry.target_ramp_up import RampRun, TargetRampUp
from celeryfork_entry.target_selector import TargetSelector
from celeryfork_entry.target_waits import wait_or_leave
from celeryfork_entry.targets import Target

MAX_SENDS = 4
"""Maximum number of targets tried for a call that none of them has run."""
RETRY_WINDOW_S = 0.5
"""Seconds after a target may have run a call during which the call may wait for targets
that have refused it, or for the retry budget. The caller needs the rest of its time for
a retry of its own."""
FIRST_REPLY_TIMEOUT_S = 0.3
"""Timeout in seconds for a target's reply to an idempotent call if there is another
target and a retry left. Otherwise the reply is awaited: a target that is silent may go
on after a pause."""
MAX_REPLY_BYTES = 16 << 20
"""Maximum size of a reply that is buffered for a caller."""
BUSY_RETRY_AFTER_S = 0.25
"""Retry-After in seconds if the targets tried refused the call, as full ones do."""
NO_TARGETS_RETRY_AFTER_S = 1.0
"""Retry-After in seconds for a service without targets: the usual delay of updates to
the list of targets."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which callers conclude that the request was not run."""


@frozen
class Answered:
    """The target sent a complete reply."""

    status: int
    headers: list[tuple[str, bytes]]
    body: bytes


@frozen
class Refused:
    """The target certainly has not run the call."""

    reason: str


@frozen
class ReplyLost:
    """The target may have run the call, but no complete reply arrived."""

    reason: str


AttemptResult = Answered | Refused | ReplyLost


@define
class _AttemptHistory:
    """Results of the attempts of one call so far.

    Parameters
    ----------
    failure
        Last error reply of a target. The caller gets it if no later attempt brings a
        complete reply.
    refused
        Ids of the targets that have refused the call in this round.
    until_s
        Monotonic time until which the call may wait for a target that has refused it,
        or for the retry budget. None until a target may have run the call: until then
        it doesn't wait.
    rounds
        Number of rounds over the targets so far, which determines the pause before the
        next one.
    """

    failure: Answered | None = None
    refused: set[str] = field(factory=set)
    until_s: float | None = None
    rounds: int = 1

    @property
    def retry_deadline_s(self) -> float | None:
        """Return the monotonic time until which a retry may wait, None for no waiting.

        The wait is for capacity or for the retry budget. A call for which an error
        reply can be forwarded doesn't wait. Untried targets are tried in either case,
        as far as the retry budget allows.
        """
        return self.until_s if self.failure is None else None

    def record(self, call: Call, target: Target, attempt: AttemptResult) -> None:
        """Record an attempt after which another target may be tried."""
        call.avoided.add(target.id)
        match attempt:
            case Refused():
                self.refused.add(target.id)
            case Answered():
                self.failure = attempt
        if self.until_s is None and call.may_have_run:
            self.until_s = time.monotonic() + min(RETRY_WINDOW_S, call.left_s)

    async def wait_for_capacity(self, call: Call) -> bool:
        """Pause, then allow the targets that refused the call to be tried again.

        Returns
        -------
        bool
            False without a pause if no target has refused the call, the time is up, or
            the call must not wait (it has not run, or an error reply can be forwarded).
        """
        until_s = self.retry_deadline_s
        left_s = 0.0 if until_s is None else until_s - time.monotonic()
        if left_s <= 0 or not self.refused:
            return False
        self.rounds += 1
        await asyncio.sleep(min(left_s, refusal_backoff_s(self.rounds)))
        call.avoided -= self.refused
        self.refused.clear()
        return True


@define(eq=False)
class PlainCalls:
    """Sends calls to targets of plain services and retries them within their limits."""

    _context: CallContext
    _guard: CrashGuard
    _targets: TargetSelector = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create what chooses the targets."""
        self._targets = TargetSelector(self._context)

    async def serve(self, call: Call) -> None:
        """Answer a call with the reply of a target.

        Raises
        ------
        RequestRefusedError
            No target sent a reply that can be forwarded.
        """
        try:
            await self._serve(call)
        finally:
            self._guard.end_probe(call)

    async def _serve(self, call: Call) -> None:
        at_most_once = isinstance(call.route.kind, AtMostOnce)
        history = _AttemptHistory()
        last: AttemptResult = Refused("no target")
        while call.left_s > 0 and (call.may_have_run or call.sends < MAX_SENDS):
            if not await self._guard.wait_until_allowed(call, history.until_s):
                break
            target = await self._acquire_target(call, history.until_s)
            if target is None:
                if not await history.wait_for_capacity(call):
                    break
            elif not self._context.acquire_next_send(call):
                self._context.permits.release(target.id)
                if not await self._context.wait_for_retry_budget(
                    call, history.retry_deadline_s
                ):
                    break
            else:
                with call.waiting("target"):
                    last = await self._attempt(call, target, at_most_once)
                if not self._should_retry(call, last, at_most_once):
                    break
                history.record(call, target, last)
        self._context.release_reserved_send(call)
        if history.failure is not None and not isinstance(last, Answered):
            last = history.failure
        await self._finish(call, last)

    async def _acquire_target(self, call: Call, until_s: float | None) -> Target | None:
        """Return a target that the call may be sent to now, None if there is none.

        Parameters
        ----------
        until_s
            Monotonic time until which a call that may have run may wait.
        """
        while True:
            target = self._targets.choose(call)
            if target is None:
                if not await self._targets.wait_for_permit(call, until_s):
                    return None
            elif await self._context.permits.acquire(target.id):
                return target

    async def _attempt(
        self, call: Call, target: Target, at_most_once: bool
    ) -> AttemptResult:
        sent: list[bool] = []
        exchange = asyncio.ensure_future(
            self._exchange(
                call, target, at_most_once, on_sent=lambda: sent.append(True)
            )
        )
        ramp_up, ramp_run = self._context.ramp_up, None
        if ramp_up is not None:
            ramp_run = ramp_up.begin_plain(call.ramp_request, target)
        may_retry = not at_most_once and call.runs + 1 < call.route.max_targets
        try:
            with self._targets.sending_to(target):
                attempt = await wait_or_leave(
                    exchange,
                    call,
                    time.monotonic() + FIRST_REPLY_TIMEOUT_S,
                    lambda: may_retry and self._reserve_other(call, target, bool(sent)),
                )
        except NotSentError as error:
            attempt = Refused(str(error))
            self._context.release_send(call)
            self._context.table.exclude(target.id, "refused", time.monotonic())
        except (LostError, TimeoutError) as error:
            self._context.table.failed(target.id)
            if sent:
                call.runs += 1
                call.may_have_run = True
                attempt = ReplyLost(repr(error))
                if isinstance(error, LostError):
                    await self._guard.record_broken_call(call, target)
            else:
                self._context.release_send(call)
                attempt = Refused(repr(error))
        finally:
            if ramp_up is not None and ramp_run is not None:
                ramp_up.end(ramp_run)
        if ramp_up is not None and ramp_run is not None:
            _record_ramp(ramp_up, ramp_run, target, attempt)
        self._log_attempt(call, target, attempt)
        return attempt

    def _reserve_other(self, call: Call, target: Target, sent: bool) -> bool:
        """Reserve a retry at another target; return False if there is none."""
        others = self._targets.others(call, target)
        return bool(others) and (not sent or self._context.reserve_retry(call))

    async def _exchange(
        self,
        call: Call,
        target: Target,
        at_most_once: bool,
        on_sent: Callable[[], None],
    ) -> AttemptResult:
        context = self._context
        options = ForwardingOptions(
            target, call.organisation, call.left_s, priority=call.priority
        )
        request = context.dialect.build_target_request(call.request, options)
        context.permits.record_send(target)
        reply = await context.connections.send(
            target.address, request, fresh=at_most_once, on_sent=on_sent
        )
        try:
            metadata = read_reply_metadata(context, call, target, reply)
            if reply.header(b"content-encoding") is not None:
                raise LostError(
                    "the reply has a Content-Encoding that was not requested"
                )
            if metadata.not_run:
                await reply.skip_body()
                return Refused(f"status {reply.status}")
            body = await reply.read_all(MAX_REPLY_BYTES)
            if reply.ended_with_connection and await self._guard.has_ended(target):
                raise LostError("the target ended with its reply")
        finally:
            reply.drop()
        call.runs += 1
        call.may_have_run = True
        if reply.status in NOT_RUN_STATUSES:
            return ReplyLost(
                f"status {reply.status} without the header that the call was not run"
            )
        self._guard.record_sound(call)
        if reply.status >= 500:
            context.table.failed(target.id)
        else:
            context.table.succeeded(target.id)
        return Answered(
            reply.status, context.dialect.reply_headers(reply.headers), body
        )

    @staticmethod
    def _should_retry(call: Call, attempt: AttemptResult, at_most_once: bool) -> bool:
        match attempt:
            case Refused():
                return True
            case Answered(status):
                failed = status >= 500
            case ReplyLost():
                failed = True
        return failed and not at_most_once and call.runs < call.route.max_targets

    async def _finish(self, call: Call, attempt: AttemptResult) -> None:
        match attempt:
            case Answered(status, headers, body):
                await call.connection.answer(status, headers, body)
                self._context.histograms.record(
                    "calls.answer", time.monotonic() - call.request.arrived_s
                )
                self._context.log_end(call, "answered", status=status)
            case Refused(reason) if not call.may_have_run:
                after_s = BUSY_RETRY_AFTER_S if call.sends else NO_TARGETS_RETRY_AFTER_S
                if (next_s := self._targets.next_permit_s(call)) < inf:
                    after_s = max(BUSY_RETRY_AFTER_S, next_s - time.monotonic())
                raise not_run_error(
                    "targets_refuse",
                    f"No target accepted the request: {reason}.",
                    after_s,
                )
            case Refused(reason) | ReplyLost(reason):
                status = 504 if call.left_s <= 0 else 502
                raise outcome_unknown_error(
                    status, "reply_lost", f"No complete reply arrived: {reason}."
                )

    def _log_attempt(self, call: Call, target: Target, attempt: AttemptResult) -> None:
        match attempt:
            case Answered():
                return
            case Refused(reason):
                event = "target_refused"
            case ReplyLost(reason):
                event = "reply_lost"
        self._context.counters.add(f"calls.{event}")
        self._context.log_event(call, event, target=target.id, reason=reason)


def _record_ramp(
    ramp_up: TargetRampUp, run: RampRun, target: Target, attempt: AttemptResult
) -> None:
    """Record the result of an attempt for the ramp-up of its target."""
    match attempt:
        case Answered(status) if status < 500:
            ramp_up.record_answer(run)
        case Refused():
            ramp_up.record_refusal(target.id)
        case _:
            ramp_up.record_failure(run, [target.id])
