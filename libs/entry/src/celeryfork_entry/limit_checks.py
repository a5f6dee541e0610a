"""Asks engines whether their limits still hold.

An engine without permits gets no requests, whose answers would tell that its limit has
ended.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from logbook import Logger

from celeryfork_entry.configuration import Configuration
from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.engine_permits import CHECK_INTERVAL_S
from celeryfork_entry.ports import Dialect, ReplyMetadata
from celeryfork_entry.target_http import LostError, NotSentError, TargetConnections
from celeryfork_entry.targets import Target

ANSWER_TIMEOUT_S = 0.5
"""Timeout in seconds for an answer; the request may wait for a slot of the target."""


@define(eq=False)
class LimitChecks:
    """Asks engines for their reports, and targets of plain services for their health.

    Parameters
    ----------
    on_reply
        Called with a target and the metadata of its reply.
    spawn
        Starts a concurrent task.
    """

    _checks: EngineChecks
    _connections: TargetConnections
    _dialect: Dialect
    _configuration: Callable[[], Configuration | None]
    _on_reply: Callable[[Target, ReplyMetadata], None]
    _log: Logger
    _spawn: Callable[[Awaitable[object]], None]
    _asked_s_by_id: dict[str, float] = field(factory=dict)

    def check(self, target: Target) -> None:
        """Ask a target whose limit was named long ago, unless it was just asked."""
        now_s = time.monotonic()
        self._asked_s_by_id = {
            target_id: asked_s
            for target_id, asked_s in self._asked_s_by_id.items()
            if now_s - asked_s < CHECK_INTERVAL_S
        }
        configuration = self._configuration()
        if target.id in self._asked_s_by_id or configuration is None:
            return
        self._asked_s_by_id[target.id] = now_s
        service = configuration.services_by_name.get(target.service)
        if service is not None and service.model is not None:
            self._spawn(self._checks.ask(target.id))
        elif service is not None:
            self._spawn(self._ask_health(target, service.health_path))

    async def _ask_health(self, target: Target, path: str) -> None:
        request = self._dialect.build_health_request(path)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reply = await self._connections.send(target.address, request)
                try:
                    metadata = self._dialect.read_reply(reply.status, reply.headers)
                    self._on_reply(target, metadata)
                    await reply.skip_body()
                finally:
                    reply.drop()
        except (NotSentError, LostError, TimeoutError) as error:
            self._log.info("limit_unanswered", engine=target.id, reason=repr(error))
