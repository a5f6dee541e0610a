"""Tests of celeryfork_streams.streams."""

from celeryfork_base.outcomes import Outcome


def expected(count):
    return [f" t{position}" for position in range(count)]


def test_a_whole_answer_passes_every_position_once(world):
    world.chain("e1", "e2")
    result, sink = world.run()
    assert (result.outcome, result.tokens, result.attempts) == (Outcome.DONE, 12, 1)
    assert sink.texts == expected(12)
    assert sink.ends == [("length", 12)]
    assert result.recoveries == ()
    assert world.budget.successes == 1
