"""Measure the engines' processor time per token: a script, not a test.

    python libs/standin/tests/engine_cost.py 300 4

runs 300 streams over 13 chains of three engines for 4 seconds.
"""

import asyncio
import json
import sys
import time

from celeryfork_standin.engine import EngineFleet, EngineSpec, make_engine_fleet

CHAINS = 13
STAGES = 3
LAYERS = 12
SETTLE_S = 1.0


def make_fleet() -> EngineFleet:
    fleet = make_engine_fleet(seed=1)
    for number in range(CHAINS * STAGES):
        stage = number % STAGES
        fleet.add(
            EngineSpec(
                f"e{number}",
                "m",
                f"domain-{stage}",
                stage * LAYERS,
                (stage + 1) * LAYERS,
                base_s=0.008,
                per_sequence_s=0.003,
                max_batch=4,
            )
        )
    return fleet


async def read_stream(fleet: EngineFleet, number: int) -> None:
    names = [f"e{number % CHAINS * STAGES + stage}" for stage in range(STAGES)]
    engines = [fleet.engine(name) for name in names]
    chain = [
        {
            "engine": engine.spec.id,
            "address": engine.address,
            "first": engine.spec.first_layer,
            "last": engine.spec.last_layer,
        }
        for engine in engines
    ]
    request = {
        "stream_id": f"s{number}",
        "attempt": 1,
        "model": "m",
        "prompt": f"hard water {number}",
        "position": 0,
        "max_tokens": 100_000,
        "chain": chain,
    }
    body = json.dumps(request).encode()
    host, port = engines[0].address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = b"POST /v1/generate HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n"
    writer.write(head % len(body) + body)
    while await reader.read(65_536):
        pass


async def measure(fleet: EngineFleet, streams: int, seconds: float) -> None:
    readers = [asyncio.create_task(read_stream(fleet, n)) for n in range(streams)]
    await asyncio.sleep(SETTLE_S)
    began = time.monotonic(), fleet.processor_s(), fleet.ran_count
    await asyncio.sleep(seconds)
    ended = time.monotonic(), fleet.processor_s(), fleet.ran_count
    for reader in readers:
        reader.cancel()
    tokens = ended[2] - began[2]
    wall_s = ended[0] - began[0]
    capacity = CHAINS * fleet.engines[0].spec.tokens_per_second
    print(f"streams                  {streams}")
    print(f"tokens a second          {tokens / wall_s:.0f} of {capacity:.0f}")
    print(f"processor time a token   {(ended[1] - began[1]) / tokens * 1e6:.1f} us")
    print(f"share of one core        {(ended[1] - began[1]) / wall_s:.2f}")


def main() -> None:
    fleet = make_fleet()
    asyncio.run(measure(fleet, int(sys.argv[1]), float(sys.argv[2])))
    fleet.stop()


if __name__ == "__main__":
    main()
