"""The ``celeryfork`` command."""

import sys
from collections.abc import Sequence

from celeryfork_base.errors import CeleryforkError, InputFaultError
from typer import Typer

from celeryfork_cmdline.bench import bench
from celeryfork_cmdline.check import check
from celeryfork_cmdline.check_config import check_config
from celeryfork_cmdline.config import config_app
from celeryfork_cmdline.demo import demo
from celeryfork_cmdline.explain import explain
from celeryfork_cmdline.inspect import dump, targets
from celeryfork_cmdline.load import load
from celeryfork_cmdline.schema import schema
from celeryfork_cmdline.serve import serve
from celeryfork_cmdline.soak import soak
from celeryfork_cmdline.standin import standin
from celeryfork_cmdline.version import version

PROGRAM = "celeryfork"
EXIT_FAULT = 1
EXIT_INPUT_FAULT = 2
COMMANDS = (
    *(serve, check, check_config, schema, dump, targets, explain),
    *(demo, load, bench, soak, standin, version),
)


def make_app() -> Typer:
    """Return the command with all its subcommands."""
    app = Typer(
        help="Route requests to pipelines of model engines over mixed accelerators.",
        no_args_is_help=True,
        pretty_exceptions_enable=False,
    )
    for command in COMMANDS:
        app.command()(command)
    app.add_typer(config_app, name="config")
    return app


def main() -> int:
    """Run the command line and return its exit code."""
    try:
        make_app()(prog_name=PROGRAM)
    except InputFaultError as error:
        return _say([error], EXIT_INPUT_FAULT)
    except (CeleryforkError, OSError) as error:
        return _say([error], EXIT_FAULT)
    except ExceptionGroup as group:
        return _say(group.exceptions, EXIT_INPUT_FAULT)
    return 0


def _say(errors: Sequence[Exception], exit_code: int) -> int:
    for error in errors:
        print(f"celeryfork: {error}", file=sys.stderr)
    return exit_code
