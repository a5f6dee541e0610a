"""Calls to plain services: one whole reply from one target.

A call that may run once is sent to one target, over a connection of its own; another
target gets it only with proof that the first has not run it.
"""

import asyncio
import random
import time

from attrs import define, field, frozen

from celeryfork_entry.call import Call, CallParts, not_run, unknown
from celeryfork_entry.configuration import RunOnce
from celeryfork_entry.ports import Handover
from celeryfork_entry.refusal_pauses import refused_pause_s
from celeryfork_entry.target_http import LostError, NotSentError
from celeryfork_entry.targets import Target

MOST_SENDS = 4
"""Most targets that get a call, those that refuse it included."""
FIRST_REPLY_S = 0.3
"""Wait for a repeatable call's first target before another is asked."""
MOST_REPLY_BYTES = 16 << 20
"""Longest reply that is held for a caller."""
OTHER_DOMAIN_WEIGHT = 2.0
"""Requests in flight that a target of another failure domain counts as more loaded."""
FAILING_WEIGHT = 8.0
"""Requests in flight that a target counts as more loaded if all its answers fail."""
BUSY_RETRY_AFTER_S = 0.25
"""When a caller may come back to a service whose targets are full."""
ABSENT_RETRY_AFTER_S = 1.0
"""When a caller may come back to a service without targets; a list's usual lag."""
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that callers take for a promise that the request has not run."""


@frozen
class Answered:
    """The target's whole reply."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@frozen
class Refused:
    """The target has not run the call."""

    reason: str


@frozen
class Vanished:
    """The call may have run, and no whole reply came."""

    reason: str


Attempt = Answered | Refused | Vanished


@define(eq=False)
class PlainCalls:
    """Sends calls to the targets of plain services."""

    _parts: CallParts
    _random: random.Random = field(factory=random.Random)

    async def serve(self, call: Call) -> None:
        """Answer a call.

        Raises
        ------
        RequestRefusedError
            No target gave an answer.
        """
        once = isinstance(call.route.kind, RunOnce)
        last: Attempt = Refused("no target")
        refused: set[str] = set()
        rounds = 1
        while call.left_s > 0 and (call.may_have_run or call.arrivals < MOST_SENDS):
            target = self._choose(call)
            if target is None:
                if not (call.may_have_run and refused):
                    break
                # All that are left have refused it; places get free.
                rounds += 1
                await asyncio.sleep(min(call.left_s, refused_pause_s(rounds)))
                call.avoided -= refused
                refused.clear()
                continue
            if not self._parts.may_send(call):
                until_s = call.ends_s if call.may_have_run else None
                if await self._parts.may_send_later(call, until_s):
                    continue
                break
            last = await self._attempt(call, target, once)
            if not self._again(call, last, once):
                break
            call.avoided.add(target.id)
            if isinstance(last, Refused):
                refused.add(target.id)
        await self._finish(call, last)

    def _choose(self, call: Call) -> Target | None:
        table, service = self._parts.table, call.service.name
        for targets in (table.in_choice(service), table.listed(service)):
            untried = [each for each in targets if each.id not in call.avoided]
            if untried:
                return min(untried, key=self._cost)
        return None

    def _cost(self, target: Target) -> float:
        in_flight = self._parts.table.in_flight_by_id.get(target.id, 0)
        away = 0.0 if target.domain == self._parts.domain else OTHER_DOMAIN_WEIGHT
        failed_share = self._parts.table.standing(target.id).failed_share
        failing = FAILING_WEIGHT * failed_share
        return in_flight + away + failing + self._random.random()

    async def _attempt(self, call: Call, target: Target, once: bool) -> Attempt:
        in_flight = self._parts.table.in_flight_by_id
        in_flight[target.id] = in_flight.get(target.id, 0) + 1
        wait_s = call.left_s
        if not once and call.runs + 1 < call.route.most_targets:
            wait_s = min(wait_s, FIRST_REPLY_S)
        try:
            async with asyncio.timeout(wait_s):
                attempt = await self._exchange(call, target, once)
        except NotSentError as error:
            attempt = Refused(str(error))
            self._parts.not_reached(call)
            self._parts.table.hold(target.id, "refused", time.monotonic())
        except (LostError, TimeoutError) as error:
            call.runs += 1
            call.may_have_run = True
            attempt = Vanished(repr(error))
            self._parts.table.failed(target.id)
        finally:
            in_flight[target.id] -= 1
        self._note(call, target, attempt)
        return attempt

    async def _exchange(self, call: Call, target: Target, once: bool) -> Attempt:
        parts = self._parts
        handover = Handover(
            target, call.organisation, call.left_s, priority=call.priority
        )
        request = parts.dialect.pass_on(call.request, handover)
        reply = await parts.connections.send(target.address, request, fresh=once)
        try:
            facts = parts.dialect.read_reply(reply.status, reply.headers)
            if facts.request_id not in {None, call.facts.id}:
                raise LostError("the reply belongs to another request")
            if reply.header(b"content-encoding") is not None:
                raise LostError("the reply is encoded, which nobody asked for")
            body = await reply.read_all(MOST_REPLY_BYTES)
        finally:
            reply.drop()
        if facts.not_run:
            return Refused(f"status {reply.status}")
        call.runs += 1
        call.may_have_run = True
        if reply.status in PROMISES_NOT_RUN:
            return Vanished(f"status {reply.status} without the promise")
        if reply.status >= 500:
            parts.table.failed(target.id)
        else:
            parts.table.succeeded(target.id)
        return Answered(reply.status, parts.dialect.reply_headers(reply.headers), body)

    @staticmethod
    def _again(call: Call, attempt: Attempt, once: bool) -> bool:
        match attempt:
            case Refused():
                return True
            case Answered(status):
                failed = status >= 500
            case Vanished():
                failed = True
        return failed and not once and call.runs < call.route.most_targets

    async def _finish(self, call: Call, attempt: Attempt) -> None:
        match attempt:
            case Answered(status, headers, body):
                await call.connection.answer(
                    status, headers, body, method=call.request.method
                )
                self._parts.histograms.record(
                    "calls.answer", time.monotonic() - call.request.arrived_s
                )
                self._parts.note_end(call, "answered", status=status)
            case Refused(reason) if not call.may_have_run:
                after_s = BUSY_RETRY_AFTER_S if call.sends else ABSENT_RETRY_AFTER_S
                raise not_run(
                    "targets_refuse", f"No target took it: {reason}.", after_s
                )
            case Refused(reason) | Vanished(reason):
                status = 504 if call.left_s <= 0 else 502
                raise unknown(status, "reply_lost", f"No whole reply: {reason}.")

    def _note(self, call: Call, target: Target, attempt: Attempt) -> None:
        match attempt:
            case Answered():
                return
            case Refused(reason):
                event = "target_refused"
            case Vanished(reason):
                event = "reply_lost"
        self._parts.counters.add(f"calls.{event}")
        self._parts.note(call, event, target=target.id, reason=reason)
