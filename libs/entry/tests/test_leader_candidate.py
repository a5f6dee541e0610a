"""When an instance announces itself, and when it is a candidate for the duty."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_entry import leader_candidate
from celeryfork_entry.leader_candidate import FIRST_LOOKS, LeaderCandidate
from celeryfork_entry.ports import Leadership, Peer, StoreUnavailableError
from celeryfork_entry.roster import RELAYS, Roster
from logbook import Logger

WEST = [Peer(f"w{n}", "west", f"10.0.0.{n}:7") for n in range(1, 9)]


class Election:
    def __init__(self, failures=0):
        self.failures = failures
        self.announced = self.renewed = self.looks = 0

    async def announce(self):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("away")
        self.announced += 1

    async def renew(self):
        self.renewed += 1
        return Leadership(False, 1)

    async def peers(self):
        self.looks += 1
        return WEST

    async def resign(self):
        await asyncio.Event().wait()


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    for name in ("RENEWAL_S", "ROLE_LOOK_S", "INSTANCES_INTERVAL_S"):
        monkeypatch.setattr(leader_candidate, name, 0.001)
    monkeypatch.setattr(leader_candidate, "SETTLED_S", 0.05)
    monkeypatch.setattr(leader_candidate, "RESIGN_TIMEOUT_S", 0.05)


def make(own, election=None):
    roster = Roster(own)
    roster.listed(WEST)
    leadership = SimpleNamespace(
        leadership=Leadership(False, 0), renewed=lambda leadership: None
    )
    election = election or Election()
    running = SimpleNamespace(stopping=False)
    made = LeaderCandidate(
        election, roster, leadership, Logger("test"), lambda: running.stopping
    )
    return made, election, roster, running


def run(work, running, seconds=0.15):
    async def both():
        task = asyncio.ensure_future(work())
        await asyncio.sleep(seconds)
        running.stopping = True
        await task

    asyncio.run(both())


def test_a_relay_is_a_candidate_once_it_has_settled():
    """Pattern: 88 instances start, a weak one takes the duty and leaves again."""
    made, election, _, running = make(WEST[0])
    run(made.follow_duty, running, 0.02)
    assert election.renewed == 0
    running.stopping = False
    run(made.follow_duty, running)
    assert election.renewed > 0


def test_a_follower_is_no_candidate():
    made, election, _, running = make(WEST[RELAYS])
    run(made.follow_duty, running)
    assert election.renewed == 0


def test_a_holder_that_relays_no_more_keeps_the_duty():
    made, election, _, running = make(WEST[RELAYS])
    made._placement.leadership = Leadership(True, 3)
    run(made.follow_duty, running)
    assert election.renewed > 0


def test_an_instance_is_announced_once_though_the_store_fails_at_first():
    made, election, _, running = make(WEST[0], Election(failures=3))
    run(made.follow_instances, running)
    assert election.announced == 1


def test_the_instances_are_read_on_only_while_no_relay_is_heard():
    """Pattern: 88 instances that each read the list of all each second."""
    made, election, roster, running = make(WEST[7])
    roster.heard(WEST[0])
    run(made.follow_instances, running)
    assert election.looks == FIRST_LOOKS
    made, election, roster, running = make(WEST[7])
    run(made.follow_instances, running)
    assert election.looks > FIRST_LOOKS


def test_a_store_that_is_silent_does_not_hold_up_a_planned_stop():
    made, *_ = make(WEST[0])
    asyncio.run(asyncio.wait_for(made.resign(), 1.0))
