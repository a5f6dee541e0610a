"""An event loop in which waiting takes no time, and connections without a network.

Where a program waits for good, the loop has nothing to skip to, and says so. So drawn
inputs, thousands of them, can show that nothing hangs.
"""

import asyncio
import selectors

MAX_TURNS = 20_000
"""Turns of a loop in one run; more are work without end."""
PIECE_S = 0.001
"""Time between two pieces that one side gets."""


class HangError(AssertionError):
    """All tasks wait for something that never comes, or they never end."""


class _SkippingSelector(selectors.SelectSelector):
    def __init__(self):
        super().__init__()
        self.skipped_s = 0.0
        self.turns = 0

    def select(self, timeout=None):
        self.turns += 1
        if self.turns > MAX_TURNS:
            self.turns = 0
            raise HangError(f"still at work after {MAX_TURNS} turns")
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise HangError("all tasks wait for good")
        self.skipped_s += max(0.0, timeout)
        return ready


class SkippingLoop(asyncio.SelectorEventLoop):
    """Skips the time that it would wait for.

    Parameters
    ----------
    engine
        Called with the transport of each connection that is opened.
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
    """The transport of one side; a test plays the other."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.written = bytearray()
        self.taken = self.taken_before_writing = 0
        self.open_ = asyncio.Event()
        self.open_.set()
        self.ended = False
        self._closing = False

    async def feed(self, data):
        """Give the side bytes once it reads; return whether it is still there."""
        while not self._closing:
            if not self.open_.is_set():
                await self.open_.wait()
                continue
            self.taken += len(data)
            self.protocol.data_received(data)
            await asyncio.sleep(PIECE_S)
            return True
        return False

    def end(self):
        """Tell the side that no more bytes come."""
        if not self._closing:
            self.protocol.eof_received()

    def pause_reading(self):
        self.open_.clear()

    def resume_reading(self):
        self.open_.set()

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
            self.open_.set()
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)

    abort = close


def run_skipping(main, engine=None):
    """Run a coroutine to its end; raise HangError where it has none."""
    with asyncio.Runner(loop_factory=lambda: SkippingLoop(engine)) as runner:
        return runner.run(main)
