"""What the platform's services tell: log records, instances and budgets."""

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
        The log's wall clock at the append, in milliseconds since the Unix epoch.
    nonce
        What the writer chose to find its record again.
    data
        The record itself, as text.
    """

    offset: int
    appended_ms: int
    nonce: str
    data: str


@frozen
class LogSlice:
    """The answer to one read of a log stream.

    Parameters
    ----------
    records
        In order of offset.
    first_offset
        The oldest offset that the log still keeps.
    next_offset
        The offset that the next append will get.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


@frozen
class Instance:
    """One entry of the instance list; docs/PLATFORM.md explains the fields."""

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
    """The instance list at one version; the version only grows."""

    version: int
    by_id: Mapping[str, Instance]


@frozen
class WeightBudget:
    """What may be read from the weight store now, in bytes and bytes per second."""

    bytes_per_second: float
    available_bytes: float
