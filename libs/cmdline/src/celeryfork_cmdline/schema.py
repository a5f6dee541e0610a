"""``celeryfork schema``."""

from celeryfork_config.settings import settings_schema

from celeryfork_cmdline.output import print_json


def schema() -> None:
    """Print the JSON Schema of the settings file."""
    print_json(settings_schema())
