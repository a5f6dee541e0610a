"""An event loop whose waits take no time, and engines that send at a pace."""

import asyncio
import json
import selectors

from attrs import define, field


class _JumpingSelector(selectors.DefaultSelector):
    """Lets the time until the next timer pass at once."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task waits, and no timer would wake one")
        ready = super().select(0)
        if not ready:
            self.now_s += max(timeout, 0)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in their order, without waiting for them."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now_s

    def be_late(self, seconds):
        """Let time pass in which the loop has no turn."""
        self._jumping.now_s += seconds


@define
class LoopClock:
    """The clock of a loop."""

    loop: asyncio.AbstractEventLoop

    def monotonic(self):
        return self.loop.time()


@define
class PacedStream:
    """An attempt whose tokens come after the gaps of its engine."""

    engine: "PacedEngine"
    position: int = 0
    limit: int = 0
    attempt: int = 0
    spans: list = field(factory=list)

    async def begin(self, body):
        request = json.loads(body)
        self.engine.attempts += 1
        self.position, self.limit = request["position"], request["max_tokens"]
        self.attempt = request["attempt"]
        self.spans = [[stage["first"], stage["last"]] for stage in request["chain"]]

    async def lines(self):
        position = self.position
        if position == self.limit:
            return [self._event(p=position, end="length")]
        await asyncio.sleep(self.engine.gap_s(position))
        late_s = self.engine.loop_late_s_by_position.get(position)
        if late_s is not None:
            asyncio.get_running_loop().be_late(late_s)
        self.position += 1
        return [self._event(p=position, x=f" t{position}", l=self.spans)]

    def close(self):
        pass

    def _event(self, **fields):
        return json.dumps({"a": self.attempt, **fields}).encode()


@define
class PacedEngine:
    """An engine that needs ``usual_s`` for a token, and ``slow_s`` from one on."""

    usual_s: float = 0.035
    slow_s: float = 0.035
    slow_from: int = 0
    loop_late_s_by_position: dict = field(factory=dict)
    attempts: int = 0

    def gap_s(self, position):
        return self.slow_s if position >= self.slow_from else self.usual_s


@define
class PacedSession:
    """Engines by their address; all answer when they are asked."""

    engines_by_address: dict = field(factory=dict)

    async def connect(self, address):
        return PacedStream(self.engines_by_address[address])

    async def alive(self, address, timeout_s):
        return True
