"""One whole model call, from the admitted request to the caller's closed socket."""

from math import ceil
from typing import Protocol

from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import OUTCOME_HEADER, REQUEST_ID_HEADER, Outcome
from logbook import Logger
from orjson import dumps

from celeryfork_streams.caller import CallerConnection
from celeryfork_streams.errors import CallerGoneError
from celeryfork_streams.formats import EventFormat, Shape, error_body
from celeryfork_streams.requests import (
    GenerateRequest,
    Sink,
    StreamRefusedError,
    StreamResult,
)

_log = Logger("streams")


class Runner(Protocol):
    """What runs a stream: ``StreamRunner``."""

    async def run(self, request: GenerateRequest, sink: Sink) -> StreamResult:
        """Run one request into ``sink``."""


class EventSink:
    """Passes tokens on to the caller as server-sent events."""

    def __init__(
        self, caller: CallerConnection, form: EventFormat, request_id: str
    ) -> None:
        self._caller = caller
        self._form = form
        self._request_id = request_id
        self.tokens = 0

    async def token(self, text: str) -> None:
        """Write the token's event, and the head before the first."""
        if not self.tokens:
            self._begin()
        self.tokens += 1
        self._caller.write(self._form.token(text))
        if self._caller.full:
            await self._caller.drained()

    async def finished(self, reason: str, tokens: int) -> None:
        """Write the last events."""
        if not self.tokens:
            self._begin()
        self._caller.write(self._form.last(reason, tokens))
        self._caller.flush()

    def hold(self) -> None:
        """Keep events until ``flush``."""
        self._caller.hold()

    def flush(self) -> None:
        """Write the kept events at once."""
        self._caller.flush()

    def _begin(self) -> None:
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            REQUEST_ID_HEADER: self._request_id,
        }
        self._caller.send_head(200, headers)
        self._caller.write(self._form.first())


class WholeSink:
    """Collects tokens and answers with one JSON body."""

    def __init__(
        self, caller: CallerConnection, form: EventFormat, request_id: str
    ) -> None:
        self._caller = caller
        self._form = form
        self._request_id = request_id
        self._texts: list[str] = []

    @property
    def tokens(self) -> int:
        """Tokens taken so far."""
        return len(self._texts)

    async def token(self, text: str) -> None:
        """Keep the token."""
        self._texts.append(text)

    async def finished(self, reason: str, tokens: int) -> None:
        """Write the whole answer."""
        body = self._form.whole("".join(self._texts), reason, tokens)
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: self._request_id,
            OUTCOME_HEADER: Outcome.DONE,
        }
        self._caller.send_answer(200, headers, body)


async def serve_generate(
    request: GenerateRequest,
    caller: CallerConnection,
    runner: Runner,
    shape: Shape,
) -> StreamResult:
    """Run one admitted model call and answer its caller, errors included.

    Never raises for what the caller or an engine did; the connection is closed
    when it returns.

    Returns
    -------
    StreamResult
        ``unknown`` with the code ``caller_gone`` if the caller left before the end.
    """
    form = EventFormat(shape, request.model, request.request_id)
    kind = EventSink if shape.stream else WholeSink
    sink = kind(caller, form, request.request_id)
    try:
        with caller.cancels_when_gone():
            result = await runner.run(request, sink)
    except RequestRefusedError as error:
        answer_error(caller, error, request.request_id, form)
        result = _result_of(error, sink.tokens)
    except CallerGoneError:
        caller.counters.add("streams.callers_gone")
        result = StreamResult(Outcome.UNKNOWN, sink.tokens, 0, code="caller_gone")
    except Exception as error:
        # Whatever it is, the caller is answered and other streams go on.
        caller.counters.add("streams.internal_errors")
        _log.exception("Request {} failed: {!r}", request.request_id, error)
        answer_error(caller, _internal(), request.request_id, form)
        result = StreamResult(Outcome.UNKNOWN, sink.tokens, 0, code="internal")
    finally:
        await caller.close()
    return result


def answer_error(
    caller: CallerConnection,
    error: RequestRefusedError,
    request_id: str,
    form: EventFormat | None = None,
) -> None:
    """Write an error: as the last events of a stream that has begun, else whole."""
    if caller.gone:
        return
    if caller.head_sent and form is not None:
        caller.write(form.error(error))
        return
    headers = {
        "Content-Type": "application/json",
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: str(error.outcome),
    }
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(ceil(error.retry_after_s))
    caller.send_answer(error.status, headers, dumps(error_body(error, request_id)))


def _internal() -> RequestRefusedError:
    return RequestRefusedError(
        "The request broke off inside celeryfork.",
        "send it again, and report the request id to the operators",
        outcome=Outcome.UNKNOWN,
        status=502,
        code="internal",
    )


def _result_of(error: RequestRefusedError, tokens: int) -> StreamResult:
    if isinstance(error, StreamRefusedError):
        return error.result
    return StreamResult(error.outcome, tokens, 0, code=error.code)
