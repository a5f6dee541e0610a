"""Whatever headers callers and engines send: they are read, passed on or refused."""

import json

import h11
import pytest
from celeryfork_adapter.decode import decode_configuration
from celeryfork_adapter.dialect import (
    ANSWER_HINT,
    LAST_EVENT,
    LEFT_MS,
    TOKEN_COUNTS,
    PlatformDialect,
)
from celeryfork_entry.caller_http import BadRequestError, CallerRequest
from celeryfork_entry.ports import ForwardingOptions, RequestMetadata
from celeryfork_entry.targets import Target
from celeryfork_routing.layer_paths import PathEngine, PathRequest, find_path
from celeryfork_routing.layers import LayerRange
from fuzzing import examples
from hypothesis import given
from hypothesis import strategies as st
from logbook import Logger
from platform_standins import make_configuration

DIALECT = PlatformDialect(Logger("test"))
TARGET = Target("i-1", "llm", "10.0.0.1:80", "west")
MANY_DIGITS = 5_000
"""Above the most that int() reads."""


def request_with(*headers):
    return CallerRequest("GET", "/a", (("host", "x"), *headers), b"", 0.0)


def read(*headers):
    """Return the facts of a request, None where it is refused as a bad one."""
    try:
        return DIALECT.read_request(request_with(*headers))
    except BadRequestError as error:
        assert error.status == 400
        return None


VALUES = (
    st.integers(-(10**400), 10**400).map(str)
    | st.floats().map(str)
    | st.text(st.characters(max_codepoint=0xFF), max_size=12)
    | st.text("0123456789.,-+eE_ \xb2\xb9", max_size=12)
    | st.text("0,\xb2", max_size=4)
)
"""What h11 lets through in a header: bytes as Latin-1."""
NUMBERS = (TOKEN_COUNTS, LEFT_MS, LAST_EVENT, ANSWER_HINT)


@examples(300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([*NUMBERS, "host", "authorization"]),
            VALUES | st.tuples(VALUES, VALUES).map(",".join),
        ),
        max_size=4,
    )
)
def test_any_headers_of_a_caller_give_facts_or_a_bad_request(headers):
    facts = read(*headers)
    assert facts is None or isinstance(facts, RequestMetadata)


@pytest.mark.parametrize("name", NUMBERS)
@pytest.mark.parametrize(
    "value",
    ["", " ", ",", "1,", ",1", "1,2,3", "-1,1", "\xb2", "\xb2,1", "1,\xb9", "nan",
     "inf", "-0.0", "1e308", "1_0", "9" * 400, "9" * MANY_DIGITS + ",1"],
    ids=["empty", "blank", "comma", "one", "other", "three", "negative", "superscript",
     "first-superscript", "second-superscript", "nan", "infinite", "minus-zero",
     "largest", "underscore", "400-digits", "5000-digits"],
)  # fmt: skip
def test_a_faulty_number_in_a_header_gives_facts_or_a_bad_request(name, value):
    facts = read((name, value))
    assert facts is None or isinstance(facts, RequestMetadata)


@pytest.mark.parametrize("digits", [10, 100, 400])
def test_a_path_is_looked_for_whatever_sizes_a_caller_gives(digits):
    configuration = decode_configuration(json.dumps(make_configuration(9)).encode())
    shape = next(
        each.model for each in configuration.services_by_name.values() if each.model
    )
    kind = next(iter(shape.accelerators_by_name))
    engine = PathEngine("i-1", "a:1", "west", kind, LayerRange(0, shape.layers))
    facts = read((TOKEN_COUNTS, f"{'9' * digits},1"))
    if facts is not None:
        request = PathRequest(facts.prompt_tokens, facts.max_answer_tokens, "west")
        assert find_path(shape, [engine], {}, request) is None


LETTERS = ["accent", "last", "first"]
FIELD_TEXT = st.text(
    st.just("\t")
    | st.characters(min_codepoint=0x20, max_codepoint=0xFF, exclude_characters="\x7f"),
    max_size=12,
).map(str.strip)


def as_sent_by_h11(request):
    head = h11.Request(
        method=request.method, target=request.target, headers=list(request.headers)
    )
    return h11.Connection(h11.CLIENT).send(head)


def as_received(name, value):
    """Return a request with a header as h11 reads it from a caller's bytes."""
    http = h11.Connection(h11.SERVER)
    raw = f"GET /a HTTP/1.1\r\nHost: x\r\n{name}: {value}\r\n\r\n".encode("latin-1")
    http.receive_data(raw)
    head = http.next_event()
    headers = tuple(
        (key.decode("latin-1"), text.decode("latin-1")) for key, text in head.headers
    )
    return CallerRequest("GET", "/a", headers, b"", 0.0)


def pass_on(name, value):
    try:
        received = as_received(name, value)
    except h11.RemoteProtocolError:
        return
    outgoing = DIALECT.build_target_request(
        received, ForwardingOptions(TARGET, None, 1.0)
    )
    assert as_sent_by_h11(outgoing).startswith(b"GET /a HTTP/1.1\r\n")


@examples(150)
@given(st.sampled_from(["x-note", "accept", "cookie"]), FIELD_TEXT)
def test_any_header_that_a_caller_may_send_can_be_passed_on(name, value):
    pass_on(name, value)


@pytest.mark.parametrize("value", ["caf\xe9", "\xff", "\x80"], ids=LETTERS)
def test_a_header_of_a_caller_in_other_letters_can_be_passed_on(value):
    pass_on("x-note", value)


def answer_with(name, value):
    raw = f"HTTP/1.1 200 OK\r\n{name}: {value}\r\n\r\n".encode("latin-1")
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    client.receive_data(raw)
    try:
        reply = client.next_event()
    except h11.RemoteProtocolError:
        return
    DIALECT.read_reply(reply.status_code, reply.headers)
    headers = DIALECT.reply_headers(reply.headers)
    h11.Response(status_code=reply.status_code, headers=headers)


@examples(150)
@given(
    st.sampled_from(["x-note", "at-server", "x-attempt-id", "retry-after"]), FIELD_TEXT
)
def test_any_header_that_an_engine_may_send_can_be_answered(name, value):
    answer_with(name, value)


@pytest.mark.parametrize("value", ["caf\xe9", "\xff", "\x80"], ids=LETTERS)
def test_a_header_of_an_engine_in_other_letters_can_be_answered(value):
    answer_with("x-note", value)
