"""Interfaces that the platform adapter implements, and their data types."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen
from celeryfork_routing.engine_loads import LayerPath
from celeryfork_routing.layers import LayerRange

from celeryfork_entry.caller_http import CallerRequest
from celeryfork_entry.configuration import Configuration
from celeryfork_entry.log_position import LogPosition
from celeryfork_entry.target_http import OutgoingRequest
from celeryfork_entry.targets import ListChange, Target


class StoreUnavailableError(ConnectionError):
    """The platform's store sent no usable reply."""


@frozen
class RequestMetadata:
    """Metadata from the headers of a caller's request.

    Parameters
    ----------
    id
        Identifier of this attempt of the caller, None if not given.
    key
        API key of the organisation, None if not given.
    left_s
        Seconds for which the caller still waits, None if not given.
    prompt_tokens, max_answer_tokens, expected_answer_tokens
        Number of tokens of the prompt, the maximum and the expected number of tokens of
        the answer; 0 if not given.
    last_event
        Number of the last event that the caller has from an earlier attempt, None if it
        has none.
    has_unknown_last_event
        True if the caller names a last event whose number can't be read.
    host, path
        Requested host without its port, and path without the query.
    shared_parts
        Ids of the parts of the prompt that other requests may share, in their order;
        not the last part, which belongs to this request alone.
    """

    id: str | None
    host: str
    path: str
    key: str | None
    left_s: float | None
    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: float
    last_event: int | None
    shared_parts: tuple[str, ...] = ()
    has_unknown_last_event: bool = False


@frozen
class ForwardingOptions:
    """How a request is forwarded to a target.

    Parameters
    ----------
    organisation
        Name of the caller's organisation, None on an open route without a key.
    left_s
        Seconds left until the answer is due.
    path
        Engines that run the model's layers, None for a plain service.
    after_event
        Number of the event after which a stream continues, None to start it.
    priority
        Priority in the queue of the target, 0 is the most urgent.
    """

    target: Target
    organisation: str | None
    left_s: float
    path: LayerPath | None = None
    after_event: int | None = None
    priority: int = 0


@frozen
class ReplyMetadata:
    """Metadata from the headers of a target's reply.

    Parameters
    ----------
    not_run
        True if the target states that it has not run the request.
    request_id
        Id of the request that the reply belongs to, None if not given.
    at_fault
        Address of the engine that caused a refusal, None if not given.
    limit_per_s
        Requests a second that the target takes from all instances together, infinite if
        it names no limit, None if the reply doesn't tell.
    leaving
        True if the target states that it is leaving.
    """

    not_run: bool
    request_id: str | None
    at_fault: str | None
    limit_per_s: float | None = None
    leaving: bool = False


@frozen
class EngineReport:
    """An engine's report of its own state.

    Parameters
    ----------
    held
        Layers that the engine holds, None if it holds none.
    orders
        Order counter of the engine. An order states the value that it expects.
    busy
        True if an order is in progress.
    born_ms
        Start time of the engine's process, None if not given.
    slowness
        Duration of the engine's work as a multiple of the expected one.
    blocking_address_by_request
        Address of the engine that a stalled request waits for, by request id.
    """

    held: LayerRange | None
    orders: int
    busy: bool
    born_ms: int | None
    slowness: float
    blocking_address_by_request: dict[str, str]


class Dialect(Protocol):
    """The platform's format of headers and messages of callers and targets."""

    def read_request(self, request: CallerRequest) -> RequestMetadata:
        """Return the metadata; raise BadRequestError for invalid headers."""

    def build_target_request(
        self, request: CallerRequest, options: ForwardingOptions
    ) -> OutgoingRequest:
        """Return the request to send to a target."""

    def read_reply(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> ReplyMetadata:
        """Return the metadata of a reply."""

    def reply_headers(
        self, headers: Sequence[tuple[bytes, bytes]]
    ) -> list[tuple[str, bytes]]:
        """Return the headers of a reply that are forwarded to the caller."""

    def build_report_request(self) -> OutgoingRequest:
        """Return the request that queries an engine's report."""

    def read_report(self, body: bytes) -> EngineReport | None:
        """Return the parsed report, None if it is invalid."""

    def build_health_request(self, path: str) -> OutgoingRequest:
        """Return the request that checks if a target is healthy and not draining."""

    def build_layer_order(
        self, layers: LayerRange, fence: int, expected_orders: int
    ) -> OutgoingRequest:
        """Return the order to an engine to load layers."""

    def build_path_order(
        self, request_id: str, path: LayerPath, fence: int
    ) -> OutgoingRequest:
        """Return the order to an engine to continue a request over another path."""


class ConfigurationFeed(Protocol):
    """The configurations from the platform's store, in their order."""

    async def poll(self) -> Configuration | None:
        """Wait a limited time; return the newest configuration, None if unchanged.

        Raises
        ------
        StoreUnavailableError
        """

    def request_full_read(self) -> None:
        """Make the next :meth:`poll` read the current state instead of the changes."""

    async def decode(self, encoded: bytes) -> Configuration | None:
        """Decode a configuration from a peer; return None if it is invalid."""


class TargetFeed(Protocol):
    """The list of targets from the platform's store."""

    async def poll(self) -> Sequence[ListChange] | None:
        """Return the changes since the last call, None if the full list was read.

        Raises
        ------
        StoreUnavailableError
        """

    def request_full_read(self) -> None:
        """Make the next :meth:`poll` read the current state instead of the changes."""

    def full_list(self) -> Sequence[Target]:
        """Return the full list as last read."""

    @property
    def position(self) -> LogPosition | None:
        """Position in the store's log up to which the list was read, None before."""


@frozen
class Peer:
    """An entry instance as known to the other instances.

    Parameters
    ----------
    power
        Speed of its processor as a multiple of a typical core. The most powerful
        instances are given the work for all instances.
    """

    name: str
    domain: str
    address: str
    power: float = 1.0


@frozen
class Leadership:
    """The result of one renewal of the candidacy.

    Parameters
    ----------
    held
        True if this instance is the leader, which places layers.
    fence
        Fencing token, which grows with each change of leader. Engines refuse orders
        with a lower one.
    """

    held: bool
    fence: int


class LeaderElection(Protocol):
    """Registration of the running instances, and election of the leader.

    The leader places the models' layers on engines. Only relays (the instances that
    read the store for their failure domain) become candidates; a leader remains one if
    it ceases to be a relay.
    """

    async def announce(self) -> int:
        """Register this instance with the others, after its start and after a restore.

        Returns
        -------
        int
            Era of the store in which it is registered.

        Raises
        ------
        StoreUnavailableError
        """

    async def renew(self) -> Leadership:
        """Renew the candidacy of this instance for the leadership.

        Raises
        ------
        StoreUnavailableError
        """

    async def peers(self) -> Sequence[Peer]:
        """Return the other registered instances, some of which may have left.

        Raises
        ------
        StoreUnavailableError
        """

    async def resign(self) -> None:
        """Withdraw the candidacy at a planned stop.

        Raises
        ------
        StoreUnavailableError
        """
