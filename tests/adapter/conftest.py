"""Fixtures: a stand-in platform with engines and services, and an entry process."""

import gc
import json

import pytest
from entry_process import Entry, wait_for
from platform_standins import Platform


def make_fleet(platform):
    for zone in ("west", "east"):
        platform.add_engine(f"{zone}-big", zone, "big")
        for number in range(3):
            platform.add_engine(f"{zone}-small-{number}", zone, "small")
        platform.add_service(f"{zone}-desk", zone)


@pytest.fixture
def collected_garbage():
    """Collect what earlier tests left, for tests that reach the recursion limit.

    A finaliser that runs there raises RecursionError in pytest's own hook, and the test
    fails for it.
    """
    gc.collect()


@pytest.fixture
def platform():
    platform = Platform()
    yield platform
    platform.stop()


@pytest.fixture
def fleet(platform):
    """Return the stand-in platform, set up.

    It has engines and services in two failure domains, and a configuration.
    """
    make_fleet(platform)
    platform.configure()
    return platform


@pytest.fixture
def start_entry(fleet, tmp_path):
    """Return a function that starts an entry and waits until all layers are placed.

    Its argument ``planted`` is code that runs in the process before it starts.
    """
    started = []

    def start(planted=""):
        entry = Entry(fleet, tmp_path).start(planted).wait_ready()
        started.append(entry)
        wait_for(lambda: covers(fleet, "west") and covers(fleet, "east"), 10)
        wait_for(lambda: knows_layers(entry, fleet), 5)
        return entry

    yield start
    for entry in started:
        entry.end()


@pytest.fixture
def entry(start_entry):
    entry = start_entry()
    yield entry
    entry.end()
    assert not entry.events("task_failed")
    assert not entry.events("unstructured")


def knows_layers(entry, platform):
    """Return True if the instance knows which layers each engine holds."""
    targets = json.loads(entry.ask("/dump"))["targets"]
    return all(
        engine.id in targets and held_in(targets[engine.id]) == engine.held
        for engine in platform.engines.values()
    )


def held_in(target):
    held = target["held"]
    return held and (held["first"], held["last"])


def covers(platform, zone):
    layers = set()
    for engine in platform.engines.values():
        if engine.zone == zone and engine.held is not None:
            layers |= set(range(*engine.held))
    return layers == set(range(8))
