"""Port allocation of the helper that starts an entry instance as a process."""

from entry_process import free_ports, own_address

ROUNDS = 20_000
"""Number of port allocations.

When each port was bound and released before the next, 4 of as many allocations
contained the same port twice.
"""


def test_ports_of_one_instance_differ():
    for _ in range(ROUNDS):
        assert len(set(free_ports(own_address(), 3))) == 3
