"""The calls that this instance has accepted and not yet answered."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import frozen
from celeryfork_base.clock import Clock

MOST_DUMPED = 1000


@frozen
class RunningCall:
    """One accepted call.

    Parameters
    ----------
    what
        ``model/NAME`` or ``service/NAME/KIND``.
    started_s
        Monotonic time of its acceptance, in seconds.
    """

    request_id: str
    organisation: str
    what: str
    started_s: float


class InFlight:
    """Counts accepted calls, so that a planned stop can wait for each of them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._calls_by_number: dict[int, RunningCall] = {}
        self._next_number = 0
        self._last_change_s = clock.monotonic()

    def begin(self, request_id: str, organisation: str, what: str) -> int:
        """Note an accepted call and return its number for ``end``."""
        call = RunningCall(request_id, organisation, what, self._clock.monotonic())
        with self._changed:
            self._next_number += 1
            self._calls_by_number[self._next_number] = call
            self._last_change_s = call.started_s
            return self._next_number

    def end(self, number: int) -> None:
        """Note that a call was answered."""
        with self._changed:
            self._calls_by_number.pop(number, None)
            self._last_change_s = self._clock.monotonic()
            self._changed.notify_all()

    @contextmanager
    def call(self, request_id: str, organisation: str, what: str) -> Iterator[None]:
        """Count a call for as long as the block runs."""
        number = self.begin(request_id, organisation, what)
        try:
            yield
        finally:
            self.end(number)

    def count(self) -> int:
        """Return how many calls run."""
        with self._changed:
            return len(self._calls_by_number)

    def quiet_for_s(self) -> float:
        """Return how long no call has begun or ended, 0 while one runs."""
        with self._changed:
            if self._calls_by_number:
                return 0.0
            return self._clock.monotonic() - self._last_change_s

    def wait_empty(self, timeout_s: float) -> bool:
        """Wait until no call runs; False if some still do after ``timeout_s``."""
        with self._changed:
            return self._changed.wait_for(
                lambda: not self._calls_by_number, timeout=max(0.0, timeout_s)
            )

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        now_s = self._clock.monotonic()
        with self._changed:
            calls = list(self._calls_by_number.values())
        return {
            "count": len(calls),
            "oldest": [
                {
                    "request_id": call.request_id,
                    "organisation": call.organisation,
                    "what": call.what,
                    "age_s": round(now_s - call.started_s, 3),
                }
                for call in calls[:MOST_DUMPED]
            ],
        }
