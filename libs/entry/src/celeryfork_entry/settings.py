"""Settings of an entry instance."""

from attrs import frozen


@frozen
class EntrySettings:
    """What an instance is told at its start.

    Parameters
    ----------
    listen
        Address for callers.
    ready
        Address at which it is asked whether it is ready.
    peer_address
        Address for the peers' datagrams and questions.
    seed_addresses
        Such addresses of some peers; they may be out of date.
    metrics
        Address at which the metrics are served.
    store
        Address of the platform's store.
    stop_s
        Time between the request to stop and the kill, in seconds.
    power
        Speed of its processor as a multiple of one usual core.
    retry_ratio, retry_slack, retry_window_s
        The retry budget of each service, over all instances.
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
