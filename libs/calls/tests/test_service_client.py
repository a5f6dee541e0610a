"""Tests of celeryfork_calls.service_client, over real sockets."""

import contextlib
import socket
import threading
import time

import pytest
from celeryfork_calls.service_client import Lost, NotSent, Sent, make_service_client


def trickle(connection):
    """Send a byte every 30 ms until the client closes the connection."""
    with contextlib.suppress(OSError):
        for _ in range(200):
            connection.sendall(b"x")
            time.sleep(0.03)


@pytest.fixture
def send():
    client = make_service_client(max_answer_bytes=10_000)

    def send(address, timeout_s=2.0, fresh=True):
        headers = {"Idempotency-Key": "k"}
        return client.send(address, "book", headers, b"day", timeout_s, fresh=fresh)

    yield send
    client.close()


@pytest.fixture
def closed_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


@pytest.fixture
def scripted_address():
    """Start servers that answer one connection with given parts, then close it.

    A part that is None sends a slow trickle of bytes.
    """
    servers = []

    def start(*parts, reset=False):
        server = socket.create_server(("127.0.0.1", 0))
        servers.append(server)

        def serve():
            connection, _ = server.accept()
            connection.recv(65536)
            for part in parts:
                if part is None:
                    trickle(connection)
                    break
                connection.sendall(part)
            if reset:
                linger = b"\x01\0\0\0\0\0\0\0"
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            connection.close()

        threading.Thread(target=serve, daemon=True).start()
        return f"127.0.0.1:{server.getsockname()[1]}"

    yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize("fresh", [True, False])
def test_a_complete_answer_is_returned(start_service, send, fresh):
    answer = send(start_service().address, fresh=fresh)
    assert answer == Sent(200, "text/plain", b"booked day")


@pytest.mark.parametrize("fresh", [True, False])
def test_a_refused_connection_proves_that_nothing_was_sent(closed_address, send, fresh):
    answer = send(closed_address, fresh=fresh)
    assert isinstance(answer, NotSent)
    assert answer.unreachable


@pytest.mark.parametrize("address", ["127.0.0.1:notaport", "nowhere", ""])
def test_an_invalid_address_proves_that_nothing_was_sent(address, send):
    assert isinstance(send(address), NotSent)


def test_a_deadline_passed_before_sending_proves_that_nothing_was_sent(
    start_service, send
):
    service = start_service()
    assert send(service.address, timeout_s=0.0) == NotSent(
        "the deadline passed before the call was sent"
    )
    assert not service.ran


@pytest.mark.parametrize("fresh", [True, False])
@pytest.mark.parametrize("answer", ["cut", "half", "unmarked"])
def test_an_incomplete_answer_is_lost(start_service, send, answer, fresh):
    service = start_service(answer)
    result = send(service.address, fresh=fresh)
    assert isinstance(result, Lost)
    assert not result.timed_out
    assert sum(service.ran.values()) == 1


@pytest.mark.parametrize("fresh", [True, False])
def test_an_answer_above_the_size_limit_is_lost(start_service, send, fresh):
    result = send(start_service("large").address, fresh=fresh)
    assert isinstance(result, Lost)
    assert result.answer_too_large


@pytest.mark.parametrize("fresh", [True, False])
@pytest.mark.parametrize(
    "status", ["000", "001", "099", "101", "103", "199", "600", "999", "20", "2x0"]
)
def test_an_answer_whose_status_is_outside_http_is_lost(
    scripted_address, send, status, fresh
):
    """Statuses of 1xx and from 600 to 999 were taken for those of complete answers."""
    head = b"HTTP/1.1 %s Odd\r\nContent-Length: 6\r\n\r\n" % status.encode()
    result = send(scripted_address(head, b"booked"), fresh=fresh)
    assert isinstance(result, Lost)
    assert result.bad_status
    assert not result.timed_out
    assert status in result.reason


@pytest.mark.parametrize("fresh", [True, False])
@pytest.mark.parametrize("status", [200, 204, 299, 304, 418, 451, 500, 599])
def test_an_unusual_status_of_http_is_returned(scripted_address, send, status, fresh):
    head = b"HTTP/1.1 %d Odd\r\nContent-Length: 0\r\n\r\n" % status
    result = send(scripted_address(head), fresh=fresh)
    assert isinstance(result, Sent)
    assert result.status == status


@pytest.mark.parametrize("fresh", [True, False])
def test_a_connection_that_is_closed_unanswered_has_no_bad_status(
    scripted_address, send, fresh
):
    """The standard library reports it as a status line that is empty."""
    result = send(scripted_address(), fresh=fresh)
    assert isinstance(result, Lost)
    assert not result.bad_status


@pytest.mark.parametrize("fresh", [True, False])
def test_a_missing_answer_is_lost_at_the_deadline(start_service, send, fresh):
    service = start_service()
    service.may_answer.clear()
    result = send(service.address, timeout_s=0.2, fresh=fresh)
    service.may_answer.set()
    assert isinstance(result, Lost)
    assert result.timed_out


@pytest.mark.parametrize(
    "parts",
    [
        (b"garbage\r\n\r\n",),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nboo",),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",),
        (b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nbooked",),
        (),
    ],
)
@pytest.mark.parametrize("reset", [True, False])
def test_a_malformed_or_truncated_answer_is_lost(scripted_address, send, parts, reset):
    assert isinstance(send(scripted_address(*parts, reset=reset)), Lost)


def test_a_chunked_answer_is_complete_after_its_last_chunk(scripted_address, send):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer = send(scripted_address(head, b"6\r\nbooked\r\n0\r\n\r\n"))
    assert answer == Sent(200, "application/octet-stream", b"booked")


def test_draining_and_retry_after_are_read(start_service, send, scripted_address):
    assert send(start_service("draining").address).draining
    head = b"HTTP/1.1 429 Busy\r\nContent-Length: 0\r\nRetry-After: 3\r\n\r\n"
    assert send(scripted_address(head)).retry_after_s == 3.0


def test_fresh_sends_open_new_connections_and_others_share_one(start_service, send):
    service = start_service()
    for fresh in (True, True, False, False):
        send(service.address, fresh=fresh)
    assert service.connections == 3


def test_a_trickling_answer_is_lost_at_the_deadline(scripted_address, send):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"
    started_s = time.monotonic()
    result = send(scripted_address(head, None), timeout_s=0.3)
    assert isinstance(result, Lost)
    assert result.timed_out
    assert time.monotonic() - started_s < 3
