"""Limits of engines: what instances know of them, and how they keep them together."""

from math import inf

from stream_trial import Trial


def test_each_answer_tells_of_a_limit():
    """No log line told that an engine names a limit; a report tells it too."""
    trial = Trial()
    engine = trial.add("x")
    engine.limit_per_s = 5.0
    trial.serve()
    trial.run(trial.checks.ask("x"))
    engine.limit_per_s = inf
    trial.run(trial.checks.ask("x"))
    assert trial.logged("engine_limit") == [
        {"engine": "x", "per_s": 5.0, "own": True},
        {"engine": "x", "per_s": None, "own": True},
    ]
