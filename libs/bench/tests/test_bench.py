"""Tests of celeryfork_bench.bench and of experiments whose figures never flicker."""

from attrs import evolve
from celeryfork_bench.bench import BenchOptions, names, run_bench
from celeryfork_bench.checker import Evidence
from celeryfork_bench.experiments.queueing import QueueingRun
from celeryfork_bench.experiments.recovery import pauses_s
from celeryfork_bench.figures import Figure, Verdict
from celeryfork_bench.history import Exchange, ModelAsk
from celeryfork_bench.small import small_deployment
from celeryfork_standin.engine_data import RanStage, RanToken

ASK = ModelAsk("m", "p", 4, 0, stream=True)


def exchange(request_id: str, *token_times_s: float) -> Exchange:
    return Exchange(request_id, "o", ASK, "i", 0.0, token_times_s=list(token_times_s))


def token(request_id: str, attempt: int, engine: str, ended_s: float) -> RanToken:
    stages = (RanStage(engine, 0, 24),)
    return RanToken(f"{request_id}.1", attempt, 0, stages, ended_s - 0.1, ended_s)


def evidence(exchanges: list[Exchange], ran_tokens: list[RanToken]) -> Evidence:
    return Evidence(exchanges, ran_tokens, (), {"m": 24})


def test_recovery_counts_from_the_fault_to_the_next_token_of_a_struck_stream() -> None:
    exchanges = [exchange("struck", 1.0, 2.5, 2.6), exchange("other", 1.0, 2.1)]
    ran = [token("struck", 1, "e1", 1.0), token("other", 1, "e2", 1.0)]
    assert pauses_s(evidence(exchanges, ran), "e1", 2.0) == [0.5]


def test_recovery_leaves_out_streams_that_had_moved_away_before_the_fault() -> None:
    ran = [token("r", 1, "e1", 1.0), token("r", 2, "e2", 1.5)]
    found = evidence([exchange("r", 1.0, 1.5, 2.5)], ran)
    assert pauses_s(found, "e1", 2.0) == []
    assert pauses_s(found, "e2", 2.0) == [0.5]


def test_recovery_leaves_out_streams_that_were_whole_before_the_fault() -> None:
    found = evidence([exchange("r", 1.0)], [token("r", 1, "e1", 1.0)])
    assert pauses_s(found, "e1", 2.0) == []


def test_a_run_in_virtual_time_repeats_exactly() -> None:
    shares = [
        QueueingRun(small_deployment(), "router", seed=3).reached(40, 2, 4)
        for _ in range(2)
    ]
    assert shares[0] == shares[1]
    assert 0 < shares[0] <= 1


def test_only_the_chosen_experiment_runs_and_once_for_all_deployments() -> None:
    told: list[Figure] = []
    deployments = [small_deployment(), evolve(small_deployment(), name="other")]
    options = BenchOptions(quick=True, only=("limits",))
    figures = run_bench(deployments, options, told.append)
    assert figures == told
    assert [figure.verdict for figure in figures] == [Verdict.HOLDS] * 2


def test_names_of_experiments_are_unique() -> None:
    assert len(set(names())) == len(names())
