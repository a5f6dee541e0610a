"""Encoding of the state that instances fetch from each other."""

import pytest
from attrs import evolve
from celeryfork_entry.configuration import CallerLimits, Configuration
from celeryfork_entry.peer_state import decode_state, encode_state
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
