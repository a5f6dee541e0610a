"""What streams need from other libraries, and no more."""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen


@frozen
class Target:
    """An engine, as far as streams look at it."""

    id: str
    address: str
    version: str = ""


@frozen
class Hop:
    """One stage of a chain: the layers ``[first, last)`` on one engine."""

    target: Target
    first: int
    last: int


@frozen
class Chain:
    """Engines that together hold every layer, in order."""

    hops: tuple[Hop, ...]
    id: str


@frozen
class ChainRequest:
    """What a chain is chosen for."""

    model: str
    layers: int
    prompt_key: str
    prompt_tokens: int
    expected_tokens: int
    domain: str
    avoid: frozenset[str]
    keep: tuple[Hop, ...]


@frozen
class ChainResult:
    """How a chain did, for the router to learn from."""

    tokens: int
    seconds_to_first: float | None
    seconds_total: float
    failed_target: str | None


class RouterPort(Protocol):
    """Chooses chains."""

    def choose(self, request: ChainRequest) -> Chain:
        """Choose a chain and count it in flight."""

    def release(self, chain: Chain, result: ChainResult) -> None:
        """Count the chain out of flight."""


@frozen
class Refused:
    """The target's address refused the connection."""


@frozen
class Reset:
    """The connection broke while a request ran."""


@frozen
class Draining:
    """The target said that it is leaving."""


@frozen
class Stalled:
    """The target kept the connection and sent nothing."""


@frozen
class Succeeded:
    """The target carried a request to its end."""


Observation = Refused | Reset | Draining | Stalled | Succeeded


class ViewPort(Protocol):
    """Knows the targets and takes what was seen of them."""

    def observe(self, target_id: str, observation: Observation) -> None:
        """Take what was seen of a target."""

    def usable(self, target_id: str) -> bool:
        """Return whether the target may be asked."""


class RetryBudgetPort(Protocol):
    """Bounds retries to a share of what succeeds."""

    def succeeded(self) -> None:
        """Count a request that succeeded."""

    def may_retry(self) -> bool:
        """Take one retry out of the budget if there is one."""


class PoisonPort(Protocol):
    """Knows the requests that crash their targets."""

    def crashed(self, fingerprint: str, target_id: str) -> None:
        """Count a crash of a target that ran the request."""

    def crashes(self, fingerprint: str) -> int:
        """Return how many crashes the request is known for."""

    def check(self, fingerprint: str) -> None:
        """Raise RequestRefusedError once there are too many."""


LayersOf = Callable[[str], int]
LoadOf = Callable[[str], float]
