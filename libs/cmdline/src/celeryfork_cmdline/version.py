"""``celeryfork version``."""

import platform

from celeryfork_daemon.entry import VERSION


def version() -> None:
    """Print the version."""
    print(f"celeryfork {VERSION} (Python {platform.python_version()})")
