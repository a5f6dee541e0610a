"""Keeps the limits that engines name."""

import time

from attrs import define
from celeryfork_base.counters import Counters
from logbook import Logger

from celeryfork_entry.engine_limits import EngineLimit
from celeryfork_entry.ports import ReplyMetadata
from celeryfork_entry.targets import Target, TargetTable


@define(eq=False)
class EnginePermits:
    """Records the limits of engines."""

    _table: TargetTable
    _log: Logger
    _counters: Counters

    def record_reply(self, target: Target, metadata: ReplyMetadata) -> None:
        """Record what a target's reply states about its limit."""
        if metadata.limit_per_s is not None:
            now_s = time.monotonic()
            limit = EngineLimit(metadata.limit_per_s, target.born_ms, now_s, own=True)
            self.record_limit(target.id, limit)

    def record_limit(self, engine_id: str, limit: EngineLimit) -> None:
        """Record a limit that an engine named to this instance or to a peer."""
        if self._table.record_limit(engine_id, limit):
            self._log.info(
                "engine_limit",
                engine=engine_id,
                per_s=limit.per_s if limit.limited else None,
                own=limit.own,
            )

    def record_send(self, target: Target) -> None:
        """Count a request that is sent to a target that names a limit."""
        if self._table.limits.limit(target.id) is not None:
            self._counters.add("engines.sent_under_limit")
