"""Orders to engines, and the only client that sends them."""

from attrs import frozen
from celeryfork_base.counters import Counters
from orjson import JSONDecodeError, dumps, loads
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError, NewConnectionError

ORDER_TIMEOUT_S = 2.0
OBSERVE_TIMEOUT_S = 1.0
STALE_FENCING_STATUS = 409


@frozen
class LoadVersion:
    """Load a version of the weights; the engine serves no requests meanwhile."""

    version: str


@frozen
class LoadAdapter:
    """Load an adapter to the weights."""

    adapter: str


@frozen
class DropAdapter:
    """Unload an adapter."""

    adapter: str


@frozen
class SetRole:
    """Set the role of an engine: ``serve`` or ``standby``."""

    role: str


Action = LoadVersion | LoadAdapter | DropAdapter | SetRole


@frozen
class Order:
    """One order to one engine.

    Parameters
    ----------
    order_id
        Idempotency key: the same action under the same lease has the same id, so that
        the order can be sent again.
    fencing
        Fencing number: offset of the lease's acquisition in the log.
    holder
        Incarnation of the instance that holds the lease.
    """

    order_id: str
    engine_id: str
    address: str
    fencing: int
    holder: str
    action: Action


@frozen
class ObservedEngine:
    """State that an engine reports."""

    engine_id: str
    first_layer: int
    last_layer: int
    version: str
    adapters: frozenset[str]
    role: str
    loading: bool


@frozen
class OrderAccepted:
    """The engine accepted the order; it may still be loading."""

    state: str


@frozen
class OrderStale:
    """The engine has seen a higher fencing number: a newer holder has the lease."""

    highest: int


@frozen
class OrderFailed:
    """No usable response came; the engine may have accepted the order."""

    reason: str


OrderResult = OrderAccepted | OrderStale | OrderFailed


class OrderClient:
    """Observes engines and sends orders; safe to use from any thread."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        # Orders close their connection: a persistent one could deliver an order long
        # after the lease was checked.
        self._pool = PoolManager(retries=False, maxsize=1)

    def observe(self, engine_id: str, address: str) -> ObservedEngine | None:
        """Return the state that an engine reports, None without a valid response."""
        try:
            response = self._pool.request(
                "GET",
                f"http://{address}/v1/engine",
                timeout=Timeout(total=OBSERVE_TIMEOUT_S),
            )
            fields = loads(response.data)
            return ObservedEngine(
                engine_id=engine_id,
                first_layer=int(fields["first_layer"]),
                last_layer=int(fields["last_layer"]),
                version=str(fields["version"]),
                adapters=frozenset(fields.get("adapters", ())),
                role=str(fields.get("role", "serve")),
                loading=fields.get("state") == "loading",
            )
        except (HTTPError, JSONDecodeError, KeyError, TypeError, ValueError):
            self._counters.add("orders.observation_failed")
            return None

    def send(self, order: Order) -> OrderResult:
        """Send one order, and close its connection."""
        body = {
            "order_id": order.order_id,
            "fencing": order.fencing,
            "holder": order.holder,
            "action": _action_fields(order.action),
        }
        self._counters.add("orders.sent")
        try:
            response = self._pool.request(
                "POST",
                f"http://{order.address}/v1/orders",
                body=dumps(body),
                headers={"Content-Type": "application/json", "Connection": "close"},
                timeout=Timeout(total=ORDER_TIMEOUT_S),
            )
            answer = loads(response.data)
        except NewConnectionError as error:
            return OrderFailed(f"engine not reached: {error}")
        except (HTTPError, JSONDecodeError) as error:
            return OrderFailed(f"no valid response from the engine: {error}")
        if response.status == STALE_FENCING_STATUS and "highest" in answer:
            self._counters.add("orders.stale_fencing")
            return OrderStale(int(answer["highest"]))
        if response.status != 200:
            return OrderFailed(
                f"engine answered with status {response.status}: {answer}"
            )
        return OrderAccepted(str(answer.get("state", "applied")))


def _action_fields(action: Action) -> dict[str, str]:
    match action:
        case LoadVersion(version):
            return {"kind": "load_version", "version": version}
        case LoadAdapter(adapter):
            return {"kind": "load_adapter", "adapter": adapter}
        case DropAdapter(adapter):
            return {"kind": "drop_adapter", "adapter": adapter}
        case SetRole(role):
            return {"kind": "set_role", "role": role}


def make_order_client(counters: Counters) -> OrderClient:
    """Return a client without open connections."""
    return OrderClient(counters)
