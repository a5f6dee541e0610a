"""Calls to the store at the size to design for."""

from celeryfork_adapter.feeds import CHANGE_WAIT_S
from celeryfork_entry.leader_candidate import RENEWAL_S
from celeryfork_entry.store_follower import LIST_PAUSE_S

INSTANCES = 690
"""Instances of the largest deployment that docs/CAPACITY.md names."""
READS_A_SECOND = 2_000
"""Reads that the store takes from all instances together."""
RENEWAL_PRICE = 0.1
"""Part of a read that a renewal counts as."""


def test_reads_of_all_instances_stay_within_the_stores_rate():
    """Pattern: the list changes at each moment, so that its reads return at once."""
    of_one = 1 / LIST_PAUSE_S + 1 / CHANGE_WAIT_S + RENEWAL_PRICE / RENEWAL_S
    assert INSTANCES * of_one <= READS_A_SECOND
