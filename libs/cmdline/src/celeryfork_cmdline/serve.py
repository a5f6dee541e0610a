"""``celeryfork serve``."""

import signal
import sys
import threading
from pathlib import Path
from typing import Annotated

from celeryfork_config.settings import load_settings
from celeryfork_daemon.entry import make_daemon
from celeryfork_daemon.logs import make_log_handler
from typer import Argument, Exit


def serve(
    settings_path: Annotated[Path, Argument(help="The settings file, in JSON.")],
) -> None:
    """Run an entry instance until SIGTERM or SIGINT, then stop it gracefully."""
    settings = load_settings(settings_path)
    handler = make_log_handler(settings.instance, settings.log_file)
    stop_wanted = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_wanted.set())
    with handler.applicationbound():
        daemon = make_daemon(settings)
        daemon.start()
        print(f"serving on {daemon.http_address}", flush=True)
        stop_wanted.wait()
        exit_code = daemon.drain_and_stop()
    sys.stdout.flush()
    raise Exit(exit_code)
