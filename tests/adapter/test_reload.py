"""Changes of the settings, also while an entry process starts."""

import signal
from pathlib import Path

import pytest
from entry_process import Entry, wait_for

CHANGED_WHILE_READ = """
import json, pathlib
from celeryfork_adapter import serving
read_settings = serving.read_settings

def read_before_a_change(path):
    settings = read_settings(path)
    fields = json.loads(pathlib.Path(path).read_text())
    fields["bounds"]["graceS"] = 5
    pathlib.Path(path).write_text(json.dumps(fields))
    serving.read_settings = read_settings
    return settings

serving.read_settings = read_before_a_change
"""


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


def test_settings_that_change_during_the_start_are_applied(make_entry):
    """A change after the settings were read was taken for what had been read."""
    entry = make_entry(CHANGED_WHILE_READ).wait_ready()
    wait_for(lambda: entry.events("settings_reloaded"), 3)
    assert entry.events("settings_reloaded")[-1]["stop_s"] == 5


@pytest.mark.parametrize("odd", [{"seeds": 5}, {"limits": [1]}])
def test_settings_are_read_on_after_odd_ones(make_entry, odd):
    """The watcher's task ended without a line, so that no later change was applied."""
    entry = make_entry().wait_ready()
    usual = dict(entry.settings)
    entry.settings = usual | odd
    entry.write_settings()
    entry.process.send_signal(signal.SIGHUP)
    wait_for(lambda: entry.events("settings_refused"), 3)
    entry.settings = usual | {"bounds": usual["bounds"] | {"graceS": 5}}
    entry.write_settings()
    entry.process.send_signal(signal.SIGHUP)
    wait_for(lambda: entry.events("settings_reloaded"), 3)
