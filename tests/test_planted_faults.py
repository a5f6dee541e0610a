"""Each promise broken on purpose: the checker reports it, so that tests can fail."""

import pytest
from celeryfork_bench.checker import Left
from celeryfork_bench.field import Event, Field
from celeryfork_bench.rig import Rig
from celeryfork_calls.claim_results import Claimed
from celeryfork_calls.claims import ClaimCoordinator
from celeryfork_calls.retry_decisions import TryAnotherTarget
from celeryfork_config.follower import ConfigFollower
from celeryfork_membership.target_table import TargetEntry
from celeryfork_streams.engine_client import generate_body
from celeryfork_streams.events import Ended, EventReader
from orjson import loads
from trial import model_asks, new_key, plain_asks, run_trial, small_rig


@pytest.fixture
def rig():
    with small_rig() as made:
        yield made


def lose_every_answer(rig: Rig) -> None:
    for spec in rig.deployment.service_specs():
        rig.services.lose_answers(spec.id, 1.0)


def test_without_a_planted_fault_nothing_is_reported(rig: Rig) -> None:
    asks = model_asks(20, 1.0) + plain_asks("book", 20, 1.0)
    trial = run_trial(rig, sorted(asks, key=lambda ask: ask.at_s))
    assert trial.violations == ()


def test_layers_left_out_are_reported(rig: Rig, monkeypatch) -> None:
    def first_stage_only(request, attempt, stages, emitted):
        return generate_body(request, attempt, stages[:1], emitted)

    monkeypatch.setattr("celeryfork_streams.attempt.generate_body", first_stage_only)
    assert run_trial(rig, model_asks(3, 0.3)).promises == {"layers"}


def test_doubled_positions_are_reported(rig: Rig, monkeypatch) -> None:
    def pass_everything(reader: EventReader, line: bytes):
        event = loads(line)
        if "x" in event:
            reader.position += 1
            return event["x"]
        return Ended(event["end"], event["p"]) if "end" in event else None

    monkeypatch.setattr(EventReader, "read", pass_everything)
    for spec in rig.deployment.engine_specs():
        rig.engines.spoil_events(spec.id, "duplicate", 0.5)
    assert run_trial(rig, model_asks(5, 0.5)).promises == {"own_whole_answer"}


def test_not_run_after_a_send_is_reported(rig: Rig, monkeypatch) -> None:
    def never_ran(result, rejects_before_running):
        return TryAnotherTarget("planted", may_have_run=False)

    monkeypatch.setattr("celeryfork_calls.dispatch.decide_retry", never_ran)
    lose_every_answer(rig)
    assert run_trial(rig, plain_asks("slots", 3, 0.3)).promises == {"not_run"}


def test_a_claim_granted_twice_is_reported(rig: Rig, monkeypatch) -> None:
    def grant(book, organisation, key, body_hash, deadline_s):
        return Claimed(organisation, key, body_hash, new_key())

    monkeypatch.setattr(ClaimCoordinator, "claim", grant)
    monkeypatch.setattr(ClaimCoordinator, "finish", lambda book, claimed, kept: None)
    lose_every_answer(rig)
    assert run_trial(rig, plain_asks("cancel", 3, 0.3)).promises == {"at_most_once"}


def test_work_for_a_leaving_target_is_reported(rig: Rig, monkeypatch) -> None:
    def show_leaving(field: Field) -> None:
        field.left.append(Left("rw-low-01", field.began_s))
        field.rig.platform.instances.leave("rw-low-01")

    monkeypatch.setattr(TargetEntry, "leaving", property(lambda entry: False))
    trial = run_trial(rig, model_asks(60, 5.0), [Event(0.0, "leaves", show_leaving)])
    assert trial.promises == {"leaving"}


def test_a_stop_without_waiting_is_reported(rig: Rig, monkeypatch) -> None:
    monkeypatch.setattr("celeryfork_daemon.entry.stop_gracefully", lambda plan: False)
    name = rig.deployment.entries[0].id
    stop = Event(0.5, "stops", lambda field: field.replace_entry(name))
    trial = run_trial(rig, model_asks(20, 0.5, tokens=300), [stop])
    assert trial.promises == {"planned_stop"}


def test_configuration_that_goes_back_is_reported(rig: Rig, monkeypatch) -> None:
    old = rig.daemons()[0].parts.follower.current
    real = ConfigFollower.current.fget
    offset = rig.publish([{"name": "policy/default", "payload": {}}])
    rig.wait_in_force(offset, timeout_s=17)

    def revert(field: Field) -> None:
        monkeypatch.setattr(ConfigFollower, "current", property(lambda _: old))

    trial = run_trial(rig, plain_asks("slots", 20, 1.0), [Event(0.5, "back", revert)])
    monkeypatch.setattr(ConfigFollower, "current", property(real))
    assert trial.promises == {"configuration"}
