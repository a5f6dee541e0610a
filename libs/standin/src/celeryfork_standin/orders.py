"""Orders to engines: versions, adapters and roles, with or without fencing."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

import orjson
from aiohttp import web
from attrs import field, frozen
from attrs.validators import instance_of

from celeryfork_standin.engine_core import Engine
from celeryfork_standin.engine_data import RanOrder
from celeryfork_standin.weight_store import Granted, Refused, WeightStore

MOST_ORDERS_KEPT = 10_000
MOST_ANSWERS_KEPT = 256


@frozen
class _Order:
    order_id: str = field(validator=instance_of(str))
    fencing: int = field(validator=instance_of(int))
    holder: str = field(validator=instance_of(str))
    kind: str = field(validator=instance_of(str))
    subject: str = field(validator=instance_of(str))


class OrderDesk:
    """Obeys the orders to the engines of one fleet, and records them.

    Parameters
    ----------
    weights
        Where versions are read from; None loads at each engine's own pace.
    changed
        Called after an order changed an engine.
    """

    def __init__(
        self, weights: WeightStore | None, changed: Callable[[Engine], None]
    ) -> None:
        self._weights = weights
        self._changed = changed
        self._ran: deque[RanOrder] = deque(maxlen=MOST_ORDERS_KEPT)
        self._loads: set[asyncio.Task[None]] = set()

    def ran(self) -> list[RanOrder]:
        """Return the orders that came, in order."""
        return list(self._ran.copy())

    async def handle(self, engine: Engine, raw: bytes) -> web.Response:
        """Answer one order."""
        try:
            order = _read_order(raw)
        except (ValueError, TypeError, KeyError) as error:
            return web.json_response({"error": f"malformed: {error}"}, status=400)
        stale = order.fencing < engine.highest_fencing
        refused = stale and engine.spec.checks_fencing
        self._note(engine, order, refused)
        if refused:
            fault = {"error": "stale_fencing", "highest": engine.highest_fencing}
            return web.json_response(fault, status=409)
        engine.highest_fencing = max(engine.highest_fencing, order.fencing)
        if self._is_new(engine, order):
            self._apply(engine, order)
        return web.json_response(
            {
                "state": "applied" if engine.loading_version is None else "loading",
                "version": engine.version,
                "adapters": engine.adapters,
                "role": "standby" if engine.standby else "serve",
            }
        )

    def _is_new(self, engine: Engine, order: _Order) -> bool:
        seen = engine.seen_orders
        if order.order_id in seen:
            return False
        seen[order.order_id] = None
        if len(seen) > MOST_ANSWERS_KEPT:
            seen.popitem(last=False)
        return True

    def _apply(self, engine: Engine, order: _Order) -> None:
        match order.kind:
            case "load_version":
                self._start_load(engine, order.subject)
            case "load_adapter":
                engine.adapters = sorted({*engine.adapters, order.subject})
            case "drop_adapter":
                engine.adapters = [a for a in engine.adapters if a != order.subject]
            case "set_role":
                engine.standby = order.subject == "standby"
        self._changed(engine)

    def _start_load(self, engine: Engine, version: str) -> None:
        if version == (engine.loading_version or engine.version):
            return
        engine.loading_version = version
        load = asyncio.get_running_loop().create_task(self._load(engine, version))
        self._loads.add(load)
        load.add_done_callback(self._loads.discard)

    async def _load(self, engine: Engine, version: str) -> None:
        incarnation = engine.incarnation
        await self._read_weights(engine, version)
        # A later order may want another version by now.
        wanted = engine.incarnation == incarnation and engine.loading_version == version
        if engine.alive and wanted:
            engine.version = version
            engine.loading_version = None
            self._changed(engine)

    async def _read_weights(self, engine: Engine, version: str) -> None:
        if self._weights is None:
            await asyncio.sleep(engine.spec.load_version_s)
            return
        incarnation = engine.incarnation
        while engine.alive and engine.incarnation == incarnation:
            match self._weights.read(engine.spec.model, version, engine.spec.id):
                case Granted(seconds=seconds):
                    await asyncio.sleep(seconds)
                    return
                case Refused(retry_after_s=seconds):
                    await asyncio.sleep(min(seconds, 1.0))

    def _note(self, engine: Engine, order: _Order, refused: bool) -> None:
        self._ran.append(
            RanOrder(
                engine.spec.id,
                order.order_id,
                order.holder,
                order.fencing,
                engine.highest_fencing,
                f"{order.kind} {order.subject}",
                refused,
                time.monotonic(),
            )
        )


_SUBJECT_BY_KIND = {
    "load_version": "version",
    "load_adapter": "adapter",
    "drop_adapter": "adapter",
    "set_role": "role",
}


def _read_order(raw: bytes) -> _Order:
    fields = orjson.loads(raw)
    action = fields["action"]
    kind = action["kind"]
    if kind not in _SUBJECT_BY_KIND:
        raise ValueError(f"unknown kind {kind!r}")
    subject = action[_SUBJECT_BY_KIND[kind]]
    return _Order(
        fields["order_id"], fields["fencing"], fields["holder"], kind, subject
    )
