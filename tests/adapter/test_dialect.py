"""Metadata of requests as read from the platform's headers."""

from math import inf

import pytest
from celeryfork_adapter.dialect import (
    MAX_SHARED_PARTS,
    PROMPT_PARTS_HEADER,
    PlatformDialect,
)
from celeryfork_entry.caller_http import CallerRequest
from celeryfork_entry.ports import ForwardingOptions
from celeryfork_entry.targets import Target
from logbook import Logger

DIALECT = PlatformDialect(Logger("test"))


def shared_parts(value):
    headers = (("host", "x"), (PROMPT_PARTS_HEADER, value))
    request = CallerRequest("POST", "/a", headers, b"", 0.0)
    return DIALECT.read_request(request).shared_parts


def test_all_parts_of_a_prompt_but_the_last_are_shared():
    assert shared_parts("5c1e07a2:800, 91bd3f06:410,e4402b7d:250") == (
        "5c1e07a2",
        "91bd3f06",
    )


def test_a_request_without_parts_shares_none():
    request = CallerRequest("POST", "/a", (("host", "x"),), b"", 0.0)
    assert DIALECT.read_request(request).shared_parts == ()


def test_shared_parts_on_several_lines_are_one_list():
    """Only those of the last line were known, and all were sent to engines."""
    lines = [("x-prompt-prefix", "a1:8,b2:4"), ("x-prompt-prefix", "c3:2,d4:1")]
    request = CallerRequest("POST", "/v1", [("host", "a"), *lines], b"", 0.0)
    assert DIALECT.read_request(request).shared_parts == ("a1", "b2", "c3")


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        ("", ()),
        ("a:1", ()),
        (",,a:1", ()),
        ("a:1,a:1,b:2", ("a",)),
        ("a,b,c:x", ("a", "b")),
        (":5,b:2", ()),
    ],
)
def test_malformed_entries_of_a_prompt_are_tolerated(value, parts):
    assert shared_parts(value) == parts


def test_the_number_of_parts_read_is_bounded():
    value = ",".join(f"{n}:1" for n in range(100_000))
    assert len(shared_parts(value)) == MAX_SHARED_PARTS


@pytest.mark.parametrize(
    ("headers", "identity"),
    [((("x-attempt-id", "a\xe9"),), (b"x-attempt-id", b"a\xe9")), ((), None)],
    ids=["with-id", "without-id"],
)
def test_replies_are_told_apart_by_the_id_of_the_request(headers, identity):
    """Without it a repeated refusal of another request would count as the reply."""
    request = CallerRequest("POST", "/a", headers, b"", 0.0)
    options = ForwardingOptions(Target("i-1", "desk", "10.0.0.1:80", "a"), None, 1.0)
    assert DIALECT.build_target_request(request, options).identity == identity


def test_a_target_may_stall_a_request_for_the_time_of_its_call():
    request = CallerRequest("POST", "/a", (), b"", 0.0)
    options = ForwardingOptions(Target("i-1", "desk", "10.0.0.1:80", "a"), None, 7.5)
    assert DIALECT.build_target_request(request, options).stall_timeout_s == 7.5


@pytest.mark.parametrize(
    ("headers", "limit_per_s"),
    [
        ([], inf),
        ([(b"server-limit", b"5.8")], 5.8),
        ([(b"server-limit", b"0")], 0.0),
        ([(b"server-limit", b"nan")], None),
        ([(b"server-limit", b"-1")], None),
        ([(b"server-limit", b"inf")], None),
        ([(b"server-limit", b"\xff")], None),
    ],
)
def test_the_limit_of_an_engine_is_read(headers, limit_per_s):
    """A value that is no limit neither sets nor ends one."""
    assert DIALECT.read_reply(200, headers).limit_per_s == limit_per_s


@pytest.mark.parametrize(
    ("status", "value", "leaving"),
    [
        (200, b"1", True),
        (503, b"1", True),
        (421, b"1", False),
        (200, b"0", False),
        (200, b"\xff", False),
    ],
)
def test_an_engine_says_in_its_answers_that_it_leaves(status, value, leaving):
    """A reply with status 421 may be that of another engine at the address."""
    headers = [(b"server-leaving", value)]
    assert DIALECT.read_reply(status, headers).leaving == leaving
    assert not DIALECT.read_reply(status, []).leaving


def test_a_reply_of_another_engine_tells_no_limit():
    """The address of an engine that has left is used again."""
    headers = [(b"server-limit", b"5.8")]
    assert DIALECT.read_reply(421, headers).limit_per_s is None


def last_event_sent(value, after_event):
    """Return the last event that a target is told of a caller's request."""
    request = CallerRequest("POST", "/a", (("last-event-id", value),), b"", 0.0)
    target = Target("i-1", "desk", "10.0.0.1:80", "a")
    options = ForwardingOptions(target, None, 1.0, after_event=after_event)
    headers = DIALECT.build_target_request(request, options).headers
    return [value for name, value in headers if name == "last-event-id"]


def test_the_last_event_of_a_caller_is_forwarded_unless_the_entry_knows_a_later_one():
    """Targets of services without a model never got it (review, case 8)."""
    assert last_event_sent("5", None) == [b"5"]
    assert last_event_sent("5", 12) == ["12"]


@pytest.mark.parametrize("value", ["", "x", "-1", "1.5", "\xb2", "9" * 5_000])
def test_a_last_event_without_a_number_is_left_to_the_route(value):
    """It was rejected on all routes, also where it means nothing to the entry."""
    request = CallerRequest("POST", "/a", (("last-event-id", value),), b"", 0.0)
    metadata = DIALECT.read_request(request)
    assert metadata.last_event is None and metadata.has_unknown_last_event


def test_the_number_of_the_last_event_is_read():
    request = CallerRequest("POST", "/a", (("last-event-id", "012"),), b"", 0.0)
    metadata = DIALECT.read_request(request)
    assert metadata.last_event == 12 and not metadata.has_unknown_last_event
