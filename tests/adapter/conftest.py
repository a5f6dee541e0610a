"""Fixtures: a stand-in platform with engines and services, and an entry process."""

import gc
from contextlib import ExitStack

import pytest
from each_service import each_service
from platform_standins import Platform
from running_fleet import make_fleet, running_entry

__all__ = ["each_service"]


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
    with ExitStack() as stack:

        def start(planted=""):
            return stack.enter_context(running_entry(fleet, tmp_path, planted))

        yield start


@pytest.fixture
def entry(start_entry):
    entry = start_entry()
    yield entry
    entry.end()
    assert not entry.events("task_failed")
    assert not entry.events("unstructured")
