"""One entry instance: its start, its service, and its planned stop."""

import threading
from collections.abc import Callable
from urllib.parse import parse_qs

from attrs import asdict, frozen
from celeryfork_base.clock import SystemClock
from celeryfork_base.errors import RequestRefusedError
from celeryfork_calls.kept_outcomes import kept_from_wire
from celeryfork_config.settings import Settings
from celeryfork_streams.engine_client import EngineSession, make_engine_session
from celeryfork_streams.loop_thread import LoopThread, make_loop_thread
from celeryfork_streams.streams import StreamRunner
from celeryfork_wire.gen.celeryfork.ttypes import (
    ConfigSlice,
    InstanceState,
    KeptOutcome,
    OutcomeReply,
)
from celeryfork_wire.peers import PeerServer
from cheroot.server import HTTPServer

from celeryfork_daemon.assembly import (
    Parts,
    make_parts,
    make_runner,
    stream_policy,
)
from celeryfork_daemon.callers import Callers
from celeryfork_daemon.config_peers import slice_for_peer
from celeryfork_daemon.deadlines import Deadlines
from celeryfork_daemon.gateway import GatewayPort, make_http_server
from celeryfork_daemon.http_call import HttpCall, Reply, json_reply
from celeryfork_daemon.in_flight import InFlight
from celeryfork_daemon.logs import make_logger
from celeryfork_daemon.metrics import MetricsSender, make_metrics_sender
from celeryfork_daemon.model_calls import ModelCallParts, ModelCalls
from celeryfork_daemon.peer_handler import PeerHandler, PeerParts
from celeryfork_daemon.plain_calls import PlainCallParts, PlainCalls
from celeryfork_daemon.refusals import stopping
from celeryfork_daemon.routes import Answer, Handlers, answer, internal_fault
from celeryfork_daemon.state_dump import dump_of
from celeryfork_daemon.stopping import StopPlan, stop_gracefully

CONNECT_TIMEOUT_S = 0.5
LOOP_START_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 5.0
VERSION = "0.1.0"

logger = make_logger("entry")


@frozen
class Serving:
    """What exists once the instance serves."""

    session: EngineSession
    runner: StreamRunner
    model_calls: ModelCalls
    handlers: Handlers


class Daemon:
    """An entry instance; create it with ``make_daemon``."""

    def __init__(self, settings: Settings, shared_loop: LoopThread | None) -> None:
        self.settings = settings
        self._own_loop = make_loop_thread() if shared_loop is None else None
        self._state = InstanceState.STARTING
        self._http = make_http_server(
            settings.http_host,
            settings.http_port,
            settings.http_threads,
            GatewayPort(self._answer, self._most_body_bytes, self._closing),
            SystemClock(),
        )
        self._http.prepare()
        self._peer_server = PeerServer(settings.peer_host, settings.peer_port)
        self.http_address = settings.advertised_http_address or _address_of(self._http)
        self.peer_address = (
            settings.advertised_peer_address or self._peer_server.address
        )
        self.parts: Parts = make_parts(
            settings,
            self.http_address,
            self.peer_address,
            shared_loop or self._own_loop or make_loop_thread(),
        )
        self.in_flight = InFlight(self.parts.clock)
        self._deadlines = Deadlines(
            lambda: self.parts.follower.current.policy, settings.stop
        )
        self._callers = Callers(
            lambda: self.parts.follower.current, settings.administrator_key_sha256
        )
        self._metrics = _make_metrics(settings, self.parts)
        self._serving: Serving | None = None
        self._http_thread = threading.Thread(
            target=self._http.serve, name="http", daemon=True
        )

    @property
    def ready(self) -> bool:
        """Whether the balancer should send work here."""
        return (
            self._state == InstanceState.SERVING
            and self.parts.follower.ready
            and self.parts.membership.watch.fetched
        )

    def start(self) -> None:
        """Begin to serve; readiness follows when the configuration is in force."""
        parts = self.parts
        if self._own_loop is not None:
            self._own_loop.start()
        session = parts.loop_thread.submit(
            make_engine_session(CONNECT_TIMEOUT_S)
        ).result(timeout=LOOP_START_TIMEOUT_S)
        runner = make_runner(parts, session)
        model_calls = self._make_model_calls(runner)
        self._serving = Serving(
            session, runner, model_calls, self._make_handlers(model_calls)
        )
        self._peer_server.start(PeerHandler(self._peer_parts()))
        parts.follower.subscribe(
            lambda current: parts.membership.gossip.set_config_offset(current.offset)
        )
        for start in self._starts():
            start()
        self._http_thread.start()
        self._set_state(InstanceState.SERVING)

    def drain_and_stop(self) -> int:
        """Stop without cutting off any call.

        Returns
        -------
        int
            0 if every accepted call was answered and every outcome handed over.
        """
        stop = self.settings.stop
        self._set_state(InstanceState.DRAINING)
        clean = stop_gracefully(
            StopPlan(
                parts=self.parts,
                in_flight=self.in_flight,
                stop_http=self._http.stop,
                notice_s=stop.notice_s,
                calls_end_s=self._deadlines.begin_stop(self.parts.clock.monotonic()),
            )
        )
        self._close()
        return 0 if clean else 1

    def kill(self) -> None:
        """End at once, as a crash would, as far as one process can show it."""
        self._state = InstanceState.STOPPED
        self.parts.plain.claims.stop_without_flush()
        self._stop_loop()
        self._http.stop()
        self._close()

    def dump(self, part: str | None = None) -> dict[str, object]:
        """Return the state of the whole process, or of one part, JSON-able."""
        parts, gate, membership = self.parts, self.parts.gate, self.parts.membership
        runner = self._serving.runner if self._serving else None
        return dump_of(
            part,
            {
                "process": self._dump_process,
                "configuration": parts.follower.dump,
                "targets": membership.view.dump,
                "instance_list": membership.watch.dump,
                "loads": membership.probe.dump,
                "chains": parts.router.dump,
                "peers": membership.gossip.dump,
                "news": membership.news.dump,
                "admission": gate.admission.dump,
                "permits": gate.permits.dump,
                "retry_budget": gate.retry_budget.dump,
                "poison": gate.poison.dump,
                "claims": parts.plain.claims.dump,
                "tickets": parts.plain.tickets.dump,
                "leases": parts.control.leases.dump,
                "orders": parts.control.rollout_controller.dump,
                "streams": runner.dump if runner else dict,
                "in_flight": self.in_flight.dump,
                "counters": parts.counters.counts,
                "gauges": parts.counters.gauges,
            },
        )

    def _starts(self) -> list[Callable[[], None]]:
        """Return what starts the background parts, in order."""
        parts, gate, membership = self.parts, self.parts.gate, self.parts.membership
        starts = [
            membership.gossip.start,
            membership.watch.start,
            membership.probe.start,
            parts.follower.start,
            parts.plain.claims.start,
            gate.admission.start,
            gate.capacity.start,
            parts.control.leases.start,
            parts.control.rollout_controller.start,
        ]
        if self._metrics is not None:
            starts.append(self._metrics.start)
        return starts

    def _close(self) -> None:
        """End the background parts, those that others need last."""
        parts, gate, membership = self.parts, self.parts.gate, self.parts.membership
        self._set_state(InstanceState.STOPPED)
        for stop in (
            parts.control.rollout_controller.stop,
            parts.control.leases.stop,
            gate.capacity.stop,
            gate.admission.stop,
            gate.permits.stop,
            membership.probe.stop,
            membership.watch.stop,
            parts.follower.stop,
            membership.gossip.stop,
            self._stop_loop,
            self._peer_server.stop,
            membership.pool.close,
            parts.router.stop,
        ):
            stop()
        if self._metrics is not None:
            self._metrics.stop()

    def _stop_loop(self) -> None:
        loop_thread, serving = self.parts.loop_thread, self._serving
        if serving is not None:
            self._serving = None
            serving.model_calls.cancel_all()
            loop_thread.submit(serving.session.close()).result(timeout=STOP_TIMEOUT_S)
        if self._own_loop is not None:
            self._own_loop.stop()

    def _answer(self, call: HttpCall) -> Answer:
        if self._serving is None:
            raise stopping()
        try:
            return answer(self._serving.handlers, call)
        except RequestRefusedError:
            raise
        except Exception as error:
            self.parts.counters.add("calls.internal_faults")
            logger.exception("a call failed inside", request_id=call.request_id)
            raise internal_fault(error) from error

    def _make_model_calls(self, runner: StreamRunner) -> ModelCalls:
        parts, gate = self.parts, self.parts.gate
        return ModelCalls(
            ModelCallParts(
                callers=self._callers,
                configuration=lambda: parts.follower.current,
                stream_policy=lambda: stream_policy(parts.follower.current.policy),
                deadlines=self._deadlines,
                admission=gate.admission,
                poison=gate.poison,
                runner=runner,
                loop_thread=parts.loop_thread,
                in_flight=self.in_flight,
                clock=parts.clock,
                counters=parts.counters,
            )
        )

    def _make_handlers(self, model_calls: ModelCalls) -> Handlers:
        plain_calls = self._make_plain_calls()
        return Handlers(
            completion=model_calls.completion,
            chat=model_calls.chat,
            models=self._models,
            ticket=plain_calls.ticket,
            service=plain_calls.service,
            state=self._state_reply,
            healthy=lambda: self._state != InstanceState.STOPPED,
            ready=lambda: self.ready,
        )

    def _make_plain_calls(self) -> PlainCalls:
        parts = self.parts
        has_secret = self.settings.ticket_secret is not None
        return PlainCalls(
            PlainCallParts(
                callers=self._callers,
                configuration=lambda: parts.follower.current,
                deadlines=self._deadlines,
                admission=parts.gate.admission,
                caller=parts.plain.caller,
                tickets=parts.plain.tickets if has_secret else None,
                in_flight=self.in_flight,
                clock=parts.clock,
            ),
            self.settings.http_threads,
        )

    def _peer_parts(self) -> PeerParts:
        parts = self.parts

        def read_configuration(after_offset: int, limit: int) -> ConfigSlice:
            return slice_for_peer(parts.follower, after_offset, limit)

        def find_outcome(organisation: str, key: str, wait_ms: int) -> OutcomeReply:
            return parts.plain.caller.find(organisation, key, wait_ms / 1000)

        def hand_over(outcomes: list[KeptOutcome]) -> None:
            parts.plain.caller.accept_outcomes(
                [kept_from_wire(kept) for kept in outcomes]
            )

        return PeerParts(
            exchange=parts.membership.gossip.handle_exchange,
            lease_permits=parts.gate.permits.handle_lease_request,
            read_configuration=read_configuration,
            forward_ticket=parts.plain.tickets.run_for_peer,
            find_outcome=find_outcome,
            hand_over=hand_over,
        )

    def _models(self, call: HttpCall) -> Reply:
        models = self.parts.follower.current.models_by_name
        return json_reply(
            200,
            {
                "object": "list",
                "data": [
                    {"id": name, "object": "model", "created": 0, "owned_by": "us"}
                    for name in sorted(models)
                ],
            },
        )

    def _state_reply(self, call: HttpCall) -> Reply:
        self._callers.check_administrator(call)
        part = parse_qs(call.query).get("part", [None])[0]
        return json_reply(200, self.dump(part))

    def _dump_process(self) -> dict[str, object]:
        return {
            "version": VERSION,
            "instance": self.settings.instance,
            "domain": self.settings.domain,
            "incarnation": self.parts.incarnation.started_ms,
            "state": _STATE_NAMES[self._state],
            "ready": self.ready,
            "http_address": self.http_address,
            "peer_address": self.peer_address,
            "threads": threading.active_count(),
            "stop": asdict(self.settings.stop),
        }

    def _most_body_bytes(self) -> int:
        return self.parts.follower.current.policy.most_body_bytes

    def _closing(self) -> bool:
        return self._state in (InstanceState.DRAINING, InstanceState.STOPPED)

    def _set_state(self, state: int) -> None:
        if state == self._state:
            return
        self._state = state
        self.parts.membership.gossip.set_state(state)
        logger.info("state changed", state=_STATE_NAMES[state])


def _address_of(server: HTTPServer) -> str:
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def _make_metrics(settings: Settings, parts: Parts) -> MetricsSender | None:
    statsd = settings.statsd
    if statsd is None:
        return None
    return make_metrics_sender(
        parts.counters, statsd.host, statsd.port, statsd.prefix, statsd.interval_s
    )


_STATE_NAMES = {
    value: name.lower() for value, name in InstanceState._VALUES_TO_NAMES.items()
}


def make_daemon(settings: Settings, shared_loop: LoopThread | None = None) -> Daemon:
    """Return an entry instance that listens, but does not serve yet.

    Parameters
    ----------
    shared_loop
        A running event loop to use, for several instances in one process; None gives
        the instance one of its own.
    """
    return Daemon(settings, shared_loop)
