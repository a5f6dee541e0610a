"""Messages by which instances fetch the configuration and the target list from peers.

Followers, the instances that don't read the store, fetch from a relay of their domain,
which does. Any instance may fetch from a peer while the store is unavailable.
"""

import base64
import zlib
from collections.abc import Iterable, Sequence
from typing import Any

from attrs import asdict, frozen
from orjson import dumps, loads

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.field_parsers import (
    parse_address,
    parse_count,
    parse_finite_float,
    parse_id,
    parse_int,
    parse_layers,
    parse_start_ms,
    parse_text,
)
from celeryfork_entry.log_position import LogPosition, parse_position, position_fields
from celeryfork_entry.targets import Target

STATE_PATH = "/known"
CONFIGURATION_PATH = "/known/configuration"
CHANGES_PATH = "/targets-since/"
"""Path prefix, followed by the revision that the requesting follower has."""
COMPRESSION_LEVEL = 1
MAX_CONFIGURATION_BYTES = 64 << 20
"""Maximum size of a configuration from a peer, decompressed."""


@frozen
class PeerState:
    """Configuration and targets of a peer.

    Parameters
    ----------
    configuration_bytes
        The configuration as the operator published it; empty if there is none.
    position
        Position in the store's log up to which the targets were read, None if unknown.
    list_age_s
        Seconds since then.
    """

    configuration_bytes: bytes
    targets: tuple[Target, ...]
    position: LogPosition | None = None
    list_age_s: float = 0.0


def encode_state(
    configuration: Configuration | None,
    targets: Iterable[Target],
    position: LogPosition | None = None,
    list_age_s: float = 0.0,
) -> bytes:
    """Return the configuration and targets as a message to a peer."""
    configuration_bytes = configuration.encoded if configuration is not None else b""
    return dumps(
        {
            "configuration": base64.b64encode(
                zlib.compress(configuration_bytes, COMPRESSION_LEVEL)
            ).decode(),
            "targets": [asdict(target) for target in targets],
            **position_fields(position),
            "age": round(list_age_s, 3),
        }
    )


def decode_state(message: bytes) -> PeerState:
    """Return the decoded state of a peer.

    Raises
    ------
    ValueError
        The message isn't from this program, or from another version of it.
    """
    try:
        fields = loads(message)
        targets, _ = _decode_targets(fields["targets"])
        return PeerState(
            _decompress(fields["configuration"]),
            targets,
            parse_position(fields),
            max(0.0, parse_finite_float(fields.get("age", 0.0))),
        )
    except (KeyError, TypeError, AttributeError, zlib.error) as error:
        raise ValueError(f"malformed state message of a peer: {error!r}") from error


def _decompress(text: str) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(base64.b64decode(text), MAX_CONFIGURATION_BYTES)
    if not decompressor.eof:
        raise ValueError(
            "configuration of a peer is truncated or longer than 64 MiB decompressed"
        )
    return data


@frozen
class TargetChanges:
    """Changes of a relay's target list.

    Parameters
    ----------
    revision
        Revision of the list after these changes.
    whole
        True if ``targets`` is the full list; all other targets have been removed.
    position
        Position in the store's log up to which the list was read, None if unknown.
    """

    revision: int
    whole: bool
    targets: tuple[Target, ...]
    removed: tuple[str, ...] = ()
    position: LogPosition | None = None


def encode_changes(
    revision: int,
    targets: Iterable[Target],
    removed: Sequence[str],
    *,
    whole: bool,
    position: LogPosition | None = None,
) -> bytes:
    """Return changes of the target list as a message to a follower."""
    return dumps(
        {
            "revision": revision,
            "whole": whole,
            "targets": [asdict(target) for target in targets],
            "gone": removed,
            **position_fields(position),
        }
    )


def decode_changes(message: bytes) -> TargetChanges:
    """Return the decoded changes from a relay.

    Raises
    ------
    ValueError
        The message isn't from this program, or from another version of it.
    """
    try:
        fields = loads(message)
        targets, unusable = _decode_targets(fields["targets"])
        return TargetChanges(
            parse_int(fields["revision"]),
            bool(fields["whole"]),
            targets,
            (*(str(each) for each in fields["gone"]), *unusable),
            parse_position(fields),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed changes message of a relay: {error!r}") from error


def _decode_targets(rows: list[Any]) -> tuple[tuple[Target, ...], tuple[str, ...]]:
    """Return the targets of a peer, and the ids of those with a value out of range.

    The others of the message hold. The peer may run a version with other limits.
    """
    targets, unusable = [], []
    for row in rows:
        try:
            targets.append(_decode_target(row))
        except ValueError:
            unusable.append(str(row["id"]))
    return tuple(targets), tuple(unusable)


def _decode_target(fields: Any) -> Target:
    held, accelerator = fields["held"], fields["accelerator"]
    return Target(
        id=parse_id(fields["id"]),
        service=parse_text(fields["service"]),
        address=parse_address(fields["address"]),
        domain=parse_text(fields["domain"]),
        draining=bool(fields["draining"]),
        accelerator=None if accelerator is None else parse_text(accelerator),
        held=parse_layers(held["first"], held["last"]) if held else None,
        entry_number=parse_count(fields["entry_number"]),
        born_ms=parse_start_ms(fields["born_ms"]),
        slots=parse_count(fields["slots"]),
    )
