"""Data types of the platform's services.

These are log records, instances, and the read budget of the weight store.
"""

from collections.abc import Mapping
from typing import Any

from attrs import field, frozen


@frozen
class LogRecord:
    """One record of a log stream.

    Parameters
    ----------
    offset
        Position in the stream, from 0.
    appended_ms
        Time of the append by the log's clock, in milliseconds since the Unix epoch.
    nonce
        Identifier chosen by the writer, by which it can find its record in the log.
    data
        Content of the record, as text.
    """

    offset: int
    appended_ms: int
    nonce: str
    data: str


@frozen
class LogSlice:
    """Result of one read of a log stream.

    Parameters
    ----------
    records
        Records that were read, in order of offset.
    first_offset
        Oldest offset that the log still retains.
    next_offset
        Offset that the next appended record will get.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


@frozen
class Instance:
    """One entry of the instance list; docs/PLATFORM.md describes the fields."""

    id: str
    role: str
    target: str
    domain: str
    address: str
    state: str
    incarnation: int
    attributes: Mapping[str, Any] = field(factory=dict)


@frozen
class InstanceList:
    """Snapshot of the instance list; ``version`` never decreases."""

    version: int
    by_id: Mapping[str, Instance]


@frozen
class WeightBudget:
    """Read budget of the weight store: a rate, and the bytes available now."""

    bytes_per_second: float
    available_bytes: float
