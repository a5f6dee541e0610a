"""A store that comes back from a copy, some seconds old."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_adapter.store import Store
from celeryfork_entry.ports import StoreUnavailableError


class Log:
    """Records the lines of a log."""

    def __init__(self):
        self.lines = []

    def info(self, event, **inputs):
        self.lines.append((event, inputs))


class Connections:
    """Connections to a store that answers an empty page of an era."""

    def __init__(self):
        self.era = "1"

    async def send(self, address, request):
        async def read_all(max_bytes):
            return b'{"items": [], "end": 0}'

        era = self.era
        return SimpleNamespace(
            status=200, read_all=read_all, header=lambda name: era, drop=lambda: None
        )


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
