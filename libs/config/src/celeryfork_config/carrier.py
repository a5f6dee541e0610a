"""Appends records again before the log drops them."""

import threading
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import (
    AppendUnknownError,
    InputFaultError,
    PlatformUnavailableError,
)
from celeryfork_base.identity import make_uuid7
from celeryfork_platform.log import LogClient
from xxhash import xxh3_64_intdigest

from celeryfork_config.entries import STREAM, encode_entry
from celeryfork_config.fold import Fold
from celeryfork_config.in_force import Configuration
from celeryfork_config.kept import KeptRecord
from celeryfork_config.rendezvous import rank_of

EARLIEST_SHARE = 1 / 4
JITTER_SHARE = 1 / 12
RANK_STEP_SHARE = 1 / 60
CARRIERS_PER_KEY = 6
CHECKS_PER_RETENTION = 1000
SHORTEST_CHECK_S = 0.05
LONGEST_CHECK_S = 30.0
MOST_CARRIES_PER_CHECK = 200
LEAST_BATCH = 2
APPEND_TIMEOUT_S = 5.0
RETRACTED_KEPT_RETENTIONS = 3
STOP_WAIT_S = 1.0


class FoldHolder(Protocol):
    """What the carrier needs of the follower."""

    @property
    def current(self) -> Configuration:
        """What is in force now."""

    @property
    def ready(self) -> bool:
        """Whether the configuration is complete."""

    @property
    def retention_s(self) -> float:
        """How long the log keeps records, as far as is known, in seconds."""

    def with_fold(self, use: Callable[[Fold], object]) -> None:
        """Let ``use`` look at the fold while it doesn't change."""


class Carrier:
    """Looks for records that the log is about to drop, and appends carries of them.

    Each key is due when the log's last evidence of it is between a quarter and a third
    of the retention old, by a hash, so that records published together aren't carried
    together. The instance that comes first for the key by rendezvous hash carries it
    then; the next one only if the log still lacks the carry a sixtieth of the
    retention later, and so on for the first six of the live instances. Carries that
    stand twice in the log do no harm.
    """

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        counters: Counters,
        holder: FoldHolder,
        instance: str,
        fleet: Callable[[], Mapping[str, str]],
    ) -> None:
        self._log = log
        self._clock = clock
        self._counters = counters
        self._holder = holder
        self._instance = instance
        self._fleet = fleet
        self._stopped = threading.Event()
        self._woken = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="config-carrier", daemon=True
        )

    def start(self) -> None:
        """Begin to carry."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; an append that is open ends by itself."""
        self._stopped.set()
        self._woken.set()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_WAIT_S)

    def check(self) -> int:
        """Carry what is due now; return how many records were carried."""
        if not self._holder.ready or not self._log.available:
            return 0
        due: list[str] = []
        self._holder.with_fold(lambda fold: due.extend(self._collect(fold)))
        carried = 0
        for data in due:
            if self._stopped.is_set() or not self._append(data):
                break
            carried += 1
        return carried

    def wake(self) -> None:
        """Check now; the retention may have become shorter."""
        self._woken.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self.check()
            except Exception:
                # The next check may do better; without carries records would be lost.
                self._counters.add("config.carrier.faults")
            check_s = self._holder.retention_s / CHECKS_PER_RETENTION
            self._woken.wait(min(max(check_s, SHORTEST_CHECK_S), LONGEST_CHECK_S))
            self._woken.clear()

    def _collect(self, fold: Fold) -> list[str]:
        now_ms = self._clock.wall_ms()
        published_s = self._holder.current.policy.log_retention_s
        kept_ms = RETRACTED_KEPT_RETENTIONS * published_s * 1000
        fold.forget_retracted(int(now_ms - kept_ms))
        if not fold.settled:
            return []
        instances = list(self._fleet())
        # A bound for the whole fleet, also when everything is due at once.
        most = max(LEAST_BATCH, MOST_CARRIES_PER_CHECK // max(len(instances), 1))
        due_by_rank: dict[int, list[KeptRecord]] = {}
        for kept, rank in self._due(fold, now_ms, instances):
            due = due_by_rank.setdefault(rank, [])
            if len(due) < most:
                due.append(kept)
            elif rank == 0:
                break
        chosen = [kept for rank in sorted(due_by_rank) for kept in due_by_rank[rank]]
        return [
            encode_entry(kept.to_carry(fold.next_offset, now_ms))
            for kept in chosen[:most]
        ]

    def _due(
        self, fold: Fold, now_ms: int, instances: list[str]
    ) -> Iterator[tuple[KeptRecord, int]]:
        """Yield what this instance shall carry, with its rank for the key."""
        retention_ms = self._holder.retention_s * 1000
        earliest_ms = int(now_ms - EARLIEST_SHARE * retention_ms)
        for kept, evidence_ms in fold.due_before(earliest_ms):
            key = f"{kept.key[0]}#{kept.key[1]}#{evidence_ms}"
            jitter = xxh3_64_intdigest(key.encode()) / 2**64 * JITTER_SHARE
            age_share = (now_ms - evidence_ms) / retention_ms
            late_share = age_share - EARLIEST_SHARE - jitter
            if late_share < 0:
                continue  # ranking takes longer than the hash
            rank = rank_of(self._instance, instances, key, most=CARRIERS_PER_KEY)
            if rank < CARRIERS_PER_KEY and late_share >= rank * RANK_STEP_SHARE:
                yield kept, rank

    def _append(self, data: str) -> bool:
        nonce = str(make_uuid7(self._clock.wall_ms()))
        try:
            self._log.append(STREAM, data, nonce, APPEND_TIMEOUT_S)
        except PlatformUnavailableError:
            self._counters.add("config.carrier.log_unavailable")
            return False
        except (AppendUnknownError, InputFaultError):
            # It turns up, or the record is still due at the next check.
            self._counters.add("config.carrier.unknown")
            return False
        self._counters.add("config.carrier.carried")
        return True
