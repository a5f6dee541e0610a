"""Tests of celeryfork_calls.claim_table: several instances on a log with faults."""

import random
from collections import Counter

import hypothesis.strategies as st
import pytest
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError
from celeryfork_base.identity import Incarnation, make_uuid7
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claim_attempts import Attempt, AttemptState
from celeryfork_calls.claim_fold import hash_body
from celeryfork_calls.claim_results import Claimed, Refused, Replay
from celeryfork_calls.claims import make_claim_coordinator
from celeryfork_calls.kept_outcomes import KeptOutcome
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

ORGANISATION = "troskgille"
BODY_HASH = hash_body(b"milk")
RETENTION_S = 130.0
WINDOW_S = 100.0
SKEW_S = 5.0
MAX_COORDINATORS = 4
FAULTS = ["", "", "", "refuse", "lose", "late", "vanish"]
# Relative frequency of each step.
WEIGHTS_BY_STEP = {
    "call": 10,
    "append": 10,
    "read": 10,
    "take_grant": 6,
    "send": 6,
    "fail_to_send": 2,
    "answer": 3,
    "deadline": 3,
    "append_again": 2,
    "release_late": 2,
    "new_key": 2,
    "advance": 3,
    "kill": 1,
    "join": 1,
    "outage": 1,
}
STEPS = [name for name, weight in WEIGHTS_BY_STEP.items() for _ in range(weight)]


class SkewedClock:
    """Clock of an instance that differs from the log's by less than the skew."""

    def __init__(self, base: ManualClock, difference_ms: int) -> None:
        self._base = base
        self._difference_ms = difference_ms

    def monotonic(self) -> float:
        return self._base.monotonic()

    def wall_ms(self) -> int:
        return self._base.wall_ms() + self._difference_ms


class ClaimMachine(RuleBasedStateMachine):
    """State machine of calls, faults, restarts and pauses in any order."""

    def __init__(self, fake_log_class) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.log = fake_log_class(self.clock)
        self.log.poll_s = 0.0
        self.coordinators = []
        self.started = 0
        self.keys = []
        self.open = []  # (coordinator, attempt) whose caller waits
        self.granted = []  # (coordinator, attempt) granted but not sent yet
        self.sent = []  # (coordinator, attempt) sent, without an outcome yet
        self.told_not_run = []
        self.ran = Counter()
        self.outcome_by_key = {}
        for _ in range(2):
            self.join(0)

    @rule(name=st.sampled_from(STEPS), number=st.integers(0, 15))
    def step(self, name, number):
        """Take a step; ``number`` selects its instance, call, fault or duration."""
        getattr(self, name)(number)

    @staticmethod
    def skew_ms(number):
        return (number - 8) * 200

    def coordinator(self, number):
        return self.coordinators[number % len(self.coordinators)]

    def join(self, number):
        """Start an instance that has read nothing of the log."""
        if len(self.coordinators) < MAX_COORDINATORS:
            self.started += 1
            coordinator = make_claim_coordinator(
                self.log,
                Incarnation("i", self.started),
                SkewedClock(self.clock, self.skew_ms(number)),
                Counters(),
                RETENTION_S,
                window_s=WINDOW_S,
                skew_s=SKEW_S,
                commit_wait_s=0.0,
            )
            self.coordinators.append(coordinator)

    def kill(self, number):
        """Stop an instance with its calls unfinished, and start a new one."""
        stopped = self.coordinator(number)
        self.coordinators.remove(stopped)
        self.open = [c for c in self.open if c[0] is not stopped]
        self.granted = [c for c in self.granted if c[0] is not stopped]
        self.sent = [c for c in self.sent if c[0] is not stopped]
        self.join(number)

    def new_key(self, number):
        created_ms = self.clock.wall_ms() + self.skew_ms(number)
        self.keys.append(str(make_uuid7(created_ms)))

    def call(self, number):
        if not self.keys:
            self.new_key(0)
        key = self.keys[-1 - (number // 4) % min(2, len(self.keys))]
        coordinator = self.coordinator(number)
        if coordinator._key_error(key) is not None:
            return
        match coordinator.table.look_up_or_begin(ORGANISATION, key, BODY_HASH):
            case Attempt() as attempt:
                self.open.append((coordinator, attempt))
            case Replay(kept):
                assert kept == self.outcome_by_key[key]
            case Refused(error):
                assert error.outcome is Outcome.NOT_RUN

    def append(self, number):
        self.log.faults = [FAULTS[number // 2 % len(FAULTS)]]
        for _ in range(30):
            if self.coordinator(number).table.commit.append_next():
                break
            self.clock.advance(0.1)
        self.log.faults = []

    def read(self, number):
        try:
            self.coordinator(number).follower.read_next()
        except CeleryforkError:
            assert self.log.down

    def release_late(self, number):
        self.log.release_delayed()

    def outage(self, number):
        self.log.outage(number % 4 == 0)

    def advance(self, number):
        self.clock.advance([0.1, 1.0, 10.0, 40.0][number % 4])
        self.log.expire(RETENTION_S)

    def append_again(self, number):
        if self.open:
            coordinator, attempt = self.open[number % len(self.open)]
            coordinator.table.append_again(attempt, 0.0)

    def deadline(self, number):
        """End a caller's wait; its claim is then granted, lost or given up."""
        if self.open:
            coordinator, attempt = self.open.pop(number % len(self.open))
            coordinator.table.give_up_if_undecided(attempt)
            assert attempt.state is not AttemptState.WAITING
            if attempt.state is AttemptState.GRANTED:
                self.granted.append((coordinator, attempt))
            elif attempt.state is not AttemptState.LOST:
                self.told_not_run.append(attempt)

    def take_grant(self, number):
        granted = [c for c in self.open if c[1].state is AttemptState.GRANTED]
        if granted:
            call = granted[number % len(granted)]
            self.open.remove(call)
            self.granted.append(call)

    def send(self, number):
        if self.granted:
            coordinator, attempt = self.granted.pop(number % len(self.granted))
            self.ran[attempt.claim.key] += 1
            self.sent.append((coordinator, attempt))

    def fail_to_send(self, number):
        if self.granted:
            coordinator, attempt = self.granted.pop(number % len(self.granted))
            self.finish(coordinator, attempt, Outcome.NOT_RUN)
            self.told_not_run.append(attempt)

    def answer(self, number):
        if self.sent:
            outcome = [Outcome.DONE, Outcome.FAILED, Outcome.UNKNOWN][number % 3]
            self.finish(*self.sent.pop(number % len(self.sent)), outcome)

    def finish(self, coordinator, attempt, outcome):
        claim = attempt.claim
        kept = KeptOutcome(
            organisation=claim.organisation,
            key=claim.key,
            outcome=outcome,
            status=200,
            content_type="text/plain",
            body=claim.nonce.encode(),
            body_hash=claim.body_hash,
            kept_ms=0,
        )
        self.outcome_by_key[claim.key] = kept
        claimed = Claimed(ORGANISATION, claim.key, claim.body_hash, claim.nonce)
        coordinator.table.finish(claimed, kept)

    @invariant()
    def each_key_runs_at_most_once(self):
        assert all(count == 1 for count in self.ran.values())

    @invariant()
    def told_not_run_is_never_granted(self):
        assert all(a.state is not AttemptState.GRANTED for a in self.told_not_run)


def test_a_key_runs_at_most_once_under_any_faults(fake_log_class):
    run_state_machine_as_test(
        lambda: ClaimMachine(fake_log_class),
        settings=settings(
            max_examples=60,
            stateful_step_count=80,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize("seed", range(8))
def test_a_key_runs_at_most_once_in_long_random_runs(fake_log_class, seed):
    generator = random.Random(seed)
    machines = [ClaimMachine(fake_log_class) for _ in range(40)]
    for machine in machines:
        for _ in range(400):
            machine.step(generator.choice(STEPS), generator.randrange(16))
            machine.each_key_runs_at_most_once()
            machine.told_not_run_is_never_granted()
    assert sum(sum(m.ran.values()) for m in machines) > 100


@pytest.fixture
def two_coordinators(fake_log_class):
    """Return a machine and its two coordinators, which run no threads."""
    machine = ClaimMachine(fake_log_class)
    return machine, *machine.coordinators


def begin(machine, coordinator, key):
    attempt = coordinator.table.look_up_or_begin(ORGANISATION, key, BODY_HASH)
    assert isinstance(attempt, Attempt)
    return attempt


def test_a_claim_read_after_an_earlier_one_expired_is_not_granted(two_coordinators):
    machine, one, two = two_coordinators
    machine.new_key(8)
    (key,) = machine.keys
    first = begin(machine, one, key)
    one.table.commit.append_next()
    one.follower.read_next()
    assert first.state is AttemptState.GRANTED
    machine.clock.advance(WINDOW_S - 1)
    second = begin(machine, two, key)
    two.table.commit.append_next()
    machine.clock.advance(40)
    machine.log.expire(RETENTION_S)
    two.follower.read_next()
    assert second.state is AttemptState.UNPROVEN


def test_a_claim_appended_after_the_window_is_not_granted(two_coordinators):
    machine, one, _ = two_coordinators
    machine.new_key(8)
    attempt = begin(machine, one, machine.keys[0])
    machine.log.faults = ["late"]
    one.table.commit.append_next()
    machine.clock.advance(WINDOW_S + SKEW_S + 1)
    machine.log.release_delayed()
    one.follower.read_next()
    assert attempt.state is AttemptState.UNPROVEN


def test_a_claim_queued_again_after_a_lost_answer_is_still_abandoned(two_coordinators):
    machine, one, two = two_coordinators
    machine.new_key(8)
    attempt = begin(machine, one, machine.keys[0])
    machine.log.faults = ["late"]
    one.table.commit.append_next()
    one.table.append_again(attempt, 0.0)
    one.table.give_up_if_undecided(attempt)
    machine.log.release_delayed()
    machine.append(0)
    two.follower.read_next()
    assert begin(machine, two, machine.keys[0])


def test_after_a_record_of_a_newer_version_only_newer_keys_are_granted(
    two_coordinators,
):
    machine, one, _ = two_coordinators
    machine.new_key(8)
    old = begin(machine, one, machine.keys[0])
    machine.log.append("claims", '{"v":2,"by":"x@1","e":[]}', "", 1.0)
    one.table.commit.append_next()
    machine.clock.advance(SKEW_S + 1)
    machine.new_key(8)
    new = begin(machine, one, machine.keys[1])
    machine.append(0)
    one.follower.read_next()
    assert old.state is AttemptState.UNPROVEN
    assert new.state is AttemptState.GRANTED


def test_an_undecided_claim_cannot_be_finished(two_coordinators):
    machine, one, _ = two_coordinators
    machine.new_key(8)
    attempt = begin(machine, one, machine.keys[0])
    with pytest.raises(ValueError, match="granted"):
        machine.finish(one, attempt, Outcome.DONE)
