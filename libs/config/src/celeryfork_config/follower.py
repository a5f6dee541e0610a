"""Keeps the configuration in force up to date, from the log or from peers."""

import math
import random
import threading
from collections.abc import Callable, Mapping, Sequence

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError
from celeryfork_platform.log import LogClient
from celeryfork_platform.model import LogRecord, LogSlice
from logbook import Logger

from celeryfork_config.carrier import Carrier
from celeryfork_config.current import ConfigurationCallback, CurrentConfiguration
from celeryfork_config.entries import STREAM
from celeryfork_config.fold import Fold
from celeryfork_config.follower_options import ConfigurationSlice, FollowerOptions
from celeryfork_config.in_force import Configuration
from celeryfork_config.records import PayloadReader, validate_record
from celeryfork_config.rendezvous import rank_of

__all__ = ["ConfigFollower", "ConfigurationSlice", "FollowerOptions", "make_follower"]

ReadFromPeers = Callable[[int], Sequence[LogRecord] | None]
Fleet = Callable[[], Mapping[str, str]]

STOP_WAIT_S = 1.0
EMPTY_PAUSE_S = 0.05
LEAST_RETENTION_S = 1.0

_logger = Logger(__name__)


class ConfigFollower:
    """Follows the configuration stream on a thread of its own.

    Read ``current`` at every use: it is replaced as a whole when something changes,
    and its offset only grows.
    """

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        counters: Counters,
        read_from_peers: ReadFromPeers | None,
        *,
        instance: str,
        fleet: Fleet,
        options: FollowerOptions,
        read_payload: PayloadReader,
        seed: int | None,
    ) -> None:
        self._log = log
        self._clock = clock
        self._counters = counters
        self.read_from_peers = read_from_peers
        self._instance = instance
        self._fleet = fleet
        self._options = options
        self._read_payload = read_payload
        self._random = random.Random(seed)
        self._fold = Fold(counters, read_payload)
        self._fold_lock = threading.Lock()
        self._current = CurrentConfiguration(counters)
        self._stopped = threading.Event()
        self._next_log_read_s = 0.0
        self._alone_s = 0.0
        self._observed_retention_s = math.inf
        self._thread = threading.Thread(
            target=self._run, name="config-follower", daemon=True
        )
        self._carrier = Carrier(log, clock, counters, self, instance, fleet)

    @property
    def current(self) -> Configuration:
        """What is in force now."""
        return self._current.value

    @property
    def ready(self) -> bool:
        """Whether the log's end, or the state of a peer, was reached once."""
        return self._current.ready

    @property
    def retention_s(self) -> float:
        """How long the log keeps records, in seconds: as published, or as observed."""
        return min(
            self._current.value.policy.log_retention_s, self._observed_retention_s
        )

    def start(self) -> None:
        """Begin to follow."""
        self._alone_s = self._clock.monotonic() + self._options.peers_wait_s
        self._thread.start()
        self._carrier.start()

    def stop(self) -> None:
        """Stop following; a read that is open ends by itself."""
        self._stopped.set()
        self._carrier.stop()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_WAIT_S)

    def subscribe(self, callback: ConfigurationCallback) -> None:
        """Call ``callback`` with every new configuration, on the follower's thread.

        It must return soon: nothing is followed in the meantime.
        """
        self._current.subscribe(callback)

    def wait(self, offset: int, timeout_s: float) -> bool:
        """Wait until ``offset`` has been applied; return whether it has.

        Parameters
        ----------
        timeout_s
            How long to wait at most, in seconds.
        """
        return self._current.wait(offset, timeout_s)

    def slice_after(self, offset: int, limit: int) -> ConfigurationSlice:
        """Return what a peer that has applied ``offset`` lacks.

        Nothing is given before this instance is ready.
        """
        with self._fold_lock:
            if not self._current.ready or not self._fold.settled:
                return ConfigurationSlice((), 0, complete=True)
            entries = self._fold.entries_after(offset)
            next_offset = self._fold.next_offset
        if len(entries) <= limit:
            return ConfigurationSlice(entries, next_offset, complete=True)
        cut = entries[:limit]
        return ConfigurationSlice(cut, cut[-1].offset + 1, complete=False)

    def with_fold(self, use: Callable[[Fold], object]) -> None:
        """Let ``use`` look at the fold while it doesn't change."""
        with self._fold_lock:
            use(self._fold)

    def dump(self) -> dict[str, object]:
        """Return what the state dump shows of the configuration."""
        with self._fold_lock:
            fold = self._fold.dump()
        return {
            "offset": self._current.value.offset,
            "ready": self._current.ready,
            "source": self._current.source,
            "tailer": self._is_tailer(),
            "retention_s": self.retention_s,
            "fold": fold,
        }

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step()
            except Exception as error:
                # The thread must outlive any fault, or configuration would stand still.
                self._counters.add("config.follower.faults")
                _logger.error(f"following the configuration failed: {error!r}")
                self._pause(self._options.peer_poll_s)

    def _step(self) -> None:
        if self._reads_log_now():
            try:
                self._read_log()
                return
            except PlatformUnavailableError:
                self._counters.add("config.follower.log_unavailable")
        if not self._read_peers() and self._current.ready and not self._is_tailer():
            soon_s = self._clock.monotonic() + self._jittered(self._options.lone_poll_s)
            self._next_log_read_s = min(self._next_log_read_s, soon_s)
        self._pause(self._options.peer_poll_s)

    def _reads_log_now(self) -> bool:
        """Tailers always do; others until they are ready, and then now and then."""
        if not self._current.ready or self._is_tailer():
            return True
        now_s = self._clock.monotonic()
        if now_s < self._next_log_read_s:
            return False
        self._next_log_read_s = now_s + self._jittered(self._options.slow_poll_s)
        return True

    def _is_tailer(self) -> bool:
        fleet = self._fleet()
        if len(fleet) <= self._options.most_direct_readers:
            return True
        domain = fleet.get(self._instance)
        neighbours = [name for name, where in fleet.items() if where == domain]
        most = self._options.tailers_per_domain
        rank = rank_of(self._instance, neighbours, STREAM, most)
        return rank < most

    def _read_log(self) -> None:
        options = self._options
        waits = self._current.ready and self._is_tailer()
        wait_s = options.long_poll_s if waits else 0.0
        read_from = self._fold.next_offset
        part = self._log.read(
            STREAM,
            read_from,
            options.read_limit,
            wait_s,
            wait_s + options.read_timeout_s,
        )
        if part.next_offset < read_from:
            # What is in force never goes back, whatever the log says.
            self._counters.add("config.follower.log_behind")
            self._pause(options.peer_poll_s)
            return
        if self._needs_peers(part) and not self._merge_peers(whole=True):
            early = self._clock.monotonic() < self._alone_s
            if early and not self._current.ready:
                self._pause(options.peer_poll_s)
                return
        if self._fold.next_offset > read_from:
            return  # and go on in the log from there
        with self._fold_lock:
            self._fold.apply_slice(part)
            at_end = self._fold.next_offset >= part.next_offset
            if at_end:
                self._fold.settle()
        if at_end:
            self._publish("log")
            self._observe_retention(part.first_offset)
        if not part.records:
            self._pause(EMPTY_PAUSE_S)  # a log that doesn't hold its answers back

    def _observe_retention(self, first_offset: int) -> None:
        """Notice that the log has dropped a record before it was due to be carried."""
        with self._fold_lock:
            dropped_ms = self._fold.newest_dropped_ms(first_offset)
        if dropped_ms is None:
            return
        age_s = max((self._clock.wall_ms() - dropped_ms) / 1000, LEAST_RETENTION_S)
        if age_s >= self.retention_s:
            return
        self._observed_retention_s = age_s
        self._counters.add("config.follower.retention_shorter")
        _logger.warning(f"the log keeps records for less than {age_s:.1f} s")
        self._carrier.wake()

    def _needs_peers(self, part: LogSlice) -> bool:
        """Whether the log may not tell everything, or would take long to do so.

        After an outage longer than its retention the log is empty at first, and only
        the instances that run know what is in force.
        """
        if self._fold.next_offset > 0:
            return part.first_offset > self._fold.next_offset
        kept = part.next_offset - part.first_offset
        return part.first_offset > 0 or kept > self._options.most_records_at_start

    def _read_peers(self) -> bool:
        """Take what peers have and put it in force; return whether a peer answered."""
        if not self._merge_peers(whole=not self._fold.settled):
            return False
        self._publish("peers")
        return True

    def _merge_peers(self, *, whole: bool) -> bool:
        """Merge a peer's news, or all of its state; return whether that worked."""
        if self.read_from_peers is None:
            return False
        fold = Fold(self._counters, self._read_payload) if whole else self._fold
        entries = self.read_from_peers(fold.next_offset - 1)
        if entries is None:
            self._counters.add("config.follower.peers_unavailable")
            return False
        if entries and not whole and self._was_absent():
            # Peers forget retractions in time, so their news doesn't suffice.
            return self._merge_peers(whole=True)
        with self._fold_lock:
            fold.merge_peer_entries(entries)
            if fold.next_offset < self._fold.next_offset:
                return False
            if whole and fold.next_offset == 0 and not self._fold.settled:
                return False
            self._fold = fold
        return True

    def _was_absent(self) -> bool:
        """Whether what was applied last is older than the log's retention."""
        retention_ms = self._current.value.policy.log_retention_s * 1000
        age_ms = self._clock.wall_ms() - self._fold.newest_ms
        return self._fold.next_offset > 0 and age_ms > retention_ms

    def _publish(self, source: str) -> None:
        """Put the fold's configuration in force."""
        with self._fold_lock:
            configuration = self._fold.configuration
        before = self._current.value
        if self._current.ready and configuration is before:
            return
        self._current.put(configuration, source)
        if configuration.policy != before.policy:
            self._carrier.wake()

    def _pause(self, seconds: float) -> None:
        self._stopped.wait(self._jittered(seconds))

    def _jittered(self, seconds: float) -> float:
        return self._random.uniform(seconds / 2, seconds)


def make_follower(
    log: LogClient,
    clock: Clock,
    counters: Counters,
    read_from_peers: ReadFromPeers | None = None,
    *,
    instance: str = "",
    fleet: Fleet = dict,
    options: FollowerOptions | None = None,
    read_payload: PayloadReader = validate_record,
    seed: int | None = None,
) -> ConfigFollower:
    """Return a follower that is not started yet.

    Parameters
    ----------
    read_from_peers
        Returns all that the most advanced reachable peer has after an offset (-1:
        from the beginning), or None where no peer that is ready can be reached.
    instance
        This instance's name.
    fleet
        Returns the failure domains of the live instances by name, this one too.
    seed
        Seed of the jitter; None takes one from the system.
    """
    return ConfigFollower(
        log,
        clock,
        counters,
        read_from_peers,
        instance=instance,
        fleet=fleet,
        options=options or FollowerOptions(),
        read_payload=read_payload,
        seed=seed,
    )
