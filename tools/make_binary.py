"""Make ``dist/celeryfork``: one file with the libraries and what they require.

The file is a zipapp made by shiv. Everything comes from this venv and this
workspace, so that making it needs no network: the distributions that
``requirements.txt`` names and what they require in turn are copied as installed.
"""

import re
import subprocess
import sys
import sysconfig
from collections.abc import Iterable
from importlib.metadata import Distribution, distribution
from pathlib import Path
from shutil import copy2, copytree, ignore_patterns
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "celeryfork"
ENTRY_POINT = "celeryfork_cmdline.start:run"
NOT_SHIPPED = ignore_patterns("__pycache__", "*.egg-info")
# A requirement's name, and the marker that says when it holds (PEP 508).
REQUIREMENT = re.compile(r"([A-Za-z0-9][A-Za-z0-9._-]*)[^;]*(?:;(.*))?")


def main() -> None:
    """Make the binary and print its size."""
    BINARY.parent.mkdir(exist_ok=True)
    with TemporaryDirectory() as name:
        staged = Path(name)
        for wanted in required_distributions(ROOT / "requirements.txt"):
            copy_distribution(wanted, staged)
        for source in sorted(ROOT.glob("libs/*/src")):
            copytree(source, staged, ignore=NOT_SHIPPED, dirs_exist_ok=True)
        make_zipapp(staged, BINARY)
    size_mb = BINARY.stat().st_size / 1e6
    print(f"{BINARY.relative_to(ROOT)}: {size_mb:.1f} MB")


def required_distributions(requirements: Path) -> list[Distribution]:
    """Return the distributions that a requirements file needs, each once."""
    waiting = list(requirement_names(requirements.read_text().splitlines()))
    found_by_name: dict[str, Distribution] = {}
    while waiting:
        name = waiting.pop()
        if name not in found_by_name:
            found_by_name[name] = distribution(name)
            waiting += requirement_names(found_by_name[name].requires or ())
    return [found_by_name[name] for name in sorted(found_by_name)]


def requirement_names(lines: Iterable[str]) -> Iterable[str]:
    """Yield the normal names of the requirements that hold on this machine."""
    for line in lines:
        match = REQUIREMENT.match(line.strip())
        if match is not None and holds(match.group(2)):
            yield re.sub(r"[-_.]+", "-", match.group(1)).lower()


def holds(marker: str | None) -> bool:
    """Return whether a requirement's marker holds without any extra."""
    if marker is None:
        return True
    # packaging comes with the development tools, which shiv belongs to.
    from packaging.markers import Marker

    return Marker(marker).evaluate({"extra": ""})


def copy_distribution(wanted: Distribution, target: Path) -> None:
    """Copy a distribution's files, but for scripts, as they are installed."""
    site_packages = Path(sysconfig.get_path("purelib"))
    for file in wanted.files or ():
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        place = target / file
        place.parent.mkdir(parents=True, exist_ok=True)
        copy2(site_packages / file, place)


def make_zipapp(site_packages: Path, output: Path) -> None:
    """Have shiv pack a folder of packages into one file that can be run."""
    command = [
        *(sys.executable, "-m", "shiv.cli"),
        *("--site-packages", str(site_packages)),
        *("--entry-point", ENTRY_POINT),
        *("--python", "/usr/bin/env python3"),
        *("--output-file", str(output)),
        *("--compressed", "--reproducible", "--compile-pyc"),
    ]
    subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
