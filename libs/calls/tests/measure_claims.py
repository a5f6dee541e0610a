"""Prints what claims cost: appends and added latency a call, processor time, memory.

Run from the root, with every library's ``src`` on PYTHONPATH:
``python libs/calls/tests/measure_claims.py [SECONDS]``.
"""

import sys
import time
import tracemalloc
from concurrent.futures import Future, ThreadPoolExecutor

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
from celeryfork_calls.claims import ClaimBook, make_claim_book
from celeryfork_calls.kept import KeptOutcome
from conftest import FakeLog

BOOKS = 9
APPENDS_PER_SECOND = 300.0
APPEND_S = 0.002
COMMIT_WAIT_S = 0.02
DEADLINE_S = 10.0
HASH = hash_body(b"monday")
CLOCK = SystemClock()


def kept(key: str) -> KeptOutcome:
    body = b"x" * 100
    return KeptOutcome("o", key, Outcome.DONE, 200, "text/plain", body, HASH, 0)


def one_call(book: ClaimBook, due_s: float) -> float | None:
    """Claim a new key and finish at once; return the seconds that claiming added."""
    key = str(make_uuid7(CLOCK.wall_ms()))
    match book.claim("o", key, HASH, time.monotonic() + DEADLINE_S):
        case Claimed() as claimed:
            added_s = time.monotonic() - due_s
            book.finish(claimed, kept(key))
            return added_s
    return None


def run_calls(
    books: list[ClaimBook], calls_per_second: int, seconds: float
) -> list[Future[float | None]]:
    calls = []
    with ThreadPoolExecutor(400) as pool:
        began_s = time.monotonic()
        for n in range(round(calls_per_second * seconds)):
            due_s = began_s + n / calls_per_second
            time.sleep(max(0.0, due_s - time.monotonic()))
            calls.append(pool.submit(one_call, books[n % len(books)], due_s))
    return calls


def measure_rate(calls_per_second: int, seconds: float, book_count: int) -> None:
    log = FakeLog(CLOCK, APPENDS_PER_SECOND)
    log.append_s = APPEND_S
    books = [
        make_claim_book(
            log,
            Incarnation(f"i{n}", 1),
            CLOCK,
            Counters(),
            3600.0,
            commit_wait_s=COMMIT_WAIT_S,
        )
        for n in range(book_count)
    ]
    for book in books:
        book.start()
    cpu_s = time.process_time()
    calls = run_calls(books, calls_per_second, seconds)
    cpu_s = time.process_time() - cpu_s
    added = sorted(s for call in calls if (s := call.result()) is not None)
    for book in books:
        book.stop()
    appends = log.append_count - log.refused_count
    print(
        f"{calls_per_second:5} calls/s, {book_count} instances: {len(calls)} calls, "
        f"{len(calls) - len(added)} refused, "
        f"appends a call {appends / len(calls):.2f}, "
        f"reads an instance and second {log.read_count / seconds / book_count:.0f}, "
        f"appends refused {log.refused_count}, added ms p50 "
        f"{added[len(added) // 2] * 1000:.0f} p95 "
        f"{added[len(added) * 95 // 100] * 1000:.0f} max {added[-1] * 1000:.0f}, "
        f"processor us a call, all instances and callers "
        f"{cpu_s / len(calls) * 1e6:.0f}"
    )


def measure_fold(claims: int = 100_000, in_a_record: int = 30) -> None:
    now_ms = CLOCK.wall_ms()
    keys = [str(make_uuid7(now_ms - n % 500_000)) for n in range(claims)]
    texts = []
    for start in range(0, claims, in_a_record):
        part = keys[start : start + in_a_record]
        entries = [Claim("kettlecare", key, HASH, f"{1:016x}") for key in part]
        entries += [Settled(f"{1:016x}", kept(key)) for key in part]
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
        f"fold, claim and outcome of {fold.size()} keys: {held_bytes / claims:.0f} "
        f"bytes held a key, {min(times_s) / claims * 1e6:.1f} to "
        f"{max(times_s) / claims * 1e6:.1f} us to decode and fold a key, "
        f"{sum(map(len, texts)) / claims:.0f} log bytes a key"
    )


def fold_all(fold: ClaimFold, texts: list[str], now_ms: int) -> None:
    for offset, text in enumerate(texts):
        for _ in fold.apply(offset, now_ms, decode_batch(text)):
            pass


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 10.0
    measure_fold()
    for calls_per_second in (1, 100, 1000):
        measure_rate(calls_per_second, seconds, BOOKS)
    measure_rate(1000, seconds, 1)


if __name__ == "__main__":
    main()
