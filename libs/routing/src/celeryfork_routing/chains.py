"""Engine chains, the request for one, and the result of an attempt over one."""

from attrs import frozen
from celeryfork_membership.targets import Target


@frozen
class Hop:
    """The layers ``[first, last)`` that one target runs in a chain.

    Unlike a `Leg` of the router's search, it holds no state of the engine.
    """

    target: Target
    first: int
    last: int

    @property
    def layers(self) -> int:
        """The number of layers that the hop runs."""
        return self.last - self.first


@frozen
class Chain:
    """Hops that cover the layers of a model exactly once, in order."""

    hops: tuple[Hop, ...]
    id: str


@frozen
class ChainRequest:
    """A request for a chain.

    Parameters
    ----------
    model, layers
        Name of the model and its number of layers.
    prompt_key
        Key that is equal for prompts with a common prefix, such as the prefix in the
        engines' cache events.
    prompt_tokens, expected_tokens
        Estimated number of tokens of the prompt and of the answer.
    domain
        Failure domain of the caller; if empty, the router's own.
    avoid
        Ids of targets that must not be used.
    keep
        Hops of an earlier attempt that should be used again if their targets are
        usable.
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
    """The result of an attempt over a chain.

    Parameters
    ----------
    tokens
        Number of tokens received.
    seconds_to_first_token, seconds_total
        Seconds from the start of the attempt; the first is None without a token.
    failed_target_id
        Id of the target that failed, None if none did.
    """

    tokens: int
    seconds_to_first_token: float | None
    seconds_total: float
    failed_target_id: str | None = None
