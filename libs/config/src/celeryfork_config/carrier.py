"""Appends records again before the log drops them."""

import threading
from collections.abc import Callable, Mapping
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
HIGHEST_RANK = 5
CHECKS_PER_RETENTION = 1000
SHORTEST_CHECK_S = 0.05
LONGEST_CHECK_S = 30.0
MOST_CARRIES_PER_CHECK = 200
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

    def with_fold(self, use: Callable[[Fold], object]) -> None:
        """Let ``use`` look at the fold while it doesn't change."""


class Carrier:
    """Looks for records that the log is about to drop, and appends carries of them.

    Each key is due when the log's last evidence of it is between a quarter and a third
    of the retention old, by a hash, so that records published together aren't carried
    together. The instance that comes first for the key by rendezvous hash carries it
    then; the next one only if the log still lacks the carry a sixtieth of the
    retention later, and so on. Carries that stand twice in the log do no harm.
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
        self._thread = threading.Thread(
            target=self._run, name="config-carrier", daemon=True
        )

    def start(self) -> None:
        """Begin to carry."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; an append that is open ends by itself."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_WAIT_S)

    def check(self) -> int:
        """Carry what is due now; return how many records were carried."""
        if not self._holder.ready or not self._log.available:
            return 0
        retention_s = self._holder.current.policy.log_retention_s
        now_ms = self._clock.wall_ms()
        due: list[str] = []
        self._holder.with_fold(
            lambda fold: due.extend(self._collect(fold, now_ms, retention_s))
        )
        carried = 0
        for data in due:
            if self._stopped.is_set() or not self._append(data):
                break
            carried += 1
        return carried

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self.check()
            except Exception:
                # The next check may do better; without carries records would be lost.
                self._counters.add("config.carrier.faults")
            retention_s = self._holder.current.policy.log_retention_s
            check_s = retention_s / CHECKS_PER_RETENTION
            self._stopped.wait(min(max(check_s, SHORTEST_CHECK_S), LONGEST_CHECK_S))

    def _collect(self, fold: Fold, now_ms: int, retention_s: float) -> list[str]:
        retention_ms = retention_s * 1000
        fold.forget_retracted(int(now_ms - RETRACTED_KEPT_RETENTIONS * retention_ms))
        if not fold.settled:
            return []
        instances = list(self._fleet())
        found: list[str] = []
        earliest_ms = int(now_ms - EARLIEST_SHARE * retention_ms)
        for kept, evidence_ms in fold.due_before(earliest_ms):
            age_share = (now_ms - evidence_ms) / retention_ms
            if age_share < self._due_share(kept, evidence_ms, instances):
                continue
            carry = kept.to_carry(fold.next_offset, now_ms)
            found.append(encode_entry(carry))
            if len(found) >= MOST_CARRIES_PER_CHECK:
                break
        return found

    def _due_share(
        self, kept: KeptRecord, evidence_ms: int, instances: list[str]
    ) -> float:
        """Return the age at which this instance carries, as a share of retention."""
        key = f"{kept.key[0]}#{kept.key[1]}#{evidence_ms}"
        jitter = xxh3_64_intdigest(key.encode()) / 2**64 * JITTER_SHARE
        rank = min(rank_of(self._instance, instances, key), HIGHEST_RANK)
        return EARLIEST_SHARE + jitter + rank * RANK_STEP_SHARE

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
