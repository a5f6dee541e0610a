"""Compares ways to read engines' streams; run it by hand, see docs/notes/streams.md.

python -m celeryfork_streams.relay_cost load
python libs/streams/tests/relay_variants.py ENGINES CALLERS
"""

import asyncio
from contextlib import asynccontextmanager
from statistics import median

from aiohttp import ClientSession, TCPConnector
from celeryfork_base.counters import Counters
from celeryfork_streams.engine_connection import EngineConnection
from celeryfork_streams.events import EventReader
from celeryfork_streams.formats import CompletionShape, EventFormat
from celeryfork_streams.relay_cost import (
    LAYERS,
    FixedRouter,
    connect_caller,
    make_measured_runner,
    measure_tasks,
    serve_one,
)
from orjson import dumps
from typer import Option, run


class Relay:
    """The checks and formats of one stream, the same in each variant."""

    def __init__(self, engines, caller, counters):
        self.address, self.caller, self.counters = engines, caller, counters
        self.chain = FixedRouter(engines).chain
        self.reader = EventReader(1, self.chain, LAYERS, 0, 10**9, counters)
        self.format = EventFormat(CompletionShape(True, 0), "model", "r1")
        stages = [{"first": hop.first, "last": hop.last} for hop in self.chain.hops]
        self.body = dumps({"attempt": 1, "chain": stages})
        self.rest = b""

    @property
    def request(self):
        head = b"POST / HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n"
        return head % len(self.body) + self.body

    def pass_on(self, lines):
        texts = [self.reader.read(line) for line in lines]
        self.caller.write(b"".join(map(self.format.token, texts)))
        self.counters.add("tokens", len(texts))

    def pass_on_data(self, data):
        lines = (self.rest + data).split(b"\n")
        self.rest = lines.pop()
        # Where nothing reads the chunks' framing, their sizes are lines too.
        self.pass_on([line for line in lines if line.startswith(b"{")])


async def aiohttp_client(relay):
    connector = TCPConnector(limit=0, force_close=True)
    async with ClientSession(connector=connector) as session:
        url = f"http://{relay.address}/v1/generate"
        async with session.post(url, data=relay.body) as response:
            while data := await response.content.readany():
                relay.pass_on_data(data)


async def stream_reader(relay):
    reader, writer = await asyncio.open_connection(*relay.address.split(":"))
    writer.write(relay.request)
    await reader.readuntil(b"\r\n\r\n")
    while data := await reader.read(65536):
        relay.pass_on_data(data)


class Direct(EngineConnection):
    """Passes tokens on from the callback, without waking a task."""

    relay = None

    def _wake(self):
        lines, self._lines = self._lines, []
        if lines:
            self._waiting_bytes = 0
            self.relay.pass_on(lines)


@asynccontextmanager
async def connected(relay, kind):
    loop = asyncio.get_running_loop()
    buffer = memoryview(bytearray(65536))
    _, connection = await loop.create_connection(
        lambda: kind(loop, buffer), *relay.address.split(":")
    )
    connection.relay = relay
    connection.send(relay.request)
    try:
        yield connection
    finally:
        connection.close()


async def protocol_direct(relay):
    async with connected(relay, Direct):
        await asyncio.sleep(3600)


async def protocol_task(relay):
    async with connected(relay, EngineConnection) as connection:
        while lines := await connection.lines():
            relay.pass_on(lines)


VARIANTS = (aiohttp_client, stream_reader, protocol_direct, protocol_task, serve_one)


async def measure_variant(variant, engines, callers, streams, seconds):
    counters = Counters()
    runner = await make_measured_runner(engines, counters)

    async def relay(number):
        if variant is serve_one:
            await serve_one(number, callers, runner, counters)
        caller = await connect_caller(callers, counters)
        try:
            await variant(Relay(engines, caller, counters))
        finally:
            caller.abort()

    serving = [asyncio.create_task(relay(number)) for number in range(streams)]
    count = lambda: counters.count("tokens") + runner.tokens_of_running()  # noqa: E731
    return await measure_tasks(serving, count, seconds)


def compare(
    engines: str,
    callers: str,
    streams: list[int] = Option([1, 100, 600]),  # noqa: B008
    seconds: float = 2.0,
    rounds: int = 5,
) -> None:
    """Print least and median of the rounds, in which the variants take turns."""
    for count in streams:
        costs_by_variant = {variant.__name__: [] for variant in VARIANTS}
        for _ in range(rounds):
            for variant in VARIANTS:
                cost = asyncio.run(
                    measure_variant(variant, engines, callers, count, seconds)
                )
                costs_by_variant[variant.__name__].append(cost)
        for name, costs in costs_by_variant.items():
            spent = [cost.processor_us for cost in costs]
            rate = min(cost.tokens_per_second for cost in costs)
            print(
                f"{name:16} {count:4} streams: least {min(spent):6.1f},"
                f" median {median(spent):6.1f} us/token, >= {rate:.0f} tokens/s",
                flush=True,
            )


if __name__ == "__main__":
    run(compare)
