"""A stand-in fleet with an entry process in front of it, ready for requests."""

import json
from contextlib import contextmanager

from entry_process import Entry, wait_for
from platform_standins import LAYERS


def make_fleet(platform):
    """Add engines and services in two failure domains."""
    for zone in ("west", "east"):
        platform.add_engine(f"{zone}-big", zone, "big")
        for number in range(3):
            platform.add_engine(f"{zone}-small-{number}", zone, "small")
        platform.add_service(f"{zone}-desk", zone)


@contextmanager
def running_entry(fleet, directory, planted=""):
    """Start an entry, wait until it knows where all layers are, and end it."""
    entry = Entry(fleet, directory).start(planted)
    try:
        entry.wait_ready()
        wait_for(lambda: covers(fleet, "west") and covers(fleet, "east"), 10)
        wait_for(lambda: knows_layers(entry, fleet), 5)
        yield entry
    finally:
        entry.end()


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
    return layers == set(range(LAYERS))
