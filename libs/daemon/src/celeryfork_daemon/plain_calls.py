"""Calls of plain services and the minting of tickets, on the HTTP threads."""

import threading
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

from attrs import frozen
from celeryfork_admission.admission import Admission
from celeryfork_admission.admission_queue import AdmissionRequest, Admitted
from celeryfork_base.clock import Clock
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import OUTCOME_HEADER, Outcome
from celeryfork_calls.plain_caller import PlainCall, PlainCaller
from celeryfork_calls.ticket_text import is_ticket
from celeryfork_calls.tickets import TicketManager
from celeryfork_config.in_force import Configuration
from celeryfork_config.records import Organisation
from orjson import JSONDecodeError, loads

from celeryfork_daemon.callers import Callers
from celeryfork_daemon.deadlines import Deadlines
from celeryfork_daemon.http_call import (
    JSON,
    HttpCall,
    Reply,
    json_reply,
    priority_of,
)
from celeryfork_daemon.in_flight import InFlight
from celeryfork_daemon.refusals import (
    malformed,
    not_found,
    too_many_claims,
    too_many_plain_calls,
)

REPLAYED_HEADER = "X-Celeryfork-Replayed"
# Threads that stay free for health checks, dumps and model calls.
RESERVED_THREADS = 4
# Part of the threads for plain calls that may wait on the log at the same time; the
# others serve tickets and calls that may be repeated while the log is slow.
LOG_WAIT_SHARE = 0.75
TOKENS_PER_CALL = 1


@frozen
class PlainCallParts:
    """What plain calls are served with."""

    callers: Callers
    configuration: Callable[[], Configuration]
    deadlines: Deadlines
    admission: Admission
    caller: PlainCaller
    tickets: TicketManager | None
    in_flight: InFlight
    clock: Clock


class PlainCalls:
    """Serves ``/v1/services`` and ``/v1/tickets``.

    Parameters
    ----------
    parts
        What the calls are served with.
    threads
        Threads of the HTTP server, which these calls wait on.
    """

    def __init__(self, parts: PlainCallParts, threads: int) -> None:
        self._parts = parts
        most_calls = max(1, threads - RESERVED_THREADS)
        self._free_threads = threading.BoundedSemaphore(most_calls)
        most_on_log = max(1, int(most_calls * LOG_WAIT_SHARE))
        self._free_for_log = threading.BoundedSemaphore(most_on_log)

    def service(self, call: HttpCall, service: str, kind: str) -> Reply:
        """Answer ``POST /v1/services/{service}/{kind}``."""
        organisation = self._parts.callers.organisation_of(call)
        self._check_known(service, kind)
        asked = self._read(call, organisation, service, kind)
        what = f"service/{service}/{kind}"
        with (
            self._parts.in_flight.call(call.request_id, organisation.name, what),
            self._thread(asked),
            self._turn(call, organisation, asked),
        ):
            result = self._parts.caller.call(asked)
        headers = {OUTCOME_HEADER: str(result.outcome)}
        if result.replayed:
            headers[REPLAYED_HEADER] = "true"
        return Reply(result.status, result.content_type, result.body, headers)

    def ticket(self, call: HttpCall) -> Reply:
        """Answer ``POST /v1/tickets``."""
        organisation = self._parts.callers.organisation_of(call)
        if self._parts.tickets is None:
            raise malformed(
                "This deployment mints no tickets.",
                "use a UUIDv7 as Idempotency-Key, or have ticket_secret set",
                "no_tickets",
            )
        service, kind = _read_ticket_request(call.body)
        self._check_known(service, kind)
        text, ticket = self._parts.tickets.mint(organisation.name, service, kind)
        return json_reply(200, {"ticket": text, "expires_ms": ticket.expires_ms})

    def _check_known(self, service: str, kind: str) -> None:
        found = self._parts.configuration().services_by_name.get(service)
        if found is None:
            raise not_found("service", service, "unknown_service")
        if kind not in found.kinds_by_name:
            raise not_found("kind", kind, "unknown_kind")

    def _read(
        self, call: HttpCall, organisation: Organisation, service: str, kind: str
    ) -> PlainCall:
        return PlainCall(
            request_id=call.request_id,
            organisation=organisation.name,
            service=service,
            kind=kind,
            body=call.body,
            content_type=call.header("Content-Type") or JSON,
            key=call.header("Idempotency-Key"),
            deadline_s=self._parts.deadlines.of(call),
        )

    @contextmanager
    def _thread(self, asked: PlainCall) -> Iterator[None]:
        """Count this thread as taken for as long as the block runs."""
        with ExitStack() as taken:
            if self._waits_on_log(asked):
                if not self._free_for_log.acquire(blocking=False):
                    raise too_many_claims()
                taken.callback(self._free_for_log.release)
            if not self._free_threads.acquire(blocking=False):
                raise too_many_plain_calls()
            taken.callback(self._free_threads.release)
            yield

    def _waits_on_log(self, asked: PlainCall) -> bool:
        """Tell whether a call needs a claim: not to be repeated, and no ticket."""
        service = self._parts.configuration().services_by_name.get(asked.service)
        kind = service.kinds_by_name.get(asked.kind) if service else None
        if kind is None or kind.idempotent or asked.key is None:
            return False
        return not is_ticket(asked.key)

    @contextmanager
    def _turn(
        self, call: HttpCall, organisation: Organisation, asked: PlainCall
    ) -> Iterator[Admitted]:
        """Wait until the call may start, and give its place back afterwards."""
        entered = self._parts.admission.acquire(
            AdmissionRequest(
                organisation=organisation.name,
                weight=organisation.weight,
                estimated_tokens=TOKENS_PER_CALL,
                priority=priority_of(call, organisation.priority),
                deadline_s=asked.deadline_s,
                queue=f"service/{asked.service}",
            )
        )
        wait_s = max(0.0, asked.deadline_s - self._parts.clock.monotonic())
        try:
            admitted = entered.result(timeout=wait_s)
        except TimeoutError:
            if entered.cancel() or entered.exception() is not None:
                raise _deadline_passed() from None
            admitted = entered.result()
        try:
            yield admitted
        finally:
            self._parts.admission.release(admitted, TOKENS_PER_CALL)


def _deadline_passed() -> RequestRefusedError:
    return RequestRefusedError(
        "The deadline passed before the call could start.",
        "send a longer X-Deadline-Ms",
        outcome=Outcome.NOT_RUN,
        status=504,
        code="deadline",
    )


def _read_ticket_request(body: bytes) -> tuple[str, str]:
    try:
        fields = loads(body)
    except JSONDecodeError as error:
        raise malformed(f"The body is no JSON: {error}.", "send an object") from None
    if not isinstance(fields, dict):
        raise malformed("The body is no JSON object.", "send an object")
    service, kind = fields.get("service"), fields.get("kind")
    if not isinstance(service, str) or not isinstance(kind, str):
        raise malformed("`service` or `kind` is missing.", "send both as texts")
    return service, kind
