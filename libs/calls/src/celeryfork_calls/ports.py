"""What this library needs of others, as narrow protocols."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol, TypeVar

from celeryfork_membership.observations import Observation
from celeryfork_membership.targets import Target
from celeryfork_wire.gen.celeryfork import Peer

Reply = TypeVar("Reply")


class LogRecordPort(Protocol):
    """One record of a stream of the platform's log."""

    @property
    def offset(self) -> int:
        """Position in the stream."""

    @property
    def appended_ms(self) -> int:
        """When the log took it, by the log's clock, in milliseconds."""

    @property
    def data(self) -> str:
        """The record's text."""


class LogSlicePort(Protocol):
    """Consecutive records, and the ends of what the stream keeps."""

    @property
    def records(self) -> Sequence[LogRecordPort]:
        """Records in offset order."""

    @property
    def first_offset(self) -> int:
        """Oldest offset kept."""

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""


class LogPort(Protocol):
    """The platform's log client."""

    @property
    def available(self) -> bool:
        """Whether the log is thought to be up."""

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        """Append; PlatformUnavailableError is proof that nothing was appended."""

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
        timeout_s: float,
    ) -> LogSlicePort:
        """Read, waiting up to ``wait_s`` for a record; PlatformUnavailableError."""


class RouterPort(Protocol):
    """The choice of targets for plain services."""

    def choose_service(self, service: str, avoid: frozenset[str]) -> Target:
        """Return a target, counted in flight; RequestRefusedError if there is none."""

    def release_service(self, target: Target, ok: bool, seconds: float) -> None:
        """Say that a chosen target was done with."""


class ViewPort(Protocol):
    """The view of targets, which learns from what calls observe."""

    def observe(self, target_id: str, observation: Observation) -> None:
        """Note what became of an attempt on a target."""


class RetryBudgetPort(Protocol):
    """The share of requests that may be retries."""

    def record_success(self) -> None:
        """Count a success."""

    def try_spend(self) -> bool:
        """Take one retry out of the budget, False if it is spent."""


class PoisonPort(Protocol):
    """Requests known to crash their targets."""

    def record_crash(self, fingerprint: str, target_id: str) -> object:
        """Count a crash."""

    def record_completion(self, fingerprint: str) -> None:
        """Note that the request ran to its end."""

    def record_start(self, fingerprint: str, target_ids: Iterable[str]) -> None:
        """Note where a request starts to run."""

    def record_end(self, fingerprint: str) -> None:
        """Note that it runs no more."""

    def targets_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the targets where other suspects run."""

    def check(self, fingerprint: str) -> None:
        """Raise RequestRefusedError for a request that crashed too often."""


class ServiceKindPort(Protocol):
    """Configuration of one kind of call."""

    @property
    def idempotent(self) -> bool:
        """Whether it may run twice."""

    @property
    def timeout_s(self) -> float:
        """Longest run, in seconds."""

    @property
    def rejects_before_running(self) -> bool:
        """Whether 429 and 503 prove that nothing ran."""

    @property
    def status_path(self) -> str | None:
        """Path of the idempotent status call, with ``{key}``; None if there is none."""


class ServicePort(Protocol):
    """Configuration of one plain service."""

    @property
    def kinds_by_name(self) -> Mapping[str, ServiceKindPort]:
        """Its kinds of call."""


class PolicyPort(Protocol):
    """Bounds that hold for the whole fleet."""

    @property
    def most_attempts(self) -> int:
        """Most sends of one call."""


class ConfigurationPort(Protocol):
    """The part of the configuration in force that plain calls read."""

    @property
    def policy(self) -> PolicyPort:
        """Bounds that hold for the whole fleet."""

    @property
    def services_by_name(self) -> Mapping[str, ServicePort]:
        """Plain services."""


class PeerPoolPort(Protocol):
    """Connections to other instances."""

    def call(
        self,
        address: str,
        call: Callable[[Peer.Client], Reply],
        timeout_s: float,
        *,
        fresh: bool,
    ) -> Reply:
        """Call a peer; PeerUnavailableError tells whether it was sent."""


class PeerViewPort(Protocol):
    """What is known of another instance."""

    @property
    def instance(self) -> str:
        """Its name."""

    @property
    def incarnation(self) -> int:
        """When this run of it started, in milliseconds."""

    @property
    def domain(self) -> str:
        """Its failure domain."""

    @property
    def peer_address(self) -> str:
        """``ip:port`` of its peer server."""

    @property
    def state(self) -> int:
        """Its ``InstanceState``."""


class IdentityPort(Protocol):
    """What this instance is called."""

    @property
    def instance(self) -> str:
        """Its name."""

    @property
    def incarnation(self) -> int:
        """When this run of it started, in milliseconds."""

    @property
    def domain(self) -> str:
        """Its failure domain."""


class GossipPort(Protocol):
    """The membership's view of other instances."""

    @property
    def peers_by_instance(self) -> Mapping[str, PeerViewPort]:
        """Peers that were heard of."""
