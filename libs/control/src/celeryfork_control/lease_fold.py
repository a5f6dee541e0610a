"""Computes the holder of each lease from the records of the ``leases`` stream.

The order of records and the timestamps of the log alone decide, so every reader reaches
the same state. A record is accepted only if its ``based_on`` is the offset of the
lease's last accepted record. In addition, an acquisition is accepted only if the lease
was released or has expired by the log's clock, a renewal or release only from the
holder and before the lease expires.
"""

from collections.abc import Mapping

from attrs import define, field, frozen
from celeryfork_platform.model import LogRecord

from celeryfork_control.lease_records import LeaseRecord, LeaseStep, parse_record


@frozen
class LeaseState:
    """State of one lease after the records read so far.

    Parameters
    ----------
    holder
        Incarnation that acquired the lease last; None after a release.
    fencing
        Fencing number: offset of the acquisition, so it grows with each holder.
    last_offset
        Offset of the last accepted record.
    ends_ms
        Expiry by the log's clock, in milliseconds since the Unix epoch.
    """

    holder: str | None
    fencing: int
    last_offset: int
    ends_ms: int


@define
class LeaseFold:
    """Fold of the log's records before ``next_offset`` into a state of each lease."""

    next_offset: int = 0
    malformed: int = 0
    _clock_ms: int = 0
    _states_by_name: dict[str, LeaseState] = field(factory=dict)

    def apply(self, entry: LogRecord) -> bool:
        """Apply the next entry of the log; return True if it was accepted."""
        self.next_offset = entry.offset + 1
        # Timestamps of the log may go backwards, its offsets can't.
        self._clock_ms = max(self._clock_ms, entry.appended_ms)
        record = parse_record(entry.data)
        if record is None:
            self.malformed += 1
            return False
        if not self._is_accepted(record):
            return False
        self._states_by_name[record.name] = self._next_state(record, entry.offset)
        return True

    def state(self, name: str) -> LeaseState | None:
        """Return a lease's state, None if it was never held."""
        return self._states_by_name.get(name)

    def states(self) -> Mapping[str, LeaseState]:
        """Return a copy of all states by name."""
        return self._states_by_name.copy()

    def is_free(self, name: str, now_ms: int) -> bool:
        """Return True if a lease can be acquired at a time of the log's clock."""
        state = self._states_by_name.get(name)
        return state is None or state.holder is None or now_ms >= state.ends_ms

    def _is_accepted(self, record: LeaseRecord) -> bool:
        state = self._states_by_name.get(record.name)
        last_offset = None if state is None else state.last_offset
        if record.based_on != last_offset:
            return False
        if record.step is LeaseStep.ACQUIRE:
            return self.is_free(record.name, self._clock_ms)
        is_holder = state is not None and state.holder == record.holder
        return is_holder and not self.is_free(record.name, self._clock_ms)

    def _next_state(self, record: LeaseRecord, offset: int) -> LeaseState:
        match record.step:
            case LeaseStep.ACQUIRE:
                fencing = offset
            case LeaseStep.RENEW | LeaseStep.RELEASE:
                fencing = self._states_by_name[record.name].fencing
        released = record.step is LeaseStep.RELEASE
        return LeaseState(
            holder=None if released else record.holder,
            fencing=fencing,
            last_offset=offset,
            ends_ms=self._clock_ms + record.duration_ms,
        )
