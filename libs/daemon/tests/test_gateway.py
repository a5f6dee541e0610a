"""What callers get of replies, over real sockets."""

import contextlib
import http.client
import threading

import pytest
from celeryfork_base.clock import SystemClock
from celeryfork_daemon.gateway import GatewayPort, make_http_server
from celeryfork_daemon.http_call import Reply


@pytest.fixture
def ask():
    """Return a function that asks a server for a reply with a status."""

    def handle(call):
        return Reply(int(call.path[1:]), "text/plain", b"whole", {"X-Outcome": "done"})

    port = GatewayPort(handle, lambda: 1_000, lambda: False)
    server = make_http_server("127.0.0.1", 0, 2, port, SystemClock())
    server.error_log = lambda *_, **__: None
    server.prepare()
    serving = threading.Thread(target=server.serve, daemon=True)
    serving.start()

    def ask(*statuses):
        """Return status, outcome, length and body of each reply on one connection."""
        host, number = server.bind_addr
        connection = http.client.HTTPConnection(host, number, timeout=5.0)
        answers = []
        with contextlib.closing(connection):
            for status in statuses:
                connection.request("GET", f"/{status}")
                reply = connection.getresponse()
                names = ("X-Outcome", "Content-Length")
                headers = [reply.getheader(each) for each in names]
                answers.append((reply.status, *headers, reply.read()))
        return answers

    yield ask
    server.stop()
    serving.join(5.0)


@pytest.mark.parametrize("status", [200, 226, 299, 418, 451, 499, 500, 599])
def test_a_caller_gets_each_status_of_http(ask, status):
    """A status without a phrase of its own in the library ended the call with 500."""
    assert ask(status) == [(status, "done", "5", b"whole")]


@pytest.mark.parametrize("status", [204, 304])
def test_a_status_without_a_body_has_no_length(ask, status):
    """Its length was named, which RFC 9110 (section 8.6) forbids."""
    assert ask(status, 200) == [
        (status, "done", None, b""),
        (200, "done", "5", b"whole"),
    ]
