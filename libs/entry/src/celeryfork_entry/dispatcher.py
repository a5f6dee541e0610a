"""Authorises and routes callers' requests.

:class:`StreamCalls` serves streams over the engines of a model, :class:`TargetStreams`
those of services without a model, :class:`PlainCalls` all other requests.
"""

import random
import time
from asyncio import CancelledError

from attrs import define, field
from celeryfork_base.errors import RequestRefusedError

from celeryfork_entry.admission_gate import AdmissionGate
from celeryfork_entry.call import ANSWER_MARGIN_S, Call, CallContext, not_run_error
from celeryfork_entry.caller_http import (
    BadRequestError,
    CallerConnection,
    CallerGoneError,
    CallerRequest,
)
from celeryfork_entry.configuration import (
    Configuration,
    Organisation,
    Route,
    Stream,
    is_resumable,
)
from celeryfork_entry.decision_log import error_location
from celeryfork_entry.plain_calls import PlainCalls
from celeryfork_entry.ports import RequestMetadata
from celeryfork_entry.stream_calls import StreamCalls
from celeryfork_entry.target_streams import TargetStreams

UNCONFIGURED_RETRY_AFTER_S = 0.5
"""Retry-After in seconds while the instance has no configuration yet."""


@define(eq=False)
class Dispatcher:
    """Routes callers' requests and answers those that can't be served."""

    _context: CallContext
    _plain: PlainCalls
    _streams: StreamCalls
    _target_streams: TargetStreams
    _gate: AdmissionGate
    _random: random.Random = field(factory=random.Random)

    async def handle(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Answer one request and log its outcome."""
        metadata: RequestMetadata | None = None
        call: Call | None = None
        try:
            metadata = self._context.dialect.read_request(request)
            call = self._admit(connection, request, metadata)
            await self._serve(call)
        except BadRequestError as error:
            self._log("rejected", metadata, status=error.status, reason=error.message)
            await connection.answer(error.status, (), f"{error.message}\n".encode())
        except RequestRefusedError as error:
            organisation = call.organisation if call else None
            await self._refuse(connection, request, metadata, organisation, error)
        except (CallerGoneError, ConnectionResetError, CancelledError):
            self._caller_left(call, metadata)
            raise
        except Exception as error:
            # Otherwise the caller would get neither an answer nor a refusal.
            await self._fail(connection, call, metadata, error)

    def needs_body(self, head: CallerRequest) -> bool:
        """Return True if a request with this head may be sent to a target."""
        configuration = self._context.configuration()
        if configuration is None:
            return False
        try:
            metadata = self._context.dialect.read_request(head)
            route = _route(configuration, metadata)
            _organisation(configuration, route, metadata)
        except BadRequestError:
            return False
        return True

    def _admit(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        metadata: RequestMetadata,
    ) -> Call:
        configuration = self._context.configuration()
        if configuration is None:
            raise not_run_error(
                "unconfigured",
                "This instance has no configuration yet.",
                UNCONFIGURED_RETRY_AFTER_S,
            )
        route = _route(configuration, metadata)
        organisation = _organisation(configuration, route, metadata)
        if metadata.has_unknown_last_event and is_resumable(route.kind):
            raise BadRequestError(
                400, "Last-Event-Id is not the number of an event: send that number."
            )
        if not request.body_read:
            # The configuration has changed since the head was read.
            raise not_run_error(
                "body_not_read", "The body was not read: send it again.", 0.0
            )
        left_s = route.timeout_s
        if metadata.left_s is not None:
            left_s = min(left_s, metadata.left_s)
        return Call(
            connection=connection,
            request=request,
            metadata=metadata,
            route=route,
            service=configuration.services_by_name[self._pick_service(route)],
            organisation=organisation.name if organisation else None,
            version=configuration.version,
            deadline_s=request.arrived_s + left_s - ANSWER_MARGIN_S,
            priority=_priority(route, organisation),
            stop=self._context.stop,
        )

    def _pick_service(self, route: Route) -> str:
        names = [name for name, _ in route.weight_by_service]
        weights = [weight for _, weight in route.weight_by_service]
        return self._random.choices(names, weights)[0]

    async def _serve(self, call: Call) -> None:
        if call.stop.drained and call.deadline_s > call.stop.answers_end_s:
            raise not_run_error(
                "stopping", "The instance stops: use a new connection.", 0.0
            )
        if call.left_s <= 0:
            raise not_run_error(
                "no_time", "The deadline had passed when the request arrived.", 0.0
            )
        if not isinstance(call.route.kind, Stream):
            await self._plain.serve(call)
        elif call.service.model is None:
            await self._target_streams.serve(call)
        else:
            self._gate.check(call)
            try:
                await self._streams.serve(call)
            finally:
                self._gate.release(call)

    async def _refuse(
        self,
        connection: CallerConnection,
        request: CallerRequest,
        metadata: RequestMetadata | None,
        organisation: str | None,
        error: RequestRefusedError,
    ) -> None:
        self._context.counters.add(f"refused.{error.code}")
        self._log(
            "refused",
            metadata,
            organisation=organisation,
            status=error.status,
            code=error.code,
            reason=error.message,
            retry_after_s=error.retry_after_s,
            held_ms=round((time.monotonic() - request.arrived_s) * 1000),
        )
        headers = []
        if error.retry_after_s is not None:
            headers.append(("Retry-After", f"{error.retry_after_s:g}"))
        await connection.answer(error.status, headers, f"{error}\n".encode())

    async def _fail(
        self,
        connection: CallerConnection,
        call: Call | None,
        metadata: RequestMetadata | None,
        error: Exception,
    ) -> None:
        """Log an unexpected error, and answer the request if that is still possible."""
        status = 502 if call and call.delivered_sends else 500
        self._log(
            "failed",
            metadata,
            status=status if connection.can_answer else None,
            error=repr(error),
            where=error_location(error),
        )
        if connection.can_answer:
            message = b"Internal error: the request's log line has the cause.\n"
            await connection.answer(status, (), message)
        else:
            connection.abort()

    def _caller_left(self, call: Call | None, metadata: RequestMetadata | None) -> None:
        """Log what a caller that left had received, and what its request waited for."""
        if call is None:
            self._log("caller_left", metadata)
            return
        progress = call.progress
        begun = progress is not None and progress.started
        last_s = progress.last_event_s if progress and begun else call.request.arrived_s
        self._count("caller_left")
        if begun:
            self._context.counters.add(f"streams.left_begun.{call.waiting_for}")
        self._context.log_end(
            call,
            "caller_left",
            begun=begun,
            last=progress.last_event if progress else None,
            silent_ms=round((time.monotonic() - last_s) * 1000),
            left_ms=round(call.left_s * 1000),
            waiting_for=call.waiting_for,
        )

    def _log(
        self, event: str, metadata: RequestMetadata | None, **inputs: object
    ) -> None:
        self._count(event)
        known = {"id": metadata.id, "path": metadata.path} if metadata else {}
        self._context.log.info(event, **known, **inputs)

    def _count(self, event: str) -> None:
        self._context.counters.add(f"requests.{event}")


def _priority(route: Route, organisation: Organisation | None) -> int:
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def _route(configuration: Configuration, metadata: RequestMetadata) -> Route:
    route = configuration.route(metadata.host, metadata.path)
    if route is None:
        raise BadRequestError(404, "No route matches this host and path: check both.")
    return route


def _organisation(
    configuration: Configuration, route: Route, metadata: RequestMetadata
) -> Organisation | None:
    known = (
        configuration.organisation_by_key.get(metadata.key) if metadata.key else None
    )
    if known is None and configuration.needs_key and not route.open:
        raise BadRequestError(
            401, "The API key is unknown or missing: send a valid one."
        )
    return known
