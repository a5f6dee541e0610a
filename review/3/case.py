"""A faulty engine fails streams with an error whose body never ends."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

from deployment import (
    STREAM_TIMEOUT_MS,
    count_ends,
    run_case,
    send_stream,
)

MACHINES = 6
ENGINES = 15
FAULTY = 2
"""A share of 0.133."""
FAILED_SHARE = 0.45
FAULTY_S = 6.5
STREAMS_PER_S = 40
EVENTS = 80
ALLOWED_LATE_S = 0.5
LEAST_LATE = 8
LATE_SHARE = 0.25


async def play(deployment, record, trouble):
    """Send streams while the engine is faulty; return what was broken."""
    await deployment.configure()
    for number in range(ENGINES):
        deployment.add_server(f"i-engine{number}", "llm", kind="a100s", gap_s=0.05)
    machines = [deployment.add_machine() for _ in range(MACHINES)]

    async def check(each):
        answer = await send_stream(each, "check", 2, 3.0)
        return answer.status == 200 and answer.ended == "complete"

    await deployment.wait_until_serving(check)
    await asyncio.sleep(3.0)
    answers = {}

    async def ask(machine, attempt):
        answers[attempt] = answer = await send_stream(machine, attempt, EVENTS)
        record.note(
            f"{attempt}: status {answer.status}, {answer.ended}, "
            f"{answer.seconds:.2f} s, {answer.body.count(b'id: ')} events"
        )

    faulty = [f"i-engine{number}" for number in range(FAULTY)]
    for name in faulty if trouble else ():
        await deployment.set_mode(name, "endless", FAILED_SHARE)
    asking = []
    for number in range(round(FAULTY_S * STREAMS_PER_S)):
        asking.append(
            asyncio.ensure_future(ask(machines[number % MACHINES], f"stream-{number}"))
        )
        await asyncio.sleep(1 / STREAMS_PER_S)
    for name in faulty:
        await deployment.set_mode(name, "")
    await asyncio.gather(*asking)
    for note in deployment.server_notes("spoilt"):
        record.note(f"{note['id']}: {note['server']} failed it with {note['status']}")
    record.conclude(f"answers: {count_ends(answers.values())}")
    timeout_s = STREAM_TIMEOUT_MS / 1000
    longer = [each for each, answer in answers.items() if answer.seconds > timeout_s]
    late = [
        each for each in longer if answers[each].seconds > timeout_s + ALLOWED_LATE_S
    ]
    record.conclude(
        f"lasted longer than timeoutMs: {len(longer)}; "
        f"no final answer 0.5 s after it: {len(late)}"
    )
    if len(late) >= LEAST_LATE and len(late) > LATE_SHARE * len(longer):
        return [
            f"CONFIG: {each} had no final answer 0.5 s after timeoutMs" for each in late
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
