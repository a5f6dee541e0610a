"""Which call does what."""

from collections.abc import Callable

from attrs import frozen
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome

from celeryfork_daemon.gateway import TakesConnection
from celeryfork_daemon.http_call import HttpCall, Reply, json_reply
from celeryfork_daemon.refusals import no_such_path

Answer = Reply | TakesConnection


@frozen
class Handlers:
    """What answers each call of docs/API.md."""

    completion: Callable[[HttpCall], Answer]
    chat: Callable[[HttpCall], Answer]
    models: Callable[[HttpCall], Answer]
    ticket: Callable[[HttpCall], Answer]
    service: Callable[[HttpCall, str, str], Answer]
    state: Callable[[HttpCall], Answer]
    healthy: Callable[[], bool]
    ready: Callable[[], bool]


def answer(handlers: Handlers, call: HttpCall) -> Answer:
    """Pass a call to what answers it.

    Raises
    ------
    RequestRefusedError
        There is no such call, or it was refused.
    """
    match call.method, call.path.strip("/").split("/"):
        case "POST", ["v1", "completions"]:
            return handlers.completion(call)
        case "POST", ["v1", "chat", "completions"]:
            return handlers.chat(call)
        case "GET", ["v1", "models"]:
            return handlers.models(call)
        case "POST", ["v1", "tickets"]:
            return handlers.ticket(call)
        case "POST", ["v1", "services", service, kind]:
            return handlers.service(call, service, kind)
        case "GET", ["debug", "state"]:
            return handlers.state(call)
        case "GET" | "HEAD", ["healthz"]:
            return _health(handlers.healthy(), "healthy", "stopped")
        case "GET" | "HEAD", ["readyz"]:
            return _health(handlers.ready(), "ready", "not ready")
    raise no_such_path(call.method, call.path[:200])


def _health(good: bool, yes: str, no: str) -> Reply:
    return json_reply(200 if good else 503, {"status": yes if good else no})


def internal_fault(error: Exception) -> RequestRefusedError:
    """Return what a caller is told of a fault of ours: nobody knows what ran."""
    return RequestRefusedError(
        f"The instance failed: {type(error).__name__}.",
        "report it to the operator with the request id",
        outcome=Outcome.UNKNOWN,
        status=500,
        code="internal",
    )
