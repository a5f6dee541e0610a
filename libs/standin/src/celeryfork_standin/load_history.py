"""An engine's load over time, so that its reports can lag."""

import time
from collections import deque

from attrs import frozen

SAMPLE_S = 0.02
MOST_SAMPLES = 256


@frozen
class LoadSample:
    """The load at one moment; ``at_s`` is monotonic."""

    at_s: float
    at_ms: int
    running: int
    waiting: int


class LoadHistory:
    """The last samples of an engine's load."""

    def __init__(self) -> None:
        self.due_s = 0.0
        self._samples: deque[LoadSample] = deque(maxlen=MOST_SAMPLES)

    def add(self, now: float, running: int, waiting: int) -> None:
        """Note the load now; the next one is due at ``due_s``."""
        self.due_s = now + SAMPLE_S
        # ``now`` may lie a while back, when the steps of one wake-up took long.
        wall_ms = int((time.time() - (time.monotonic() - now)) * 1000)
        self._samples.append(LoadSample(now, wall_ms, running, waiting))

    def shown(self, newest_s: float) -> LoadSample:
        """Return the last sample that is not newer; the oldest if all are."""
        for sample in reversed(self._samples):
            if sample.at_s <= newest_s:
                return sample
        return self._samples[0]
