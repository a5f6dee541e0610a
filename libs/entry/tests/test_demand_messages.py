"""Round trip of the demand in reports and digests, and rejection of malformed rows."""

from contextlib import suppress

import pytest
from attrs import evolve
from celeryfork_admission.demand import merge_demand
from celeryfork_admission.service_load import DemandRow, ServiceDemand, Urgency
from celeryfork_entry.demand_messages import (
    MAX_NAME_CHARS,
    MAX_PER_S,
    MAX_ROWS,
    MAX_SERVICES,
    DemandAway,
    DemandSum,
)
from celeryfork_entry.peer_messages import decode, encode_digest, encode_report
from fuzzing import altered, examples
from hypothesis import given
from orjson import dumps, loads
from peer_datagrams import DIGEST, NOW_S, REPORT, stopped_clock

ROW = [0, 1, "xaka200", 1200, 3.5, 1]
REST = [0, 1, None, 90, 0.5, 7]
SERVICE = ["llm", 800, 700, [ROW, REST]]
DEMAND = {"demand": [40, [SERVICE]]}
AWAY = {"demand_away": [{"east": 900}, [SERVICE]]}
DEMAND_OF_SERVICE = ServiceDemand(
    "llm",
    (
        DemandRow(Urgency(0, 1), "xaka200", 1200, 3.5),
        DemandRow(Urgency(0, 1), None, 90, 0.5, organisations=7),
    ),
    800,
    700,
)


@pytest.mark.parametrize(
    ("message", "encode"), [(REPORT, encode_report), (DIGEST, encode_digest)]
)
def test_a_demand_survives_a_round_trip(message, encode):
    with stopped_clock():
        found = decode(dumps(message | DEMAND))
        assert found.demand == DemandSum(NOW_S - 0.04, (DEMAND_OF_SERVICE,))
        assert decode(encode(found)).demand == found.demand
        assert loads(encode(found))["demand"] == DEMAND["demand"]


def test_the_demand_elsewhere_survives_a_round_trip():
    with stopped_clock():
        found = decode(dumps(DIGEST | AWAY))
        sent = DemandAway((DEMAND_OF_SERVICE,), {"east": NOW_S - 0.9})
        assert found.demand_away == sent
        assert decode(encode_digest(found)).demand_away == sent


def test_a_message_without_a_demand_is_that_of_an_earlier_release():
    """During a rolling replacement some instances don't send the fields yet."""
    report, digest = decode(dumps(REPORT)), decode(dumps(DIGEST))
    assert (report.demand, digest.demand, digest.demand_away) == (None, None, None)
    assert "demand" not in loads(encode_report(report))
    assert not {"demand", "demand_away"} & loads(encode_digest(digest)).keys()


def with_row(*row):
    return [["llm", 0, 0, [list(row)]]]


ODD_SERVICES = [
    None, {}, "rows", [None], [[]], [SERVICE[:-1]], [[*SERVICE, 1]],
    [SERVICE] * (MAX_SERVICES + 1),
    [["", 0, 0, []]], [[7, 0, 0, []]], [["s" * (MAX_NAME_CHARS + 1), 0, 0, []]],
    [["llm", -1, 0, []]], [["llm", None, 0, []]], [["llm", 0, "1", []]],
    [["llm", 0, 2 * MAX_PER_S, []]], [["llm", 0, True, []]],
    [["llm", 0, 0, None]], [["llm", 0, 0, {}]], [["llm", 0, 0, [None]]],
    [["llm", 0, 0, [ROW] * (MAX_ROWS + 1)]],
    with_row(*ROW[:-1]), with_row(*ROW, 1),
    with_row("0", 1, "a", 1, 1, 1), with_row(0, None, "a", 1, 1, 1),
    with_row(0, True, "a", 1, 1, 1), with_row(0, 1 << 63, "a", 1, 1, 1),
    with_row(0, 1, "", 1, 1, 1), with_row(0, 1, 7, 1, 1, 1),
    with_row(0, 1, "o" * (MAX_NAME_CHARS + 1), 1, 1, 1),
    with_row(0, 1, "a", -1, 1, 1), with_row(0, 1, "a", "1", 1, 1),
    with_row(0, 1, "a", 2 * MAX_PER_S, 1, 1), with_row(0, 1, "a", 1, None, 1),
    with_row(0, 1, "a", 1, -0.1, 1), with_row(0, 1, "a", 1, 1, 0),
    with_row(0, 1, "a", 1, 1, 1.5), with_row(0, 1, "a", 1, 1, None),
]  # fmt: skip


@pytest.mark.parametrize("services", ODD_SERVICES)
@pytest.mark.parametrize(
    "change",
    [
        lambda rows: REPORT | {"demand": [0, rows]},
        lambda rows: DIGEST | {"demand": [0, rows]},
        lambda rows: DIGEST | {"demand_away": [{}, rows]},
    ],
    ids=["report", "digest", "elsewhere"],
)
def test_malformed_rows_are_rejected(change, services):
    """An odd number in a sum over a domain would reach all its instances."""
    with pytest.raises(ValueError):  # noqa: PT011
        decode(dumps(change(services)))


@pytest.mark.parametrize(
    "fields",
    [
        {"demand": None}, {"demand": []}, {"demand": [0]}, {"demand": [None, []]},
        {"demand": [-1, []]}, {"demand": [1.5, []]}, {"demand": [0, [], 0]},
        {"demand_away": None}, {"demand_away": [[], []]}, {"demand_away": [{}]},
        {"demand_away": [{"east": -1}, []]}, {"demand_away": [{"east": "1"}, []]},
        {"demand_away": [{"east": None}, []]}, {"demand_away": [7, []]},
    ],
)  # fmt: skip
def test_malformed_ages_are_rejected(fields):
    """With a time in the future a sum would never expire."""
    with pytest.raises(ValueError):  # noqa: PT011
        decode(dumps(DIGEST | fields))


def test_an_organisation_with_a_name_that_peers_reject_counts_for_the_rest():
    """Peers would reject the whole datagram, with the loads in it."""
    odd = [evolve(DEMAND_OF_SERVICE.rows[0], organisation=name)
           for name in ("", "\ud800", "o" * (MAX_NAME_CHARS + 1))]  # fmt: skip
    demand = ServiceDemand("llm", tuple(odd), 0, 0)
    nameless = ServiceDemand("s" * (MAX_NAME_CHARS + 1), (), 0, 0)
    report = evolve(decode(dumps(REPORT)), demand=DemandSum(NOW_S, (demand, nameless)))
    with stopped_clock():
        found = decode(encode_report(report)).demand
    (received,) = found.demands
    assert merge_demand([received]).rows == (
        DemandRow(Urgency(0, 1), None, 3600, 10.5),
    )


@examples(200)
@given(altered(DIGEST | DEMAND | AWAY))
def test_any_change_of_a_datagram_gives_a_message_or_a_value_error(fields):
    """Another error would end the handling of datagrams."""
    try:
        data = dumps(fields)
    except TypeError:
        return
    with suppress(ValueError):
        decode(data)
