"""Measures the fold at size: ``python -m celeryfork_config.measure [ORGANISATIONS]``.

Prints memory per record and processor time per step, on one thread.
"""

import gc
import hashlib
import sys
import time
import tracemalloc
from collections.abc import Callable

from attrs import frozen
from celeryfork_base.counters import Counters
from celeryfork_platform.model import LogRecord

from celeryfork_config.entries import Record, encode_entry
from celeryfork_config.fold import Fold

DEFAULT_ORGANISATIONS = 24_000
CHANGES = 2_000
READS = 200


@frozen
class Measure:
    """One figure with its unit."""

    name: str
    value: float
    unit: str


def measure_fold(organisations: int) -> list[Measure]:
    """Return the figures of a fold with that many organisations."""
    records = [_record(offset, None, offset) for offset in range(organisations)]
    found = [_memory(records)]
    fold = Fold(Counters())
    found.append(_time("first fold", len(records), lambda: _apply(fold, records)))
    changes = _changes(organisations)
    found += [
        _time("change without snapshot", CHANGES, lambda: _apply(fold, changes)),
        _time("snapshot after a change", READS, lambda: _change_and_read(fold)),
        _time("peer's read at the end", READS, lambda: _read_end(fold)),
        _time("peer's read of everything", 1, lambda: fold.entries_after(-1)),
        _time("look for due records", READS, lambda: _look_for_due(fold)),
    ]
    entries = fold.entries_after(-1)
    taker = Fold(Counters())
    found.append(
        _time("taking a peer's record", len(entries), lambda: _take(taker, entries))
    )
    return found


def _record(offset: int, based_on: int | None, number: int) -> LogRecord:
    name = f"organisation/caterer-{number:05d}"
    key = hashlib.sha256(name.encode()).hexdigest()
    payload = {
        "key_sha256s": [key],
        "requests_per_second": 2 + offset % 7,
        "burst": 10,
        "concurrency": 8,
        "weight": 1.0,
        "priority": 5,
    }
    data = encode_entry(Record(name, 1, based_on, payload))
    return LogRecord(offset, offset, "", data)


def _changes(organisations: int) -> list[LogRecord]:
    """Return changes of one organisation after another."""
    return [
        _record(organisations + i, i % organisations, i % organisations)
        for i in range(min(CHANGES, organisations))
    ]


def _apply(fold: Fold, records: list[LogRecord]) -> None:
    for record in records:
        fold.apply(record)


def _change_and_read(fold: Fold) -> None:
    offset = fold.next_offset
    for i in range(READS):
        number = offset + i
        fold.apply(_record(number, None, number))
        _ = fold.configuration


def _read_end(fold: Fold) -> None:
    for _ in range(READS):
        fold.entries_after(fold.next_offset - 1)


def _look_for_due(fold: Fold) -> None:
    for _ in range(READS):
        list(fold.due_before(0))


def _take(fold: Fold, entries: tuple[LogRecord, ...]) -> None:
    fold.merge_peer_entries(entries)


def _time(name: str, count: int, work: Callable[[], object]) -> Measure:
    began_s = time.process_time()
    work()
    seconds = time.process_time() - began_s
    return Measure(name, round(seconds / count * 1e6, 1), "us of processor time each")


def _memory(records: list[LogRecord]) -> Measure:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    fold = Fold(Counters())
    _apply(fold, records)
    _ = fold.configuration
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Measure("state", round((after - before) / len(records)), "bytes a record")


def main() -> None:
    """Print the figures."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_ORGANISATIONS
    print(f"{count} organisations")
    for figure in measure_fold(count):
        print(f"{figure.name:28} {figure.value:>12,} {figure.unit}")


if __name__ == "__main__":
    main()
