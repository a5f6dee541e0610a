"""Identifiers: instance incarnations, and UUIDv7 keys with their timestamps."""

import os
import uuid

from attrs import frozen

UUID7_VERSION = 7
_VARIANT_BITS = 0b10


@frozen
class Incarnation:
    """One process lifetime of an instance; a restart makes a new incarnation.

    Parameters
    ----------
    instance
        Name of the instance in its settings.
    started_ms
        Wall-clock time of the start, in milliseconds since the Unix epoch.
    """

    instance: str
    started_ms: int

    def __str__(self) -> str:
        """Return ``instance@started_ms``."""
        return f"{self.instance}@{self.started_ms}"


def make_uuid7(wall_ms: int) -> uuid.UUID:
    """Return a new UUIDv7 with the timestamp ``wall_ms``.

    The layout is defined in RFC 9562, section 5.7.
    """
    random_bits = int.from_bytes(os.urandom(10), "big")
    high = (wall_ms & 0xFFFF_FFFF_FFFF) << 80
    version = UUID7_VERSION << 76
    random_a = (random_bits >> 68 & 0xFFF) << 64
    variant = _VARIANT_BITS << 62
    random_b = random_bits & ((1 << 62) - 1)
    return uuid.UUID(int=high | version | random_a | variant | random_b)


def uuid7_timestamp_ms(value: uuid.UUID) -> int | None:
    """Return a UUIDv7's timestamp in milliseconds, None for other UUID versions."""
    if value.version != UUID7_VERSION:
        return None
    return value.int >> 80
