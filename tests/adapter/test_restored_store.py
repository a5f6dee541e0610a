"""A store that comes back from a copy, some seconds old."""

import asyncio
import base64
import json
import struct
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

import pytest
from celeryfork_adapter.feeds import StoreConfigurationFeed, StoreTargetFeed
from celeryfork_adapter.store import Store
from celeryfork_base.counters import Counters
from celeryfork_entry.ports import StoreUnavailableError
from celeryfork_entry.target_http import LostError
from celeryfork_entry.targets import Listed, Unlisted


class Log:
    """Records the lines of a log."""

    def __init__(self):
        self.lines = []

    def info(self, event, **inputs):
        self.lines.append((event, inputs))


class Connections:
    """Connections to a store with one topic.

    Parameters
    ----------
    records
        Keys and values of the topic, in the order of their offsets.
    waits_ms
        Long-poll times of the reads.
    """

    def __init__(self):
        self.era, self.records, self.waits_ms, self.down = "1", [], [], False
        self.calls, self.history_is_lost = [], False

    def restore(self, *records):
        self.era, self.records = str(int(self.era) + 1), list(records)

    async def send(self, address, request):
        if self.down:
            raise LostError("the connection broke in a reply")
        url = urlsplit(request.target)
        self.calls.append(url.path)
        query = {name: value[0] for name, value in parse_qs(url.query).items()}
        status, body = 200, self._newest()
        if url.path == "/-/log-read":
            status, body = self._read(query)

        async def read_all(max_bytes):
            return body

        era = self.era
        return SimpleNamespace(
            status=status, read_all=read_all, header=lambda name: era, drop=lambda: None
        )

    def _newest(self):
        items = [
            {"key": key, "value": base64.b64encode(value).decode()}
            for key, value in dict(self.records).items()
            if value is not None
        ]
        return json.dumps({"items": items, "end": len(self.records)}).encode()

    def _read(self, query):
        start = int(query["from"])
        self.waits_ms.append(int(query.get("waitMs", 0)))
        if self.history_is_lost or start > len(self.records):
            return 410, b'{"first": 0}'
        body = struct.pack(">QQ", len(self.records), 0)
        for key, value in self.records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return 200, body


def test_a_restored_store_is_logged():
    """The logs couldn't tell a restored store from one that was away."""
    connections, log = Connections(), Log()
    store = Store("a:1", connections, log)
    for era in ("1", "1", "2"):
        connections.era = era
        asyncio.run(store.newest("keyed.op"))
    assert log.lines == [("store_restored", {"era": 2, "before": 1})]


@pytest.mark.parametrize("era", ["", "-1", "1.5", "x", "9" * 400])
def test_an_answer_with_a_malformed_era_is_not_used(era):
    connections = Connections()
    connections.era = era
    with pytest.raises(StoreUnavailableError):
        asyncio.run(Store("a:1", connections, Log()).newest("keyed.op"))


def entry(state="ready"):
    fields = {
        "service": "desk", "addr": "10.0.0.1:80", "zone": "west", "slots": 8,
        "state": state, "seq": 4, "born": 17,
    }  # fmt: skip
    return json.dumps(fields).encode()


class Versions(StoreConfigurationFeed):
    """A feed whose configurations are their versions."""

    async def decode(self, encoded):
        return int(encoded)


def read_all(feed, polls=3):
    """Return what the polls of a feed return."""

    async def poll():
        return [await feed.poll() for _ in range(polls)]

    return asyncio.run(poll())


def make_feed(kind, connections):
    return kind(Store("a:1", connections, Log()), Log(), Counters())


# A change that was confirmed right after the store's return was not in force until the
# next one: its record had the offset that the reader had gone past before the restore.
def test_a_change_at_an_offset_of_the_era_before_is_read():
    connections = Connections()
    connections.records = [("config", b"5"), ("config", b"9"), ("config", b"12")]
    feed = make_feed(Versions, connections)
    assert read_all(feed) == [12, None, None]
    connections.restore(("config", b"5"), ("config", b"12"), ("config", b"15"))
    assert 15 in read_all(feed)
    connections.records.append(("config", b"16"))
    assert 16 in read_all(feed)


def test_a_removal_at_an_offset_of_the_era_before_is_read():
    """A server that had left stayed in the list."""
    connections = Connections()
    connections.records = [("x", entry()), ("y", entry()), ("y", entry("draining"))]
    feed = make_feed(StoreTargetFeed, connections)
    read_all(feed)
    connections.restore(("x", entry()), ("y", entry()), ("x", None))
    assert None in read_all(feed), "the whole list is read"
    assert [target.id for target in feed.full_list()] == ["y"]
    connections.records.append(("y", None))
    assert [Unlisted("y")] in read_all(feed)


def test_a_change_is_read_without_a_wait_after_an_outage():
    """A read that waits for a record hides for 1.4 s that the store was restored."""
    connections = Connections()
    connections.records = [("config", b"5")]
    feed = make_feed(Versions, connections)
    read_all(feed)
    connections.down = True
    with pytest.raises(StoreUnavailableError):
        read_all(feed)
    connections.down = False
    connections.restore(("config", b"6"))
    connections.waits_ms.clear()
    assert read_all(feed, 1) == [6]
    assert connections.waits_ms == [0]


def test_a_restore_that_another_call_has_met_needs_no_read():
    connections = Connections()
    connections.records = [("config", b"5")]
    feed = make_feed(Versions, connections)
    read_all(feed)
    connections.restore(("config", b"6"))
    asyncio.run(feed._store.newest("keyed.entry-instances"))
    connections.waits_ms.clear()
    assert read_all(feed, 1) == [6]
    assert connections.waits_ms == []


# An instance read the store without a pause while it answered 410 to each read.
@pytest.mark.parametrize("kind", [Versions, StoreTargetFeed])
def test_a_history_that_is_lost_again_and_again_counts_as_an_outage(kind):
    connections = Connections()
    feed = make_feed(kind, connections)
    read_all(feed, 1)
    connections.history_is_lost = True
    for _ in range(3):
        with pytest.raises(StoreUnavailableError):
            read_all(feed)
    assert len(connections.calls) <= 10


def test_an_answer_given_before_a_restore_is_not_used():
    connections = Connections()
    store = Store("a:1", connections, Log())
    connections.era = "2"
    asyncio.run(store.newest("keyed.op"))
    connections.era = "1"
    with pytest.raises(StoreUnavailableError):
        asyncio.run(store.newest("keyed.op"))


def test_a_store_that_names_no_era_is_read_on():
    connections = Connections()
    connections.era = None
    connections.records = [("x", entry())]
    feed = make_feed(StoreTargetFeed, connections)
    connections.records.append(("y", entry()))
    read_all(feed)
    connections.records.append(("z", entry()))
    (changes,) = [each for each in read_all(feed) if each]
    assert [change.target.id for change in changes if isinstance(change, Listed)] == [
        "z"
    ]
