"""How long a chain may be silent, learned from how long it has been.

Mean and deviation are kept as RFC 6298 keeps those of round trips.
"""

from collections import OrderedDict
from statistics import median

from attrs import define

from celeryfork_streams.policy import StreamPolicy
from celeryfork_streams.ports import Chain

MOST_CHAINS = 4096
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4
MOST_OTHERS = 8
# Gives up exactness of short prompts for a bound that holds when there is no prompt.
PROMPT_BASE_TOKENS = 100


@define
class _Learned:
    """Mean and deviation of a duration, in seconds.

    Parameters
    ----------
    chain_of
        The model whose chain this is of; None for what a whole model has shown.
    """

    mean_s: float
    deviation_s: float
    chain_of: str | None

    def add(self, seconds: float) -> None:
        error = seconds - self.mean_s
        self.deviation_s += DEVIATION_GAIN * (abs(error) - self.deviation_s)
        self.mean_s += MEAN_GAIN * error

    def longest_s(self, factor: float) -> float:
        return factor * self.mean_s + DEVIATIONS * self.deviation_s


class GapBook:
    """The silences of chains; belongs to the event loop's thread.

    A chain is known by its engines. One that is new is taken to be like the others of
    its model.
    """

    def __init__(self) -> None:
        self._between: _Book = OrderedDict()
        self._prefill: _Book = OrderedDict()

    @property
    def known_chains(self) -> int:
        """How many chains' gaps are known, and models'."""
        return len(self._between)

    def token_gap_s(self, chain: Chain, policy: StreamPolicy) -> float:
        """Return the longest silence between tokens, in seconds."""
        learned = _find(self._between, chain)
        longest_s = learned.longest_s(policy.gap_factor) if learned else 0.0
        return _bounded(longest_s, policy.token_gap_floor_s, policy)

    def first_gap_s(
        self, chain: Chain, prompt_tokens: int, load: float, policy: StreamPolicy
    ) -> float:
        """Return the longest silence before the first token, in seconds.

        Parameters
        ----------
        prompt_tokens
            What has to be computed first: the prompt and what was emitted.
        load
            Requests that wait at the first engine, in batches.
        """
        learned = _find(self._prefill, chain)
        if learned is None:
            expected_s = policy.prompt_token_s * prompt_tokens
        else:
            weight = PROMPT_BASE_TOKENS + prompt_tokens
            expected_s = weight * learned.longest_s(policy.gap_factor)
        expected_s = (policy.first_token_floor_s + expected_s) * (1 + load)
        return _bounded(expected_s, policy.first_token_floor_s, policy)

    def others_gap_s(self, chain: Chain) -> float | None:
        """Return the usual gap of the model's chains that share no engine with this.

        Of those that were heard last, the median, in seconds; None where there are
        none.
        """
        engines, model = frozenset(_engines(chain)), chain.hops[0].target.target
        means_s: list[float] = []
        for key in reversed(self._between):
            other = self._between[key]
            if other.chain_of == model and engines.isdisjoint(key):
                means_s.append(other.mean_s)
                if len(means_s) == MOST_OTHERS:
                    break
        return median(means_s) if means_s else None

    def heard(self, chain: Chain, gap_s: float) -> None:
        """Learn a silence between tokens."""
        _learn(self._between, chain, gap_s)

    def heard_first(self, chain: Chain, prompt_tokens: int, gap_s: float) -> None:
        """Learn the silence before a first token."""
        _learn(self._prefill, chain, gap_s / (PROMPT_BASE_TOKENS + prompt_tokens))


# By the ids of a chain's engines, or by the model alone.
_Book = OrderedDict[tuple[str, ...], _Learned]


def _engines(chain: Chain) -> tuple[str, ...]:
    return tuple(hop.target.id for hop in chain.hops)


def _model(chain: Chain) -> tuple[str, ...]:
    return ("model", chain.hops[0].target.target)


def _find(book: _Book, chain: Chain) -> _Learned | None:
    return book.get(_engines(chain)) or book.get(_model(chain))


def _learn(book: _Book, chain: Chain, seconds: float) -> None:
    model = chain.hops[0].target.target
    for key, chain_of in ((_engines(chain), model), (_model(chain), None)):
        learned = book.get(key)
        if learned is not None:
            learned.add(seconds)
            book.move_to_end(key)
            continue
        book[key] = _Learned(seconds, seconds / 2, chain_of)
        if len(book) > MOST_CHAINS:
            book.popitem(last=False)


def _bounded(seconds: float, floor_s: float, policy: StreamPolicy) -> float:
    return min(max(seconds, floor_s), policy.gap_ceiling_s)
