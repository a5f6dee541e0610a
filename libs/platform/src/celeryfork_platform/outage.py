"""The one outage state of a platform service, with jittered exponential backoff."""

import random
import threading
from contextlib import AbstractContextManager
from types import TracebackType

from attrs import define, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError
from logbook import Logger

SHORTEST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 2.0
FAILURES_TO_OUTAGE = 2

_logger = Logger(__name__)


@frozen
class Pass:
    """Leave to make one call.

    Parameters
    ----------
    probes
        Whether this is the only call let through while the service is down.
    """

    probes: bool


class Outage:
    """Lets calls through while a service is up, and one probe at a time while down.

    Two failures in a row make an outage, a refused connection alone does. While it
    lasts, callers fail at once instead of each waiting for its own timeout. The delay
    until the next probe doubles up to ``LONGEST_BACKOFF_S``, and is drawn at random
    from its upper half, so that instances don't come back in step.

    Parameters
    ----------
    service
        Name for messages and counters, such as ``log``.
    seed
        Seed of the jitter; None takes one from the system.
    """

    def __init__(
        self, service: str, clock: Clock, counters: Counters, seed: int | None = None
    ) -> None:
        self._service = service
        self._clock = clock
        self._counters = counters
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._state = _OutageState()

    @property
    def available(self) -> bool:
        """Whether the last that was heard of the service was good."""
        with self._lock:
            return not self._state.down

    def enter(self) -> Pass:
        """Return leave to make a call.

        Raises
        ------
        PlatformUnavailableError
            The service is down and the next probe isn't due, or is on its way.
        """
        with self._lock:
            state = self._state
            if not state.down:
                return Pass(probes=False)
            wait_s = state.next_probe_s - self._clock.monotonic()
            if not state.probing and wait_s <= 0:
                state.probing = True
                return Pass(probes=True)
        self._counters.add(f"platform.{self._service}.refused_while_down")
        raise PlatformUnavailableError(
            f"The platform's {self._service} service is down; nothing was sent.",
            f"wait {max(wait_s, 0.0):.1f} s, then try again",
        )

    def succeeded(self, leave: Pass) -> None:
        """Note that a call got an answer."""
        with self._lock:
            was_down = self._state.down
            if was_down and not leave.probes:
                # An answer to a call from before the outage proves nothing about now.
                return
            self._state = _OutageState()
        if was_down:
            _logger.notice(f"platform service {self._service} is back")

    def failed(self, leave: Pass, *, refused: bool) -> None:
        """Note that a call got no answer; ``refused`` if it could not connect."""
        self._counters.add(f"platform.{self._service}.failures")
        with self._lock:
            state = self._state
            state.failures += 1
            if state.down and not leave.probes:
                return
            if not refused and state.failures < FAILURES_TO_OUTAGE:
                return
            began = not state.down
            state.down = True
            state.probing = False
            state.backoffs += 1
            state.next_probe_s = self._clock.monotonic() + self._backoff_s()
        if began:
            self._counters.add(f"platform.{self._service}.outages")
            _logger.warning(f"platform service {self._service} is down")

    def abandoned(self, leave: Pass) -> None:
        """Note that a call ended without telling anything about the service."""
        if leave.probes:
            with self._lock:
                self._state.probing = False

    def _backoff_s(self) -> float:
        doublings = min(self._state.backoffs - 1, 16)
        ceiling_s = min(LONGEST_BACKOFF_S, SHORTEST_BACKOFF_S * 2**doublings)
        return self._random.uniform(ceiling_s / 2, ceiling_s)


@define
class _OutageState:
    failures: int = 0
    backoffs: int = 0
    down: bool = False
    probing: bool = False
    next_probe_s: float = 0.0


class Slots(AbstractContextManager[None]):
    """A bound on concurrent calls; whoever finds none free in time is refused."""

    def __init__(self, service: str, most: int) -> None:
        self._service = service
        self._free = threading.BoundedSemaphore(most)

    def take(self, timeout_s: float) -> AbstractContextManager[None]:
        """Take a slot within ``timeout_s`` seconds; the result frees it on exit.

        Raises
        ------
        PlatformUnavailableError
            All slots stayed in use.
        """
        if self._free.acquire(timeout=max(timeout_s, 0.0)):
            return self
        raise PlatformUnavailableError(
            f"Too many calls to the platform's {self._service} service are open; "
            "nothing was sent.",
            "try again once it answers faster",
        )

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Free the slot."""
        self._free.release()
