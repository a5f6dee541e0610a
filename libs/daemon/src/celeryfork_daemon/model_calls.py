"""Model calls: read and admitted on the HTTP thread, served on the event loop."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future
from secrets import token_hex
from socket import socket

from attrs import frozen
from celeryfork_admission.admission import Admission
from celeryfork_admission.admission_queue import AdmissionRequest, Admitted
from celeryfork_admission.poison import PoisonRegistry, fingerprint
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_config.in_force import Configuration
from celeryfork_config.records import Model, Organisation
from celeryfork_streams.caller import CallerConnection, take_over
from celeryfork_streams.errors import CallerGoneError
from celeryfork_streams.formats import Shape
from celeryfork_streams.loop_thread import LoopThread
from celeryfork_streams.policy import StreamPolicy
from celeryfork_streams.requests import GenerateRequest, StreamResult
from celeryfork_streams.serve import answer_error, serve_generate
from celeryfork_streams.streams import StreamRunner

from celeryfork_daemon.callers import Callers
from celeryfork_daemon.deadlines import Deadlines
from celeryfork_daemon.gateway import TakesConnection
from celeryfork_daemon.http_call import HttpCall, priority_of
from celeryfork_daemon.in_flight import InFlight
from celeryfork_daemon.model_call import (
    USUAL_MOST_TOKENS,
    ModelCall,
    estimated_tokens,
    read_chat,
    read_completion,
)
from celeryfork_daemon.refusals import malformed, not_found

STREAM_ID_BYTES = 8


@frozen
class ModelCallParts:
    """What model calls are served with."""

    callers: Callers
    configuration: Callable[[], Configuration]
    stream_policy: Callable[[], StreamPolicy]
    deadlines: Deadlines
    admission: Admission
    poison: PoisonRegistry
    runner: StreamRunner
    loop_thread: LoopThread
    in_flight: InFlight
    clock: Clock
    counters: Counters


@frozen
class _Prepared:
    """A model call that was read and checked."""

    request: GenerateRequest
    shape: Shape
    admission: AdmissionRequest


class _Accepted:
    """A connection, owned by whoever takes it first: its task, or the end of its call.

    A task that is cancelled before its first step never runs.
    """

    def __init__(self, connection: socket) -> None:
        self._connections = [connection]

    def take(self) -> socket | None:
        """Return the connection, None if it was taken; from any thread."""
        try:
            return self._connections.pop()
        except IndexError:
            return None


class ModelCalls:
    """Serves ``/v1/completions`` and ``/v1/chat/completions``."""

    def __init__(self, parts: ModelCallParts) -> None:
        self._parts = parts
        self._served: set[Future[None]] = set()
        self._cut_off = False

    def cancel_all(self) -> None:
        """Cut off the calls that run, and all that still come."""
        self._cut_off = True
        for served in self._served.copy():
            served.cancel()

    def completion(self, call: HttpCall) -> TakesConnection:
        """Answer ``POST /v1/completions`` on the event loop."""
        return self._begin(call, read_completion)

    def chat(self, call: HttpCall) -> TakesConnection:
        """Answer ``POST /v1/chat/completions`` on the event loop."""
        return self._begin(call, read_chat)

    def _begin(
        self, call: HttpCall, read: Callable[[bytes, int], ModelCall]
    ) -> TakesConnection:
        organisation = self._parts.callers.organisation_of(call)
        created_s = self._parts.clock.wall_ms() // 1000
        prepared = self._prepare(call, organisation, read(call.body, created_s))
        self._parts.poison.check(prepared.request.fingerprint)
        return TakesConnection(lambda connection: self._take(connection, prepared))

    def _prepare(
        self, call: HttpCall, organisation: Organisation, asked: ModelCall
    ) -> _Prepared:
        configuration = self._parts.configuration()
        model = configuration.models_by_name.get(asked.model)
        if model is None:
            raise not_found("model", asked.model, "unknown_model")
        _check_size(asked, model)
        max_tokens = asked.max_tokens or min(USUAL_MOST_TOKENS, model.most_tokens)
        deadline_s = self._parts.deadlines.of(call)
        priority = priority_of(call, organisation.priority)
        request = GenerateRequest(
            request_id=call.request_id,
            stream_id=f"{call.request_id}.{token_hex(STREAM_ID_BYTES)}",
            organisation=organisation.name,
            model=model.name,
            prompt=asked.prompt,
            max_tokens=max_tokens,
            priority=priority,
            seed=asked.seed,
            deadline_s=deadline_s,
            fingerprint=fingerprint(
                organisation.name, f"model/{model.name}", call.body
            ),
        )
        admission = AdmissionRequest(
            organisation=organisation.name,
            weight=organisation.weight,
            estimated_tokens=max_tokens + estimated_tokens(asked.prompt),
            priority=priority,
            deadline_s=deadline_s,
            queue=f"model/{model.name}",
        )
        return _Prepared(request, asked.shape, admission)

    def _take(self, connection: socket, prepared: _Prepared) -> None:
        request = prepared.request
        number = self._parts.in_flight.begin(
            request.request_id, request.organisation, prepared.admission.queue
        )
        entered = self._parts.admission.acquire(prepared.admission)
        accepted = _Accepted(connection)
        served = self._parts.loop_thread.submit(
            self._serve(accepted, prepared, entered)
        )
        self._served.add(served)
        served.add_done_callback(lambda _: self._end(served, number, accepted, entered))
        if self._cut_off:
            # It may have come too late for cancel_all to see it.
            served.cancel()

    def _end(
        self,
        served: "Future[None]",
        number: int,
        accepted: _Accepted,
        entered: "Future[Admitted]",
    ) -> None:
        connection = accepted.take()
        if connection is not None:
            connection.close()
            self._give_up(entered)
        self._served.discard(served)
        self._parts.in_flight.end(number)

    async def _serve(
        self,
        accepted: _Accepted,
        prepared: _Prepared,
        entered: "Future[Admitted]",
    ) -> None:
        connection = accepted.take()
        if connection is None:
            return
        try:
            caller = await take_over(
                connection, self._parts.stream_policy(), self._parts.counters
            )
        except BaseException:
            self._give_up(entered)
            raise
        try:
            await self._answer(caller, prepared, entered)
        except BaseException:
            # The loop would keep the connection open, with nobody to answer it.
            caller.abort()
            raise

    async def _answer(
        self,
        caller: CallerConnection,
        prepared: _Prepared,
        entered: "Future[Admitted]",
    ) -> None:
        admitted = await self._wait_for_turn(caller, prepared, entered)
        if admitted is None:
            await caller.close()
            return
        self._parts.counters.timing("admission.wait", admitted.waited_s)
        tokens = 0
        try:
            result = await serve_generate(
                prepared.request, caller, self._parts.runner, prepared.shape
            )
            tokens = result.tokens
            self._count(result)
        finally:
            self._parts.admission.release(admitted, tokens)

    async def _wait_for_turn(
        self,
        caller: CallerConnection,
        prepared: _Prepared,
        entered: "Future[Admitted]",
    ) -> Admitted | None:
        """Wait until the call may start; None if it was refused or the caller left."""
        request_id = prepared.request.request_id
        try:
            with caller.cancels_when_gone():
                return await asyncio.wrap_future(entered)
        except RequestRefusedError as error:
            self._parts.counters.add(f"calls.{error.outcome}")
            answer_error(caller, error, request_id)
        except CallerGoneError:
            self._parts.counters.add("calls.caller_gone_waiting")
            self._give_up(entered)
        except asyncio.CancelledError:
            self._give_up(entered)
            raise
        return None

    def _give_up(self, entered: "Future[Admitted]") -> None:
        """Leave the queue, also when the turn came at the same moment."""
        if entered.cancel():
            return
        entered.add_done_callback(self._leave_unused)

    def _leave_unused(self, entered: "Future[Admitted]") -> None:
        if not entered.cancelled() and entered.exception() is None:
            self._parts.admission.release(entered.result(), 0)

    def _count(self, result: StreamResult) -> None:
        counters = self._parts.counters
        counters.add(f"calls.{result.outcome}")
        counters.add("streams.tokens_passed", result.tokens)


def _check_size(asked: ModelCall, model: Model) -> None:
    if asked.max_tokens is not None and asked.max_tokens > model.most_tokens:
        raise malformed(
            f"`max_tokens` is above {model.most_tokens}.", "ask for a shorter answer"
        )
    if len(asked.prompt) > model.most_prompt_characters:
        raise malformed(
            f"The prompt is longer than {model.most_prompt_characters} characters.",
            "send a shorter prompt",
        )
