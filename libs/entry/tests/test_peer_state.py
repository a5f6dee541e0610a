"""Encoding of the state that instances fetch from each other."""

import pytest
from attrs import evolve
from celeryfork_entry.configuration import CallerLimits, Configuration
from celeryfork_entry.peer_state import (
    decode_changes,
    decode_state,
    encode_changes,
    encode_state,
)
from celeryfork_entry.targets import Target
from celeryfork_routing.layers import LayerRange

TARGET = Target("t1", "llm", "10.0.0.1:80", "a", held=LayerRange(3, 9), born_ms=7)
LIMITS = CallerLimits(1, 1, 1.0, 1.0)
CONFIGURATION = Configuration(4, {}, {}, {}, False, LIMITS, encoded=b"\x00{}")


def test_state_survives_a_round_trip():
    targets = [TARGET, evolve(TARGET, id="t2", held=None, draining=True)]
    known = decode_state(encode_state(CONFIGURATION, targets))
    assert known.configuration_bytes == CONFIGURATION.encoded
    assert list(known.targets) == targets


def test_state_without_a_configuration_is_encoded_as_empty():
    assert decode_state(encode_state(None, [])).configuration_bytes == b""


@pytest.mark.parametrize(
    "message",
    [b"", b"[]", b"{}", b'{"configuration": 4, "targets": []}',
     b'{"configuration": "", "targets": [{"id": "t1"}]}',
     b'{"configuration": "", "targets": ["t1"]}'],
)  # fmt: skip
def test_malformed_messages_are_rejected(message):
    with pytest.raises(ValueError):
        decode_state(message)


OTHER_TARGET = evolve(TARGET, id="t2")
ODD_FIELDS = {
    "port-zero": {"address": "10.0.0.1:0"},
    "address-a-number": {"address": 7},
    "address-with-a-space": {"address": "a b:80"},
    "layers-too-large": {"held": LayerRange(0, 10**18)},
    "layers-reversed": {"held": LayerRange(9, 3)},
    "layers-of-text": {"held": LayerRange("3", "9")},
    "start-a-text": {"born_ms": "7"},
    "renewals-negative": {"entry_number": -1},
    "accelerator-a-list": {"accelerator": ["big"]},
    "slots-too-large": {"slots": 10**18},
}


@pytest.mark.parametrize("whole", [True, False], ids=["full-list", "changes"])
@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_an_odd_target_of_a_relay_is_left_out_and_the_others_hold(fields, whole):
    """It was used as it came: path search and placement failed for all requests."""
    odd = evolve(TARGET, **fields)
    changes = decode_changes(encode_changes(5, [odd, OTHER_TARGET], (), whole=whole))
    assert changes.targets == (OTHER_TARGET,)
    assert changes.removed == ("t1",)
    assert decode_state(encode_state(None, [odd, OTHER_TARGET])).targets == (
        OTHER_TARGET,
    )


def test_a_target_with_an_odd_id_is_left_out():
    """An id with a line break can't be sent in a header, so that requests failed."""
    odd = evolve(TARGET, id="t1\r\nx: y")
    changes = decode_changes(encode_changes(5, [odd, OTHER_TARGET], (), whole=False))
    assert changes.targets == (OTHER_TARGET,)
