"""Settings of an entry instance."""

from enum import Enum

from attrs import frozen


class Mode(Enum):
    """When an optional part of an instance takes effect.

    ``AUTO`` leaves it to the configuration, or to what the instance observes.
    """

    AUTO = "auto"
    ON = "on"
    OFF = "off"


@frozen
class EntrySettings:
    """Settings of one instance, read at its start.

    Parameters
    ----------
    listen
        Address for callers.
    ready
        Address of the readiness check.
    peer_address
        Address for the peers' datagrams and requests.
    seed_addresses
        Peer addresses of some other instances; they may be out of date.
    metrics
        Address at which the metrics are served.
    store
        Address of the platform's store.
    stop_s
        Seconds between the request to stop and the kill.
    usual_instances
        Expected number of instances; the retry budget is divided by this number, or by
        that of the counted instances if higher.
    power
        Processor speed as a multiple of one usual core.
    retry_ratio, retry_slack, retry_window_s
        Retry budget of each service: retries allowed for each request, retries allowed
        in addition over all instances, and the length of the budget's window.
    admission_mode, balance_mode, ramp_up_mode
        When admission control, balancing between domains and the slow start of targets
        take effect.
    memory_mb, max_fds
        Memory in MB and number of descriptors that the process may use, None if the
        settings give none.
    """

    name: str
    domain: str
    listen: str
    ready: str
    metrics: str
    peer_address: str
    store: str
    stop_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    usual_instances: int
    seed_addresses: tuple[str, ...] = ()
    power: float = 1.0
    admission_mode: Mode = Mode.AUTO
    balance_mode: Mode = Mode.AUTO
    ramp_up_mode: Mode = Mode.AUTO
    memory_mb: float | None = None
    max_fds: int | None = None
