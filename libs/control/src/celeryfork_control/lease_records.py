"""Records of the ``leases`` stream."""

from enum import StrEnum

from attrs import frozen
from orjson import JSONDecodeError, dumps, loads

STREAM = "leases"


class LeaseStep(StrEnum):
    """Operation of a record on a lease."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"


@frozen
class LeaseRecord:
    """One operation on one lease.

    Parameters
    ----------
    holder
        Incarnation of the instance, such as ``entry-1@1800000000000``.
    based_on
        Offset of the lease's last accepted record, None if there is none.
    duration_ms
        Duration of the lease from this record on, in milliseconds.
    """

    name: str
    step: LeaseStep
    holder: str
    based_on: int | None
    duration_ms: int


def format_record(record: LeaseRecord) -> str:
    """Return the JSON text of a record for the log."""
    return dumps(
        {
            "lease": record.name,
            "step": str(record.step),
            "holder": record.holder,
            "based_on": record.based_on,
            "duration_ms": record.duration_ms,
        }
    ).decode()


def parse_record(data: str) -> LeaseRecord | None:
    """Return the record parsed from a JSON text, None if it is malformed."""
    try:
        fields = loads(data)
        based_on = fields["based_on"]
        record = LeaseRecord(
            name=fields["lease"],
            step=LeaseStep(fields["step"]),
            holder=fields["holder"],
            based_on=based_on,
            duration_ms=fields["duration_ms"],
        )
    except (JSONDecodeError, KeyError, TypeError, ValueError):
        return None
    valid = (
        isinstance(record.name, str)
        and isinstance(record.holder, str)
        and (based_on is None or type(based_on) is int)
        and type(record.duration_ms) is int
        and record.duration_ms > 0
    )
    return record if valid else None
