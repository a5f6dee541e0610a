"""Changes of the settings while an entry process starts."""

import signal
from pathlib import Path

import pytest
from entry_process import Entry, wait_for


@pytest.fixture
def make_entry(fleet, tmp_path):
    """Return a function that starts a process and doesn't wait for it."""
    started = []

    def make(planted=""):
        started.append(Entry(fleet, tmp_path).start(planted))
        return started[-1]

    yield make
    for entry in started:
        entry.end()


def has_loaded_a_library(entry):
    return "orjson" in Path(f"/proc/{entry.process.pid}/maps").read_text()


def test_a_sighup_during_the_start_does_not_end_the_process(make_entry):
    """Its imports take most of the start, and the signal's default is to terminate."""
    entry = make_entry()
    wait_for(lambda: has_loaded_a_library(entry), 10, 0.001)
    entry.process.send_signal(signal.SIGHUP)
    entry.wait_ready()
