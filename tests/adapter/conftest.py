"""A fleet of stand-ins before one entry instance."""

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
def platform():
    platform = Platform()
    yield platform
    platform.stop()


@pytest.fixture
def fleet(platform):
    make_fleet(platform)
    platform.configure()
    return platform


@pytest.fixture
def start_entry(fleet, tmp_path):
    """Start an instance before the fleet, once all layers are placed."""
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
    """Return whether the instance has read what each engine holds."""
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
