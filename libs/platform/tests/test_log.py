"""Tests of celeryfork_platform.log and, through it, of the HTTP client below it."""

import threading
import time

import pytest
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import (
    AppendUnknownError,
    InputFaultError,
    PlatformUnavailableError,
)
from celeryfork_platform.http import MAX_CONCURRENT_CALLS
from celeryfork_platform.log import LARGEST_RECORD_BYTES, make_log_client
from celeryfork_platform.model import LogRecord, LogSlice

TIMEOUT_S = 0.4
MAX_DURATION_S = 3.0  # far above TIMEOUT_S, since the machine may be busy
EMPTY = b'{"records": [], "first_offset": 0, "next_offset": 0}'


@pytest.fixture
def counters() -> Counters:
    return Counters()


@pytest.fixture
def client(server, counters):
    return make_log_client(server.url, SystemClock(), counters)


def append(client, data: str = "x") -> int:
    return client.append("configuration", data, "n1", TIMEOUT_S)


def read(client, timeout_s: float = TIMEOUT_S) -> LogSlice:
    return client.read("configuration", 0, 10, 0.0, timeout_s)


def test_append_returns_the_offset(server, client) -> None:
    server.answer = server.reply(200, b'{"offset": 17}')
    assert append(client) == 17
    assert b'{"nonce":"n1","data":"x"}' in server.requests[0]


def test_read_returns_the_records(server, client) -> None:
    server.answer = server.reply(
        200,
        b'{"records": [{"offset": 3, "appended_ms": 9, "nonce": "n", "data": "d"}],'
        b' "first_offset": 2, "next_offset": 4}',
    )
    assert read(client) == LogSlice((LogRecord(3, 9, "n", "d"),), 2, 4)


@pytest.mark.parametrize("status", [429, 503])
def test_rejected_append_reports_that_nothing_was_appended(
    server, client, status
) -> None:
    server.answer = server.reply(status, b"", "Retry-After: 7")
    with pytest.raises(PlatformUnavailableError, match="7 s"):
        append(client)


STATUSES_OUTSIDE = ["000", "099", "101", "103", "199", "600", "999"]


@pytest.mark.parametrize("status", STATUSES_OUTSIDE)
def test_a_status_outside_http_is_no_answer(server, client, status) -> None:
    """Such answers ended an outage, or counted as a rejection without effect."""
    server.answer = server.reply(status, b'{"offset": 17}')
    with pytest.raises(AppendUnknownError, match=str(int(status))):
        append(client)
    server.answer = server.reply(status, EMPTY)
    with pytest.raises(PlatformUnavailableError) as raised:
        read(client)
    assert "rejected" not in str(raised.value)
    assert not client.available


@pytest.mark.parametrize("status", [500, 502, 504, 404, 307])
def test_unexpected_status_makes_the_append_unknown(server, client, status) -> None:
    server.answer = server.reply(status, b"", "Location: /elsewhere")
    with pytest.raises(AppendUnknownError, match=str(status)):
        append(client)
    assert len(server.requests) == 1


@pytest.mark.parametrize("body", [b"", b"{}", b'{"offset": "1"}', b"[]", b"\xff"])
def test_malformed_response_makes_the_append_unknown(server, client, body) -> None:
    server.answer = server.reply(200, body)
    with pytest.raises(AppendUnknownError):
        append(client)


@pytest.mark.parametrize("fault", ["hang", "reset", "trickle", "trickle_headers"])
def test_incomplete_response_makes_the_append_unknown(server, client, fault) -> None:
    server.answer = getattr(server, fault)
    with pytest.raises(AppendUnknownError):
        append(client)
    assert len(server.requests) == 1, "an append must not be retried"


@pytest.mark.parametrize("fault", ["hang", "trickle", "trickle_headers"])
def test_slow_response_ends_at_the_timeout(server, client, fault) -> None:
    server.answer = getattr(server, fault)
    started_s = time.monotonic()
    with pytest.raises(PlatformUnavailableError):
        read(client)
    assert time.monotonic() - started_s < MAX_DURATION_S


def test_refused_connection_reports_that_nothing_was_appended(server, client) -> None:
    server.stop()
    with pytest.raises(PlatformUnavailableError):
        append(client)
    assert not client.available


def test_oversized_record_is_rejected(server, client) -> None:
    with pytest.raises(InputFaultError, match="not appended"):
        append(client, "x" * LARGEST_RECORD_BYTES)
    server.answer = server.reply(413, b"")
    with pytest.raises(InputFaultError):
        append(client)
    assert len(server.requests) == 1


def test_calls_fail_fast_while_the_log_is_down(server, client, counters) -> None:
    server.answer = server.hang
    for _ in range(2):
        with pytest.raises(PlatformUnavailableError):
            read(client)
    assert not client.available
    requests_before = len(server.requests)
    failed_calls = 0
    started_s = time.monotonic()
    while time.monotonic() - started_s < 0.5:
        with pytest.raises(PlatformUnavailableError):
            read(client, timeout_s=0.05)
        failed_calls += 1
    probes = len(server.requests) - requests_before
    assert failed_calls > 20 * max(probes, 1)
    assert counters.count("platform.log.outages") == 1


def test_client_recovers_after_an_outage(server, client) -> None:
    server.answer = server.hang
    for _ in range(2):
        with pytest.raises(PlatformUnavailableError):
            read(client, timeout_s=0.05)
    server.answer = server.reply(200, EMPTY)
    deadline_s = time.monotonic() + 10
    while not client.available and time.monotonic() < deadline_s:
        try:
            client.read("configuration", 0, 10, 5.0, 6.0)
        except PlatformUnavailableError:
            time.sleep(0.01)
    assert client.available
    assert b"wait_ms=0 " in server.requests[-1], "a probe must not long-poll"


def test_concurrent_calls_to_an_unresponsive_log_are_bounded(server, client) -> None:
    server.answer = server.hang
    errors: list[Exception] = []

    def call() -> None:
        try:
            read(client)
        except PlatformUnavailableError as error:
            errors.append(error)

    threads = [threading.Thread(target=call) for _ in range(60)]
    started_s = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(MAX_DURATION_S)
    assert len(errors) == 60
    assert time.monotonic() - started_s < MAX_DURATION_S
    assert len(server.requests) <= MAX_CONCURRENT_CALLS + 2


def test_malformed_read_response_is_counted(server, client, counters) -> None:
    server.answer = server.reply(200, b'{"records": [{"offset": 1}]}')
    with pytest.raises(PlatformUnavailableError, match="log_url"):
        read(client)
    assert counters.count("platform.log.malformed_answers") == 1
