"""A server leaves, and says so in its answers, while a machine is cut off the store."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

from deployment import BOUNDS, count_ends, run_case, send_plain

SERVERS = 3
LEAVING = "i-desk0"
ORDERS_PER_S = 40
WORK_S = 0.2
LEAVES_AT_S = 2.0
CUT_AT_S = 1.5
CUT_S = 5.5
EXITS_AFTER_S = 4.5
"""Time from the store's acceptance of the leaving to the exit: drainMs and longer."""
PLAYED_S = 10.0


async def play(deployment, record, trouble):
    """Send orders while a server leaves; return what was broken."""
    await deployment.configure()
    for number in range(SERVERS):
        deployment.add_server(f"i-desk{number}", "desk", slots=6, work_s=WORK_S)
    machine = deployment.add_machine()

    async def check(each):
        return (await send_plain(each, "check", "order")).status == 200

    await deployment.wait_until_serving(check)
    await asyncio.sleep(3.0)
    answers, sent_s, passed_on_s = {}, {}, []

    async def ask(attempt):
        sent_s[attempt] = time.monotonic()
        answers[attempt] = answer = await send_plain(machine, attempt, "order")
        if answer.headers.get("server-leaving") == "1":
            passed_on_s.append(time.monotonic())
        record.note(
            f"{attempt}: status {answer.status}, {answer.ended}, "
            f"by {answer.headers.get('x-instance-id')}, "
            f"leaving {answer.headers.get('server-leaving', '0')}"
        )

    async def disrupt():
        await asyncio.sleep(CUT_AT_S)
        await deployment.turn_away([machine] if trouble else [])
        await asyncio.sleep(LEAVES_AT_S - CUT_AT_S)
        await deployment.set_mode(LEAVING, "leaving")
        await asyncio.sleep(EXITS_AFTER_S)
        record.note(f"{LEAVING} exits")
        deployment.kill_server(LEAVING)
        await deployment.unlist(LEAVING)
        await asyncio.sleep(max(0.0, CUT_AT_S + CUT_S - LEAVES_AT_S - EXITS_AFTER_S))
        await deployment.turn_away([])

    work = [asyncio.ensure_future(disrupt())]
    for number in range(round(PLAYED_S * ORDERS_PER_S)):
        work.append(asyncio.ensure_future(ask(f"order-{number}")))
        await asyncio.sleep(1 / ORDERS_PER_S)
    await asyncio.gather(*work)
    record.conclude(f"answers: {count_ends(answers.values())}")
    runs = {note["id"] for note in deployment.server_notes("run", LEAVING)}
    late_from_s = min(passed_on_s, default=time.monotonic()) + BOUNDS["drainMs"] / 1000
    late = [each for each in sorted(runs) if sent_s.get(each, 0.0) > late_from_s]
    lost = [each for each in late if answers[each].status != 200]
    record.conclude(
        f"answers with Server-Leaving passed on: {len(passed_on_s)}; "
        f"sent over drainMs later and run by that server: {len(late)}, "
        f"of these without its answer: {len(lost)}"
    )
    return [
        f"DRAIN: {each} was sent {sent_s[each] - late_from_s:.2f} s later than allowed "
        f"and run by {LEAVING}; answer: {answers[each].status}"
        for each in late
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
