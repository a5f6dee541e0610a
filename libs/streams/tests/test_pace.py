"""Streams whose chain goes on, but too slowly for their deadline."""

import pytest
from attrs import evolve
from celeryfork_base.outcomes import Outcome
from celeryfork_streams.requests import RecoveryKind, StreamRefusedError

TOKENS = 60
USUAL_S = 0.035
SLOW_S = 0.28
LATE_S = 0.26


def degrade_a_link(paced, usual_s=USUAL_S, slow_s=SLOW_S):
    """Add a chain that is slow after 10 tokens, beside one known to be quick."""
    paced.chain("e2", "l2", usual_s=usual_s, slow_s=usual_s)
    paced.run(TOKENS, 30)
    engine = paced.chain("e1", "l1", usual_s=usual_s, slow_s=slow_s, slow_from=10)
    paced.router.chains.reverse()
    return engine


@pytest.fixture
def slow_link(paced):
    return degrade_a_link(paced)


# The last is the link of test_recovery where its process has a third of its turns.
@pytest.mark.parametrize(
    ("usual_s", "slow_s", "deadline_s"),
    [
        (USUAL_S, SLOW_S, 5),
        (USUAL_S, SLOW_S, 10),
        (USUAL_S, SLOW_S, 14),
        (0.1, 0.8, 30),
    ],
)
def test_a_chain_too_slow_for_the_deadline_is_left(paced, usual_s, slow_s, deadline_s):
    """Each slow token was learned as the chain's own gap, so that none was a stall."""
    slow_link = degrade_a_link(paced, usual_s, slow_s)
    result, texts, _ = paced.run(TOKENS, deadline_s)
    assert result.outcome is Outcome.DONE
    assert texts == [f" t{position}" for position in range(TOKENS)]
    assert [recovery.kind for recovery in result.recoveries] == [RecoveryKind.TOO_SLOW]
    assert slow_link.attempts == 1


def test_a_slow_chain_that_is_in_time_is_kept(paced, slow_link):
    result, _, took_s = paced.run(TOKENS, 30)
    assert (result.recoveries, result.attempts) == ((), 1)
    assert took_s == pytest.approx(10 * USUAL_S + 50 * SLOW_S)


def test_one_late_token_is_no_pace(paced):
    paced.chain("e2", "l2", usual_s=USUAL_S, slow_s=USUAL_S)
    paced.run(TOKENS, 30)
    paced.chain("e1", "l1", usual_s=LATE_S, slow_s=USUAL_S, slow_from=2)
    paced.router.chains.reverse()
    result, _, _ = paced.run(TOKENS, 5)
    assert (result.outcome, result.recoveries) == (Outcome.DONE, ())


def test_lateness_of_the_loop_is_no_pace(paced):
    paced.chain("e2", "l2", usual_s=USUAL_S, slow_s=USUAL_S)
    paced.run(TOKENS, 30)
    engine = paced.chain("e1", "l1", usual_s=USUAL_S, slow_s=USUAL_S)
    engine.loop_late_s_by_position = {3: 0.8}
    paced.router.chains.reverse()
    result, _, _ = paced.run(TOKENS, 6)
    assert (result.outcome, result.recoveries) == (Outcome.DONE, ())


def refused_with(paced, deadline_s):
    with pytest.raises(StreamRefusedError) as caught:
        paced.run(TOKENS, deadline_s)
    assert caught.value.code == "deadline"
    return caught.value.result.attempts


def test_no_chain_is_left_where_the_whole_model_has_slowed_down(paced):
    """Leaving would multiply the load that slows it."""
    for name in ("e1", "e2", "e3"):
        paced.chain(name, usual_s=SLOW_S, slow_s=SLOW_S)
        paced.run(TOKENS, 30)
        paced.router.chains.reverse()
    assert refused_with(paced, 10) == 1


def test_no_chain_is_left_for_one_that_would_be_late_as_well(paced, slow_link):
    assert refused_with(paced, 1.5) == 1


def test_no_chain_is_left_without_a_retry(paced, slow_link):
    paced.budget.left = 0
    paced.policy = evolve(paced.policy, free_resumptions=0)
    assert refused_with(paced, 10) == 1


# The 32nd token is an eighth one, whose gap is learned.
@pytest.mark.parametrize("late_s_by_position", [{}, {31: 0.8}], ids=["in time", "late"])
def test_a_loop_that_was_late_notices_the_next_stall_as_soon(paced, late_s_by_position):
    """Its lateness was learned as the chain's: the stall took 1.1 s to notice."""
    paced.policy = evolve(paced.policy, gap_factor=2.5)
    paced.chain("e1", usual_s=0.02, slow_s=60.0, slow_from=40)
    engine = paced.session.engines_by_address["e1:1"]
    engine.loop_late_s_by_position = late_s_by_position
    paced.chain("e2", usual_s=0.02, slow_s=0.02)
    result, _, _ = paced.run(TOKENS, 30)
    [stall] = result.recoveries
    assert stall.kind is RecoveryKind.STALLED
    assert stall.silent_s < 0.5
