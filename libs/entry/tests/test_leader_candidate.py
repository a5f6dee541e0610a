"""Registration of an instance, and its candidacy for placement leadership."""

import asyncio
from types import SimpleNamespace

import pytest
from celeryfork_entry import leader_candidate
from celeryfork_entry.leader_candidate import INITIAL_READS, LeaderCandidate
from celeryfork_entry.ports import Leadership, Peer, StoreUnavailableError
from celeryfork_entry.roster import RELAYS_PER_DOMAIN, Roster
from logbook import Logger

WEST = [Peer(f"w{n}", "west", f"10.0.0.{n}:7") for n in range(1, 9)]


class Election:
    """Fake of the store's election, whose first ``failures`` announcements fail."""

    def __init__(self, failures=0):
        self.failures = failures
        self.announced = self.renewed = self.reads = 0
        self.era = 1

    async def announce(self):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("away")
        self.announced += 1
        return self.era

    async def renew(self):
        self.renewed += 1
        return Leadership(False, 1)

    async def peers(self):
        self.reads += 1
        return WEST

    async def resign(self):
        await asyncio.Event().wait()


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    for name in (
        "RENEWAL_INTERVAL_S",
        "ROLE_CHECK_INTERVAL_S",
        "INSTANCE_POLL_S",
    ):
        monkeypatch.setattr(leader_candidate, name, 0.001)
    monkeypatch.setattr(leader_candidate, "RELAY_SETTLING_S", 0.05)
    monkeypatch.setattr(leader_candidate, "RESIGN_TIMEOUT_S", 0.05)


def make(own, election=None):
    roster = Roster(own)
    roster.add_listed(WEST)
    placement = SimpleNamespace(
        leadership=Leadership(False, 0), apply_renewal=lambda leadership: None
    )
    election = election or Election()
    running = SimpleNamespace(stopping=False)
    candidate = LeaderCandidate(
        election, roster, placement, Logger("test"), lambda: running.stopping
    )
    return candidate, election, roster, running


def run(work, running, seconds=0.15):
    async def both():
        task = asyncio.ensure_future(work())
        await asyncio.sleep(seconds)
        running.stopping = True
        await task

    asyncio.run(both())


def test_a_relay_is_a_candidate_once_it_has_settled():
    """When 88 instances started, one of low power became leader and then withdrew."""
    candidate, election, _, running = make(WEST[0])
    run(candidate.renew_while_eligible, running, 0.02)
    assert election.renewed == 0
    running.stopping = False
    run(candidate.renew_while_eligible, running)
    assert election.renewed > 0


def test_a_follower_is_not_a_candidate():
    candidate, election, _, running = make(WEST[RELAYS_PER_DOMAIN])
    run(candidate.renew_while_eligible, running)
    assert election.renewed == 0


def test_a_leader_that_is_no_longer_a_relay_renews_leadership():
    candidate, election, _, running = make(WEST[RELAYS_PER_DOMAIN])
    candidate._placement.leadership = Leadership(True, 3)
    run(candidate.renew_while_eligible, running)
    assert election.renewed > 0


def test_an_instance_is_announced_once_though_the_store_fails_at_first():
    candidate, election, _, running = make(WEST[0], Election(failures=3))
    run(candidate.announce_and_read_instances, running)
    assert election.announced == 1


# Instances that started within the seconds that a restored store had lost were unknown
# to all that read the list of instances later.
@pytest.mark.parametrize(("era", "announced"), [(None, 1), (1, 1), (2, 2)])
def test_an_instance_is_announced_again_after_a_restore(era, announced):
    candidate, election, _, running = make(WEST[7])

    async def announce_and_restore():
        task = asyncio.ensure_future(candidate.announce_and_read_instances())
        await asyncio.sleep(0.05)
        election.era = era or 1
        candidate._known_era = lambda: era
        await task

    run(announce_and_restore, running)
    assert election.announced == announced


def test_reads_of_instances_continue_only_while_no_relay_is_live():
    """Otherwise each of 88 instances reads the list of all instances every second."""
    candidate, election, roster, running = make(WEST[7])
    roster.record_message(WEST[0])
    run(candidate.announce_and_read_instances, running)
    assert election.reads == INITIAL_READS
    candidate, election, roster, running = make(WEST[7])
    run(candidate.announce_and_read_instances, running)
    assert election.reads > INITIAL_READS


def test_an_unresponsive_store_does_not_delay_a_planned_stop():
    candidate, *_ = make(WEST[0])
    asyncio.run(asyncio.wait_for(candidate.resign(), 1.0))
