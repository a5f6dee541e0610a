"""Reads of a feed from the store, with an in-memory fake of the store."""

import asyncio

import pytest
from attrs import evolve
from celeryfork_adapter.feeds import StoreConfigurationFeed, StoreTargetFeed
from celeryfork_base.counters import Counters
from celeryfork_entry.log_position import LogPosition
from logbook import Logger


class FakeStore:
    """An empty store that records the reads."""

    def __init__(self):
        self.reads = []

    async def newest(self, topic):
        self.reads.append("newest")
        return [], LogPosition(1, 7)

    async def read(self, topic, start, wait_s):
        self.reads.append(start.offset)
        return [], evolve(start, offset=start.offset + 1)


@pytest.mark.parametrize("feed_type", [StoreConfigurationFeed, StoreTargetFeed])
def test_restarted_feed_reads_only_the_newest_records(feed_type):
    """Guards against a load peak on the store.

    85 followers would otherwise read all changes since their start at the same time.
    """
    store = FakeStore()
    feed = feed_type(store, Logger("test"), Counters())

    async def run():
        await feed.poll()
        await feed.poll()
        feed.request_full_read()
        await feed.poll()
        await feed.poll()

    asyncio.run(run())
    assert store.reads == ["newest", 7, "newest", 7]
