import json

import pytest
from celeryfork_standin.engine import EngineSpec, make_engine_fleet
from celeryfork_standin.engine_data import EventFault
from celeryfork_standin.errors import UnknownTargetError
from celeryfork_standin.text import expected_tokens

PROMPT = "hard water in the kettle"


def test_a_chain_streams_the_expected_answer(fleet, helpers):
    events = helpers.open(fleet, "a1", "b1").rest()
    texts = [event["x"] for event in events[:-1]]
    assert texts == expected_tokens("m", PROMPT, 0, 8)
    assert [event["p"] for event in events[:-1]] == list(range(8))
    assert all(event["l"] == [[0, 12], [12, 24]] for event in events[:-1])
    assert events[-1] == {"a": 1, "p": 8, "end": "length"}


def test_the_record_names_each_stage_in_order(fleet, helpers):
    helpers.open(fleet, "a1", "b2").rest()
    ran = fleet.ran
    assert [token.position for token in ran] == list(range(8))
    assert {tuple(s.engine for s in token.stages) for token in ran} == {("a1", "b2")}
    assert all(token.started_s < token.ended_s for token in ran)


def test_an_attempt_resumes_at_its_position(fleet, helpers):
    whole = expected_tokens("m", PROMPT, 0, 8)
    resumed = helpers.open(
        fleet, "a2", "b2", attempt=2, emitted=whole[:3], position=3
    ).rest()
    assert [event["x"] for event in resumed[:-1]] == whole[3:]
    assert resumed[0]["a"] == 2


def test_a_killed_later_stage_is_reported(fleet, helpers):
    stream = helpers.open(fleet, "a1", "b1", max_tokens=5000)
    stream.event()
    fleet.kill("b1")
    assert stream.rest()[-1] == {"a": 1, "error": "stage_lost", "engine": "b1"}


def test_a_killed_first_stage_resets_the_connection(fleet, helpers):
    stream = helpers.open(fleet, "a1", "b1", max_tokens=5000)
    stream.event()
    fleet.kill("a1")
    with pytest.raises(ConnectionResetError):
        stream.rest()
    with pytest.raises(ConnectionRefusedError):
        helpers.open(fleet, "a1", "b1")


def test_a_stalled_engine_goes_on_after_it_resumes(fleet, helpers):
    stream = helpers.open(fleet, "a1", "b1", max_tokens=200)
    stream.event()
    fleet.stall("b1")
    before = fleet.ran_count
    fleet.resume("b1")
    events = stream.rest()
    assert events[-1]["end"] == "length"
    assert fleet.ran_count == 200 > before


def test_closing_the_connection_cancels_the_attempt(fleet, helpers):
    stream = helpers.open(fleet, "a1", "b1", max_tokens=100_000)
    stream.event()
    assert fleet.engine("b1").sequences
    stream.close()
    helpers.wait_until(lambda: not fleet.engine("b1").sequences)


def test_a_leaving_engine_finishes_and_refuses(fleet, helpers):
    running = helpers.open(fleet, "a1", "b1", max_tokens=50)
    running.event()
    fleet.leave("a1")
    fleet.leave("b1")
    assert helpers.open(fleet, "a1", "b1").status == 409
    refused = helpers.open(fleet, "a2", "b1").rest()
    assert refused == [{"a": 1, "error": "leaving", "engine": "b1"}]
    assert running.rest()[-1]["end"] == "length"


def test_a_poison_prompt_crashes_every_engine_that_runs_it(fleet, helpers):
    fleet.poison("boom")
    stream = helpers.open(fleet, "a1", "b1", prompt="go boom")
    with pytest.raises(ConnectionResetError):
        stream.rest()
    helpers.wait_until(lambda: fleet.engine("a1").incarnation == 2)
    assert helpers.open(fleet, "a1", "b1").rest()[-1]["end"] == "length"


def test_an_engine_dies_partway_at_the_token_given(fleet, helpers):
    fleet.kill_after("b1", 3)
    events = helpers.open(fleet, "a1", "b1").rest()
    assert [event.get("p") for event in events] == [0, 1, None]
    assert events[-1]["error"] == "stage_lost"


def test_a_partition_loses_the_stage_beyond_it(fleet, helpers):
    fleet.partition(["westlands"], ["karen"])
    events = helpers.open(fleet, "a1", "b2").rest()
    assert events == [{"a": 1, "error": "stage_lost", "engine": "b2"}]
    fleet.heal()
    assert helpers.open(fleet, "a1", "b2").rest()[-1]["end"] == "length"


@pytest.mark.parametrize(
    ("kind", "seen"),
    [
        (EventFault.DUPLICATE, [(1, 0), (1, 0), (1, 1), (1, 1), (1, 2)]),
        (EventFault.LATE, [(1, 0), (1, 0), (1, 1), (1, 0), (1, 2)]),
        (EventFault.OLD_ATTEMPT, [(0, 0), (1, 0), (0, 1), (1, 1), (1, 2)]),
        (EventFault.SKIPPED, [(1, 2)]),
        (None, [(1, 0), (1, 1), (1, 2)]),
    ],
)
def test_spoilt_events_are_as_asked_for(fleet, helpers, kind, seen):
    fleet.spoil_events("a1", kind)
    events = helpers.open(fleet, "a1", "b1", max_tokens=2).rest()
    assert [(event["a"], event["p"]) for event in events] == seen
    assert fleet.ran_count == 2


def test_a_coverage_gap_lacks_the_last_layer(fleet, helpers):
    fleet.spoil_events("a1", EventFault.COVERAGE_GAP)
    assert helpers.open(fleet, "a1", "b1").event()["l"] == [[0, 12], [12, 23]]


def test_a_garbled_event_is_no_json(fleet, helpers):
    fleet.spoil_events("a1", EventFault.GARBLED)
    line = helpers.open(fleet, "a1", "b1").line()
    with pytest.raises(json.JSONDecodeError):
        json.loads(line)


def test_a_share_of_events_is_spoilt_by_seed(helpers):
    def skipped():
        fleet = make_engine_fleet(seed=5)
        fleet.add(EngineSpec("e1", "m", "westlands", 0, 12))
        fleet.spoil_events("e1", EventFault.SKIPPED, 0.5)
        events = helpers.open(fleet, "e1", max_tokens=40).rest()
        fleet.stop()
        return [event["p"] for event in events]

    first = skipped()
    assert 5 < len(first) < 36
    assert skipped() == first


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ({"position": 3}, 400),
        ({"chain": []}, 400),
        ({"prompt": None}, 400),
        ({"model": "other"}, 404),
        ({"version": "v9"}, 404),
        ({"adapter": "none"}, 404),
    ],
)
def test_bad_requests_run_nothing(fleet, helpers, fields, status):
    assert helpers.open(fleet, "a1", "b1", **fields).status == status
    assert fleet.ran_count == 0


def test_an_unknown_engine_is_named(fleet):
    with pytest.raises(UnknownTargetError, match="'zz'"):
        fleet.kill("zz")
