"""The configuration in force on this instance, and who wants to know of changes."""

import threading
from collections.abc import Callable

from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_config.in_force import Configuration

ConfigurationCallback = Callable[[Configuration], None]

_logger = Logger(__name__)


class CurrentConfiguration:
    """Holds the configuration in force; read from any thread, put by one."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._changed = threading.Condition()
        self._callbacks: list[ConfigurationCallback] = []
        self.value = Configuration()
        self.ready = False
        self.source = "none"

    def subscribe(self, callback: ConfigurationCallback) -> None:
        """Call ``callback`` with every configuration that is put from now on."""
        with self._changed:
            self._callbacks.append(callback)

    def wait(self, offset: int, timeout_s: float) -> bool:
        """Wait until ``offset`` is in force; return whether it is."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self.value.offset >= offset, timeout_s
            )

    def put(self, configuration: Configuration, source: str) -> None:
        """Put a configuration in force and tell the subscribers."""
        with self._changed:
            self.value = configuration
            self.source = source
            became_ready, self.ready = not self.ready, True
            callbacks = list(self._callbacks)
            self._changed.notify_all()
        if became_ready:
            _logger.notice(f"configuration ready at {configuration.offset} by {source}")
        self._counters.gauge("config.offset", configuration.offset)
        for callback in callbacks:
            self._call(callback, configuration)

    def _call(
        self, callback: ConfigurationCallback, configuration: Configuration
    ) -> None:
        try:
            callback(configuration)
        except Exception as error:
            self._counters.add("config.follower.callback_faults")
            _logger.error(f"a subscriber of the configuration failed: {error!r}")
