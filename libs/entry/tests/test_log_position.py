"""Positions in the store's log, and how peers tell them."""

import pytest
from celeryfork_entry.log_position import LogPosition, parse_position, position_fields


def test_a_later_era_goes_before_a_greater_offset():
    assert LogPosition(1, 900) < LogPosition(2, 3) < LogPosition(2, 4)


@pytest.mark.parametrize("position", [None, LogPosition(0, 0), LogPosition(2, 81)])
def test_positions_are_read_as_told(position):
    assert parse_position(position_fields(position)) == position


def test_an_offset_without_an_era_is_no_position():
    """A peer of an earlier release doesn't tell eras."""
    assert parse_position({"offset": 7}) is None


@pytest.mark.parametrize(
    "fields", [{"offset": "7", "era": 1}, {"offset": 7, "era": 1.5}]
)
def test_malformed_positions_are_rejected(fields):
    with pytest.raises(ValueError):
        parse_position(fields)
