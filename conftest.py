"""Which tests run one after the other, also where others run in parallel."""

from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent
TRIALS = frozenset(
    ROOT / path
    for path in (
        "libs/streams/tests/test_formats.py",
        "libs/streams/tests/test_recovery.py",
        "tests/test_cut_off_domains.py",
        "tests/test_leaving_targets.py",
        "tests/test_log_faults.py",
        "tests/test_planned_stop.py",
        "tests/test_planted_faults.py",
        "tests/test_poison.py",
        "tests/test_recovery.py",
        "tests/test_rollout.py",
        "tests/test_soak.py",
        "tests/test_whole_path.py",
    )
)
"""Whole deployments in one process, with bounds in seconds."""
BINARY = ROOT / "tests/test_binary.py"
"""Its tests build the same file."""


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Give all trials to one worker, and the tests of the binary."""
    for item in items:
        if item.path in TRIALS:
            item.add_marker(pytest.mark.xdist_group("trials"))
        elif item.path == BINARY:
            item.add_marker(pytest.mark.xdist_group("binary"))
