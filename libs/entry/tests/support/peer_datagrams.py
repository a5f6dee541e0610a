"""A report and a digest as sent to peers, and a clock to read them by."""

from unittest.mock import patch

NOW_S = 10_000.0
REPORT = {
    "from": "west-5", "at": "10.1.0.5:7", "domain": "west", "power": 1.0,
    "fence": 3, "version": 4, "loads": {"i-1": [2, 80]}, "down": [["i-2", 5]],
    "layers": {"i-1": [0, 4, 1000, 20], "i-2": [None, None, None, 0]},
    "speeds": {"i-1": [12.0, 1000, 20]},
    "crashes": [
        ["llm", "part", "p-1", [["r1", "xaka200", 900, False],
                                ["r2", None, 20, True]], None, 30],
        ["llm", "request", "0f", [], 40, None],
    ],
}  # fmt: skip
DIGEST = REPORT | {
    "revision": 7, "age": 0.25, "old": False, "counts": {"east": 3},
    "away": {"east": {"i-9": [1, 40]}},
}  # fmt: skip


def stopped_clock():
    """Stop the clock: messages tell ages, and a busy machine reads them late."""
    return patch("time.monotonic", lambda: NOW_S)
