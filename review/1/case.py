"""A faulty engine sends empty lines without end in place of a stream's events."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

from deployment import (
    MEMORY_MB,
    PLAIN_TIMEOUT_MS,
    count_ends,
    run_case,
    send_plain,
    send_stream,
)

ENGINES = 8
"""One of them is faulty: a share of 0.125."""
SERVERS = 3
FAILED_SHARE = 0.45
FAULTY_S = 6.5
CALM_S = 2.0
PLAYED_S = 20.0
REQUESTS_PER_S = 10
"""Streams, and as many plain requests."""
EVENTS = 60
ALLOWED_LATE_S = 0.5
LEAST_LATE = 8
LATE_SHARE = 0.25


class Play:
    """One run of the case."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.streams, self.plain = {}, {}
        self.machine = None
        self.over = asyncio.Event()

    async def start(self):
        """Start the deployment and wait until it serves."""
        await self.deployment.configure()
        for number in range(ENGINES):
            self.deployment.add_server(f"i-engine{number}", "llm", kind="a100s")
        for number in range(SERVERS):
            self.deployment.add_server(f"i-desk{number}", "desk", slots=6)
        self.machine = self.deployment.add_machine()
        await self.deployment.wait_until_serving(_serves)
        await asyncio.sleep(3.0)

    async def send_all(self):
        """Send the clients' requests, and wait for their ends."""
        asking = []
        for number in range(round(PLAYED_S * REQUESTS_PER_S)):
            kind = "order" if number % 3 else "status"
            asking.append(asyncio.ensure_future(self._ask_plain(number, kind)))
            asking.append(asyncio.ensure_future(self._ask_stream(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*asking)

    async def _ask_stream(self, number):
        attempt = f"stream-{number}"
        self.streams[attempt] = await send_stream(self.machine, attempt, EVENTS)
        self._note(attempt, self.streams[attempt])

    async def _ask_plain(self, number, kind):
        attempt = f"{kind}-{number}"
        self.plain[attempt] = await send_plain(self.machine, attempt, kind)
        self._note(attempt, self.plain[attempt])

    def _note(self, attempt, answer):
        self.record.note(
            f"{attempt}: status {answer.status}, {answer.ended}, "
            f"{answer.seconds:.2f} s, {answer.body.count(b'id: ')} events, "
            f"{len(answer.body)} bytes"
        )

    async def disrupt(self):
        """Let one engine spoil streams for a while."""
        await asyncio.sleep(CALM_S)
        await self.deployment.set_mode("i-engine0", "newlines", FAILED_SHARE)
        await asyncio.sleep(FAULTY_S)
        await self.deployment.set_mode("i-engine0", "")

    async def watch(self):
        """Ask if the machine is ready, as the platform does, until all is over."""
        most_mb, unready = 0.0, 0
        while not self.over.is_set():
            most_mb = max(most_mb, self.machine.memory_mb())
            unready += not await self.machine.is_ready()
            await asyncio.sleep(0.25)
        ended = self.machine.process.poll()
        self.record.conclude(
            f"peak memory {most_mb:.0f} MB of {MEMORY_MB}; ready checks without a 200 "
            f"within 1 s: {unready}; process {'runs' if ended is None else 'ended'}"
        )

    def judge(self):
        """Return the plain requests without an answer, if they break the rule."""
        for each in self.deployment.server_notes("spoilt"):
            self.record.note(f"{each['id']}: spoilt by {each['server']}")
        self.record.conclude(f"streams: {count_ends(self.streams.values())}")
        self.record.conclude(f"plain: {count_ends(self.plain.values())}")
        run = {note["id"] for note in self.deployment.server_notes("run")}
        lost = [
            attempt
            for attempt, answer in self.plain.items()
            if attempt in run and answer.status is None
        ]
        self.record.conclude(
            f"plain requests that ran, without any answer: {len(lost)}"
        )
        timeout_s = PLAIN_TIMEOUT_MS / 1000
        seconds = {each: answer.seconds for each, answer in self.plain.items()}
        longer = [each for each in seconds if seconds[each] > timeout_s]
        late = [each for each in longer if seconds[each] > timeout_s + ALLOWED_LATE_S]
        self.record.conclude(
            f"plain requests that lasted longer than timeoutMs: {len(longer)}; "
            f"no final answer 0.5 s after it: {len(late)}"
        )
        if len(late) < LEAST_LATE or len(late) <= LATE_SHARE * len(longer):
            return []
        return [
            f"CONFIG: {each}: no final answer 0.5 s after timeoutMs" for each in late
        ]


async def _serves(machine):
    stream = await send_stream(machine, "check", 2, 3.0)
    plain = await send_plain(machine, "check", "order")
    return stream.status == plain.status == 200


async def play(deployment, record, trouble):
    """Send streams and plain requests; return what was broken for the latter."""
    case = Play(deployment, record)
    await case.start()
    watching = asyncio.ensure_future(case.watch())
    work = [case.send_all()]
    if trouble:
        work.append(case.disrupt())
    await asyncio.gather(*work)
    case.over.set()
    await watching
    return case.judge()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
