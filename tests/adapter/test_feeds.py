"""Which records a feed reads of the store, without network."""

import asyncio

import pytest
from celeryfork_adapter.feeds import StoreConfigurations, StoreTargets
from celeryfork_base.counters import Counters
from logbook import Logger


class Store:
    """Notes what is read; has nothing but an end."""

    def __init__(self):
        self.asked = []

    async def newest(self, topic):
        self.asked.append("newest")
        return [], 7

    async def read(self, topic, start, wait_s):
        self.asked.append(start)
        return [], start + 1


@pytest.mark.parametrize("feed_type", [StoreConfigurations, StoreTargets])
def test_a_feed_that_starts_anew_reads_what_is_newest(feed_type):
    """Pattern: 85 followers read all changes since their start at the same moment."""
    store = Store()
    feed = feed_type(store, Logger("test"), Counters())

    async def run():
        await feed.poll()
        await feed.poll()
        feed.request_full_read()
        await feed.poll()
        await feed.poll()

    asyncio.run(run())
    assert store.asked == ["newest", 7, "newest", 7]
