"""What the entry asks of the platform's adapter."""

from collections.abc import Sequence
from typing import Protocol

from attrs import frozen
from celeryfork_routing.engine_loads import LayerPath
from celeryfork_routing.layers import LayerRange

from celeryfork_entry.caller_http import CallerRequest
from celeryfork_entry.configuration import Configuration
from celeryfork_entry.target_http import OutgoingRequest
from celeryfork_entry.targets import ListChange, Target


class StoreUnavailableError(ConnectionError):
    """The platform's store gave no usable answer."""


@frozen
class RequestMetadata:
    """What a caller's request says of itself.

    Parameters
    ----------
    id
        Identifier of this attempt of the caller, None where there is none.
    left_s
        Time that the caller still waits, None where it doesn't say.
    prompt_tokens, most_answer_tokens, expected_answer_tokens
        Sizes of a generation; 0 where they aren't given.
    last_event
        Last event of an earlier run that the caller has, None for none.
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


@frozen
class ForwardingOptions:
    """How a request is passed on to a target.

    Parameters
    ----------
    organisation
        Name of the caller's organisation, None for an open route without a key.
    path
        Engines that run its layers; None for a plain service.
    after_event
        Event after which a stream goes on, None for its begin.
    priority
        Rank of the request at targets where requests wait, 0 the most urgent.
    """

    target: Target
    organisation: str | None
    left_s: float
    path: LayerPath | None = None
    after_event: int | None = None
    priority: int = 0


@frozen
class ReplyMetadata:
    """What a target's reply says beside its status.

    Parameters
    ----------
    not_run
        The target states that it has not run the request.
    request_id
        The request that the reply belongs to, as far as it says.
    at_fault
        Address of the engine that is the cause of a refusal.
    """

    not_run: bool
    request_id: str | None
    at_fault: str | None


@frozen
class EngineReport:
    """An engine's own account of its state.

    Parameters
    ----------
    busy
        An order is in progress.
    stalled_at
        Address of an engine that each stalled request waits for, by request.
    """

    held: LayerRange | None
    orders: int
    busy: bool
    born_ms: int | None
    slowness: float
    blocking_address_by_request: dict[str, str]


class Dialect(Protocol):
    """The headers and messages of callers and targets."""

    def read_request(self, request: CallerRequest) -> RequestMetadata:
        """Return the facts; raise BadRequestError for faulty headers."""

    def build_target_request(
        self, request: CallerRequest, options: ForwardingOptions
    ) -> OutgoingRequest:
        """Return the request for a target."""

    def read_reply(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> ReplyMetadata:
        """Return what a reply says of the request."""

    def reply_headers(
        self, headers: Sequence[tuple[bytes, bytes]]
    ) -> list[tuple[str, bytes]]:
        """Return a reply's headers for the caller."""

    def build_report_request(self) -> OutgoingRequest:
        """Return the request for an engine's report."""

    def read_report(self, body: bytes) -> EngineReport | None:
        """Return the report, None where it can't be read."""

    def build_health_request(self, path: str) -> OutgoingRequest:
        """Return the question whether a target serves and isn't leaving."""

    def build_layer_order(
        self, layers: LayerRange, fence: int, expected_orders: int
    ) -> OutgoingRequest:
        """Return the order to load layers."""

    def build_path_order(
        self, request_id: str, path: LayerPath, fence: int
    ) -> OutgoingRequest:
        """Return the order to go on with a request over another path."""


class ConfigurationFeed(Protocol):
    """The configurations, in their order."""

    async def poll(self) -> Configuration | None:
        """Wait a bounded time; return the newest configuration if there is a new one.

        Raises
        ------
        StoreUnavailableError
        """

    def request_full_read(self) -> None:
        """Have the next call read what is newest, not what changed meanwhile."""

    async def decode(self, encoded: bytes) -> Configuration | None:
        """Return a configuration that a peer passed on, None if it can't be read."""


class TargetFeed(Protocol):
    """The list of targets."""

    async def poll(self) -> Sequence[ListChange] | None:
        """Return the changes since the last call, None for a list taken anew.

        Raises
        ------
        StoreUnavailableError
        """

    def request_full_read(self) -> None:
        """Have the next call read what is newest, not what changed meanwhile."""

    def full_list(self) -> Sequence[Target]:
        """Return the list as last taken anew."""


@frozen
class Peer:
    """An entry instance as others know it.

    Parameters
    ----------
    power
        Its processor's speed as a multiple of one usual core; shared work goes to the
        most powerful.
    """

    name: str
    domain: str
    address: str
    power: float = 1.0


@frozen
class Leadership:
    """The outcome of one renewal.

    Parameters
    ----------
    held
        Whether this instance places layers now.
    fence
        Grows with each change of holder; engines refuse orders with a lower one.
    """

    held: bool
    fence: int


class LeaderElection(Protocol):
    """The instances that run; one of the relays at a time places layers."""

    async def announce(self) -> None:
        """Make this instance known to the others; once after each start.

        Raises
        ------
        StoreUnavailableError
        """

    async def renew(self) -> Leadership:
        """Stay a candidate for the duty.

        Raises
        ------
        StoreUnavailableError
        """

    async def peers(self) -> Sequence[Peer]:
        """Return the other instances that were announced; some may have left.

        Raises
        ------
        StoreUnavailableError
        """

    async def resign(self) -> None:
        """Leave at a planned stop.

        Raises
        ------
        StoreUnavailableError
        """
