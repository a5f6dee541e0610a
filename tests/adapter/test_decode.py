"""Messages of the platform, well and badly formed."""

import asyncio
import json

import pytest
from celeryfork_adapter.decode import (
    ROUTES_A_STEP,
    UnreadableError,
    decode_configuration,
    decode_configuration_in_steps,
    decode_report,
    decode_target,
)
from celeryfork_adapter.settings import decode_settings
from celeryfork_adapter.store import _decode_records
from celeryfork_entry.configuration import AtMostOnce, Idempotent, Stream
from celeryfork_entry.ports import StoreUnavailableError
from celeryfork_routing.layers import LayerRange
from platform_standins import make_configuration

ENTRY = {
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


def encoded(value):
    return json.dumps(value).encode()


def test_a_configuration_says_what_may_be_repeated():
    configuration = decode_configuration(encoded(make_configuration(9)))
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


def test_the_longest_prefix_wins():
    configuration = decode_configuration(encoded(make_configuration(9)))
    assert configuration.route("shop.example", "/look/open/1").open
    assert not configuration.route("shop.example", "/look/opened").open
    assert configuration.route("other.example", "/look/1") is None


def test_a_configuration_without_tenants_needs_no_key():
    fields = make_configuration(9)
    del fields["tenants"]
    assert not decode_configuration(encoded(fields)).needs_key


def test_streams_have_their_turn_while_a_large_configuration_is_decoded():
    """Pattern: a change of 1,400 routes reaches all instances at the same moment."""
    fields = make_configuration(9)
    route = fields["routes"][0]
    fields["routes"] += [
        route | {"name": f"r{number}", "pathPrefix": f"/r{number}/"}
        for number in range(1400)
    ]
    turns = 0

    async def stream():
        nonlocal turns
        while True:
            turns += 1
            await asyncio.sleep(0)

    async def decode():
        running = asyncio.ensure_future(stream())
        try:
            return await decode_configuration_in_steps(encoded(fields))
        finally:
            running.cancel()

    configuration = asyncio.run(decode())
    assert configuration == decode_configuration(encoded(fields))
    assert turns >= len(fields["routes"]) // ROUTES_A_STEP


@pytest.mark.parametrize("missing", ["version", "routes", "services", "limits"])
def test_a_configuration_that_lacks_a_part_is_unreadable(missing):
    fields = make_configuration(9)
    del fields[missing]
    with pytest.raises(UnreadableError):
        decode_configuration(encoded(fields))


def test_an_entry_is_decoded_once():
    target = decode_target("i-1", encoded(ENTRY))
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
def test_an_entry_with_a_faulty_field_is_unreadable(change):
    with pytest.raises(UnreadableError):
        decode_target("i-1", encoded(ENTRY | change))


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"7", b"{}"])
def test_bytes_that_are_no_entry_are_unreadable(value):
    with pytest.raises(UnreadableError):
        decode_target("i-1", value)
    with pytest.raises(UnreadableError):
        decode_report(value)


@pytest.mark.parametrize(
    "pace", ["1e999", "-1e999", "Infinity", "NaN", '"inf"', '"12"', "true", "[1]", "{}"]
)
def test_a_report_whose_speed_is_no_finite_number_is_unreadable(pace):
    """Peers could not read a message with it, nor anything else that it tells."""
    report = b'{"seq": 2, "busy": false, "pace": ' + pace.encode() + b"}"
    with pytest.raises(UnreadableError):
        decode_report(report)


@pytest.mark.parametrize(("pace", "slowness"), [(12, 12.0), (1.5, 1.5), (None, 1.0)])
def test_a_report_tells_how_slow_the_engine_is(pace, slowness):
    fields = {"seq": 2, "busy": False, "pace": pace}
    assert decode_report(encoded(fields)).slowness == slowness


def test_a_report_names_the_engine_that_a_request_waits_for():
    fields = {"seq": 2, "busy": False, "stalled": [{"id": "a1", "addr": "10.0.0.2:1"}]}
    report = decode_report(encoded(fields))
    assert report.blocking_address_by_request == {"a1": "10.0.0.2:1"}
    assert report.slowness == 1.0


def test_records_that_end_midway_are_refused():
    whole = bytes(16) + b"\x00\x00\x00\x05\x02abcd"
    records, following = _decode_records(whole, 7)
    assert [(r.key, r.value) for r in records] == [("ab", b"cd")]
    assert following == 8
    with pytest.raises(StoreUnavailableError):
        _decode_records(whole[:-1], 7)
    with pytest.raises(StoreUnavailableError):
        _decode_records(b"short", 7)


def test_a_faulty_setting_is_named_with_its_path():
    with pytest.raises(ExceptionGroup) as caught:
        decode_settings({"ip": 7, "listen": {"front": "10.0.0.1:80"}})
    told = [str(fault) for fault in caught.value.exceptions]
    assert "$['ip']" in told[0]
    assert "is no str" in told[0]
    assert any("$['listen']['ready']" in each for each in told)
    assert not any("front" in each for each in told)
