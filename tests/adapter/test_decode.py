"""Decoding of the platform's messages, valid and malformed."""

import asyncio
import json

import pytest
from celeryfork_adapter.decode import (
    ORGANISATIONS_PER_STEP,
    ROUTES_PER_STEP,
    UnreadableError,
    decode_configuration,
    decode_configuration_async,
    decode_report,
    decode_target,
)
from celeryfork_adapter.settings import (
    decode_settings,
    read_settings,
    settings_faults,
)
from celeryfork_adapter.store import _decode_records
from celeryfork_admission.service_load import Urgency
from celeryfork_entry.configuration import (
    AtMostOnce,
    Idempotent,
    Organisation,
    Stream,
    urgency,
)
from celeryfork_entry.ports import StoreUnavailableError
from celeryfork_entry.settings import Mode
from celeryfork_routing.layers import LayerRange
from platform_standins import make_configuration

pytestmark = pytest.mark.usefixtures("collected_garbage")

TARGET_ENTRY = {
    "service": "llm",
    "addr": "10.0.0.1:80",
    "zone": "west",
    "slots": 8,
    "state": "ready",
    "seq": 4,
    "layers": {"from": 3, "to": 9, "version": 1},
    "kind": "big",
    "born": 17,
}


def encode_json(value):
    return json.dumps(value).encode()


def test_route_kinds_are_decoded():
    configuration = decode_configuration(encode_json(make_configuration(9)))
    kinds = {
        path: configuration.route("shop.example", path).kind
        for path in ("/advice/1", "/book/1", "/look/1")
    }
    assert kinds == {
        "/advice/1": Stream(True, 0.2),
        "/book/1": AtMostOnce(),
        "/look/1": Idempotent(),
    }
    assert configuration.version == 9
    assert configuration.organisation_by_key["key-3"].name == "shop"


def test_route_with_the_longest_prefix_is_used():
    configuration = decode_configuration(encode_json(make_configuration(9)))
    assert configuration.route("shop.example", "/look/open/1").open
    assert not configuration.route("shop.example", "/look/opened").open
    assert configuration.route("other.example", "/look/1") is None


def test_configuration_without_tenants_requires_no_key():
    fields = make_configuration(9)
    del fields["tenants"]
    assert not decode_configuration(encode_json(fields)).needs_key


ROUTE = make_configuration(9)["routes"][0]
MANY_ROUTES = [
    ROUTE | {"name": f"r{number}", "pathPrefix": f"/r{number}/"}
    for number in range(1400)
]
MANY_TENANTS = [
    {"name": f"t{number}", "apiKeys": [f"key-{number}"]} for number in range(24_000)
]


@pytest.mark.parametrize(
    ("many", "per_step"),
    [
        ({"routes": MANY_ROUTES}, ROUTES_PER_STEP),
        ({"tenants": MANY_TENANTS}, ORGANISATIONS_PER_STEP),
    ],
    ids=["routes", "tenants"],
)
def test_decoding_a_large_configuration_yields_to_other_tasks(many, per_step):
    """A change with 1,400 routes or 24,000 tenants reaches all instances at once.

    If its decoding blocked the event loop, streams of all instances would pause.
    """
    fields = make_configuration(9) | many
    iterations = 0

    async def stream():
        nonlocal iterations
        while True:
            iterations += 1
            await asyncio.sleep(0)

    async def decode():
        stream_task = asyncio.ensure_future(stream())
        try:
            return await decode_configuration_async(encode_json(fields))
        finally:
            stream_task.cancel()

    configuration = asyncio.run(decode())
    assert configuration == decode_configuration(encode_json(fields))
    assert iterations >= max(map(len, many.values())) // per_step


@pytest.mark.parametrize("missing", ["version", "routes", "services", "limits"])
def test_configuration_without_a_required_field_is_rejected(missing):
    fields = make_configuration(9)
    del fields[missing]
    with pytest.raises(UnreadableError):
        decode_configuration(encode_json(fields))


def test_target_entry_is_decoded():
    target = decode_target("i-1", encode_json(TARGET_ENTRY))
    assert target.held == LayerRange(3, 9)
    assert (target.domain, target.entry_number, target.born_ms) == ("west", 4, 17)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "gone"},
        {"addr": "nowhere"},
        {"addr": 7},
        {"seq": "4"},
        {"seq": True},
        {"service": None},
        {"layers": {"from": "a", "to": 9}},
        {"born": 1.5},
    ],
)
def test_target_entry_with_an_invalid_field_is_rejected(change):
    with pytest.raises(UnreadableError):
        decode_target("i-1", encode_json(TARGET_ENTRY | change))


@pytest.mark.parametrize("text", ["i\n1", "i\r\nX: 1", " i-1", "i\0", ""])
def test_target_whose_id_or_address_cannot_be_sent_in_a_header_is_rejected(text):
    """Each request that chose it ended with a closed connection and no answer."""
    with pytest.raises(UnreadableError):
        decode_target(text, encode_json(TARGET_ENTRY))
    with pytest.raises(UnreadableError):
        decode_target("i-1", encode_json(TARGET_ENTRY | {"addr": f"{text}:80"}))


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"7", b"{}"])
def test_bytes_that_encode_no_message_are_rejected(value):
    with pytest.raises(UnreadableError):
        decode_target("i-1", value)
    with pytest.raises(UnreadableError):
        decode_report(value)


@pytest.mark.parametrize(
    "pace", ["1e999", "-1e999", "Infinity", "NaN", '"inf"', '"12"', "true", "[1]", "{}"]
)
def test_report_whose_pace_is_not_a_finite_number_is_rejected(pace):
    """Peers would reject any message that contains it, with all its other content."""
    report = b'{"seq": 2, "busy": false, "pace": ' + pace.encode() + b"}"
    with pytest.raises(UnreadableError):
        decode_report(report)


@pytest.mark.parametrize(("pace", "slowness"), [(12, 12.0), (1.5, 1.5), (None, 1.0)])
def test_pace_of_a_report_is_decoded_as_slowness(pace, slowness):
    fields = {"seq": 2, "busy": False, "pace": pace}
    assert decode_report(encode_json(fields)).slowness == slowness


def test_report_names_the_engine_that_stalls_a_request():
    fields = {"seq": 2, "busy": False, "stalled": [{"id": "a1", "addr": "10.0.0.2:1"}]}
    report = decode_report(encode_json(fields))
    assert report.blocking_address_by_request == {"a1": "10.0.0.2:1"}
    assert report.slowness == 1.0


def test_truncated_records_are_rejected():
    response = bytes(16) + b"\x00\x00\x00\x05\x02abcd"
    records, next_offset = _decode_records(response, 7)
    assert [(r.key, r.value) for r in records] == [("ab", b"cd")]
    assert next_offset == 8
    with pytest.raises(StoreUnavailableError):
        _decode_records(response[:-1], 7)
    with pytest.raises(StoreUnavailableError):
        _decode_records(b"short", 7)


@pytest.mark.parametrize(
    "text",
    [b"[" * 100_000, b"\xff\xfe", b"9" * 5_000, b'{"bounds": {"graceS": 1e999}}'],
    ids=["nested", "not-utf-8", "many-digits", "infinite"],
)
def test_unreadable_settings_file_is_reported(tmp_path, text):
    """A nested file ended the task that follows the settings, without a line."""
    path = tmp_path / "settings.json"
    path.write_bytes(text)
    with pytest.raises(ExceptionGroup):
        read_settings(str(path))


@pytest.mark.parametrize(
    "number", [float("inf"), float("nan"), 10**400], ids=["inf", "nan", "digits"]
)
def test_settings_with_a_number_out_of_range_are_refused(number):
    """An infinite retry budget, or a NaN that no comparison finds exceeded."""
    faults = settings_faults({"bounds": {"retryBudget": number}})
    assert any("retryBudget" in str(f) and "Expected float" in str(f) for f in faults)


def test_invalid_settings_are_reported_with_their_paths():
    with pytest.raises(ExceptionGroup) as caught:
        decode_settings({"ip": 7, "listen": {"front": "10.0.0.1:80"}})
    messages = [str(fault) for fault in caught.value.exceptions]
    assert "$['ip']" in messages[0]
    assert "Expected str, got 7" in messages[0]
    assert any("$['listen']['ready']" in message for message in messages)
    assert not any("front" in message for message in messages)


def test_an_organisations_priority_takes_precedence_over_the_routes():
    """Guards against kinds of requests that outrank the organisations' order."""
    configuration = decode_configuration(encode_json(make_configuration(1)))
    route = configuration.routes_by_host["shop.example"][0]
    assert urgency(route, Organisation("o", 3)) == Urgency(3, route.priority)
    assert urgency(route, Organisation("o", None)) == urgency(route, None)
    assert Urgency(0, 2) < Urgency(1, 0) < Urgency(1, 1)


@pytest.mark.parametrize("weight", [0, -1, "2", True, [1], {}])
def test_configuration_with_an_invalid_weight_names_the_field(weight):
    """Guards against a weight that would give an organisation no share, or all."""
    tenants = [
        {"name": "a", "apiKeys": ["1"], "weight": 2},
        {"name": "b", "apiKeys": ["2"], "weight": weight},
    ]
    encoded = encode_json(make_configuration(1) | {"tenants": tenants})
    with pytest.raises(UnreadableError, match=r"tenants\[1\]\.weight .* above 0"):
        decode_configuration(encoded)


def test_weight_of_an_organisation_is_decoded():
    tenants = [
        {"name": "a", "apiKeys": ["1"], "weight": 2.5},
        {"name": "b", "apiKeys": ["2"]},
    ]
    encoded = encode_json(make_configuration(1) | {"tenants": tenants})
    known = decode_configuration(encoded).organisation_by_key
    assert (known["1"].weight, known["2"].weight) == (2.5, 1.0)


VALID_SETTINGS = {
    "nodeName": "front-1",
    "zone": "west",
    "ip": "10.1.0.40",
    "listen": {"front": "10.1.0.40:80", "ready": "10.1.0.40:81"},
    "portRange": [7340, 7355],
    "bounds": {"graceS": 8, "retryBudget": 0.2, "retrySlack": 1, "retryWindowS": 10},
    "platform": {"addr": "10.200.1.7:80"},
}


@pytest.mark.parametrize("part", ["admission", "balance", "ramp_up"])
def test_modes_of_optional_parts_are_read(part):
    settings = decode_settings(VALID_SETTINGS | {part: {"mode": "off"}})
    assert getattr(settings, f"{part}_mode") is Mode.OFF
    assert getattr(decode_settings(VALID_SETTINGS), f"{part}_mode") is Mode.AUTO


@pytest.mark.parametrize("value", ["never", {"mode": "On"}, {"mode": 1}, [], True])
def test_invalid_mode_is_reported_with_path_and_remedy(value):
    """Guards against a mistyped mode that silently leaves a part as it was."""
    (fault,) = settings_faults(VALID_SETTINGS | {"admission": value})
    assert "$['admission']['mode']" in str(fault)
    assert "'auto', 'on', 'off'" in str(fault)


def test_limits_of_the_process_are_read_if_given():
    limits = {"memoryMb": 300, "maxFds": 4200}
    settings = decode_settings(VALID_SETTINGS | {"limits": limits})
    assert (settings.memory_mb, settings.max_fds) == (300.0, 4200)
    without = decode_settings(VALID_SETTINGS | {"limits": {"memoryMb": "300"}})
    assert (without.memory_mb, without.max_fds) == (None, None)
