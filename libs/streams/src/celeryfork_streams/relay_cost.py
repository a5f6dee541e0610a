"""Measures the relay: processor time of the loop's thread for each token passed.

The whole path runs, with every check: `StreamRunner` towards the engines,
`serve_generate` towards the callers. Only the choice of a chain is fixed. Run the load
in a process of its own, so that it doesn't share this one's interpreter lock::

    python -m celeryfork_streams.relay_cost load
    python -m celeryfork_streams.relay_cost measure ENGINES CALLERS --streams 600
"""

import asyncio
import socket
import time
from collections.abc import Callable

from attrs import frozen
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_membership.observations import Observation
from celeryfork_membership.targets import Target
from celeryfork_routing.chains import Chain, ChainRequest, ChainResult, Hop
from typer import Argument, Option, Typer

from celeryfork_streams.caller import CallerConnection, take_over
from celeryfork_streams.engine_client import make_engine_session
from celeryfork_streams.formats import CompletionShape
from celeryfork_streams.policy import StreamPolicy
from celeryfork_streams.relay_load import RelayLoad
from celeryfork_streams.requests import GenerateRequest, StreamResult
from celeryfork_streams.serve import serve_generate
from celeryfork_streams.streams import StreamRunner, make_stream_runner

LAYERS = 24
SETTLE_S = 1.5
LONG_S = 3600.0
# 13,000,000 tokens a second over 690 daemons, on one core of each.
BOUND_US = 53.0

app = Typer(add_completion=False, help="Measure the relay of tokens.")


@frozen
class RelayCost:
    """What the relay cost.

    Parameters
    ----------
    processor_us
        Processor time of the loop's thread for a token, in microseconds.
    core_share
        Share of a core that the thread used.
    """

    streams: int
    tokens_per_second: float
    processor_us: float
    core_share: float

    def __str__(self) -> str:
        """Return one line of a table."""
        return (
            f"{self.streams:5} streams {self.tokens_per_second:8.0f} tokens/s"
            f" {self.processor_us:7.1f} us/token {self.core_share:5.2f} core"
        )


class FixedRouter:
    """Chooses the one chain there is."""

    def __init__(self, engine_address: str) -> None:
        half = LAYERS // 2
        first, second = (
            Target(name, "engine", "model", "domain", engine_address, 1)
            for name in ("e1", "e2")
        )
        hops = (Hop(first, 0, half), Hop(second, half, LAYERS))
        self.chain = Chain(hops, "e1+e2")

    def choose(self, request: ChainRequest) -> Chain:
        """Return the chain."""
        return self.chain

    def release(self, chain: Chain, result: ChainResult) -> None:
        """Do nothing."""


class _HealthyView:
    def observe(self, target_id: str, observation: Observation) -> None:
        pass

    def usable(self, target_id: str) -> bool:
        return True


class _AmpleBudget:
    def record_success(self) -> None:
        pass

    def try_spend(self) -> bool:
        return True


class _NoPoison:
    def record_crash(self, fingerprint: str, target_id: str) -> None:
        pass

    def crashes(self, fingerprint: str) -> int:
        return 0

    def check(self, fingerprint: str) -> None:
        pass


async def measure_relay(
    engine_address: str, caller_address: str, streams: int, seconds: float
) -> RelayCost:
    """Relay ``streams`` streams on the running loop and return what it cost.

    Parameters
    ----------
    engine_address, caller_address
        Where a `RelayLoad` listens.
    seconds
        How long to measure, after the streams have settled.
    """
    counters = Counters()
    runner = await make_measured_runner(engine_address, counters)
    serving = [
        asyncio.create_task(serve_one(number, caller_address, runner, counters))
        for number in range(streams)
    ]
    return await measure_tasks(serving, runner.tokens_of_running, seconds)


async def measure_tasks(
    serving: list[asyncio.Task[StreamResult]],
    count_tokens: Callable[[], int],
    seconds: float,
) -> RelayCost:
    """Return what tasks that relay a stream each cost, and cancel them."""
    await asyncio.sleep(SETTLE_S)
    used_s, tokens = time.thread_time(), count_tokens()
    began_s = time.monotonic()
    await asyncio.sleep(seconds)
    tokens = count_tokens() - tokens
    used_s = time.thread_time() - used_s
    passed_s = time.monotonic() - began_s
    for task in serving:
        task.cancel()
    await asyncio.gather(*serving, return_exceptions=True)
    return RelayCost(
        streams=len(serving),
        tokens_per_second=tokens / passed_s,
        processor_us=used_s / max(tokens, 1) * 1e6,
        core_share=used_s / passed_s,
    )


async def make_measured_runner(engine_address: str, counters: Counters) -> StreamRunner:
    """Return a runner whose chain is fixed."""
    return make_stream_runner(
        FixedRouter(engine_address),
        _HealthyView(),
        _AmpleBudget(),
        _NoPoison(),
        SystemClock(),
        counters,
        await make_engine_session(1.0),
        layers_of=lambda model: LAYERS,
        domain="domain",
    )


async def serve_one(
    number: int, caller_address: str, runner: StreamRunner, counters: Counters
) -> StreamResult:
    """Relay one stream over the whole path until cancelled."""
    caller = await connect_caller(caller_address, counters)
    request = GenerateRequest(
        request_id=f"r{number}",
        stream_id=f"r{number}.1",
        organisation="kiosk",
        model="model",
        prompt="Hard water in Nairobi",
        max_tokens=10**9,
        priority=5,
        seed=0,
        deadline_s=time.monotonic() + LONG_S,
        fingerprint=f"f{number}",
    )
    shape = CompletionShape(stream=True, created_s=0)
    return await serve_generate(request, caller, runner, shape)


async def connect_caller(address: str, counters: Counters) -> CallerConnection:
    """Return a connection to a caller that reads everything."""
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    return await take_over(connection, StreamPolicy(), counters)


@app.command()
def load(
    seed: int = Option(1, help="Seed of the streams' phases."),
    together: int = Option(1, help="Tokens that an engine sends together."),
) -> None:
    """Play the engines and the callers until interrupted."""

    async def run() -> None:
        both_ends = RelayLoad(seed, together)
        print(*await both_ends.listen(), flush=True)
        await both_ends.run()

    asyncio.run(run())


@app.command()
def measure(
    engines: str = Argument(help="The first address that `load` printed."),
    callers: str = Argument(help="The second."),
    streams: list[int] = Option([1, 100, 600], help="Streams at once."),  # noqa: B008
    seconds: float = Option(5.0, help="How long to measure each."),
) -> None:
    """Print a line for each number of streams."""
    for count in streams:
        print(asyncio.run(measure_relay(engines, callers, count, seconds)), flush=True)


if __name__ == "__main__":
    app()
