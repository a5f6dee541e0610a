"""Whatever the store and engines say: a value comes of it or the typed error."""

import json
import time

import orjson
import pytest
from celeryfork_adapter.decode import (
    UnreadableError,
    decode_configuration,
    decode_report,
    decode_target,
)
from celeryfork_adapter.dialect import PlatformDialect
from celeryfork_entry.configuration import Configuration
from celeryfork_entry.peer_messages import MemberReport, decode, encode_report
from celeryfork_entry.peer_state import decode_known, encode_known
from celeryfork_entry.ports import EngineReport, Peer
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.targets import Target
from celeryfork_routing.layer_paths import PathEngine, PathRequest, find_path
from celeryfork_routing.layer_placement import plan_placement
from celeryfork_routing.layer_repair import PlacedEngine
from celeryfork_routing.layers import LayerRange
from fuzzing import altered, any_json, examples
from hypothesis import given
from hypothesis import strategies as st
from logbook import Logger
from platform_standins import make_configuration

ENTRY = {
    "service": "llm", "addr": "10.0.0.1:80", "zone": "west", "slots": 8,
    "state": "ready", "seq": 4, "layers": {"from": 3, "to": 9}, "kind": "big",
    "born": 17,
}  # fmt: skip
REPORT = {
    "seq": 2, "busy": False, "pace": 1.5, "layers": {"from": 3, "to": 9}, "born": 17,
    "stalled": [{"id": "a1", "addr": "10.0.0.2:1"}],
}  # fmt: skip
DIALECT = PlatformDialect(Logger("test"))
OWN = Peer("west-1", "west", "10.0.0.9:7")
DEEP = 100_000
"""Lists within lists, above what Python's JSON reader follows."""
MANY_DIGITS = 5_000
"""Above the most that int() reads."""


def decode_entry(value):
    return decode_target("i-1", value)


def decoded(decoder, value):
    """Return what comes of a message, None where it is refused."""
    try:
        return decoder(value)
    except UnreadableError:
        return None


def encoded(value):
    """Return JSON, also with numbers that orjson doesn't write."""
    return json.dumps(value).encode()


TYPE_BY_DECODER = {
    decode_configuration: Configuration,
    decode_entry: Target,
    decode_report: EngineReport,
}
USUAL_BY_DECODER = {
    decode_configuration: make_configuration(9),
    decode_entry: ENTRY,
    decode_report: REPORT,
}
DECODERS = pytest.mark.parametrize(
    "decoder", TYPE_BY_DECODER, ids=["configuration", "entry", "report"]
)


@DECODERS
@examples(60)
@given(data=st.data())
def test_any_message_gives_a_value_or_is_unreadable(decoder, data):
    message = data.draw(
        st.binary(max_size=60)
        | any_json().map(encoded)
        | altered(USUAL_BY_DECODER[decoder]).map(encoded)
    )
    found = decoded(decoder, message)
    assert found is None or isinstance(found, TYPE_BY_DECODER[decoder])


FAULTY = {
    "empty": b"",
    "null-byte": b"\x00",
    "byte-order-mark": b"\xef\xbb\xbf{}",
    "utf-16": "{}".encode("utf-16"),
    "half-a-surrogate": b'{"state": "\\ud800"}',
    "not-a-number": b"NaN",
    "a-number": b"1e999",
    "many-digits": b"1" * MANY_DIGITS,
    "two-values": b"{} {}",
    "twice-a-key": b'{"state": "ready", "state": 7}',
}


@DECODERS
@pytest.mark.parametrize("message", FAULTY.values(), ids=FAULTY)
def test_a_faulty_message_is_unreadable(decoder, message):
    with pytest.raises(UnreadableError):
        decoder(message)


@DECODERS
def test_a_deeply_nested_message_is_unreadable(decoder):
    for message in (b"[" * DEEP, b'{"layers":' * DEEP):
        with pytest.raises(UnreadableError):
            decoder(message)


@pytest.mark.parametrize("digits", [300, 400, MANY_DIGITS])
@pytest.mark.parametrize("field", ["pace", "seq", "born"])
def test_a_number_of_any_length_in_a_report_is_read_or_refused(field, digits):
    usual = '{"seq": 2, "busy": false, "pace": 1, "born": 17}'
    value = {"pace": "1", "seq": "2", "born": "17"}[field]
    faulty = usual.replace(f'"{field}": {value}', f'"{field}": {"9" * digits}')
    decoded(decode_report, faulty.encode())


def told_of(report):
    """Return a peer's message with what an engine reported."""
    learnt = ReportedLayers(report.held, report.born_ms, time.monotonic(), own=True)
    return MemberReport(OWN, None, -1, {}, {"i-1": learnt}, (), {})


def assert_peers_can_read(report):
    assert decode(encode_report(told_of(report))).layers["i-1"].held == report.held


@examples(150)
@given(altered(REPORT).map(encoded))
def test_what_an_engine_reports_can_be_told_to_peers(message):
    """Else a peer gets none of what this instance knows, of other engines either."""
    report = decoded(decode_report, message)
    if report is not None:
        assert_peers_can_read(report)


@pytest.mark.parametrize(
    "change",
    [
        {"born": 1 << 64},
        {"layers": {"from": 0, "to": 1 << 64}},
        {"layers": {"from": 5, "to": 5}},
        {"layers": {"from": 9, "to": 3}},
        {"layers": {"from": -1, "to": 3}},
    ],
    ids=["start-too-large", "layers-too-large", "no-layer", "reversed", "negative"],
)
def test_a_report_that_peers_could_not_read_is_unreadable(change):
    report = decoded(decode_report, encoded(REPORT | change))
    if report is not None:
        assert_peers_can_read(report)


def assert_typed(value):
    """Have no part of a value that code takes for text be something else."""
    if isinstance(value, Target):
        assert isinstance(value.accelerator, str | None)
    if isinstance(value, EngineReport):
        for each in (
            *value.blocking_address_by_request,
            *value.blocking_address_by_request.values(),
        ):
            assert isinstance(each, str)


@examples(150)
@given(altered(ENTRY).map(encoded), altered(REPORT).map(encoded))
def test_the_parts_of_a_value_are_of_their_types(entry, report):
    assert_typed(decoded(decode_entry, entry))
    assert_typed(decoded(decode_report, report))


@pytest.mark.parametrize(
    "kind",
    [["big"], {"name": "big"}, 7, True],
    ids=["list", "object", "number", "boolean"],
)
def test_an_entry_whose_accelerator_is_no_name_is_unreadable(kind):
    """Else no path and no placement is found for any engine."""
    assert_typed(decoded(decode_entry, encoded(ENTRY | {"kind": kind})))


@pytest.mark.parametrize(
    "at", [7, None, ["10.0.0.2:1"]], ids=["number", "null", "list"]
)
def test_a_report_of_a_stall_at_no_address_is_unreadable(at):
    stalled = [{"id": "a1", "addr": at}]
    assert_typed(decoded(decode_report, encoded(REPORT | {"stalled": stalled})))


@pytest.mark.parametrize("size", [0, -1], ids=["none", "negative"])
@pytest.mark.parametrize("field", ["layers", "layerMb", "kvTokenBytes", "read_per_s"])
def test_a_model_that_is_accepted_can_be_placed_and_run(field, size):
    """Else each request of its service fails, where one before went on."""
    fields = make_configuration(9)
    fields["services"][0]["engine"][field] = size
    configuration = decoded(decode_configuration, encoded(fields))
    shape = configuration and configuration.services_by_name["llm"].model
    if shape is None:
        return
    kind = next(iter(shape.accelerators_by_name))
    empty = [PlacedEngine("i-1", "west", kind, None)]
    assert isinstance(plan_placement(shape, empty), dict)
    engine = PathEngine("i-1", "a:1", "west", kind, LayerRange(0, 1))
    path = find_path(shape, [engine], {}, PathRequest(10, 10, "west"))
    assert path is None or path.parts


@examples(150)
@given(altered(ENTRY).map(encoded))
def test_an_entry_of_the_list_can_be_told_to_peers(message):
    target = decoded(decode_entry, message)
    if target is not None:
        assert decode_known(encode_known(None, [target])).targets == (target,)


@pytest.mark.parametrize(
    "change",
    [{"born": 1 << 64}, {"seq": 1 << 64}, {"slots": 1 << 64}, {"zone": "\ud800"}],
    ids=["start-too-large", "number-too-large", "slots-too-large", "half-a-surrogate"],
)
def test_an_entry_that_peers_could_not_read_is_unreadable(change):
    """Else followers get no list at all from a relay that has read it."""
    target = decoded(decode_entry, encoded(ENTRY | change))
    if target is not None:
        assert decode_known(encode_known(None, [target])).targets == (target,)


@examples(100)
@given(st.binary(max_size=60) | altered(REPORT).map(encoded))
def test_the_dialect_gives_no_report_where_none_can_be_read(body):
    report = DIALECT.read_report(body)
    assert report is None or isinstance(report, EngineReport)


def test_a_usual_message_of_each_kind_is_read():
    """Else the tests above would look at refusals only."""
    for decoder, usual in USUAL_BY_DECODER.items():
        assert decoded(decoder, orjson.dumps(usual)) is not None
