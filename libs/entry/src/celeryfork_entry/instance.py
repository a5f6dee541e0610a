"""An entry instance: composition of its parts, listening, and the planned stop."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable

from attrs import define, field
from celeryfork_admission.crash_evidence import CrashEvidence, make_crash_evidence
from celeryfork_admission.retry_share import RetryShare
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError
from celeryfork_routing.engine_loads import EngineLoads
from logbook import Logger

from celeryfork_entry.acting_leader import ActingLeader
from celeryfork_entry.admission_gate import AdmissionGate
from celeryfork_entry.budget_loans import BudgetLoans
from celeryfork_entry.call import CallContext, PlannedStop
from celeryfork_entry.caller_guard import (
    CallerGuard,
    ConnectionGuard,
    make_caller_guard,
)
from celeryfork_entry.caller_http import CallerConnection, CallerRequest
from celeryfork_entry.caller_stream import CallerStream, RefusedConnection
from celeryfork_entry.capacity_sharing import CapacitySharing
from celeryfork_entry.configuration import CallerLimits, Configuration
from celeryfork_entry.crash_guard import CrashGuard
from celeryfork_entry.decision_log import error_location
from celeryfork_entry.detours import Detours
from celeryfork_entry.dispatcher import Dispatcher
from celeryfork_entry.domain_balance import DomainBalance
from celeryfork_entry.engine_checks import EngineChecks
from celeryfork_entry.engine_permits import EnginePermits
from celeryfork_entry.leader_candidate import LeaderCandidate
from celeryfork_entry.leaving_checks import LeavingChecks
from celeryfork_entry.limit_checks import LimitChecks
from celeryfork_entry.load_knowledge import LoadKnowledge
from celeryfork_entry.metrics import Histograms
from celeryfork_entry.path_selector import PathSelector
from celeryfork_entry.peer_protocol import PeerProtocol
from celeryfork_entry.placement_leader import PlacementLeader
from celeryfork_entry.plain_calls import PlainCalls
from celeryfork_entry.ports import (
    ConfigurationFeed,
    Dialect,
    LeaderElection,
    Peer,
    TargetFeed,
)
from celeryfork_entry.reachability_checks import ReachabilityChecks
from celeryfork_entry.roster import Roster
from celeryfork_entry.settings import EntrySettings
from celeryfork_entry.status_endpoints import StatusEndpoints
from celeryfork_entry.store_follower import StoreFollower
from celeryfork_entry.stream_calls import StreamCalls
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_entry.target_http import TargetConnections
from celeryfork_entry.target_ramp_up import TargetRampUp, make_target_ramp_up
from celeryfork_entry.target_streams import TargetStreams
from celeryfork_entry.targets import TargetTable

MAX_PEERS_ASKED = 6
"""Maximum number of peers that are asked for the configuration in one attempt."""
HOUSEKEEPING_INTERVAL_S = 0.25
"""Seconds between two checks of excluded targets and idle connections."""
COUNTING_S = 5.0
"""Seconds after the start within which an instance hears of all domains."""
DRAIN_DELAY_S = 2.3
"""Seconds until new callers go elsewhere: two readiness checks, a second apart."""
EXIT_MARGIN_S = 0.5
"""Seconds reserved at a planned stop to exit before the kill."""
LAST_ANSWERS_S = 0.4
"""Seconds reserved before that to answer calls whose answers haven't begun."""
DEFAULT_LIMITS = CallerLimits(
    header_bytes=65_536, body_bytes=4 << 20, header_timeout_s=5.0, idle_timeout_s=15.0
)
"""Limits before the first configuration, while all requests are refused."""
ACCEPT_BACKLOG = 1024
MAX_ACCEPTED = 4
"""Connections that the event loop accepts at once, before it can close others for
them; it takes the number from the backlog that a server is created with."""


class ListenError(CeleryforkError):
    """The socket of an address in the settings can't be opened."""

    def __init__(self, address: str, error: OSError) -> None:
        super().__init__(
            f"cannot listen on {address}: {error.strerror or error}.",
            "End the process that holds it, or correct the settings file.",
        )


@define(eq=False)
class Instance:
    """One router process, which forwards callers' requests to engines and services."""

    settings: EntrySettings
    _dialect: Dialect
    _configurations: ConfigurationFeed
    _targets: TargetFeed
    _election: LeaderElection
    log: Logger
    counters: Counters = field(factory=Counters)
    stopping: bool = False
    table: TargetTable = field(factory=TargetTable)
    connections: TargetConnections = field(factory=TargetConnections)
    loads: EngineLoads = field(factory=EngineLoads)
    crash_evidence: CrashEvidence = field(factory=make_crash_evidence)
    _guard: CallerGuard = field(init=False)
    _callers: set[CallerConnection] = field(factory=set)
    _budget_by_service: dict[str, RetryShare] = field(factory=dict)
    _tasks: set[asyncio.Future[object]] = field(factory=set)
    _was_relay: bool = False
    _started_s: float = field(factory=time.monotonic)
    _stop_requested: asyncio.Event = field(factory=asyncio.Event)
    _histograms: Histograms = field(factory=Histograms)
    roster: Roster = field(init=False)
    _store_follower: StoreFollower = field(init=False)
    _checks: EngineChecks = field(init=False)
    _placement: PlacementLeader = field(init=False)
    _candidate: LeaderCandidate = field(init=False)
    _peers: PeerProtocol = field(init=False)
    load_knowledge: LoadKnowledge = field(init=False)
    _dispatcher: Dispatcher = field(init=False)
    _planned_stop: PlannedStop = field(factory=PlannedStop)
    _status_endpoints: StatusEndpoints = field(init=False)
    _ramp_up: TargetRampUp | None = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts and connect their callbacks."""
        own = self.settings
        self._guard = self._make_guard()
        self.roster = Roster(Peer(own.name, own.domain, own.peer_address, own.power))
        self._store_follower = StoreFollower(
            self._configurations, self._targets, self.table, self.connections,
            self.log, self.counters, self._peer_addresses,
            reads_store=self._reads_store, is_relay=lambda: self.roster.is_relay,
            spawn=self._spawn, domain=own.domain,
        )  # fmt: skip
        self._checks = EngineChecks(
            self.table,
            self.connections,
            self._dialect,
            self.log,
            self.counters,
            domain=self.settings.domain,
        )
        self._peers = PeerProtocol(self.roster, self.loads, self.log)
        loans = self._make_loans()
        permits = EnginePermits(
            self.table, self.roster, self._limit_instance_count, self._peers.send_to,
            self.log, self.counters,
        )  # fmt: skip
        self.load_knowledge = self._make_load_knowledge()
        context = CallContext(
            table=self.table,
            connections=self.connections,
            dialect=self._dialect,
            log=self.log,
            counters=self.counters,
            configuration=lambda: self.configuration,
            instance_count=lambda: max(
                self.roster.instances(), self.settings.usual_instances
            ),
            budget_instance_count=self._budget_instance_count,
            budget_of=self._budget_of,
            loans=loans,
            permits=permits,
            load_knowledge=self.load_knowledge,
            domain=self.settings.domain,
            stop=self._planned_stop,
            histograms=self._histograms,
        )
        sharing = CapacitySharing(context.configuration)
        self._ramp_up = context.ramp_up = make_target_ramp_up(
            self.settings.ramp_up_mode, self.table, self.log, own.name, own.domain,
            context.instance_count, sharing.is_configured,
        )  # fmt: skip
        leaving = LeavingChecks(
            self.table, self.connections, self._dialect, self.log, self._spawn
        )
        reachability = ReachabilityChecks(
            self.settings.domain, self.table, self._checks, self.log, self._spawn
        )
        balance = DomainBalance(
            own.balance_mode, own.name, context, self.loads, sharing.is_configured
        )
        selector = PathSelector(context, self.loads, balance)
        self.load_knowledge.engines = selector.engines_in_use
        detours = Detours(context, selector, self._highest_known_fence)
        guard = CrashGuard(self.crash_evidence, context)
        streams = StreamCalls(
            context, self._checks, leaving, self.loads, reachability, selector, detours,
            guard,
        )  # fmt: skip
        self._checks.on_down = streams.engine_down
        self._checks.is_in_use = streams.uses
        self._checks.spawn = self._spawn
        self._dispatcher = Dispatcher(
            context,
            PlainCalls(context, guard),
            streams,
            TargetStreams(context, guard),
            AdmissionGate(context, sharing, own.admission_mode, own.name),
        )
        self._placement = PlacementLeader(
            self.table, self.connections, self._dialect, self._checks, self.log,
            lambda: self.configuration,
        )  # fmt: skip
        self._candidate = LeaderCandidate(
            self._election,
            self.roster,
            self._placement,
            self.log,
            lambda: self.stopping,
            lambda: self.table.position.era if self.table.position else None,
        )
        self._placement.acting_leader = ActingLeader(
            self._peers, self._store_follower.store_outage_s, reachability.cut_off
        )
        self._placement.highest_peer_fence = lambda: self._peers.highest_peer_fence
        self._checks.on_found_down = self._peers.announce_down
        self._peers.on_down = self._checks.handle_down_report
        self._peers.fence = self._own_fence
        self._peers.on_fence = self._placement.yield_to
        self._peers.version = lambda: self._store_follower.version
        self._peers.on_version = self._fetch_newer_configuration
        self._status_endpoints = StatusEndpoints(
            self._store_follower, self._placement, self.table, self.connections,
            self.loads, self.roster, self.counters, self._histograms,
            ready=lambda: self.ready, stopping=lambda: self.stopping,
            callers=lambda: len(self._callers),
            caller_memory=lambda: self._guard.memory.held,
            crash_evidence=self.crash_evidence, log=self.log,
            load_knowledge=self.load_knowledge,
            ramping=lambda: self._ramp_up.count() if self._ramp_up else 0,
        )  # fmt: skip
        self._share_target_list()
        self._share_engine_reports(context)
        self._share_crash_evidence()

    def _make_loans(self) -> BudgetLoans:
        loans = BudgetLoans(
            self.roster, self._budget_of, self._budget_instance_count, self._services,
            self._peers.send_to, self.log, self.counters,
        )  # fmt: skip
        self._peers.on_loan = loans.handle_message
        self._peers.on_lendable = loans.record_lendable
        self._peers.lendable = loans.lendable
        return loans

    def _make_load_knowledge(self) -> LoadKnowledge:
        exchange = self._peers.demand
        knowledge = LoadKnowledge(exchange, self.loads, lambda: self.configuration)
        exchange.is_short = knowledge.is_short
        return knowledge

    def _share_target_list(self) -> None:
        self._store_follower.on_change = self._peers.announce_changes
        self._peers.list_state = self._store_follower.list_state
        self._peers.on_digest = self._store_follower.receive_digest

    def _make_guard(self) -> CallerGuard:
        """Return the guard of callers' connections, and let it bound replies too."""
        own = self.settings
        guard = make_caller_guard(own.memory_mb, own.max_fds, self.log, self.counters)
        guard.targets = self.connections
        self.connections.buffers.unread = lambda: guard.memory.unread
        self.connections.buffers.bound = guard.memory.answer_bound
        return guard

    def _share_engine_reports(self, context: CallContext) -> None:
        permits = context.permits
        self._checks.on_reply = context.record_reply
        permits.on_old_limit = LimitChecks(
            self._checks, self.connections, self._dialect, lambda: self.configuration,
            context.record_reply, self.log, self._spawn,
        ).check  # fmt: skip
        self._peers.on_permit = permits.handle_message
        self._peers.limits = lambda: self.table.limits.own_news(time.monotonic())
        self._peers.on_limit = permits.record_limit
        self._peers.layers = self.table.own_reported_layers
        self._peers.on_layers = self._record_peer_layers
        self._peers.speeds = lambda: self.table.speeds.own_slow(time.monotonic())
        self._peers.on_speed = self._checks.record_speed

    def _share_crash_evidence(self) -> None:
        self.crash_evidence.on_change = self._peers.announce_crashes
        self.crash_evidence.forwards = lambda: self.roster.is_relay
        self._peers.crashes = self.crash_evidence.records
        self._peers.crash_changes = self.crash_evidence.take_changes
        self._peers.on_crashes = self.crash_evidence.merge

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, None before the first."""
        return self._store_follower.configuration

    def _budget_instance_count(self) -> int:
        """Return the number of instances that share the retry budget."""
        return max(self.roster.peak_instances(), self.settings.usual_instances)

    def _limit_instance_count(self) -> int:
        """Return the number of instances that the limits of engines are for."""
        if time.monotonic() - self._started_s < COUNTING_S:
            return self._budget_instance_count()
        return self.roster.peak_instances()

    def _services(self) -> Iterable[str]:
        return self.configuration.services_by_name if self.configuration else ()

    def _peer_addresses(self) -> list[str]:
        """Return the addresses of known peers, else those of the settings."""
        relays = self.roster.relays(self.settings.domain)
        known = dict.fromkeys(each.address for each in [*relays, *self.roster.peers()])
        return list(known)[:MAX_PEERS_ASKED] or list(self.settings.seed_addresses)

    def _reads_store(self) -> bool:
        """Return True for a relay, or if no relay has a fresh target list."""
        return self.roster.is_relay or self._store_follower.relays_are_stale()

    def _fetch_newer_configuration(self, version: int, address: str) -> None:
        self._spawn(self._store_follower.fetch_configuration(version, address))

    def _record_peer_layers(self, engine_id: str, learnt: ReportedLayers) -> None:
        if self.table.record_layers(engine_id, learnt):
            self.log.info("layers_learnt", engine=engine_id, held=str(learnt.held))

    def _highest_known_fence(self) -> int:
        """Return the highest fencing token received from the store or a peer."""
        return max(self._placement.latest_fence, self._peers.highest_peer_fence)

    def _own_fence(self) -> int | None:
        leadership = self._placement.leadership
        return leadership.fence if leadership.held else None

    @property
    def ready(self) -> bool:
        """Return True if new callers should be sent to this instance.

        It needs a configuration and a target list. During a planned stop the value is
        False, while connections are still accepted.
        """
        known = self.configuration is not None and self._store_follower.list_read_s > 0
        return known and not self.stopping

    def request_stop(self) -> None:
        """Begin the planned stop; may be called from a signal handler of the loop."""
        self._stop_requested.set()

    async def run(self) -> None:
        """Serve until the planned stop has ended.

        Raises
        ------
        ListenError
            The socket of an address for callers, status requests or peers can't be
            opened.
        """
        self.log.info("start", domain=self.settings.domain, listen=self.settings.listen)
        server = await self._listen(self.settings.listen, self._serve_caller)
        await self._listen(self.settings.ready, self._serve_status)
        await self._listen_for_metrics()
        await self._listen_for_peers()
        for loop in (
            self._store_follower.follow_configuration,
            self._store_follower.follow_targets,
            self._candidate.announce_and_read_instances,
            self._candidate.renew_while_eligible,
            self._run_housekeeping,
            self._guard.run,
        ):
            self._spawn(loop())
        self._spawn(self._placement.run())
        self._spawn(self._peers.run(lambda: self.stopping))
        await self._stop_requested.wait()
        await self._stop(server)

    async def _listen_for_metrics(self) -> None:
        try:
            await self._listen(self.settings.metrics, self._serve_status)
        except ListenError as error:
            self.log.info("metrics_not_served", reason=str(error))

    async def _listen(
        self,
        address: str,
        serve: Callable[[CallerStream, ConnectionGuard], Awaitable[None]],
    ) -> asyncio.Server:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        peer = address == self.settings.peer_address

        def make() -> asyncio.BaseProtocol:
            if not self._guard.admits_connection(loop.time(), peer=peer):
                return RefusedConnection()
            stream = CallerStream(self._guard.buffer)
            guard = self._guard.open(stream)
            loop.call_soon(lambda: self._spawn(serve(stream, guard)))
            return stream

        try:
            server = await loop.create_server(
                make, host, int(port), backlog=MAX_ACCEPTED, reuse_address=True
            )
        except OSError as error:
            raise ListenError(address, error) from error
        for listening in server.sockets:
            with listening.dup() as duplicate:
                duplicate.listen(ACCEPT_BACKLOG)
        return server

    def _spawn(self, work: Awaitable[object]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Future[object]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.counters.add("tasks.failed")
            where = error_location(error)
            self.log.info("task_failed", error=repr(error), where=where)

    async def _serve_caller(self, stream: CallerStream, guard: ConnectionGuard) -> None:
        connection = CallerConnection(
            stream, self._limits, self._handle, lambda: self.stopping,
            self._dispatcher.needs_body, guard,
        )  # fmt: skip
        self._callers.add(connection)
        try:
            await connection.serve()
        finally:
            self._callers.discard(connection)

    async def _handle(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        async with self._guard.serving():
            await self._dispatcher.handle(connection, request)

    async def _serve_status(self, stream: CallerStream, guard: ConnectionGuard) -> None:
        await self._serve_requests(stream, guard, self._status_endpoints.answer)

    async def _serve_peer(self, stream: CallerStream, guard: ConnectionGuard) -> None:
        await self._serve_requests(stream, guard, self._status_endpoints.answer_peer)

    async def _serve_requests(
        self,
        stream: CallerStream,
        guard: ConnectionGuard,
        answer: Callable[[CallerConnection, CallerRequest], Awaitable[None]],
    ) -> None:
        await CallerConnection(
            stream, lambda: DEFAULT_LIMITS, answer, lambda: self.stopping,
            lambda _: False, guard,
        ).serve()  # fmt: skip

    def apply(self, settings: EntrySettings) -> None:
        """Apply changed settings; listening addresses change only at a restart."""
        self.settings = settings
        for budget in self._budget_by_service.values():
            budget.set_bounds(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
        self.log.info("settings_reloaded", store=settings.store, stop_s=settings.stop_s)

    def _limits(self) -> CallerLimits:
        return self.configuration.limits if self.configuration else DEFAULT_LIMITS

    def _budget_of(self, service: str) -> RetryShare:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = self._budget_by_service[service] = RetryShare(
                self.settings.retry_ratio,
                self.settings.retry_slack,
                self.settings.retry_window_s,
            )
        return budget

    async def _listen_for_peers(self) -> None:
        await self._listen(self.settings.peer_address, self._serve_peer)
        host, _, port = self.settings.peer_address.rpartition(":")
        try:
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self._peers, local_addr=(host, int(port))
            )
        except OSError as error:
            raise ListenError(self.settings.peer_address, error) from error

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now_s = time.monotonic()
            self.connections.close_idle(now_s)
            grace_until_s = self._store_follower.grace_until_s
            self._peers.announce_changes()
            self._log_role_change()
            self._recheck_slow_engines(now_s)
            if now_s >= grace_until_s and (gone := self.table.drop_expired()):
                self.log.info("targets_lapsed", targets=gone)
            await asyncio.gather(
                *(
                    self._recheck_target(target.id, target.service)
                    for target in self.table.due_for_check(now_s)
                )
            )

    def _recheck_slow_engines(self, now_s: float) -> None:
        """Ask the slow engines of the domain again, if this is its lead relay.

        The lead relay is the first-ranked live relay of a domain.
        """
        if self.roster.is_lead_relay():
            for engine_id in self.table.slow_in(self.settings.domain, now_s):
                self._spawn(self._checks.ask(engine_id))

    def _log_role_change(self) -> None:
        """Log when this instance becomes a relay, or stops being one."""
        if self.roster.is_relay != self._was_relay:
            self._was_relay = self.roster.is_relay
            relays = [p.address for p in self.roster.relays(self.settings.domain)]
            self.log.info(
                "relay_role",
                relays=self._was_relay,
                others=relays,
                instances=self.roster.instances(),
            )

    async def _recheck_target(self, target_id: str, service: str) -> None:
        """Check an excluded engine; include an excluded plain service again."""
        known = self.configuration and self.configuration.services_by_name.get(service)
        if known and known.model is None:
            self.table.succeeded(target_id)
            self.log.info("target_tried_again", target=target_id)
            return
        await self._checks.ask(target_id)

    async def _stop(self, server: asyncio.Server) -> None:
        started_s = time.monotonic()
        self.stopping = True
        ends_s = started_s + self.settings.stop_s - EXIT_MARGIN_S
        self._planned_stop.streams_end_s = ends_s
        self._planned_stop.answers_end_s = ends_s - LAST_ANSWERS_S
        self.log.info("stop_begins", connections=len(self._callers))
        await self._candidate.resign()
        await asyncio.sleep(max(0.0, started_s + DRAIN_DELAY_S - time.monotonic()))
        server.close()
        self._planned_stop.drained = True
        for connection in list(self._callers):
            connection.close_when_idle()
        while time.monotonic() < ends_s and any(c.busy for c in self._callers):
            await asyncio.sleep(0.05)
        left = sum(connection.busy for connection in self._callers)
        self.log.info("stop", broken_off=left)
