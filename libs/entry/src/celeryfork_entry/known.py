"""What instances tell one another while the store is away: configuration and list."""

import base64
from collections.abc import Iterable
from typing import Any

from attrs import asdict, frozen
from celeryfork_routing.layers import LayerRange
from orjson import dumps, loads

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.targets import Target

KNOWN_PATH = "/known"


@frozen
class Known:
    """What a peer knows.

    Parameters
    ----------
    encoded
        Its configuration as the operator published it; empty if it has none.
    """

    encoded: bytes
    targets: tuple[Target, ...]


def encode_known(
    configuration: Configuration | None, targets: Iterable[Target]
) -> bytes:
    """Return what this instance knows, as a message to a peer."""
    encoded = configuration.encoded if configuration is not None else b""
    return dumps(
        {
            "configuration": base64.b64encode(encoded).decode(),
            "targets": [asdict(target) for target in targets],
        }
    )


def decode_known(message: bytes) -> Known:
    """Return what a peer knows.

    Raises
    ------
    ValueError
        The message isn't from this program, or from another version of it.
    """
    try:
        fields = loads(message)
        targets = tuple(_target(each) for each in fields["targets"])
        return Known(base64.b64decode(fields["configuration"]), targets)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"an unreadable message of a peer: {error!r}") from error


def _target(fields: dict[str, Any]) -> Target:
    held = fields.pop("held")
    return Target(held=LayerRange(**held) if held else None, **fields)
