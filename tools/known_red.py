"""Print pytest's arguments that pass over the tests of KNOWN-RED.txt, and the entries.

An entry is a block of lines, each ``name: text``; its ``test`` is a node id. The
entries go to standard error, so that nobody overlooks them.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIRED = ("test", "command", "seed", "seen", "issue")


def read_entries(text: str) -> list[dict[str, str]]:
    """Return the entries of the file's text.

    Raises
    ------
    ValueError
        A line has no name, or an entry lacks one.
    """
    entries = []
    for block in text.strip().split("\n\n"):
        if not block.strip():
            continue
        entry = {}
        for line in block.splitlines():
            name, colon, value = line.partition(": ")
            if not colon:
                raise ValueError(f"KNOWN-RED.txt: no name before {line!r}: add one")
            entry[name.strip()] = value.strip()
        missing = [name for name in REQUIRED if not entry.get(name)]
        if missing:
            raise ValueError(f"KNOWN-RED.txt: {entry} lacks {missing}: add them")
        entries.append(entry)
    return entries


def main() -> None:
    """Print the arguments, and the entries to standard error."""
    path = ROOT / "KNOWN-RED.txt"
    entries = read_entries(path.read_text()) if path.exists() else []
    for entry in entries:
        print(f"known red: {entry['test']}: {entry['seen']}", file=sys.stderr)
    print("\n".join(f"--deselect={entry['test']}" for entry in entries))


if __name__ == "__main__":
    main()
