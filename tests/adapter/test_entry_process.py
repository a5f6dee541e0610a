"""The helper that starts an instance as a process."""

from entry_process import free_ports, own_address

ENTRIES = 20_000
"""Ports taken one after another were the same for 4 of as many entries."""


def test_ports_of_one_entry_differ():
    for _ in range(ENTRIES):
        assert len(set(free_ports(own_address(), 3))) == 3
