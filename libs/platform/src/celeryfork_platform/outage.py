"""Circuit breaker and concurrency limit for calls to a platform service."""

import random
import threading
from contextlib import AbstractContextManager
from types import TracebackType

from attrs import define, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError
from logbook import Logger

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
FAILURE_THRESHOLD = 2

_logger = Logger(__name__)


@frozen
class CallPermit:
    """Permission to make one call.

    Parameters
    ----------
    probes
        True if the call is a probe: the only call allowed while the service is down.
    """

    probes: bool


class CircuitBreaker:
    """Allows all calls while a service is up, and one probe at a time while it is down.

    Two consecutive failures mark the service as down; a refused connection does so
    alone. While it is down, calls fail at once instead of each waiting for its own
    timeout. The maximum delay until the next probe doubles up to ``MAX_BACKOFF_S``;
    the delay is drawn at random between half of the maximum and the maximum, so that
    instances don't retry in step.

    Parameters
    ----------
    service
        Name of the service in messages and counters, such as ``log``.
    seed
        Seed of the jitter; None uses a seed from the operating system.
    """

    def __init__(
        self, service: str, clock: Clock, counters: Counters, seed: int | None = None
    ) -> None:
        self._service = service
        self._clock = clock
        self._counters = counters
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._state = _BreakerState()

    @property
    def available(self) -> bool:
        """True unless the service is marked as down."""
        with self._lock:
            return not self._state.down

    def acquire(self) -> CallPermit:
        """Return a permit for one call.

        Raises
        ------
        PlatformUnavailableError
            The service is down, and the next probe is not due or is in progress.
        """
        with self._lock:
            state = self._state
            if not state.down:
                return CallPermit(probes=False)
            wait_s = state.next_probe_s - self._clock.monotonic()
            if not state.probing and wait_s <= 0:
                state.probing = True
                return CallPermit(probes=True)
        self._counters.add(f"platform.{self._service}.refused_while_down")
        raise PlatformUnavailableError(
            f"The platform's {self._service} service is down; no request was sent.",
            f"retry after {max(wait_s, 0.0):.1f} s",
        )

    def record_success(self, permit: CallPermit) -> None:
        """Record that a call was answered."""
        with self._lock:
            was_down = self._state.down
            if was_down and not permit.probes:
                # A call from before the outage doesn't show that the service is back.
                return
            self._state = _BreakerState()
        if was_down:
            _logger.notice(f"platform service {self._service} is back")

    def record_failure(self, permit: CallPermit, *, refused: bool) -> None:
        """Record that a call failed; ``refused`` if it could not connect."""
        self._counters.add(f"platform.{self._service}.failures")
        with self._lock:
            state = self._state
            state.failures += 1
            if state.down and not permit.probes:
                return
            if not refused and state.failures < FAILURE_THRESHOLD:
                return
            newly_down = not state.down
            state.down = True
            state.probing = False
            state.backoffs += 1
            state.next_probe_s = self._clock.monotonic() + self._backoff_s()
        if newly_down:
            self._counters.add(f"platform.{self._service}.outages")
            _logger.warning(f"platform service {self._service} is down")

    def record_abandoned(self, permit: CallPermit) -> None:
        """Record that a call ended without showing whether the service is up."""
        if permit.probes:
            with self._lock:
                self._state.probing = False

    def _backoff_s(self) -> float:
        doublings = min(self._state.backoffs - 1, 16)
        ceiling_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**doublings)
        return self._random.uniform(ceiling_s / 2, ceiling_s)


@define
class _BreakerState:
    failures: int = 0
    backoffs: int = 0
    down: bool = False
    probing: bool = False
    next_probe_s: float = 0.0


class ConcurrencyLimit(AbstractContextManager[None]):
    """Limits the number of concurrent calls to a service."""

    def __init__(self, service: str, max_calls: int) -> None:
        self._service = service
        self._semaphore = threading.BoundedSemaphore(max_calls)

    def acquire(self, timeout_s: float) -> AbstractContextManager[None]:
        """Wait up to ``timeout_s`` seconds for a slot; the result frees it on exit.

        Raises
        ------
        PlatformUnavailableError
            No slot became free in time.
        """
        if self._semaphore.acquire(timeout=max(timeout_s, 0.0)):
            return self
        raise PlatformUnavailableError(
            f"Too many concurrent calls to the platform's {self._service} service; "
            "the request was not sent.",
            "retry once the service answers faster",
        )

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Free the slot."""
        self._semaphore.release()
