"""Asks an engine that repeatedly refuses work if it is leaving.

The target list shows leaving engines, but not while the store is unavailable. Without
this check each request would be offered to such an engine, and its layers would not be
placed on other engines.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from logbook import Logger

from celeryfork_entry.ports import Dialect
from celeryfork_entry.target_http import LostError, NotSentError, TargetConnections
from celeryfork_entry.targets import TargetTable

ANSWER_TIMEOUT_S = 0.5
"""Timeout in seconds for an answer; the request may wait for a slot of the engine."""
MAX_ANSWER_BYTES = 1 << 16
LEAVING_STATUS = 503
"""HTTP status of the health check of a target that is leaving or unhealthy."""


@define(eq=False)
class LeavingChecks:
    """Asks engines if they are leaving.

    Parameters
    ----------
    spawn
        Starts a concurrent task.
    """

    _table: TargetTable
    _connections: TargetConnections
    _dialect: Dialect
    _log: Logger
    _spawn: Callable[[Awaitable[None]], None]
    _ids_in_check: set[str] = field(factory=set)

    def check(self, engine_id: str, health_path: str) -> None:
        """Start a check of an engine, unless one is in progress."""
        if engine_id not in self._ids_in_check and engine_id in self._table.by_id:
            self._ids_in_check.add(engine_id)
            self._spawn(self._ask(engine_id, health_path))

    async def _ask(self, engine_id: str, health_path: str) -> None:
        address = self._table.by_id[engine_id].address
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status = await self._status(address, health_path)
        except (NotSentError, LostError, TimeoutError) as error:
            # EngineChecks decides if it is down.
            self._log.info("health_unanswered", engine=engine_id, reason=repr(error))
            return
        finally:
            self._ids_in_check.discard(engine_id)
        if status == LEAVING_STATUS and engine_id in self._table.by_id:
            self._table.mark_leaving(engine_id, time.monotonic())
            self._log.info("engine_leaves", engine=engine_id, health_status=status)

    async def _status(self, address: str, health_path: str) -> int:
        request = self._dialect.build_health_request(health_path)
        reply = await self._connections.send(address, request)
        try:
            await reply.read_all(MAX_ANSWER_BYTES)
            return reply.status
        finally:
            reply.drop()
