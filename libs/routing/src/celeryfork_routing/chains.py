"""Chains of engines, and what is asked and told about them."""

from attrs import frozen
from celeryfork_membership.targets import Target


@frozen
class Hop:
    """A run of layers ``[first, last)`` on one engine."""

    target: Target
    first: int
    last: int

    @property
    def layers(self) -> int:
        """The number of layers it runs."""
        return self.last - self.first


@frozen
class Chain:
    """Hops that cover the layers of a model exactly once, in order."""

    hops: tuple[Hop, ...]
    id: str


@frozen
class ChainRequest:
    """What a chain is wanted for.

    Parameters
    ----------
    model, layers
        The model and its number of layers.
    prompt_key
        The same for prompts with a common beginning, such as the cache events' prefix.
    prompt_tokens, expected_tokens
        Estimates of the prompt's and the answer's length.
    domain
        Failure domain that asks; where it is empty, the router's own.
    avoid
        Ids of targets that must not be used.
    keep
        Hops of an earlier attempt that should be used again as far as they live.
    """

    model: str
    layers: int
    prompt_key: str = ""
    prompt_tokens: int = 0
    expected_tokens: int = 1
    domain: str = ""
    avoid: frozenset[str] = frozenset()
    keep: tuple[Hop, ...] = ()


@frozen
class ChainResult:
    """What became of an attempt over a chain.

    Parameters
    ----------
    tokens
        Tokens that came.
    seconds_to_first, seconds_total
        From the start of the attempt; the first is None if no token came.
    failed_target
        Id of the target that failed, None if none did.
    """

    tokens: int
    seconds_to_first_token: float | None
    seconds_total: float
    failed_target_id: str | None = None
