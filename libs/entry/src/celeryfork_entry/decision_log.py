"""The log of decisions: JSON lines on standard output, bounded, never blocking."""

import os
import time

from attrs import define, field
from logbook import Handler, Logger, LogRecord
from logbook.base import NOTSET
from orjson import dumps

MOST_LINES_PER_S = 400.0
"""Lines a second on average; above it lines are dropped and counted."""
BURST_LINES = 2_000.0
"""Lines that may come at once."""
MOST_LINE_BYTES = 2_048
"""Longest line; at most 0.8 MB a second with the rate above."""


@define
class LineBudget:
    """Bounds the number of lines a second."""

    _left: float = BURST_LINES
    _filled_s: float = field(factory=time.monotonic)
    dropped: int = 0

    def take(self, now_s: float) -> bool:
        """Return whether a line may be written; count it as dropped if not."""
        gained = (now_s - self._filled_s) * MOST_LINES_PER_S
        self._left = min(BURST_LINES, self._left + gained)
        self._filled_s = now_s
        if self._left < 1:
            self.dropped += 1
            return False
        self._left -= 1
        return True


class JsonLines(Handler):  # type: ignore[misc]  # logbook has no types
    """Writes records as JSON lines to a file descriptor that may be full."""

    def __init__(self, instance: str, descriptor: int = 1) -> None:
        super().__init__(level=NOTSET)
        self._instance = instance
        self._descriptor = descriptor
        self.budget = LineBudget()
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Write one line, or drop and count it."""
        if not self.budget.take(time.monotonic()):
            return
        line = {
            "at": round(time.time(), 3),
            "instance": self._instance,
            "event": record.msg,
            **record.kwargs,
        }
        if self.budget.dropped:
            line["lines_dropped"] = self.budget.dropped
        data = dumps(line, default=str)
        if len(data) > MOST_LINE_BYTES:
            line = {"event": record.msg, "instance": self._instance, "cut": len(data)}
            data = dumps(line, default=str)
        try:
            os.write(self._descriptor, data + b"\n")
            self.budget.dropped = 0
        except BlockingIOError:
            self.budget.dropped += 1


def make_decision_log(instance: str, descriptor: int = 1) -> Logger:
    """Return the logger whose records go to ``descriptor`` as JSON lines."""
    logger = Logger("celeryfork")
    logger.handlers.append(JsonLines(instance, descriptor))
    return logger
