"""Odd records of other writers in the store, beside good ones."""

import asyncio
import base64
import json

import pytest
from celeryfork_adapter.feeds import (
    MAX_LOGGED_CHARACTERS,
    MAX_UNREADABLE_KEYS,
    StoreTargetFeed,
)
from celeryfork_adapter.store import KeyedRecord, Store
from celeryfork_base.counters import Counters
from celeryfork_entry.log_position import LogPosition
from celeryfork_entry.ports import StoreUnavailableError
from celeryfork_entry.targets import TargetTable

pytestmark = pytest.mark.usefixtures("collected_garbage")
ENTRY = {
    "service": "llm", "addr": "10.0.0.1:80", "zone": "west", "slots": 8,
    "state": "ready", "seq": 4, "layers": {"from": 0, "to": 8}, "kind": "big",
    "born": 17,
}  # fmt: skip
DEEPLY_NESTED = b"[" * 100_000


def encode(entry):
    return json.dumps(entry).encode()


class RecordingLog:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def info(self, event, **inputs):
        self.lines.append((event, inputs))


class ScriptedConnections:
    """Connections to a store that sends these responses one after the other."""

    def __init__(self, *bodies, status=200):
        self.bodies = list(bodies)
        self.status = status
        self.requests = []

    async def send(self, address, request, **options):
        self.requests.append(request.target)
        return ScriptedReply(self.status, self.bodies.pop(0))


class ScriptedReply:
    """A complete reply."""

    def __init__(self, status, body):
        self.status, self._body = status, body

    async def read_all(self, max_bytes):
        return self._body

    def header(self, name):
        return None

    def drop(self):
        pass


def make_page(*items, truncated=False):
    return json.dumps({"items": items, "truncated": truncated, "end": 9}).encode()


def make_item(key, value):
    return {"key": key, "value": base64.b64encode(value).decode(), "offset": 1}


def read_newest(*bodies):
    connections = ScriptedConnections(*bodies)
    records, end = asyncio.run(Store("a:1", connections).newest("keyed.servers"))
    return records, end, connections.requests


GOOD_ITEM = make_item("i-1", b"good")
ODD_ITEMS = {
    "no-object": 7,
    "no-key": {"value": "QQ=="},
    "key-not-a-string": make_item(["i"], b"x"),
    "value-not-base64": {"key": "i-2", "value": "!"},
    "value-not-ascii": {"key": "i-2", "value": "\u00e9"},
    "value-a-number": {"key": "i-2", "value": 7},
    "lone-surrogate": make_item("\udcff", b"x"),
    "long-key": make_item("k" * 200_000, b"x"),
}
ODD_ITEM = pytest.mark.parametrize("item", ODD_ITEMS.values(), ids=ODD_ITEMS)


@ODD_ITEM
def test_an_odd_row_hides_no_other_row_of_its_page(item):
    """One row of another writer made the whole list unreadable, at each read."""
    records, end, _ = read_newest(make_page(item, GOOD_ITEM))
    assert (records[-1].key, records[-1].value) == ("i-1", b"good")
    assert end == LogPosition(0, 9)


@ODD_ITEM
def test_pages_are_read_on_after_an_odd_last_row(item):
    """The key of a page's last row is sent in the next query.

    A key that can't be encoded ended the task that follows the list.
    """
    records, _, requests = read_newest(
        make_page(GOOD_ITEM, item, truncated=True), make_page(make_item("z", b"last"))
    )
    assert (records[0].key, records[-1].key) == ("i-1", "z")
    assert len(requests) == 2


@pytest.mark.parametrize(
    "body",
    [
        DEEPLY_NESTED,
        b'{"items": ' + DEEPLY_NESTED,
        b"[]",
        b'{"items": [], "end": 1e999}',
        b'{"items": {"a": 1}, "end": ' + b"9" * 400 + b"}",
        make_page(make_item("\udcff", b"x"), truncated=True),
    ],
    ids=["nested", "nested-items", "list", "infinite", "digits", "no-key-to-go-on"],
)
def test_an_unreadable_page_counts_as_a_failed_read(body):
    """The task that follows the list ended with a RecursionError or another error."""
    with pytest.raises(StoreUnavailableError):
        read_newest(body)


def test_pages_that_repeat_count_as_a_failed_read():
    """Otherwise a store that ignores the query is read without end."""
    with pytest.raises(StoreUnavailableError):
        read_newest(*[make_page(GOOD_ITEM, truncated=True)] * 3)


@pytest.mark.parametrize(
    "body",
    [
        b'{"generation": 1e999, "parts": []}',
        b'{"generation": 99999999999999999999999, "parts": []}',
        b'{"generation": 1, "parts": [["t", 1e999]]}',
        b'{"generation": 1, "parts": [7]}',
        DEEPLY_NESTED,
    ],
    ids=["infinite", "over-64-bits", "infinite-part", "no-row", "nested"],
)
def test_an_unreadable_membership_counts_as_a_failed_renewal(body):
    """The fencing token goes into all messages to peers, which couldn't be encoded."""
    store = Store("a:1", ScriptedConnections(body))
    with pytest.raises(StoreUnavailableError):
        asyncio.run(store.join("g", "m", "t", 3.0, 0))


class ScriptedStore:
    """A store that returns these records: first the newest ones, then changes."""

    def __init__(self, *reads):
        self.reads = list(reads)

    async def newest(self, topic):
        return self.reads.pop(0), 1

    async def read(self, topic, start, wait_s):
        return self.reads.pop(0), start + 1


def follow(*reads):
    """Return the target table after these reads, the log's lines, and the counters."""
    log, counters, table = RecordingLog(), Counters(), TargetTable()
    feed = StoreTargetFeed(ScriptedStore(*reads), log, counters)

    async def run():
        for _ in reads:
            changes = await feed.poll()
            if changes is None:
                table.replace_all(feed.full_list())
            else:
                table.apply(changes)

    asyncio.run(run())
    return table, log.lines, counters


GOOD = KeyedRecord("i-1", encode(ENTRY))
MALFORMED = {
    "nested": DEEPLY_NESTED,
    "not-utf-8": b"\xff\xfe",
    "empty-object": b"{}",
    "port-out-of-range": encode(ENTRY | {"addr": "10.0.0.1:70000"}),
    "number-too-large": encode(ENTRY | {"seq": 10**400}),
    "unknown-state": encode(ENTRY | {"state": "asleep"}),
}


@pytest.mark.parametrize("value", MALFORMED.values(), ids=MALFORMED)
@pytest.mark.parametrize("in_full", [True, False], ids=["full-read", "change"])
def test_a_malformed_entry_replaces_the_good_one_of_its_id(value, in_full):
    """The old entry stayed in use until the next full read of the list."""
    other = KeyedRecord("i-2", encode(ENTRY | {"addr": "10.0.0.2:80"}))
    odd = KeyedRecord("i-1", value)
    reads = [[GOOD, odd, other]] if in_full else [[GOOD, other], [odd]]
    table, _, counters = follow(*reads)
    assert set(table.by_id) == {"i-2"}
    assert counters.count("targets.unreadable") == 1


def test_an_entry_is_used_again_once_it_is_readable():
    table, lines, _ = follow([GOOD], [KeyedRecord("i-1", b"{}")], [GOOD])
    assert table.by_id["i-1"].address == "10.0.0.1:80"
    assert [event for event, _ in lines] == ["target_unreadable"]


def test_a_malformed_entry_is_logged_once_until_it_is_readable():
    """An engine's entry is written each second; each malformed one was logged."""
    odd = KeyedRecord("i-1", b"{}")
    _, lines, counters = follow([odd], [odd, odd], [odd], [GOOD], [odd])
    assert len(lines) == 2
    assert counters.count("targets.unreadable") == 5


def test_malformed_entries_of_many_ids_leave_a_bounded_log():
    odd = [KeyedRecord(f"i-{n}" + "k" * 10_000, b"{}") for n in range(5_000)]
    _, lines, counters = follow([GOOD, *odd], odd)
    assert len(lines) == MAX_UNREADABLE_KEYS
    assert counters.count("targets.unreadable") == 10_000
    assert all(
        len(text) <= MAX_LOGGED_CHARACTERS
        for _, inputs in lines
        for text in inputs.values()
    )
