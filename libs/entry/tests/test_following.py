"""Following the store, and what is believed while it is away."""

import asyncio

from celeryfork_base.counters import Counters
from celeryfork_entry.following import Following
from celeryfork_entry.ports import StoreUnavailableError
from celeryfork_entry.target_http import TargetConnections
from celeryfork_entry.targets import Target, TargetTable, Unlisted
from logbook import Logger

TARGET = Target("t1", "llm", "10.0.0.1:80", "a")


class Feed:
    """Gives what it was told, in order, then waits for good."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def poll(self):
        if not self.answers:
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def whole(self):
        return [TARGET]


def follow(*answers):
    table = TargetTable()
    following = Following(
        Feed(), Feed(*answers), table, TargetConnections(), Logger("test"),
        Counters(), lambda: [],
    )  # fmt: skip

    async def run():
        task = asyncio.ensure_future(following.follow_targets())
        while following._targets.answers:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    return table, following


def test_the_list_is_old_while_the_store_is_away():
    table, _ = follow(None, StoreUnavailableError("away"))
    assert table.list_is_old


def test_the_list_is_old_until_lapsed_entries_are_decided_on():
    """Second 26 of trouble-3 of the hosting site: engines that left in an outage were
    offered work 92 times in the two seconds after it, which spent the retry budget."""
    table, following = follow(
        None, StoreUnavailableError("away"), [Unlisted(TARGET.id)]
    )
    assert table.list_is_old
    assert TARGET.id in table.by_id
    assert following.store_away == set()


def test_a_list_that_is_read_is_not_old():
    table, _ = follow(None, [])
    assert not table.list_is_old


def test_a_peer_that_does_not_answer_twice_at_a_time_is_asked_again():
    """The second failure found the note of the first gone and raised."""
    following = Following(
        Feed(), Feed(), TargetTable(), TargetConnections(), Logger("test"),
        Counters(), lambda: [],
    )  # fmt: skip

    async def hear_twice():
        await asyncio.gather(
            following.heard_of(5, "127.0.0.1:1"), following.heard_of(6, "127.0.0.1:1")
        )

    asyncio.run(hear_twice())
    assert following._asked_by_address == {}
