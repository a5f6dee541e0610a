"""Tests of celeryfork_streams.gaps."""

import pytest
from attrs import evolve
from celeryfork_streams.gaps import MOST_CHAINS, GapBook
from celeryfork_streams.policy import StreamPolicy
from celeryfork_streams.ports import Chain, Hop

POLICY = StreamPolicy(token_gap_floor_s=0.2, gap_factor=8.0, gap_ceiling_s=5.0)


@pytest.fixture
def chain(world):
    def make(name):
        return Chain((Hop(world.make_target(name, "a:1"), 0, 24),), "any id")

    return make


def test_an_unknown_chain_is_allowed_the_floor(chain):
    assert GapBook().token_gap_s(chain("e1"), POLICY) == 0.2


def test_the_allowed_gap_follows_the_chain_within_bounds(chain):
    book = GapBook()
    for _ in range(50):
        book.heard(chain("quick"), 0.005)
        book.heard(chain("slow"), 0.1)
        book.heard(chain("slowest"), 3.0)
    assert book.token_gap_s(chain("quick"), POLICY) == 0.2
    assert book.token_gap_s(chain("slow"), POLICY) == pytest.approx(0.8, rel=0.2)
    assert book.token_gap_s(chain("slowest"), POLICY) == 5.0


def test_a_new_chain_is_taken_to_be_like_its_model(chain):
    book = GapBook()
    for _ in range(50):
        book.heard(chain("e1"), 0.1)
    assert book.token_gap_s(chain("e2"), POLICY) == pytest.approx(0.8, rel=0.2)


def test_one_odd_gap_of_a_new_chain_is_not_its_usual_one(chain):
    """A chain that began with a late token was allowed 1.1 s of silence."""
    book = GapBook()
    for _ in range(50):
        book.heard(chain("e1"), 0.02)
    book.heard(chain("e2"), 0.25)
    assert book.token_gap_s(chain("e2"), evolve(POLICY, gap_factor=2.5)) < 0.5


def test_the_first_gap_grows_with_prompt_and_load(chain):
    book = GapBook()
    first = book.first_gap_s(chain("e1"), 10, 0.0, POLICY)
    assert book.first_gap_s(chain("e1"), 1000, 0.0, POLICY) > first + 0.5
    assert book.first_gap_s(chain("e1"), 10, 2.0, POLICY) == pytest.approx(3 * first)
    for _ in range(50):
        book.heard_first(chain("e1"), 100, 0.1)
    learned = book.first_gap_s(chain("e1"), 100, 0.0, POLICY)
    assert learned == pytest.approx(POLICY.first_token_floor_s + 0.8, rel=0.2)


def test_what_is_learned_is_bounded(chain):
    book = GapBook()
    for number in range(MOST_CHAINS + 50):
        book.heard(chain(f"e{number}"), 0.1)
    assert book.known_chains == MOST_CHAINS
