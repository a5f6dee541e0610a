"""Between the HTTP server's threads and the entry instance.

The server accepts connections and parses requests. A model call's connection then
moves to the event loop, which answers and closes it; all other calls are answered on
the server's thread.
"""

from collections.abc import Callable
from http import HTTPStatus
from socket import socket

from attrs import frozen
from celeryfork_base.clock import Clock
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import REQUEST_ID_HEADER
from cheroot.errors import MaxSizeExceeded
from cheroot.server import Gateway, HTTPRequest, HTTPServer

from celeryfork_daemon.http_call import (
    HttpCall,
    Reply,
    error_reply,
    read_body,
    request_id_of,
)
from celeryfork_daemon.refusals import body_too_large

SOCKET_TIMEOUT_S = 10
ACCEPT_BACKLOG = 512
MOST_HEADER_BYTES = 64 * 1024
MOST_KEPT_CONNECTIONS = 2000
STATUSES_WITHOUT_BODY = frozenset({204, 304})


@frozen
class GatewayPort:
    """What the gateway needs of the entry instance.

    Parameters
    ----------
    handle
        Answers one call.
    most_body_bytes
        Returns the largest body in force, in bytes.
    closing
        Returns whether kept connections should end, because the instance stops.
    """

    handle: Callable[[HttpCall], "Reply | TakesConnection"]
    most_body_bytes: Callable[[], int]
    closing: Callable[[], bool]


@frozen
class TakesConnection:
    """A call that is answered on the event loop.

    Parameters
    ----------
    take
        Called with the connection's socket, which it owns from then on.
    """

    take: Callable[[socket], None]


class EntryGateway(Gateway):
    """Passes one parsed request on and writes its reply."""

    def __init__(
        self,
        request: HTTPRequest,
        port: GatewayPort,
        clock: Clock,
    ) -> None:
        super().__init__(request)
        self._port = port
        self._clock = clock

    def respond(self) -> None:
        """Answer the request, or hand its connection over."""
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in self.req.inheaders.items()
        }
        request_id = request_id_of(headers, self._clock)
        try:
            result = self._port.handle(self._read_call(headers, request_id))
        except RequestRefusedError as error:
            result = error_reply(error, request_id)
        match result:
            case TakesConnection():
                self._hand_over(result)
            case Reply():
                self._write(result, request_id)

    def _read_call(self, headers: dict[str, str], request_id: str) -> HttpCall:
        most_bytes = self._port.most_body_bytes()
        try:
            body = read_body(self.req.rfile, headers, most_bytes)
        except (RequestRefusedError, MaxSizeExceeded) as error:
            # What is left of the body can't be told from a next request.
            self.req.close_connection = True
            if isinstance(error, RequestRefusedError):
                raise
            raise body_too_large(most_bytes) from None
        return HttpCall(
            method=self.req.method.decode("latin-1"),
            path=self.req.path.decode("latin-1"),
            query=self.req.qs.decode("latin-1"),
            headers=headers,
            body=body,
            request_id=request_id,
            received_s=self._clock.monotonic(),
        )

    def _hand_over(self, result: TakesConnection) -> None:
        connection = self.req.conn
        # Detached, not duplicated: a second descriptor would keep the connection open
        # after the event loop has closed it.
        own_socket = socket(fileno=connection.socket.detach())
        # The server must neither answer nor shut the connection down.
        connection.linger = True
        self.req.close_connection = True
        self.req.sent_headers = True
        result.take(own_socket)

    def _write(self, reply: Reply, request_id: str) -> None:
        request = self.req
        request.status = f"{reply.status} {_reason_phrase(reply.status)}".encode()
        has_body = reply.status not in STATUSES_WITHOUT_BODY
        headers = {
            "Content-Type": reply.content_type,
            REQUEST_ID_HEADER: request_id,
            **reply.headers,
        }
        if has_body:
            headers["Content-Length"] = str(len(reply.body))
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1", "replace"))
            for name, value in headers.items()
        ]
        if self._port.closing():
            request.close_connection = True
        request.ensure_headers_sent()
        if has_body and request.method != b"HEAD":
            request.write(reply.body)


def _reason_phrase(status: int) -> str:
    """Return the phrase of a status, empty for one that the library doesn't know."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""


def make_http_server(
    host: str,
    port: int,
    threads: int,
    gateway_port: GatewayPort,
    clock: Clock,
) -> HTTPServer:
    """Return an HTTP server that has yet to be prepared and served.

    Parameters
    ----------
    threads
        Threads that parse requests and run plain calls.
    gateway_port
        Answers the calls.
    """
    server = HTTPServer(
        (host, port),
        gateway=lambda request: EntryGateway(request, gateway_port, clock),
        minthreads=threads,
        maxthreads=threads,
        server_name="celeryfork",
    )
    server.timeout = SOCKET_TIMEOUT_S
    server.request_queue_size = ACCEPT_BACKLOG
    server.keep_alive_conn_limit = MOST_KEPT_CONNECTIONS
    server.max_request_header_size = MOST_HEADER_BYTES
    return server
