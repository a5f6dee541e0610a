"""What instances ask one another: the configuration and the list of targets.

Followers ask a relay of their domain; any instance asks while the store is away.
"""

import base64
import zlib
from collections.abc import Iterable, Sequence
from typing import Any

from attrs import asdict, frozen
from celeryfork_routing.layers import LayerRange
from orjson import dumps, loads

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.field_parsers import parse_int
from celeryfork_entry.targets import Target

KNOWN_PATH = "/known"
CONFIGURATION_PATH = "/known/configuration"
CHANGES_PATH = "/targets-since/"
"""Followed by the revision that the asker has."""
COMPRESSION_LEVEL = 1
MOST_CONFIGURATION_BYTES = 64 << 20
"""Longest configuration that is taken from a peer, decompressed."""


@frozen
class PeerState:
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
            "configuration": base64.b64encode(
                zlib.compress(encoded, COMPRESSION_LEVEL)
            ).decode(),
            "targets": [asdict(target) for target in targets],
        }
    )


def decode_known(message: bytes) -> PeerState:
    """Return what a peer knows.

    Raises
    ------
    ValueError
        The message isn't from this program, or from another version of it.
    """
    try:
        fields = loads(message)
        targets = tuple(_target(each) for each in fields["targets"])
        return PeerState(_decompress(fields["configuration"]), targets)
    except (KeyError, TypeError, AttributeError, zlib.error) as error:
        raise ValueError(f"an unreadable message of a peer: {error!r}") from error


def _decompress(text: str) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(base64.b64decode(text), MOST_CONFIGURATION_BYTES)
    if not decompressor.eof:
        raise ValueError("a configuration that is cut off or too long")
    return data


@frozen
class KnownChanges:
    """What has changed in a relay's list of targets.

    Parameters
    ----------
    revision
        Of the list with these changes.
    whole
        Whether ``targets`` is the whole list; targets that it lacks have left.
    """

    revision: int
    whole: bool
    targets: tuple[Target, ...]
    gone: tuple[str, ...] = ()


def encode_changes(
    revision: int, targets: Iterable[Target], gone: Sequence[str], *, whole: bool
) -> bytes:
    """Return the changes of the list as a message to a follower."""
    return dumps(
        {
            "revision": revision,
            "whole": whole,
            "targets": [asdict(target) for target in targets],
            "gone": gone,
        }
    )


def decode_changes(message: bytes) -> KnownChanges:
    """Return the changes that a relay tells.

    Raises
    ------
    ValueError
        The message isn't from this program, or from another version of it.
    """
    try:
        fields = loads(message)
        return KnownChanges(
            parse_int(fields["revision"]),
            bool(fields["whole"]),
            tuple(_target(each) for each in fields["targets"]),
            tuple(str(each) for each in fields["gone"]),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"an unreadable message of a relay: {error!r}") from error


def _target(fields: dict[str, Any]) -> Target:
    held = fields.pop("held")
    return Target(held=LayerRange(**held) if held else None, **fields)
