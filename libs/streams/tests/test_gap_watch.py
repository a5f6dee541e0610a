"""Tests of celeryfork_streams.gap_watch."""

import asyncio
import threading
import time

import pytest
from celeryfork_streams.errors import EngineStalledError
from celeryfork_streams.gap_watch import GapWatch


def test_silence_ends_the_wait():
    async def wait():
        with GapWatch("e1", 0.05, lambda: True):
            await asyncio.sleep(30)

    with pytest.raises(EngineStalledError):
        asyncio.run(wait())


def test_a_loop_that_was_late_itself_reads_what_has_come_first(connected):
    ours, theirs = connected

    async def wait():
        reader, _ = await asyncio.open_connection(sock=theirs)
        threading.Timer(0.1, ours.send, (b"token",)).start()
        with GapWatch("e1", 0.05, lambda: True) as watch:
            watch.listen()
            asyncio.get_running_loop().call_soon(time.sleep, 0.3)
            return await reader.read(5)

    assert asyncio.run(wait()) == b"token"
