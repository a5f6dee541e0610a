"""A sound engine is silent for half a second while a machine stops as planned."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

from deployment import BOUNDS, count_ends, run_case, send_stream

ENGINES = 2
"""Each holds a part of the model's layers, so that all streams need both."""
KIND = "l4"
GAP_S = 0.06
EVENTS = 100
STREAMS_PER_S = 12
OTHER_STREAMS_PER_S = 2
"""Streams to the machine that doesn't stop."""
RUNS_S = 12.0
SILENT_AFTER_S = 0.5
SILENT_S = 0.5
BEFORE_TIMEOUT_S = 7.0
"""A stream that was cut later may have reached its route's timeout, of 8 s."""
NEW_CLIENTS_S = 1.0
"""Time after SIGTERM for which new clients still come; two ready checks fail then."""


class Play:
    """One run of the case."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.answers, self.sent_s, self.ended_s = {}, {}, {}
        self.term_s = time.monotonic() + RUNS_S

    async def start(self):
        """Start the deployment and wait until it serves."""
        await self.deployment.configure()
        for number in range(ENGINES):
            name = f"i-engine{number}"
            self.deployment.add_server(name, "llm", kind=KIND, gap_s=GAP_S)
        for _ in range(2):
            self.deployment.add_machine()
        await self.deployment.wait_until_serving(_serves)
        await asyncio.sleep(3.0)
        self.term_s = time.monotonic() + RUNS_S

    async def send_all(self, machine, per_s):
        """Send streams to a machine until it gets no new clients."""
        asking, number = [], 0
        while time.monotonic() < self.term_s + NEW_CLIENTS_S:
            attempt = f"{machine.name}-stream-{number}"
            asking.append(asyncio.ensure_future(self._ask(machine, attempt)))
            number += 1
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*asking)

    async def _ask(self, machine, attempt):
        self.sent_s[attempt] = time.monotonic()
        self.answers[attempt] = answer = await send_stream(machine, attempt, EVENTS)
        self.ended_s[attempt] = time.monotonic()
        self.record.note(
            f"{attempt}: status {answer.status}, {answer.ended}, "
            f"{answer.seconds:.2f} s, {answer.body.count(b'id: ')} of {EVENTS} events"
        )

    async def stop(self, machine, trouble):
        """Stop a machine as planned, and let an engine be silent meanwhile."""
        await asyncio.sleep(self.term_s - time.monotonic())
        self.record.note(f"SIGTERM to {machine.name}")
        machine.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(SILENT_AFTER_S)
        if trouble:
            _, process = self.deployment.servers["i-engine0"]
            self.record.note("i-engine0 falls silent")
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SILENT_S)
            process.send_signal(signal.SIGCONT)
            self.record.note("i-engine0 goes on")

    def judge(self, machine):
        """Return the stopping machine's streams that it cut in its grace time."""
        for each in machine.events("broken_off"):
            self.record.note(f"{each['id']}: broken off by {each['ended_by']}")
        self.record.conclude(f"answers: {count_ends(self.answers.values())}")
        allowed_s = self.term_s + BOUNDS["graceS"] * 5 / 6
        cut = [
            attempt
            for attempt, answer in self.answers.items()
            if attempt.startswith(machine.name)
            and self.term_s < self.ended_s[attempt] < allowed_s
            and answer.ended in {"cut", "no answer"}
            and answer.seconds < BEFORE_TIMEOUT_S
        ]
        self.record.conclude(f"{machine.name} cut in its grace time: {len(cut)}")
        return [
            f"LOST: {each} was cut {self.ended_s[each] - self.term_s:.2f} s after "
            f"SIGTERM, with {self.answers[each].body.count(b'id: ')} of {EVENTS} events"
            for each in cut
        ]


async def _serves(machine):
    return (await send_stream(machine, "check", 2, 3.0)).status == 200


async def play(deployment, record, trouble):
    """Stop a machine while an engine is silent; return what was broken."""
    case = Play(deployment, record)
    await case.start()
    first, second = deployment.machines
    await asyncio.gather(
        case.send_all(first, STREAMS_PER_S),
        case.send_all(second, OTHER_STREAMS_PER_S),
        case.stop(first, trouble),
    )
    return case.judge(first)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
