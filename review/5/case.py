"""Servers that have left are in use again after the store was busy."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

from deployment import BOUNDS, count_ends, run_case, send_plain

ZONES = ("mv-c", "mv-c", "mv-a", "mv-a")
"""Zones of the machines; the second one is frozen."""
SERVERS = 12
LEAVING = 3
"""A share of 0.25."""
CALM_S = 6.0
LEFT_AFTER_S = 0.8
"""Time from the freeze to the removal of the servers' entries."""
FROZEN_S = 4.0
BUSY_BEFORE_S = 1.0
"""Time before the end of the freeze at which the store begins to be busy."""
BUSY_S = 2.5
EXITS_S = 12.0
"""Time from the removal of a server's entry to its exit: drainMs and longer."""
PLAYED_S = 22.0
ORDERS_PER_S = 120
WORK_S = 0.2


class Play:
    """One run of the case."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.answers, self.sent_s, self.machine_of = {}, {}, {}
        self.leaving = [f"i-desk{number}" for number in range(LEAVING)]
        self.left_s, self.calm_from_s = {}, 0.0

    async def start(self):
        """Start the deployment and wait until it serves."""
        await self.deployment.configure()
        for number in range(SERVERS):
            name = f"i-desk{number}"
            self.deployment.add_server(name, "desk", slots=6, work_s=WORK_S)
        for zone in ZONES:
            self.deployment.add_machine(zone)
        await self.deployment.wait_until_serving(_serves)
        await asyncio.sleep(3.0)

    async def send_all(self):
        """Send orders to all machines in turn, and wait for their ends."""
        asking = []
        for number in range(round(PLAYED_S * ORDERS_PER_S)):
            machine = self.deployment.machines[number % len(ZONES)]
            asking.append(asyncio.ensure_future(self._ask(machine, f"order-{number}")))
            await asyncio.sleep(1 / ORDERS_PER_S)
        await asyncio.gather(*asking)

    async def _ask(self, machine, attempt):
        self.sent_s[attempt] = time.monotonic()
        self.machine_of[attempt] = machine.name
        self.answers[attempt] = answer = await send_plain(machine, attempt, "order")
        self.record.note(
            f"{attempt}: by {machine.name}, status {answer.status}, {answer.ended}, "
            f"from {answer.headers.get('x-instance-id')}"
        )

    async def disrupt(self, trouble):
        """Take servers away while a machine is frozen, then let the store be busy."""
        frozen = self.deployment.machines[1]
        await asyncio.sleep(CALM_S)
        if trouble:
            self.record.note(f"{frozen.name} is frozen")
            frozen.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(LEFT_AFTER_S)
        for name in self.leaving:
            await self.deployment.set_mode(name, "unlisted")
            self.left_s[name] = time.monotonic()
        await asyncio.sleep(FROZEN_S - LEFT_AFTER_S - BUSY_BEFORE_S)
        if trouble:
            await self.deployment.set_store_busy(True)
        await asyncio.sleep(BUSY_BEFORE_S)
        if trouble:
            self.record.note(f"{frozen.name} goes on")
            frozen.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(BUSY_S - BUSY_BEFORE_S)
        await self.deployment.set_store_busy(False)
        self.calm_from_s = time.monotonic() + BOUNDS["stableWindowMs"] / 1000
        for name in self.leaving:
            await asyncio.sleep(self.left_s[name] + EXITS_S - time.monotonic())
            self.record.note(f"{name} exits")
            self.deployment.kill_server(name)

    def judge(self):
        """Return the orders that reached a server that had left."""
        self.record.conclude(f"answers: {count_ends(self.answers.values())}")
        drain_s, late = BOUNDS["drainMs"] / 1000, []
        for name in self.leaving:
            for run in self.deployment.server_notes("run", name):
                sent_s = self.sent_s.get(run["id"], 0.0)
                if run["at"] > self.left_s[name] + drain_s and (
                    sent_s > self.calm_from_s
                ):
                    late.append((name, run))
        lost = [run["id"] for _, run in late if self.answers[run["id"]].status != 200]
        self.record.conclude(
            f"reached a server that had left, from machines in touch: {len(late)}; "
            f"of these without its answer: {len(lost)}"
        )
        return [
            f"DRAIN: {run['id']} reached {name} by {self.machine_of[run['id']]} "
            f"{run['at'] - self.left_s[name]:.2f} s after its entry was removed; "
            f"answer: {self.answers[run['id']].status}"
            for name, run in late
        ]


async def _serves(machine):
    return (await send_plain(machine, "check", "order")).status == 200


async def play(deployment, record, trouble):
    """Send orders while servers leave; return what was broken."""
    case = Play(deployment, record)
    await case.start()
    await asyncio.gather(case.send_all(), case.disrupt(trouble))
    return case.judge()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
