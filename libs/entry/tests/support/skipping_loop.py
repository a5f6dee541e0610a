"""An event loop with simulated time, and connections without a network.

Instead of waiting, the loop advances its clock to the next timer. It raises an error if
all tasks wait and there is no timer, so that tests with thousands of generated inputs
show that nothing hangs.
"""

import asyncio
import selectors
from contextlib import contextmanager
from unittest.mock import patch

MAX_TURNS = 20_000
"""Maximum number of loop iterations in one run, after which it counts as endless."""
PIECE_S = 0.001
"""Simulated seconds between two chunks that one side receives."""


class HangError(AssertionError):
    """All tasks wait without a timer, or the tasks never end."""


class _SkippingSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.skipped_s = 0.0
        self.turns = 0

    def select(self, timeout=None):
        self.turns += 1
        if self.turns > MAX_TURNS:
            self.turns = 0
            raise HangError(f"still running after {MAX_TURNS} loop iterations")
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise HangError("all tasks wait, and no timer is set")
        self.skipped_s += max(0.0, timeout)
        return ready


class SkippingLoop(asyncio.SelectorEventLoop):
    """Advances its clock instead of waiting.

    Parameters
    ----------
    engine
        Called with the :class:`Pipe` of each connection that is opened.
    """

    def __init__(self, engine=None):
        self._skipping = _SkippingSelector()
        self.engine = engine
        super().__init__(self._skipping)

    def time(self):
        return super().time() + self._skipping.skipped_s

    async def create_connection(self, factory, host, port):
        protocol = factory()
        transport = Pipe(protocol)
        protocol.connection_made(transport)
        self.engine(transport)
        return transport, protocol


class Pipe(asyncio.Transport):
    """Fake transport of one side of a connection, whose other side is the test.

    ``taken`` counts the bytes received, ``taken_before_writing`` those received before
    the first write.
    """

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.written = bytearray()
        self.taken = self.taken_before_writing = 0
        self.reading_allowed = asyncio.Event()
        self.reading_allowed.set()
        self.ended = False
        self._closing = False

    async def feed(self, data):
        """Deliver bytes once reading isn't paused; return False if it has closed."""
        while not self._closing:
            if not self.reading_allowed.is_set():
                await self.reading_allowed.wait()
                continue
            self.taken += len(data)
            self.protocol.data_received(data)
            await asyncio.sleep(PIECE_S)
            return True
        return False

    def end(self):
        """Signal the end of the data to the side."""
        if not self._closing:
            self.protocol.eof_received()

    def pause_reading(self):
        self.reading_allowed.clear()

    def resume_reading(self):
        self.reading_allowed.set()

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        if not self.written:
            self.taken_before_writing = self.taken
        self.written += data

    def can_write_eof(self):
        return True

    def write_eof(self):
        self.ended = True

    def is_closing(self):
        return self._closing

    def close(self):
        if not self._closing:
            self._closing = True
            self.reading_allowed.set()
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)

    abort = close


class _SimulatedLoop(SkippingLoop):
    """Has a clock of its own, on which computing takes no time."""

    def time(self):
        return self._skipping.skipped_s


@contextmanager
def simulated_time():
    """Yield a function that runs a coroutine to completion on a simulated clock.

    ``time.monotonic`` is that clock too. What is measured then depends on what the code
    decides, and not on how busy the machine is.
    """
    with (
        asyncio.Runner(loop_factory=_SimulatedLoop) as runner,
        patch("time.monotonic", runner.get_loop().time),
    ):
        yield runner.run


def run_skipping(main, engine=None):
    """Run a coroutine to completion; raise HangError if it hangs."""
    with asyncio.Runner(loop_factory=lambda: SkippingLoop(engine)) as runner:
        return runner.run(main)
