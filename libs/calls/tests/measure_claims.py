"""Measures the cost of claims: appends and latency per call, CPU time and memory.

Run from the root, with every library's ``src`` on PYTHONPATH:
``python libs/calls/tests/measure_claims.py [SECONDS]``. Each instance is a
separate process, and the log is the platform stand-in, over HTTP.
"""

import subprocess
import sys
import time
import tracemalloc
from concurrent.futures import Future, ThreadPoolExecutor

import orjson
from celeryfork_base.clock import SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.identity import Incarnation, make_uuid7
from celeryfork_base.outcomes import Outcome
from celeryfork_calls.claim_fold import ClaimFold, hash_body
from celeryfork_calls.claim_records import (
    Batch,
    Claim,
    Settled,
    decode_batch,
    encode_batch,
)
from celeryfork_calls.claim_results import Claimed
from celeryfork_calls.claims import ClaimCoordinator, make_claim_coordinator
from celeryfork_calls.kept_outcomes import KeptOutcome
from celeryfork_platform.log import make_log_client
from celeryfork_standin.platform import make_platform

INSTANCES = 9
APPENDS_PER_SECOND = 300.0
COMMIT_WAIT_S = 0.02
DEADLINE_S = 10.0
MOST_THREADS = 100
HASH = hash_body(b"monday")
CLOCK = SystemClock()


def make_outcome(key: str) -> KeptOutcome:
    body = b"x" * 100
    return KeptOutcome("o", key, Outcome.DONE, 200, "text/plain", body, HASH, 0)


def run_call(coordinator: ClaimCoordinator, due_s: float) -> float | None:
    """Claim and finish a new key; return the seconds from ``due_s`` to the grant."""
    key = str(make_uuid7(CLOCK.wall_ms()))
    match coordinator.claim("o", key, HASH, time.monotonic() + DEADLINE_S):
        case Claimed() as claimed:
            added_s = time.monotonic() - due_s
            coordinator.finish(claimed, make_outcome(key))
            return added_s
    return None


def run_calls(
    coordinator: ClaimCoordinator, calls_per_second: float, seconds: float
) -> list[Future[float | None]]:
    calls = []
    with ThreadPoolExecutor(MOST_THREADS) as pool:
        began_s = time.monotonic()
        for n in range(max(1, round(calls_per_second * seconds))):
            due_s = began_s + n / calls_per_second
            time.sleep(max(0.0, due_s - time.monotonic()))
            calls.append(pool.submit(run_call, coordinator, due_s))
    return calls


def run_instance(name: str, url: str, calls_per_second: float, seconds: float) -> None:
    """Run one instance, and print its figures as JSON."""
    counters = Counters()
    log = make_log_client(url, CLOCK, counters)
    coordinator = make_claim_coordinator(
        log, Incarnation(name, 1), CLOCK, counters, 3600.0, commit_wait_s=COMMIT_WAIT_S
    )
    coordinator.start()
    while not coordinator.ready:
        time.sleep(0.01)
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    sys.stdin.readline()
    cpu_s = time.process_time()
    calls = run_calls(coordinator, calls_per_second, seconds)
    cpu_s = time.process_time() - cpu_s
    coordinator.stop()
    figures = {
        "added_s": [call.result() for call in calls],
        "cpu_s": cpu_s,
        "appends": counters.count("claims.appends"),
        "refused": counters.count("claims.appends_refused"),
    }
    sys.stdout.write(orjson.dumps(figures).decode() + "\n")


def measure_rate(calls_per_second: int, seconds: float) -> None:
    platform = make_platform(appends_per_second=APPENDS_PER_SECOND)
    platform.start()
    share = calls_per_second / INSTANCES
    instances = [
        subprocess.Popen(
            [sys.executable, __file__, f"i{n}", platform.url, str(share), str(seconds)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for n in range(INSTANCES)
    ]
    for instance in instances:
        instance.stdout.readline()
    for instance in instances:
        instance.stdin.write("go\n")
        instance.stdin.flush()
    figures = [orjson.loads(i.communicate(timeout=seconds + 60)[0]) for i in instances]
    reads = platform.log.counts_by_name.get("reads", 0)
    platform.stop()
    calls = [s for f in figures for s in f["added_s"]]
    added = sorted(s for s in calls if s is not None)
    appends = sum(f["appends"] - f["refused"] for f in figures)
    cpu_s = sum(f["cpu_s"] for f in figures) / INSTANCES
    print(
        f"{calls_per_second:5} calls/s, {INSTANCES} instances, {seconds:g} s: "
        f"{len(calls)} calls, {len(calls) - len(added)} refused; "
        f"appends per call {appends / len(calls):.2f}, "
        f"{sum(f['refused'] for f in figures)} appends refused by the log, "
        f"reads per instance and second {reads / seconds / INSTANCES:.0f}; "
        f"added ms p50 {added[len(added) // 2] * 1000:.0f} "
        f"p95 {added[len(added) * 95 // 100] * 1000:.0f} max {added[-1] * 1000:.0f}; "
        f"CPU of an instance {cpu_s / seconds * 100:.1f}% of a core",
        flush=True,
    )


def measure_fold(claims: int = 100_000, in_a_record: int = 30) -> None:
    now_ms = CLOCK.wall_ms()
    keys = [str(make_uuid7(now_ms - n % 500_000)) for n in range(claims)]
    texts = []
    for start in range(0, claims, in_a_record):
        part = keys[start : start + in_a_record]
        entries = [Claim("kettlecare", key, HASH, f"{1:016x}") for key in part]
        entries += [Settled(f"{1:016x}", make_outcome(key)) for key in part]
        texts.append(encode_batch(Batch("i1@1", entries)))
    fold = ClaimFold(600_000)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    fold_all(fold, texts, now_ms)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    times_s = []
    for _ in range(3):
        began_s = time.process_time()
        fold_all(ClaimFold(600_000), texts, now_ms)
        times_s.append(time.process_time() - began_s)
    print(
        f"fold of a claim and an outcome for each of {fold.key_count()} keys: "
        f"{held_bytes / claims:.0f} bytes per key, "
        f"{min(times_s) / claims * 1e6:.1f} to "
        f"{max(times_s) / claims * 1e6:.1f} us to decode and fold per key, "
        f"{sum(map(len, texts)) / claims:.0f} log bytes per key"
    )


def fold_all(fold: ClaimFold, texts: list[str], now_ms: int) -> None:
    for offset, text in enumerate(texts):
        for _ in fold.apply(offset, now_ms, decode_batch(text)):
            pass


def main() -> None:
    if len(sys.argv) > 2:
        name, url, calls_per_second, seconds = sys.argv[1:]
        run_instance(name, url, float(calls_per_second), float(seconds))
        return
    measured_s = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    measure_fold()
    for rate in (1, 100, 1000):
        measure_rate(rate, measured_s)


if __name__ == "__main__":
    main()
