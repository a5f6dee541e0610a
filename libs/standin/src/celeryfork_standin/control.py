"""Control of running stand-ins over HTTP, for when they are a process of their own.

``POST /control/PART/METHOD`` with the arguments as a JSON object calls one of the
methods listed in docs/STANDINS.md; ``GET /control/records/NAME`` shows what ran.
"""

import asyncio
import inspect
import threading
from collections.abc import Callable, Mapping
from typing import Any, get_type_hints

import cattrs
import orjson
from aiohttp import web
from attrs import asdict, define

from celeryfork_standin.background import Listener, LoopThread
from celeryfork_standin.deployment import Deployment
from celeryfork_standin.errors import ControlRefusedError, StandinError
from celeryfork_standin.reading import make_strict_converter
from celeryfork_standin.standins import Standins, make_standins

_FAULTS_BY_PART: Mapping[str, frozenset[str]] = {
    "log": frozenset(
        {"outage", "slow", "lose_answers", "late_appends", "refuse_appends"}
        | {"limit_appends", "retain", "expire_before"}
    ),
    "instances": frozenset(
        {"outage", "slow", "lag", "stale", "empty_answers", "leave", "remove"}
    ),
    "weights": frozenset({"outage", "slow", "set_size"}),
    "engines": frozenset(
        {"kill", "kill_after", "restart", "remove", "stall", "resume", "leave"}
        | {"degrade", "slow_down", "spoil_events", "poison"}
    ),
    "platform": frozenset({"cut_off", "down"}),
    "links": frozenset({"degrade", "partition", "heal"}),
    "services": frozenset(
        {
            "kill",
            "restart",
            "remove",
            "drain",
            "stall",
            "resume",
            "slow",
            "reject",
            "fail",
        }
        | {"lose_answers", "crash", "poison"}
    ),
}


@define(eq=False)
class Control:
    """Carries control requests out on the stand-ins."""

    standins: Standins

    def call(self, part: str, name: str, arguments: object) -> object:
        """Call one method.

        Raises
        ------
        ControlRefusedError
            There is no such method, or the arguments don't fit it.
        """
        method = self._method(part, name)
        return method(**_fit(method, arguments))

    def records(self, name: str) -> object:
        """Return what ran, as JSON-able data.

        Raises
        ------
        ControlRefusedError
            There is no such record.
        """
        standins = self.standins
        match name:
            case "tokens":
                return [asdict(token) for token in standins.engines.ran]
            case "orders":
                return [asdict(order) for order in standins.engines.ran_orders]
            case "calls":
                return [asdict(call) for call in standins.services.ran]
            case "reads":
                return [asdict(read) for read in standins.platform.weights.reads]
            case "log":
                log = standins.platform.log
                return {
                    stream: [asdict(record) for record in log.contents(stream)]
                    for stream in log.streams()
                }
        raise ControlRefusedError(
            f"There is no record {name!r}.", "use tokens, orders, calls, reads or log"
        )

    def _method(self, part: str, name: str) -> Callable[..., object]:
        if part not in _FAULTS_BY_PART:
            known = ", ".join(sorted(_FAULTS_BY_PART))
            raise ControlRefusedError(
                f"There is no part {part!r}.", f"use one of {known}"
            )
        if name not in _FAULTS_BY_PART[part]:
            known = ", ".join(sorted(_FAULTS_BY_PART[part]))
            raise ControlRefusedError(f"{part} has no {name!r}.", f"use one of {known}")
        found: Callable[..., object] = getattr(self._part(part), name)
        return found

    def _part(self, part: str) -> object:
        standins = self.standins
        match part:
            case "engines":
                return standins.engines
            case "links":
                return standins.engines.links
            case "services":
                return standins.services
            case "platform":
                return standins.platform
        return getattr(standins.platform, part)


def _fit(method: Callable[..., object], arguments: object) -> dict[str, Any]:
    """Return the arguments in the types that the method's signature names."""
    signature = inspect.signature(method)
    remedy = f"send a JSON object for {signature}"
    if not isinstance(arguments, dict):
        raise ControlRefusedError("The arguments are no JSON object.", remedy)
    converter = make_strict_converter()
    types = get_type_hints(method)
    try:
        signature.bind(**arguments)
        return {
            name: converter.structure(value, types[name])
            for name, value in arguments.items()
        }
    except (TypeError, ValueError, cattrs.BaseValidationError) as error:
        raise ControlRefusedError(
            f"The arguments don't fit: {error}.", remedy
        ) from error


class ControlServer:
    """Serves the control of one deployment's stand-ins.

    Parameters
    ----------
    standins
        What is controlled.
    host, port
        Where to listen; port 0 takes a free one.
    """

    def __init__(self, standins: Standins, host: str, port: int) -> None:
        self._standins = standins
        self._control = Control(standins)
        self._thread = LoopThread("standin-control")
        self._listener = Listener(self._handle, host, port)

    @property
    def address(self) -> str:
        """The ``ip:port`` that it listens on."""
        return self._listener.address

    def start(self) -> None:
        """Begin to listen."""
        self._thread.start()
        self._thread.run(self._listener.open())

    def stop(self) -> None:
        """Stop listening."""
        self._thread.call(self._listener.close)
        self._thread.stop()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        parts = request.path.strip("/").split("/")
        try:
            match (request.method, parts):
                case ("GET", ["control", "records", name]):
                    found = self._control.records(name)
                case ("GET", ["control", "addresses"]):
                    found = addresses(self._standins)
                case ("POST", ["control", part, name]):
                    found = await self._call(part, name, await request.read())
                case _:
                    return web.json_response({"error": "no such path"}, status=404)
        except StandinError as error:
            body = {"error": error.message, "remedy": error.remedy}
            return web.json_response(body, status=400)
        return web.json_response(body=orjson.dumps({"result": found}))

    async def _call(self, part: str, name: str, raw: bytes) -> object:
        try:
            arguments = orjson.loads(raw) if raw else {}
        except orjson.JSONDecodeError as error:
            raise ControlRefusedError(
                f"The body is no JSON: {error}.", "send a JSON object"
            ) from error
        # The method waits for another loop, which must not hold up this one.
        await asyncio.to_thread(self._control.call, part, name, arguments)
        return None


def addresses(standins: Standins) -> dict[str, object]:
    """Return where everything listens, by name."""
    return {
        "platform": standins.platform.url,
        "platform_by_domain": {
            domain: standins.platform.url_for(domain)
            for domain in standins.deployment.domains
        },
        "engines": {one.spec.id: one.address for one in standins.engines.engines},
        "services": {one.spec.id: one.address for one in standins.services.targets},
    }


def run_standins(
    deployment: Deployment,
    stop: threading.Event,
    announce: Callable[[dict[str, object]], None],
    *,
    host: str = "127.0.0.1",
    platform_port: int = 0,
    control_port: int = 0,
) -> None:
    """Run a deployment's stand-ins until ``stop`` is set.

    Parameters
    ----------
    announce
        Called once with where everything listens, ``control`` among it.
    host
        Where the control listens.
    platform_port, control_port
        Ports; 0 takes free ones.
    """
    standins = make_standins(deployment, port=platform_port)
    control = ControlServer(standins, host, control_port)
    standins.start()
    control.start()
    try:
        announce({"control": control.address, **addresses(standins)})
        stop.wait()
    finally:
        control.stop()
        standins.stop()
