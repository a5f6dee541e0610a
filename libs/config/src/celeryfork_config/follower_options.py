"""How a follower reads, and what it gives to peers."""

from attrs import frozen
from celeryfork_platform.model import LogRecord


@frozen
class FollowerOptions:
    """How the log and the peers are read; all times in seconds.

    Parameters
    ----------
    long_poll_s
        How long the log may hold back the answer to a read at its end.
    read_timeout_s
        Limit of one read beyond ``long_poll_s``.
    read_limit
        Most records in one read.
    peer_poll_s
        Between two reads from peers, where they are read.
    slow_poll_s
        Between two reads of the log by an instance that isn't a tailer.
    lone_poll_s
        The same, where no peer can be reached either.
    peers_wait_s
        How long to look for peers at the start before the log alone is believed,
        where it has dropped records already.
    most_records_at_start
        Where the log has more than this, a peer's state is taken first.
    tailers_per_domain
        How many instances of a failure domain long-poll the log.
    most_direct_readers
        A fleet up to this size long-polls altogether.
    """

    long_poll_s: float = 5.0
    read_timeout_s: float = 5.0
    read_limit: int = 1000
    peer_poll_s: float = 1.0
    slow_poll_s: float = 60.0
    lone_poll_s: float = 5.0
    peers_wait_s: float = 3.0
    most_records_at_start: int = 5000
    tailers_per_domain: int = 3
    most_direct_readers: int = 30


@frozen
class ConfigurationSlice:
    """What a peer is given to follow this instance.

    Parameters
    ----------
    records
        Entries as they stand in the log, without those that were replaced.
    next_offset
        From where to go on.
    complete
        Nothing was left out for the limit's sake.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    complete: bool
