"""Which tests are trials: bounds in seconds, or files that several would write."""

from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent
TRIALS = frozenset(
    ROOT / path
    for path in (
        "libs/streams/tests/test_formats.py",
        "libs/streams/tests/test_recovery.py",
        "tests/test_binary.py",
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
"""Whole deployments in one process, and the binary, whose tests build one file."""


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the trials; ``make test`` runs at most two files of them at once."""
    for item in items:
        if item.path in TRIALS:
            item.add_marker(pytest.mark.trial)
