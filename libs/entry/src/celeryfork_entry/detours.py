"""Reroutes running streams around lost engines without restarting them.

The first engine of a path can be ordered to continue over a detour: the same path with
the lost engines replaced. Only the replacement engines have to process the tokens so
far; the others keep the request's KV cache.
"""

import asyncio
from collections.abc import Callable

from attrs import define
from celeryfork_routing.engine_loads import LayerPath

from celeryfork_entry.call import Call, CallContext
from celeryfork_entry.path_selector import PathSelector
from celeryfork_entry.target_http import LostError, NotSentError

MAX_ANSWER_BYTES = 65_536
MAX_REASON_BYTES = 200
"""Maximum number of bytes of an engine's refusal that are logged."""
ORDER_TIMEOUT_S = 0.15
"""Timeout in seconds for the first engine's reply, after which the stream is restarted
over another path."""


@define(eq=False)
class Detours:
    """Finds detours and orders the first engines of paths to use them.

    Parameters
    ----------
    fence
        Returns the highest fencing token known. Engines refuse orders with a lower one.
    """

    _context: CallContext
    _selector: PathSelector
    _fence: Callable[[], int]

    async def reroute(self, call: Call, path: LayerPath) -> LayerPath | None:
        """Reroute a stream around the lost engines of its path.

        Returns
        -------
        LayerPath or None
            The new path, None if the first engine doesn't continue over another one.
        """
        detour = self._selector.detour(call, path)
        first = self._context.table.by_id.get(path.parts[0].engine_id)
        if detour is None or first is None or call.metadata.id is None:
            return None
        order = self._context.dialect.build_path_order(
            call.metadata.id, detour, self._fence()
        )
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                reply = await self._context.connections.send(first.address, order)
                try:
                    body = await reply.read_all(MAX_ANSWER_BYTES)
                finally:
                    reply.drop()
        except (NotSentError, LostError, TimeoutError) as error:
            self._log_order(call, detour, None, repr(error))
            return None
        accepted = reply.status < 300
        reason = "" if accepted else body[:MAX_REASON_BYTES].decode("latin-1")
        self._log_order(call, detour, reply.status, reason)
        return detour if accepted else None

    def _log_order(
        self, call: Call, detour: LayerPath, status: int | None, reason: str
    ) -> None:
        self._context.counters.add("streams.detours_ordered")
        self._context.log_event(
            call, "detour_ordered", path=detour.describe(), status=status, reason=reason
        )
