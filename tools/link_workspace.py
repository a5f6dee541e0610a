"""Put the workspace's libraries and the ``celeryfork`` command into this venv.

A path file does what editable installs would do, without building 13 packages.
"""

import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> None:
    """Write the path file and the command's start script."""
    sources = sorted(str(path) for path in ROOT.glob("libs/*/src"))
    sources.append(str(ROOT / "platform"))
    site_packages = Path(sysconfig.get_path("purelib"))
    (site_packages / "celeryfork.pth").write_text("\n".join(sources) + "\n")
    script = Path(sysconfig.get_path("scripts")) / "celeryfork"
    script.write_text(
        f"#!{sys.executable}\n"
        "import sys\n"
        "from celeryfork_cmdline.main import main\n"
        "sys.exit(main())\n"
    )
    script.chmod(0o755)


if __name__ == "__main__":
    main()
