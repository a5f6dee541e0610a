"""Where the one binary starts."""

import sys

from celeryfork_cmdline.main import main


def run() -> None:
    """Run the command line and end the process with its exit code."""
    sys.exit(main())
