"""Structured logs: one JSON object a line, one line for each change of state."""

import sys

from logbook import FileHandler, Handler, LogRecord, StreamHandler
from logbook import Logger as LogbookLogger
from orjson import OPT_NON_STR_KEYS, dumps


class JsonLineFormatter:
    """Formats a record as one JSON line.

    Parameters
    ----------
    instance
        Name of the instance, put into each line.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance

    def __call__(self, record: LogRecord, handler: Handler) -> str:
        """Return the line without its end."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "instance": self._instance,
            "part": record.channel,
            "event": record.message,
            **record.kwargs,
        }
        if record.exc_info:
            line["error"] = record.formatted_exception
        return dumps(line, default=str, option=OPT_NON_STR_KEYS).decode()


def make_log_handler(instance: str, path: str | None) -> Handler:
    """Return the handler for a log file, or for standard error where path is None."""
    handler = (
        StreamHandler(sys.stderr, level="INFO")
        if path is None
        else FileHandler(path, level="INFO")
    )
    handler.formatter = JsonLineFormatter(instance)
    return handler


def make_logger(part: str) -> LogbookLogger:
    """Return the logger of one part of the process."""
    return LogbookLogger(part)
