"""What streams need of other libraries, narrowed to what is used here."""

from collections.abc import Callable
from typing import Protocol

from celeryfork_membership.observations import (
    Draining,
    Observation,
    Refused,
    Reset,
    Stalled,
    Succeeded,
)
from celeryfork_membership.targets import Target
from celeryfork_routing.chains import Chain, ChainRequest, ChainResult, Hop

__all__ = [
    "Chain",
    "ChainRequest",
    "ChainResult",
    "Draining",
    "Hop",
    "LayersOf",
    "LoadOf",
    "Observation",
    "PoisonPort",
    "Refused",
    "Reset",
    "RetryBudgetPort",
    "RouterPort",
    "Stalled",
    "Succeeded",
    "Target",
    "ViewPort",
]


class RouterPort(Protocol):
    """Chooses chains."""

    def choose(self, request: ChainRequest) -> Chain:
        """Choose a chain and count it in flight."""

    def release(self, chain: Chain, result: ChainResult) -> None:
        """Count the chain out of flight."""


class ViewPort(Protocol):
    """Knows the targets and takes what was seen of them."""

    def observe(self, target_id: str, observation: Observation) -> None:
        """Take what was seen of a target."""

    def usable(self, target_id: str) -> bool:
        """Return whether the target may be asked."""


class RetryBudgetPort(Protocol):
    """Bounds retries to a share of what succeeds."""

    def record_success(self) -> None:
        """Count a request that succeeded."""

    def try_spend(self) -> bool:
        """Take one retry out of the budget if there is one."""


class PoisonPort(Protocol):
    """Knows the requests that crash their targets."""

    def record_crash(self, fingerprint: str, target_id: str) -> object:
        """Count a crash of a target that ran the request."""

    def crashes(self, fingerprint: str) -> int:
        """Return how many crashes the request is known for."""

    def check(self, fingerprint: str) -> None:
        """Raise RequestRefusedError once there are too many."""


LayersOf = Callable[[str], int]
LoadOf = Callable[[str], float]
