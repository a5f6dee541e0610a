"""Protocols for the collaborators that this library is given."""

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
        """Time of the append by the log's clock, in milliseconds."""

    @property
    def data(self) -> str:
        """Text of the record."""


class LogSlicePort(Protocol):
    """Consecutive records, and the range of offsets that the stream retains."""

    @property
    def records(self) -> Sequence[LogRecordPort]:
        """Records in offset order."""

    @property
    def first_offset(self) -> int:
        """Oldest offset that is retained."""

    @property
    def next_offset(self) -> int:
        """Offset of the next append."""


class LogPort(Protocol):
    """The platform's log client."""

    @property
    def available(self) -> bool:
        """False while the log is considered down."""

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        """Append a record and return its offset.

        Raises
        ------
        PlatformUnavailableError
            Proof that nothing was appended.
        """

    def read(
        self,
        stream: str,
        from_offset: int,
        limit: int,
        wait_s: float,
        timeout_s: float,
    ) -> LogSlicePort:
        """Read records, waiting up to ``wait_s`` seconds for the first.

        Raises
        ------
        PlatformUnavailableError
            The log could not be read.
        """


class RouterPort(Protocol):
    """Chooses targets for calls of plain services."""

    def choose_service(self, service: str, avoid: frozenset[str]) -> Target:
        """Return a target outside ``avoid`` and count the call as in flight there.

        Raises
        ------
        RequestRefusedError
            There is no such target.
        """

    def release_service(self, target: Target, ok: bool, seconds: float) -> None:
        """End the in-flight call of a chosen target."""


class ViewPort(Protocol):
    """Health of targets, updated by what calls observe."""

    def observe(self, target_id: str, observation: Observation) -> None:
        """Record the result of an attempt on a target."""


class RetryBudgetPort(Protocol):
    """Limits retries to a share of the requests."""

    def record_success(self) -> None:
        """Count a request that was answered."""

    def try_spend(self) -> bool:
        """Take one retry out of the budget; False if the budget is exhausted."""


class PoisonPort(Protocol):
    """Register of requests that crash their targets, by fingerprint."""

    def record_crash(self, fingerprint: str, target_id: str) -> object:
        """Count a crash of a target that ran the request."""

    def record_completion(self, fingerprint: str) -> None:
        """Record that the request ran to completion."""

    def record_start(self, fingerprint: str, target_ids: Iterable[str]) -> None:
        """Record that a request starts to run at these targets."""

    def record_end(self, fingerprint: str) -> None:
        """Record that the request no longer runs."""

    def targets_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the targets where other suspected requests run."""

    def check(self, fingerprint: str) -> None:
        """Refuse a request that has crashed too many targets.

        Raises
        ------
        RequestRefusedError
            The request reached the limit of crashes.
        """


class ServiceKindPort(Protocol):
    """Configuration of one kind of call, such as ``book``."""

    @property
    def idempotent(self) -> bool:
        """True if a call of this kind may run twice."""

    @property
    def timeout_s(self) -> float:
        """Timeout of one send, in seconds."""

    @property
    def rejects_before_running(self) -> bool:
        """True if certain answers prove that the call did not run.

        These are 429, 503 and any answer with X-Draining.
        """

    @property
    def status_path(self) -> str | None:
        """Path of the idempotent status call, with ``{key}``; None without one."""


class ServicePort(Protocol):
    """Configuration of one plain service."""

    @property
    def kinds_by_name(self) -> Mapping[str, ServiceKindPort]:
        """Kinds of call that the service offers."""


class PolicyPort(Protocol):
    """Limits that apply to the whole fleet."""

    @property
    def most_attempts(self) -> int:
        """Maximum number of sends of one call."""


class ConfigurationPort(Protocol):
    """The part of the active configuration that plain calls read."""

    @property
    def policy(self) -> PolicyPort:
        """Limits that apply to the whole fleet."""

    @property
    def services_by_name(self) -> Mapping[str, ServicePort]:
        """Configured plain services."""


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
        """Call a peer on a pooled or, with ``fresh``, a new connection.

        Raises
        ------
        PeerUnavailableError
            The peer did not answer; the error tells whether the call was sent.
        """


class PeerViewPort(Protocol):
    """The latest known state of another instance."""

    @property
    def instance(self) -> str:
        """Name of the instance."""

    @property
    def incarnation(self) -> int:
        """Start time of the instance's process, in milliseconds."""

    @property
    def domain(self) -> str:
        """Failure domain of the instance."""

    @property
    def peer_address(self) -> str:
        """``ip:port`` of the instance's peer server."""

    @property
    def state(self) -> int:
        """An ``InstanceState`` value."""


class IdentityPort(Protocol):
    """Name, incarnation and failure domain of this instance."""

    @property
    def instance(self) -> str:
        """Name of the instance."""

    @property
    def incarnation(self) -> int:
        """Start time of the instance's process, in milliseconds."""

    @property
    def domain(self) -> str:
        """Failure domain of the instance."""


class GossipPort(Protocol):
    """Other instances, as the membership library knows them."""

    @property
    def peers_by_instance(self) -> Mapping[str, PeerViewPort]:
        """Known peers."""
