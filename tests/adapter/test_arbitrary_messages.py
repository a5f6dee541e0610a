"""Arbitrary messages of the store and engines are decoded or raise UnreadableError."""

import json
import time

import h11
import orjson
import pytest
from celeryfork_adapter.decode import (
    UnreadableError,
    decode_configuration,
    decode_report,
    decode_target,
)
from celeryfork_adapter.dialect import PlatformDialect
from celeryfork_entry.caller_http import CallerRequest
from celeryfork_entry.configuration import Configuration
from celeryfork_entry.peer_messages import MemberReport, decode, encode_report
from celeryfork_entry.peer_state import decode_state, encode_state
from celeryfork_entry.ports import EngineReport, ForwardingOptions, Peer
from celeryfork_entry.raw_headers import raw_headers
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.targets import Target
from celeryfork_routing.engine_loads import LayerPath, Part
from celeryfork_routing.layer_paths import PathEngine, PathRequest, find_path
from celeryfork_routing.layer_placement import plan_placement
from celeryfork_routing.layer_repair import PlacedEngine
from celeryfork_routing.layers import LayerRange
from fuzzing import altered, any_json, examples
from hypothesis import given
from hypothesis import strategies as st
from logbook import Logger
from platform_standins import make_configuration

TARGET_ENTRY = {
    "service": "llm", "addr": "10.0.0.1:80", "zone": "west", "slots": 8,
    "state": "ready", "seq": 4, "layers": {"from": 3, "to": 9}, "kind": "big",
    "born": 17,
}  # fmt: skip
REPORT = {
    "seq": 2, "busy": False, "pace": 1.5, "layers": {"from": 3, "to": 9}, "born": 17,
    "stalled": [{"id": "a1", "addr": "10.0.0.2:1"}],
}  # fmt: skip
DIALECT = PlatformDialect(Logger("test"))
OWN_INSTANCE = Peer("west-1", "west", "10.0.0.9:7")
NESTING_DEPTH = 100_000
"""Depth of nested lists above the recursion limit of Python's JSON parser."""
TOO_MANY_DIGITS = 5_000
"""Number of digits above the limit of ``int()``."""


def decode_target_entry(value):
    return decode_target("i-1", value)


def decode_or_none(decoder, value):
    """Return the decoded message, None if it is rejected."""
    try:
        return decoder(value)
    except UnreadableError:
        return None


def encode_json(value):
    """Return JSON; unlike orjson's, it may contain numbers of any size and NaN."""
    return json.dumps(value).encode()


TYPE_BY_DECODER = {
    decode_configuration: Configuration,
    decode_target_entry: Target,
    decode_report: EngineReport,
}
VALID_BY_DECODER = {
    decode_configuration: make_configuration(9),
    decode_target_entry: TARGET_ENTRY,
    decode_report: REPORT,
}
DECODERS = pytest.mark.parametrize(
    "decoder", TYPE_BY_DECODER, ids=["configuration", "entry", "report"]
)


@DECODERS
@examples(60)
@given(data=st.data())
def test_arbitrary_message_is_decoded_or_rejected(decoder, data):
    message = data.draw(
        st.binary(max_size=60)
        | any_json().map(encode_json)
        | altered(VALID_BY_DECODER[decoder]).map(encode_json)
    )
    decoded = decode_or_none(decoder, message)
    assert decoded is None or isinstance(decoded, TYPE_BY_DECODER[decoder])


MALFORMED_MESSAGES = {
    "empty": b"",
    "null-byte": b"\x00",
    "byte-order-mark": b"\xef\xbb\xbf{}",
    "utf-16": "{}".encode("utf-16"),
    "lone-surrogate": b'{"state": "\\ud800"}',
    "not-a-number": b"NaN",
    "infinite-number": b"1e999",
    "many-digits": b"1" * TOO_MANY_DIGITS,
    "two-values": b"{} {}",
    "duplicate-key": b'{"state": "ready", "state": 7}',
}


@DECODERS
@pytest.mark.parametrize("message", MALFORMED_MESSAGES.values(), ids=MALFORMED_MESSAGES)
def test_malformed_message_is_rejected(decoder, message):
    with pytest.raises(UnreadableError):
        decoder(message)


@DECODERS
def test_deeply_nested_message_is_rejected(decoder):
    for message in (b"[" * NESTING_DEPTH, b'{"layers":' * NESTING_DEPTH):
        with pytest.raises(UnreadableError):
            decoder(message)


@pytest.mark.parametrize("digits", [300, 400, TOO_MANY_DIGITS])
@pytest.mark.parametrize("field", ["pace", "seq", "born"])
def test_report_with_a_number_of_many_digits_is_decoded_or_rejected(field, digits):
    valid = '{"seq": 2, "busy": false, "pace": 1, "born": 17}'
    value = {"pace": "1", "seq": "2", "born": "17"}[field]
    faulty = valid.replace(f'"{field}": {value}', f'"{field}": {"9" * digits}')
    decode_or_none(decode_report, faulty.encode())


def make_peer_message(report):
    """Return a message between instances that contains an engine's report."""
    learnt = ReportedLayers(report.held, report.born_ms, time.monotonic(), own=True)
    return MemberReport(OWN_INSTANCE, None, -1, {}, {"i-1": learnt}, (), {})


def assert_peers_can_decode(report):
    assert (
        decode(encode_report(make_peer_message(report))).layers["i-1"].held
        == report.held
    )


@examples(150)
@given(altered(REPORT).map(encode_json))
def test_accepted_report_can_be_sent_to_peers(message):
    """Peers would reject a message with a report that they can't decode.

    They would miss its data on other engines too.
    """
    report = decode_or_none(decode_report, message)
    if report is not None:
        assert_peers_can_decode(report)


@pytest.mark.parametrize(
    "change",
    [
        {"born": 1 << 64},
        {"layers": {"from": 0, "to": 1 << 64}},
        {"layers": {"from": 5, "to": 5}},
        {"layers": {"from": 9, "to": 3}},
        {"layers": {"from": -1, "to": 3}},
    ],
    ids=["start-too-large", "layers-too-large", "empty-range", "reversed", "negative"],
)
def test_report_that_peers_could_not_decode_is_rejected(change):
    report = decode_or_none(decode_report, encode_json(REPORT | change))
    if report is not None:
        assert_peers_can_decode(report)


def assert_field_types(value):
    """Assert that the fields that are declared as strings are strings."""
    if isinstance(value, Target):
        assert isinstance(value.accelerator, str | None)
    if isinstance(value, EngineReport):
        for each in (
            *value.blocking_address_by_request,
            *value.blocking_address_by_request.values(),
        ):
            assert isinstance(each, str)


@examples(150)
@given(altered(TARGET_ENTRY).map(encode_json), altered(REPORT).map(encode_json))
def test_decoded_fields_have_their_declared_types(entry, report):
    assert_field_types(decode_or_none(decode_target_entry, entry))
    assert_field_types(decode_or_none(decode_report, report))


@pytest.mark.parametrize(
    "kind",
    [["big"], {"name": "big"}, 7, True],
    ids=["list", "object", "number", "boolean"],
)
def test_target_entry_whose_accelerator_is_not_a_string_is_rejected(kind):
    """Otherwise one such entry would break path search and placement for all."""
    assert_field_types(
        decode_or_none(decode_target_entry, encode_json(TARGET_ENTRY | {"kind": kind}))
    )


@pytest.mark.parametrize(
    "address", [7, None, ["10.0.0.2:1"]], ids=["number", "null", "list"]
)
def test_report_of_a_stall_without_a_valid_address_is_rejected(address):
    stalled = [{"id": "a1", "addr": address}]
    assert_field_types(
        decode_or_none(decode_report, encode_json(REPORT | {"stalled": stalled}))
    )


@pytest.mark.parametrize("size", [0, -1], ids=["zero", "negative"])
@pytest.mark.parametrize("field", ["layers", "layerMb", "kvTokenBytes", "read_per_s"])
def test_accepted_model_can_be_placed_and_run(field, size):
    """Otherwise a faulty change would make all requests of a working service fail."""
    fields = make_configuration(9)
    fields["services"][0]["engine"][field] = size
    configuration = decode_or_none(decode_configuration, encode_json(fields))
    shape = configuration and configuration.services_by_name["llm"].model
    if shape is None:
        return
    kind = next(iter(shape.accelerators_by_name))
    empty = [PlacedEngine("i-1", "west", kind, None)]
    assert isinstance(plan_placement(shape, empty), dict)
    engine = PathEngine("i-1", "a:1", "west", kind, LayerRange(0, 1))
    path = find_path(shape, [engine], {}, PathRequest(10, 10, "west"))
    assert path is None or path.parts


CONFIGURATION_CHANGES = {
    "version-over-64-bits": lambda fields: fields.update(version=1 << 70),
    "goal-a-boolean": lambda fields: fields["routes"][0].update(sloMs=True),
    "tenant-priority-a-text": lambda fields: fields["tenants"][0].update(priority="x"),
    "tenant-priority-a-list": lambda fields: fields["tenants"][0].update(priority=[1]),
    "tenant-name-a-number": lambda fields: fields["tenants"][0].update(name=7),
    "timeout-a-boolean": lambda fields: fields["routes"][0].update(timeoutMs=True),
    "timeout-negative": lambda fields: fields["routes"][0].update(timeoutMs=-1),
    "idle-timeout-zero": lambda fields: fields["limits"].update(idleTimeoutMs=0),
}


@pytest.mark.parametrize(
    "change", CONFIGURATION_CHANGES.values(), ids=CONFIGURATION_CHANGES
)
def test_configuration_with_an_odd_value_is_rejected(change):
    """A version over 64 bits ended the task that reports to peers.

    The other values made the requests that they concern fail one by one.
    """
    fields = make_configuration(9)
    change(fields)
    with pytest.raises(UnreadableError):
        decode_configuration(encode_json(fields))


@examples(150)
@given(altered(TARGET_ENTRY).map(encode_json))
def test_accepted_target_entry_can_be_sent_to_peers(message):
    target = decode_or_none(decode_target_entry, message)
    if target is not None:
        assert decode_state(encode_state(None, [target])).targets == (target,)


@pytest.mark.parametrize(
    "change",
    [{"born": 1 << 64}, {"seq": 1 << 64}, {"slots": 1 << 64}, {"zone": "\ud800"}],
    ids=["start-too-large", "number-too-large", "slots-too-large", "lone-surrogate"],
)
def test_target_entry_that_peers_could_not_decode_is_rejected(change):
    """If a relay accepted such an entry, followers could not decode its target list."""
    target = decode_or_none(decode_target_entry, encode_json(TARGET_ENTRY | change))
    if target is not None:
        assert decode_state(encode_state(None, [target])).targets == (target,)


ODD_TARGETS = {
    "port-zero": ("i-1", {"addr": "10.0.0.1:0"}),
    "port-too-large": ("i-1", {"addr": "10.0.0.1:70000"}),
    "port-negative": ("i-1", {"addr": "10.0.0.1:-1"}),
    "address-with-a-line-break": ("i-1", {"addr": "10.0.0.1\r\nx: y:80"}),
    "address-with-a-comma": ("i-1", {"addr": "10.0.0.9:1=0-8,10.0.0.1:80"}),
    "address-not-ascii": ("i-1", {"addr": "\u00e9:80"}),
    "address-too-long": ("i-1", {"addr": "a" * 200_000 + ":80"}),
    "slots-negative": ("i-1", {"slots": -5}),
    "slots-too-large": ("i-1", {"slots": 10**18}),
    "renewals-negative": ("i-1", {"seq": -1}),
    "renewals-too-large": ("i-1", {"seq": 10**18}),
    "start-negative": ("i-1", {"born": -1}),
    "start-too-large": ("i-1", {"born": 10**18}),
    "layers-too-large": ("i-1", {"layers": {"from": 0, "to": 10**18}}),
    "id-empty": ("", {}),
    "id-with-a-line-break": ("i-1\r\nx: y", {}),
    "id-with-a-space": ("i 1", {}),
    "id-not-ascii": ("i-\ufffd", {}),
    "id-with-a-lone-surrogate": ("i-\udcff", {}),
    "id-too-long": ("i" * 200_000, {}),
}


@pytest.mark.parametrize(("target_id", "change"), ODD_TARGETS.values(), ids=ODD_TARGETS)
def test_target_entry_with_a_value_out_of_range_is_rejected(target_id, change):
    """Such a target made requests of others fail, or hid its id's later entries."""
    with pytest.raises(UnreadableError):
        decode_target(target_id, encode_json(TARGET_ENTRY | change))


@pytest.mark.parametrize(
    "change",
    [{"layers": {"from": 0, "to": 10**18}}, {"born": 10**18}, {"born": -1}],
    ids=["layers", "start", "negative-start"],
)
def test_report_with_a_value_out_of_range_is_rejected(change):
    with pytest.raises(UnreadableError):
        decode_report(encode_json(REPORT | change))


CALLER_REQUEST = CallerRequest("POST", "/advice/1", (("x-attempt-id", "a1"),), b"", 0.0)


def assert_requests_can_be_sent(target):
    """Assert that a request to a target, over a path that it is on, is valid HTTP."""
    layers = target.held or LayerRange(0, 1)
    path = LayerPath(
        (
            Part("i-9", "10.0.0.9:80", LayerRange(0, 1)),
            Part(target.id, target.address, layers),
        )
    )
    options = ForwardingOptions(target, None, 1.0, path)
    request = DIALECT.build_target_request(CALLER_REQUEST, options)
    headers = raw_headers((("Host", target.address), *request.headers))
    h11.Request(method=request.method, target=request.target, headers=headers)
    sent = dict(request.headers)["x-hop-count"]
    assert len(sent.split(",")) == len(path.parts)


@examples(150)
@given(
    st.just("i-1") | st.text(max_size=6),
    altered(TARGET_ENTRY).map(encode_json)
    | st.text(max_size=8).map(
        lambda host: encode_json(TARGET_ENTRY | {"addr": f"{host}:80"})
    ),
)
def test_accepted_target_can_be_sent_requests(target_id, message):
    """A path over it made requests fail with an error of this program, or with 400."""
    try:
        target = decode_target(target_id, message)
    except UnreadableError:
        return
    assert_requests_can_be_sent(target)


def test_predicted_time_over_the_slowest_accepted_engine_is_finite():
    """The time is logged as a whole number, which infinity can't be converted to."""
    report = decode_report(encode_json(REPORT | {"pace": 1e308}))
    shape = (
        decode_configuration(encode_json(make_configuration(9)))
        .services_by_name["llm"]
        .model
    )
    kind = next(iter(shape.accelerators_by_name))
    engines = [
        PathEngine(f"i-{n}", f"a:{n}", "west", kind, held, report.slowness)
        for n, held in enumerate((LayerRange(0, 4), LayerRange(4, 8)), 1)
    ]
    path = find_path(shape, engines, {}, PathRequest(1e12, 1e12, "west"))
    assert path is None or round(path.predicted_ms) > 0
    path = find_path(shape, engines, {}, PathRequest(10, 10, "west"))
    assert round(path.predicted_ms) > 0


@examples(100)
@given(st.binary(max_size=60) | altered(REPORT).map(encode_json))
def test_dialect_returns_no_report_for_malformed_bytes(body):
    report = DIALECT.read_report(body)
    assert report is None or isinstance(report, EngineReport)


def test_valid_message_of_each_kind_is_decoded():
    """Otherwise the tests above would only exercise rejected messages."""
    for decoder, valid in VALID_BY_DECODER.items():
        assert decode_or_none(decoder, orjson.dumps(valid)) is not None
