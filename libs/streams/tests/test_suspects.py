"""Tests of celeryfork_streams.suspects: which lost attempts count as crashes."""

import pytest
from celeryfork_membership.targets import Target
from celeryfork_routing.chains import Chain, Hop
from celeryfork_streams.lost import Lost
from celeryfork_streams.requests import RecoveryKind
from celeryfork_streams.suspects import Suspects, Suspicion


class CountingPoison:
    """Counts crashes and never refuses."""

    def __init__(self) -> None:
        self.crashed_ids: list[str] = []

    def record_crash(self, fingerprint: str, target_id: str) -> None:
        self.crashed_ids.append(target_id)

    def crashes(self, fingerprint: str) -> int:
        return len(self.crashed_ids)

    def check(self, fingerprint: str) -> None:
        return None


def chain_of(*names: str) -> Chain:
    hops = [
        Hop(Target(name, "engine", "m", "d", "127.0.0.1:1", 1), n, n + 1)
        for n, name in enumerate(names)
    ]
    return Chain(tuple(hops), "+".join(names))


def lost(kind: RecoveryKind, engine: str) -> Lost:
    return Lost(kind, frozenset({engine}), "gone")


@pytest.fixture
def poison() -> CountingPoison:
    return CountingPoison()


@pytest.fixture
def suspicion(poison: CountingPoison) -> Suspicion:
    return Suspicion(Suspects(), poison, "f1")


def test_engines_of_one_chain_that_die_together_count_once(suspicion, poison) -> None:
    suspicion.count(lost(RecoveryKind.CUT, "e1"), 2, chain_of("e1", "e2"))
    suspicion.count(lost(RecoveryKind.STAGE_LOST, "e2"), 0, chain_of("e3", "e2"))
    assert poison.crashed_ids == ["e1"]


def test_a_request_that_crashes_each_new_engine_counts_each_time(
    suspicion, poison
) -> None:
    suspicion.count(lost(RecoveryKind.CUT, "e1"), 0, chain_of("e1", "e2"))
    suspicion.count(lost(RecoveryKind.CUT, "e3"), 0, chain_of("e3", "e2"))
    assert poison.crashed_ids == ["e1", "e3"]


def test_an_engine_that_was_taken_over_and_then_ran_counts(suspicion, poison) -> None:
    suspicion.count(lost(RecoveryKind.CUT, "e1"), 2, chain_of("e1", "e2"))
    suspicion.count(lost(RecoveryKind.STAGE_LOST, "e2"), 3, chain_of("e3", "e2"))
    assert poison.crashed_ids == ["e1", "e2"]
