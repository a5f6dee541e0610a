"""Rate of calls to the store in the largest planned deployment."""

from celeryfork_adapter.feeds import LONG_POLL_S
from celeryfork_entry.leader_candidate import RENEWAL_INTERVAL_S
from celeryfork_entry.store_follower import LIST_READ_INTERVAL_S

INSTANCES = 690
"""Number of instances of the largest deployment in docs/CAPACITY.md."""
STORE_READS_PER_SECOND = 2_000
"""Maximum rate of reads that the store allows all instances together."""
READS_PER_RENEWAL = 0.1
"""Weight of a membership renewal in the store's rate limit; a read weighs 1."""


def test_reads_of_all_instances_stay_within_the_stores_rate_limit():
    """Worst case: the list changes all the time, so that long polls return at once."""
    reads_per_instance = (
        1 / LIST_READ_INTERVAL_S
        + 1 / LONG_POLL_S
        + READS_PER_RENEWAL / RENEWAL_INTERVAL_S
    )
    assert INSTANCES * reads_per_instance <= STORE_READS_PER_SECOND
