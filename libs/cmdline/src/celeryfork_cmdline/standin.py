"""``celeryfork standin``."""

import signal
import threading
from pathlib import Path
from typing import Annotated

from celeryfork_bench.settings_files import write_settings
from celeryfork_standin.control import ControlServer, addresses
from celeryfork_standin.deployment import load_deployment
from celeryfork_standin.standins import make_standins
from orjson import OPT_INDENT_2, dumps
from typer import Argument, Option

ADDRESSES_FILE = "addresses.json"
HOST = "127.0.0.1"


def standin(
    deployment_path: Annotated[Path, Argument(help="A deployment file.")],
    directory: Annotated[
        Path, Option(help="Where to write the entry instances' settings files.")
    ] = Path("fleet"),
    port: Annotated[int, Option(help="Port of the platform; 0: a free one.")] = 0,
) -> None:
    """Run stand-ins for a deployment's platform, engines and plain services.

    Writes a settings file for each entry instance, for `celeryfork serve`, and
    addresses.json with where everything listens. Ends at SIGTERM or SIGINT.
    """
    stop_wanted = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_wanted.set())
    standins = make_standins(load_deployment(deployment_path), port=port)
    control = ControlServer(standins, HOST, 0)
    standins.start()
    control.start()
    try:
        paths = write_settings(standins, directory)
        places = {"control": control.address, **addresses(standins)}
        (directory / ADDRESSES_FILE).write_bytes(dumps(places, option=OPT_INDENT_2))
        print(f"platform on {standins.platform.url}, control on {control.address}")
        for path in paths:
            print(f"celeryfork serve {path}", flush=True)
        stop_wanted.wait()
    finally:
        control.stop()
        standins.stop()
