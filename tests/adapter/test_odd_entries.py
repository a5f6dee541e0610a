"""Odd records of other writers in the store, beside good ones."""

import asyncio
import base64
import json

import pytest
from celeryfork_adapter.store import Store
from celeryfork_entry.ports import StoreUnavailableError

DEEPLY_NESTED = b"[" * 100_000


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
    assert end == 9


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
