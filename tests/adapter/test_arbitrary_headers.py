"""Arbitrary headers of callers and engines are parsed, forwarded or rejected."""

import json

import h11
import pytest
from celeryfork_adapter.decode import decode_configuration
from celeryfork_adapter.dialect import (
    DEADLINE_HEADER,
    LAST_EVENT_HEADER,
    LENGTH_HINT_HEADER,
    TOKEN_COUNT_HEADER,
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
TOO_MANY_DIGITS = 5_000
"""Number of digits above the limit of ``int()``."""


def request_with(*headers):
    return CallerRequest("GET", "/a", (("host", "x"), *headers), b"", 0.0)


def read(*headers):
    """Return the metadata of a request, None if it is rejected with status 400."""
    try:
        return DIALECT.read_request(request_with(*headers))
    except BadRequestError as error:
        assert error.status == 400
        return None


HEADER_VALUES = (
    st.integers(-(10**400), 10**400).map(str)
    | st.floats().map(str)
    | st.text(st.characters(max_codepoint=0xFF), max_size=12)
    | st.text("0123456789.,-+eE_ \xb2\xb9", max_size=12)
    | st.text("0,\xb2", max_size=4)
)
"""Header values as h11 gives them, bytes decoded as Latin-1; some contain characters
that h11 would reject."""
NUMERIC_HEADERS = (
    TOKEN_COUNT_HEADER,
    DEADLINE_HEADER,
    LAST_EVENT_HEADER,
    LENGTH_HINT_HEADER,
)


@examples(300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([*NUMERIC_HEADERS, "host", "authorization"]),
            HEADER_VALUES | st.tuples(HEADER_VALUES, HEADER_VALUES).map(",".join),
        ),
        max_size=4,
    )
)
def test_arbitrary_caller_headers_give_metadata_or_a_bad_request(headers):
    metadata = read(*headers)
    assert metadata is None or isinstance(metadata, RequestMetadata)


@pytest.mark.parametrize("name", NUMERIC_HEADERS)
@pytest.mark.parametrize(
    "value",
    ["", " ", ",", "1,", ",1", "1,2,3", "-1,1", "\xb2", "\xb2,1", "1,\xb9", "nan",
     "inf", "-0.0", "1e308", "1_0", "9" * 400, "9" * TOO_MANY_DIGITS + ",1"],
    ids=["empty", "blank", "comma", "first-only", "second-only", "three-numbers",
     "negative", "superscript",
     "first-superscript", "second-superscript", "nan", "infinite", "minus-zero",
     "largest", "underscore", "400-digits", "5000-digits"],
)  # fmt: skip
def test_invalid_number_in_a_header_gives_metadata_or_a_bad_request(name, value):
    metadata = read((name, value))
    assert metadata is None or isinstance(metadata, RequestMetadata)


@pytest.mark.parametrize("digits", [10, 100, 400])
def test_path_search_accepts_any_token_counts_of_a_caller(digits):
    configuration = decode_configuration(json.dumps(make_configuration(9)).encode())
    shape = next(
        each.model for each in configuration.services_by_name.values() if each.model
    )
    kind = next(iter(shape.accelerators_by_name))
    engine = PathEngine("i-1", "a:1", "west", kind, LayerRange(0, shape.layers))
    metadata = read((TOKEN_COUNT_HEADER, f"{'9' * digits},1"))
    if metadata is not None:
        request = PathRequest(
            metadata.prompt_tokens, metadata.max_answer_tokens, "west"
        )
        assert find_path(shape, [engine], {}, request) is None


NON_ASCII_IDS = ["accented", "largest-byte", "smallest-byte"]
FIELD_VALUES = st.text(
    st.just("\t")
    | st.characters(min_codepoint=0x20, max_codepoint=0xFF, exclude_characters="\x7f"),
    max_size=12,
).map(str.strip)


def serialise_with_h11(request):
    head = h11.Request(
        method=request.method, target=request.target, headers=list(request.headers)
    )
    return h11.Connection(h11.CLIENT).send(head)


def parse_with_h11(name, value):
    """Return a request with one header, parsed by h11 from raw bytes."""
    http = h11.Connection(h11.SERVER)
    raw = f"GET /a HTTP/1.1\r\nHost: x\r\n{name}: {value}\r\n\r\n".encode("latin-1")
    http.receive_data(raw)
    head = http.next_event()
    headers = tuple(
        (key.decode("latin-1"), text.decode("latin-1")) for key, text in head.headers
    )
    return CallerRequest("GET", "/a", headers, b"", 0.0)


def forward_request(name, value):
    try:
        received = parse_with_h11(name, value)
    except h11.RemoteProtocolError:
        return
    outgoing = DIALECT.build_target_request(
        received, ForwardingOptions(TARGET, None, 1.0)
    )
    assert serialise_with_h11(outgoing).startswith(b"GET /a HTTP/1.1\r\n")


@examples(150)
@given(st.sampled_from(["x-note", "accept", "cookie"]), FIELD_VALUES)
def test_arbitrary_caller_header_is_forwarded(name, value):
    forward_request(name, value)


@pytest.mark.parametrize("value", ["caf\xe9", "\xff", "\x80"], ids=NON_ASCII_IDS)
def test_non_ascii_caller_header_is_forwarded(value):
    forward_request("x-note", value)


def forward_reply(name, value):
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
    st.sampled_from(["x-note", "at-server", "x-attempt-id", "retry-after"]),
    FIELD_VALUES,
)
def test_arbitrary_engine_header_is_forwarded_to_the_caller(name, value):
    forward_reply(name, value)


@pytest.mark.parametrize("value", ["caf\xe9", "\xff", "\x80"], ids=NON_ASCII_IDS)
def test_non_ascii_engine_header_is_forwarded_to_the_caller(value):
    forward_reply("x-note", value)
