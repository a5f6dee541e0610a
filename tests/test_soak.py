"""A fixed set of soak schedules; `celeryfork soak` runs more."""

import pytest
from celeryfork_bench.soak import run_schedule, story

SEEDS = (1, 2, 3, 5, 8, 13)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_schedule_of_faults_breaks_no_promise(seed: int) -> None:
    result = run_schedule(seed)
    assert result.calls > 0
    assert result.violations == (), "\n".join(story(result))
