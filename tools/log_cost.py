"""Measure the processor time of one line of the decision log.

Run with standard output going to a file; the result goes to standard error.
"""

import sys
import time

from celeryfork_entry.decision_log import BURST_LINES, make_decision_log

ROUNDS = 5
PAUSE_S = 1.0
LINE = {
    "id": "a181150c68658642",
    "route": "r-j4mpzwv",
    "configuration": 20,
    "since_ms": 289,
    "path": "a/i-4899c83955=0-25 a/i-2ea235d01e=25-44 a/i-3013e59a9d=44-80",
    "predicted_ms": 2450,
    "after": None,
}


def main() -> None:
    """Write some lines, no more at once than the log's budget, and say the cost."""
    lines_a_round = int(BURST_LINES / ROUNDS)
    log = make_decision_log("front-1")
    begun_s = time.process_time()
    for _ in range(ROUNDS):
        for _ in range(lines_a_round):
            log.info("path_chosen", **LINE)
        time.sleep(PAUSE_S)
    spent_s = time.process_time() - begun_s
    line_us = spent_s / (ROUNDS * lines_a_round) * 1e6
    print(f"{line_us:.1f} us of processor time a line", file=sys.stderr)


if __name__ == "__main__":
    main()
