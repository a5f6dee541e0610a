"""The log of decisions: JSON lines on standard output, non-blocking.

It is limited in rate and size.
"""

import json
import os
import time

from attrs import define, field
from logbook import Handler, Logger, LogRecord
from logbook.base import NOTSET
from orjson import dumps

MAX_LINES_PER_S = 400.0
"""Maximum average rate of lines; further lines are dropped and counted."""
BURST_LINES = 2_000.0
"""Maximum number of lines in a burst."""
MAX_LINE_BYTES = 2_048
"""Maximum size of a line, which limits the log to 0.8 MB/s at the rate above."""


@define
class LineRateLimiter:
    """Token bucket that limits the rate of lines."""

    _tokens: float = BURST_LINES
    _refilled_s: float = field(factory=time.monotonic)
    dropped: int = 0

    def acquire(self, now_s: float) -> bool:
        """Return True if a line may be written, else count it as dropped."""
        gained = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_s = now_s
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True


class JsonLinesHandler(Handler):  # type: ignore[misc]  # logbook has no types
    """Writes records as JSON lines, dropping them while the descriptor would block."""

    def __init__(self, instance: str, descriptor: int = 1) -> None:
        super().__init__(level=NOTSET)
        self._instance = instance
        self._descriptor = descriptor
        self.budget = LineRateLimiter()
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Write one line, or drop it and count it."""
        if not self.budget.acquire(time.monotonic()):
            return
        line = {
            "at": round(time.time(), 3),
            "instance": self._instance,
            "event": record.msg,
            **record.kwargs,
        }
        if self.budget.dropped:
            line["lines_dropped"] = self.budget.dropped
        data = _encode(line)
        if len(data) > MAX_LINE_BYTES:
            line = {"event": record.msg, "instance": self._instance, "cut": len(data)}
            data = _encode(line)
        try:
            os.write(self._descriptor, data + b"\n")
            self.budget.dropped = 0
        except BlockingIOError:
            self.budget.dropped += 1


def error_location(error: BaseException) -> str:
    """Return the file and line where an error was raised."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"


def _encode(line: dict[str, object]) -> bytes:
    try:
        return dumps(line, default=str)
    except TypeError:
        # Texts with lone surrogates and integers over 64 bits, which orjson rejects.
        return json.dumps(line, default=str).encode()


def make_decision_log(instance: str, descriptor: int = 1) -> Logger:
    """Return the logger whose records go to ``descriptor`` as JSON lines."""
    logger = Logger("celeryfork")
    logger.handlers.append(JsonLinesHandler(instance, descriptor))
    return logger
