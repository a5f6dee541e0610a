"""Rates of demand at one instance, their bounds, and sums over instances."""

import random

import pytest
from celeryfork_admission import demand
from celeryfork_admission.demand import (
    IDLE_TTL_S,
    MAX_EXPONENT,
    MAX_REPORT_ROWS,
    MAX_URGENCIES,
    DemandMeter,
    merge_demand,
    scale_demand,
    subtract_demand,
)
from celeryfork_admission.service_load import DemandRow, ServiceDemand, Urgency

URGENT, LATER = Urgency(0, 0), Urgency(0, 1)


def run(meter, arrivals_per_s, seconds, begin_s=0.0, organisation="a", tokens=100.0):
    """Record regular arrivals; return the time after the last one."""
    for number in range(int(arrivals_per_s * seconds)):
        now_s = begin_s + number / arrivals_per_s
        meter.record_arrival("llm", URGENT, organisation, tokens, now_s)
    return begin_s + seconds


def tokens_by_organisation(report):
    return {row.organisation: row.tokens_per_s for row in report.rows}


def total(report):
    return sum(row.tokens_per_s for row in report.rows)


def make_demand(*rows, admitted=0.0, released=0.0):
    return ServiceDemand("llm", tuple(rows), admitted, released)


def test_a_rate_follows_the_arrivals_of_about_a_second():
    meter = DemandMeter()
    now_s = run(meter, 50, 5)
    assert total(meter.report("llm", now_s)) == pytest.approx(5_000, rel=0.02)
    assert total(meter.report("llm", now_s + 1)) == pytest.approx(1_840, rel=0.02)
    now_s = run(meter, 10, 5, now_s)
    (row,) = meter.report("llm", now_s).rows
    assert row.requests_per_s == pytest.approx(10, rel=0.1)


def test_rates_are_right_after_the_landmark_was_moved():
    """Weights grow with time: without a new landmark they overflow in 12 minutes."""
    meter = DemandMeter()
    for begin_s in (0.0, MAX_EXPONENT - 2, 2 * MAX_EXPONENT, 1e6):
        now_s = run(meter, 50, 5, begin_s)
        assert total(meter.report("llm", now_s)) == pytest.approx(5_000, rel=0.02)


def test_admissions_and_releases_are_rates_of_their_own():
    meter = DemandMeter()
    for number in range(500):
        meter.record_admission("llm", 10.0, number / 100)
        meter.record_release("llm", 30.0, number / 100)
    report = meter.report("llm", 5.0)
    assert report.rows == ()
    assert report.admitted_tokens_per_s == pytest.approx(1_000, rel=0.02)
    assert report.released_tokens_per_s == pytest.approx(3_000, rel=0.02)
    assert meter.active_services(5.0) == []


def test_the_largest_organisations_have_rows_and_the_others_one_together():
    meter, draw = DemandMeter(), random.Random(3)
    names = [f"o{number}" for number in range(500)]
    weights = [1 / (1 + number) for number in range(500)]
    for number in range(20_000):
        organisation = draw.choices(names, weights)[0]
        meter.record_arrival("llm", URGENT, organisation, 10.0, number / 2_000)
    report = meter.report("llm", 10.0)
    single = [row for row in report.rows if row.organisation is not None]
    assert len(single) == MAX_REPORT_ROWS
    assert {f"o{number}" for number in range(8)} <= set(tokens_by_organisation(report))
    rows = meter._by_service["llm"].by_urgency[URGENT].rows
    largest = sorted(rows, key=lambda name: rows[name].tokens)[-MAX_REPORT_ROWS:]
    assert {row.organisation for row in single} == set(largest)
    (rest,) = [row for row in report.rows if row.organisation is None]
    assert rest.organisations == len(rows) - MAX_REPORT_ROWS
    assert total(report) == pytest.approx(20_000, rel=0.02)


def test_requests_without_an_organisation_have_no_row_of_an_organisation():
    meter = DemandMeter()
    now_s = run(meter, 50, 5, organisation=None)
    (row,) = meter.report("llm", now_s).rows
    assert (row.organisation, row.organisations) == (None, 1)


def test_an_organisation_that_is_not_seen_any_more_is_dropped():
    meter = DemandMeter()
    meter.record_arrival("llm", URGENT, "a", 10.0, 0.0)
    meter.record_arrival("llm", URGENT, "b", 10.0, IDLE_TTL_S)
    meter.record_arrival("llm", URGENT, "b", 10.0, IDLE_TTL_S + 1)
    assert set(tokens_by_organisation(meter.report("llm", IDLE_TTL_S + 1))) == {"b"}
    assert meter.active_services(IDLE_TTL_S + 1) == ["llm"]
    assert meter.active_services(3 * IDLE_TTL_S) == []
    assert meter._by_service == {}
    assert meter._tracked == 0


def test_arrivals_beyond_the_bound_count_for_the_rest(monkeypatch):
    """Guards against memory that grows with invented organisations."""
    monkeypatch.setattr(demand, "MAX_TRACKED", 100)
    meter = DemandMeter()
    for number in range(1_000):
        meter.record_arrival("llm", URGENT, f"o{number}", 10.0, number / 1_000)
    assert meter._tracked == 100
    assert total(meter.report("llm", 1.0)) == pytest.approx(6_321, rel=0.01)
    meter.record_arrival("llm", URGENT, "o1", 1e6, 1.0)
    meter.record_arrival("llm", URGENT, "new", 1e6, 1.0)
    assert total(meter.report("llm", 1.0)) == pytest.approx(2_006_321, rel=0.01)
    meter.record_arrival("llm", URGENT, "new", 10.0, 20.0)
    assert meter._tracked == 1


def test_arrivals_without_a_kept_organisation_are_reported(monkeypatch):
    """All kept organisations have rows of their own here, and there is no other one."""
    monkeypatch.setattr(demand, "MAX_TRACKED", 1)
    meter = DemandMeter()
    meter.record_arrival("llm", URGENT, "a", 10.0, 0.0)
    meter.record_arrival("llm", URGENT, "b", 30.0, 0.0)
    assert tokens_by_organisation(meter.report("llm", 0.0)) == {"a": 10, None: 30}


def test_urgencies_are_bounded_without_losing_demand():
    meter = DemandMeter()
    for priority in range(MAX_URGENCIES + 5):
        meter.record_arrival("llm", Urgency(0, priority), "a", 10.0, 0.0)
    report = meter.report("llm", 0.0)
    assert len({row.urgency for row in report.rows}) == MAX_URGENCIES
    assert total(report) == pytest.approx(10.0 * (MAX_URGENCIES + 5))


def test_reports_are_summed_by_urgency_and_organisation():
    merged = merge_demand(
        [
            make_demand(DemandRow(URGENT, "a", 10, 1), admitted=5, released=3),
            make_demand(
                DemandRow(URGENT, "a", 5, 2), DemandRow(LATER, "a", 7, 1), admitted=1
            ),
        ]
    )
    assert merged == make_demand(
        DemandRow(URGENT, "a", 15, 3), DemandRow(LATER, "a", 7, 1),
        admitted=6, released=3,
    )  # fmt: skip


def test_rows_beyond_the_bound_are_added_to_the_rest_of_their_urgency():
    rows = [DemandRow(URGENT, f"o{n}", 100 + n, 1) for n in range(4)]
    rest = DemandRow(URGENT, None, 50, 5, organisations=3)
    merged = merge_demand([make_demand(*rows, rest)], max_rows=2)
    assert set(tokens_by_organisation(merged)) == {"o3", "o2", None}
    assert merged.rows[-1] == DemandRow(URGENT, None, 251, 7, organisations=3)
    merged = merge_demand([make_demand(*rows)], min_share=0.25)
    assert set(tokens_by_organisation(merged)) == {"o3", "o2", None}
    assert merged.rows[-1].organisations == 2


def test_the_organisations_of_a_rest_are_not_counted_for_each_instance():
    """A rest of 60 times its organisations would get the shares of as many."""
    rest = DemandRow(URGENT, None, 50, 5, organisations=8)
    (row,) = merge_demand([make_demand(rest)] * 60).rows
    assert (row.tokens_per_s, row.organisations) == (3_000, 8)


def test_a_sum_without_one_report_is_that_of_the_others():
    one = make_demand(
        DemandRow(URGENT, "a", 10, 1), DemandRow(URGENT, "b", 4, 1), admitted=2
    )
    other = make_demand(DemandRow(URGENT, "a", 30, 3), DemandRow(URGENT, "c", 5, 1))
    whole = merge_demand([one, other], max_rows=1)
    left = subtract_demand(whole, one)
    assert tokens_by_organisation(left) == {"a": 30, None: 5}
    assert left.admitted_tokens_per_s == 0
    # A newer report may have grown: no rate falls below 0.
    assert total(subtract_demand(whole, scale_demand(one, 9))) == 0


def test_there_is_no_sum_of_nothing():
    with pytest.raises(ValueError, match="no report"):
        merge_demand([])
