"""Leases recorded in the platform's log; any instance may hold one.

The holder measures the duration on its own monotonic clock, from before it sent the
accepted record, less a margin for clocks that run at different rates. Its lease
therefore expires locally before the log lets another instance acquire it. That also
holds for a process that was paused, provided it calls ``held_token`` right before each
action under the lease.
"""

import threading
import uuid

from attrs import define, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import AppendUnknownError, PlatformUnavailableError
from celeryfork_platform.log import LogClient
from logbook import Logger

from celeryfork_control.lease_fold import LeaseFold, LeaseState
from celeryfork_control.lease_records import (
    STREAM,
    LeaseRecord,
    LeaseStep,
    format_record,
)

# Share of a lease's duration that is not used, for clocks that run at different rates.
CLOCK_RATE_MARGIN = 0.1
RENEWALS_PER_LEASE = 3
READ_LIMIT = 1000
READ_TIMEOUT_S = 3.0
APPEND_TIMEOUT_S = 2.0
LONG_POLL_WAIT_S = 1.0
RETRY_DELAY_S = 0.5
MAX_READS_AFTER_APPEND = 5
READ_AFTER_APPEND_WAIT_S = 0.2
STOP_TIMEOUT_S = 2.0

logger = Logger("leases")


@frozen
class FencingToken:
    """Proof that a lease is held, with the number that fences off earlier holders.

    Parameters
    ----------
    number
        Grows with each new holder of the lease.
    ends_s
        Monotonic time until which the holder may act under the lease, in seconds.
    """

    number: int
    ends_s: float


@define
class _RequestedLease:
    """A requested lease.

    Parameters
    ----------
    fencing
        Fencing number if the lease was acquired and not found to be lost since.
    ends_s
        Monotonic time until which the holder may act under the lease, in seconds.
    next_attempt_s
        Monotonic time of the next acquisition or renewal, in seconds.
    """

    name: str
    duration_s: float
    fencing: int | None = None
    ends_s: float = 0.0
    next_attempt_s: float = 0.0


class LeaseManager:
    """Acquires and renews the requested leases on one background thread.

    Parameters
    ----------
    log
        The platform's log.
    holder
        Incarnation of this instance, different for each run of the process.
    clock, counters
        Time source and metrics.
    """

    def __init__(
        self, log: LogClient, holder: str, clock: Clock, counters: Counters
    ) -> None:
        self._log = log
        self._holder = holder
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._fold = LeaseFold()
        self._requested_by_name: dict[str, _RequestedLease] = {}
        self._caught_up = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="leases", daemon=True)

    def start(self) -> None:
        """Start to follow the log, and to acquire and renew the requested leases."""
        self._thread.start()

    def stop(self) -> None:
        """Drop every lease, and release the held ones in the log if it is available."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(timeout=STOP_TIMEOUT_S)
        with self._lock:
            held_leases = [
                lease
                for lease in self._requested_by_name.values()
                if lease.fencing is not None
            ]
            self._requested_by_name.clear()
        for lease in held_leases:
            self._append(lease, LeaseStep.RELEASE)

    def request(self, name: str, duration_s: float) -> None:
        """Acquire a lease as soon as it is free, and renew it until it is released."""
        with self._lock:
            if name not in self._requested_by_name:
                self._requested_by_name[name] = _RequestedLease(name, duration_s)

    def release(self, name: str) -> None:
        """Withdraw the request for a lease, and release the lease if it is held."""
        with self._lock:
            lease = self._requested_by_name.pop(name, None)
        if lease is not None and lease.fencing is not None:
            self._append(lease, LeaseStep.RELEASE)

    def held_token(self, name: str) -> FencingToken | None:
        """Return the fencing token of a lease that is held now, None if it is not."""
        with self._lock:
            lease = self._requested_by_name.get(name)
            if lease is None or lease.fencing is None:
                return None
            if self._clock.monotonic() >= lease.ends_s:
                return None
            return FencingToken(lease.fencing, lease.ends_s)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        with self._lock:
            names = list(self._requested_by_name)
            states = self._fold.states()
        return {
            "caught_up": self._caught_up,
            "next_offset": self._fold.next_offset,
            "malformed": self._fold.malformed,
            "held": [name for name in names if self.held_token(name)],
            "by_name": {
                name: {"holder": state.holder, "fencing": state.fencing}
                for name, state in states.items()
            },
        }

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._read(LONG_POLL_WAIT_S if self._caught_up else 0.0)
                self._step_all()
            except PlatformUnavailableError:
                self._counters.add("leases.log_unavailable")
                self._stopping.wait(RETRY_DELAY_S)

    def _read(self, wait_s: float) -> None:
        """Apply new records of the log, waiting up to ``wait_s`` for the first."""
        part = self._log.read(
            STREAM, self._fold.next_offset, READ_LIMIT, wait_s, READ_TIMEOUT_S + wait_s
        )
        with self._lock:
            for entry in part.records:
                if not self._fold.apply(entry):
                    self._counters.add("leases.records_refused")
            self._caught_up = self._fold.next_offset >= part.next_offset
            if not part.records:
                self._fold.next_offset = max(self._fold.next_offset, part.first_offset)

    def _step_all(self) -> None:
        if not self._caught_up:
            return
        with self._lock:
            leases = list(self._requested_by_name.values())
        for lease in leases:
            self._step(lease)

    def _step(self, lease: _RequestedLease) -> None:
        """Renew a lease that is held, or acquire one that is free, when it is due."""
        now_s = self._clock.monotonic()
        if now_s < lease.next_attempt_s:
            return
        state = self._fold.state(lease.name)
        unexpired = lease.fencing is not None and now_s < lease.ends_s
        if self._is_own(state) and unexpired:
            self._send(lease, LeaseStep.RENEW)
        elif self._fold.is_free(lease.name, self._clock.wall_ms()):
            self._mark_lost(lease)
            self._send(lease, LeaseStep.ACQUIRE)
        elif not self._is_own(state):
            self._mark_lost(lease)

    def _send(self, lease: _RequestedLease, step: LeaseStep) -> None:
        """Append a step, read the log up to it, and update the lease if accepted."""
        sent_s = self._clock.monotonic()
        lease.next_attempt_s = sent_s + lease.duration_s / RENEWALS_PER_LEASE
        offset = self._append(lease, step)
        if offset is None:
            return
        for _ in range(MAX_READS_AFTER_APPEND):
            if self._fold.next_offset > offset:
                break
            self._read(READ_AFTER_APPEND_WAIT_S)
        state = self._fold.state(lease.name)
        if state is None or state.last_offset != offset:
            self._counters.add("leases.lost_race")
            return
        with self._lock:
            is_new = lease.fencing != state.fencing
            lease.fencing = state.fencing
            lease.ends_s = sent_s + lease.duration_s * (1 - CLOCK_RATE_MARGIN)
        if is_new:
            self._counters.add("leases.acquired")
            logger.info("lease acquired", lease=lease.name, fencing=state.fencing)

    def _append(self, lease: _RequestedLease, step: LeaseStep) -> int | None:
        """Append a step; return its offset, None if the append failed or is unknown.

        An append whose response was lost is not followed up. Its record takes effect
        only if no other record of the lease was accepted in between. This instance
        never extends ``ends_s`` for it, so at worst the lease runs until it expires in
        the log without being used.
        """
        state = self._fold.state(lease.name)
        record = LeaseRecord(
            name=lease.name,
            step=step,
            holder=self._holder,
            based_on=None if state is None else state.last_offset,
            duration_ms=round(lease.duration_s * 1000),
        )
        try:
            return self._log.append(
                STREAM, format_record(record), uuid.uuid4().hex, APPEND_TIMEOUT_S
            )
        except (PlatformUnavailableError, AppendUnknownError):
            self._counters.add("leases.append_failed")
            return None

    def _is_own(self, state: LeaseState | None) -> bool:
        return state is not None and state.holder == self._holder

    def _mark_lost(self, lease: _RequestedLease) -> None:
        with self._lock:
            if lease.fencing is None:
                return
            lease.fencing = None
        self._counters.add("leases.lost")
        logger.info("lease lost", lease=lease.name)


def make_lease_manager(
    log: LogClient, holder: str, clock: Clock, counters: Counters
) -> LeaseManager:
    """Return a lease manager without requested leases; it is not started."""
    return LeaseManager(log, holder, clock, counters)
