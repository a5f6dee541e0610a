"""Compare the quick bench of an earlier revision with this one, in one run.

``python tools/bench_compare.py REV`` puts REV into a git worktree in a temporary
directory and runs both versions one after the other with this tree's environment.
"""

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from orjson import loads

ROOT = Path(__file__).resolve().parents[1]
BENCH_TIMEOUT_S = 600
COMMAND = (
    "from celeryfork_cmdline.main import main; raise SystemExit(main())",
    "bench",
    "--quick",
    "--out",
)

FiguresByName = dict[tuple[str, str], dict[str, Any]]


def run_bench(tree: Path, out: Path) -> FiguresByName:
    """Run the quick bench of a tree; return its figures by deployment and name.

    Raises
    ------
    SystemExit
        The tree has no bench, or it ended without figures.
    """
    sources = os.pathsep.join(map(str, sorted(tree.glob("libs/*/src"))))
    # Exit code 1 only says that a figure falls short; its figures are still there.
    subprocess.run(
        [sys.executable, "-c", *COMMAND, str(out)],
        cwd=tree,
        env={**os.environ, "PYTHONPATH": sources},
        stdout=subprocess.DEVNULL,
        timeout=BENCH_TIMEOUT_S,
        check=False,
    )
    path = out / "figures.json"
    if not path.exists():
        raise SystemExit(f"The bench of {tree} wrote no figures; choose a later REV.")
    return {(one["deployment"], one["name"]): one for one in loads(path.read_bytes())}


def lines(before: FiguresByName, after: FiguresByName) -> list[str]:
    """Return a line for each figure that either version has."""
    found = [f"{'figure':62} {'before':>12} {'after':>12} unit"]
    for key in dict.fromkeys([*after, *before]):
        old, new = before.get(key), after.get(key)
        name = ": ".join(part for part in key if part)
        unit = (new or old or {})["unit"]
        found.append(f"{name:62} {_value(old):>12} {_value(new):>12} {unit}")
    return found


def main() -> None:
    """Compare with the revision given as the only argument."""
    if len(sys.argv) != 2:
        raise SystemExit("Give one revision: make bench-compare REV=main~5")
    git = ("git", "-C", str(ROOT), "worktree")
    with tempfile.TemporaryDirectory() as directory:
        tree = Path(directory) / "tree"
        added = (*git, "add", "--detach", "--quiet", str(tree), sys.argv[1])
        subprocess.run(added, check=True)
        try:
            before = run_bench(tree, Path(directory) / "before")
            after = run_bench(ROOT, Path(directory) / "after")
        finally:
            subprocess.run((*git, "remove", "--force", str(tree)), check=True)
    print("\n".join(lines(before, after)))


def _value(figure: dict[str, Any] | None) -> str:
    value = figure and figure["value"]
    return "-" if value is None else f"{value:.4g}"


if __name__ == "__main__":
    main()
