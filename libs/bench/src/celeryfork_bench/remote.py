"""A load on a deployment whose parts are processes of their own."""

import asyncio
import random
import time
from collections.abc import Sequence

from aiohttp import ClientError, ClientSession
from celeryfork_standin.deployment import Deployment

from celeryfork_bench.callers import CallerOptions, Callers, make_session
from celeryfork_bench.history import History
from celeryfork_bench.workload import Arrival

CHECK_S = 0.25
CHECK_TIMEOUT_S = 1.0
READY_TIMEOUT_S = 30.0


class RemoteBalancer:
    """Looks up ready instances in the instance list, now and then."""

    def __init__(self, session: ClientSession, instances_url: str, seed: int) -> None:
        self._session = session
        self._url = f"{instances_url}/v1/instances"
        self._random = random.Random(seed)
        self._ready: list[tuple[str, str]] = []

    def pick(self) -> tuple[str, str] | None:
        """Return a ready instance's name and address, None if there is none."""
        return self._random.choice(self._ready) if self._ready else None

    async def run(self) -> None:
        """Look up until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_S)

    async def wait_ready(self, count: int) -> None:
        """Wait until so many instances are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while len(self._ready) < count:
                await self.check()
                await asyncio.sleep(CHECK_S)

    async def check(self) -> None:
        """Look up once."""
        try:
            async with self._session.get(self._url) as response:
                instances = (await response.json())["instances"]
        except (ClientError, TimeoutError):
            return
        entries = [
            (instance["id"], instance["address"])
            for instance in instances
            if instance["role"] == "entry" and instance["state"] == "live"
        ]
        ready = await asyncio.gather(*(self._is_ready(a) for _, a in entries))
        self._ready = [e for e, good in zip(entries, ready, strict=True) if good]

    async def _is_ready(self, address: str) -> bool:
        try:
            async with (
                asyncio.timeout(CHECK_TIMEOUT_S),
                self._session.get(f"http://{address}/readyz") as response,
            ):
                return response.status == 200
        except (ClientError, TimeoutError, OSError):
            return False


async def load(
    deployment: Deployment,
    instances_url: str,
    arrivals: Sequence[Arrival],
    seed: int,
    options: CallerOptions,
) -> tuple[History, float]:
    """Send all arrivals; return the history and when the first was sent.

    The time is monotonic, in seconds.
    """
    history = History()
    async with make_session() as session:
        balancer = RemoteBalancer(session, instances_url, seed)
        await balancer.wait_ready(len(deployment.entries))
        checks = asyncio.create_task(balancer.run())
        keys = {caller.organisation: caller.key for caller in deployment.callers}
        callers = Callers(session, balancer.pick, keys, history, options, seed)
        began_s = time.monotonic()
        tasks: list[asyncio.Task[object]] = []
        for arrival in arrivals:
            await asyncio.sleep(max(0.0, began_s + arrival.at_s - time.monotonic()))
            ask = callers.ask(arrival.organisation, arrival.ask)
            tasks.append(asyncio.create_task(ask))
        await asyncio.gather(*tasks)
        checks.cancel()
    return history, began_s
