"""Puts the parts of one entry instance together; nothing here runs yet."""

import time
from secrets import token_hex

from attrs import frozen
from celeryfork_admission.admission import Admission, make_admission
from celeryfork_admission.admission_queue import QueueBounds
from celeryfork_admission.permit_home import Limit
from celeryfork_admission.permits import PermitManager, make_permit_manager
from celeryfork_admission.poison import (
    PoisonBounds,
    PoisonRegistry,
    make_poison_registry,
)
from celeryfork_admission.retry_budget import RetryBudget, make_retry_budget
from celeryfork_base.clock import Clock, SystemClock
from celeryfork_base.counters import Counters
from celeryfork_base.identity import Incarnation
from celeryfork_calls.claim_results import ClaimLimits
from celeryfork_calls.claims import ClaimCoordinator, make_claim_coordinator
from celeryfork_calls.plain_caller import PlainCaller, make_plain_caller
from celeryfork_calls.tickets import TicketManager, make_ticket_manager
from celeryfork_config.follower import ConfigFollower, make_follower
from celeryfork_config.records import Policy
from celeryfork_config.rendezvous import rank_of
from celeryfork_config.settings import Settings
from celeryfork_control.leases import LeaseManager, make_lease_manager
from celeryfork_control.orders import make_order_client
from celeryfork_control.rollout_controller import (
    RolloutController,
    RolloutDependencies,
    make_rollout_controller,
)
from celeryfork_membership.gossip import Gossip, make_gossip
from celeryfork_membership.instance_list_poller import (
    InstanceListPoller,
    make_instance_list_poller,
)
from celeryfork_membership.peers import PeerIdentity
from celeryfork_membership.probe import LoadProbe, make_load_probe
from celeryfork_membership.targets import TargetView, make_target_view
from celeryfork_membership.update_store import UpdateStore, make_update_store
from celeryfork_platform.instances import make_instance_list_client
from celeryfork_platform.log import LogClient, make_log_client
from celeryfork_platform.weights import make_weight_store_client
from celeryfork_routing.router import Router, make_router
from celeryfork_streams.engine_client import EngineSession
from celeryfork_streams.loop_thread import LoopThread
from celeryfork_streams.policy import StreamPolicy
from celeryfork_streams.streams import StreamRunner, make_stream_runner
from celeryfork_wire.gen.celeryfork.ttypes import InstanceState
from celeryfork_wire.peers import PeerPool

from celeryfork_daemon.capacity import CapacityReview
from celeryfork_daemon.config_peers import ConfigFromPeers
from celeryfork_daemon.fleet_view import FleetView

NO_TICKET_SECRET_BYTES = 32
# Instances of a failure domain that try for its order-giver's lease.
ORDER_GIVER_CANDIDATES = 2


@frozen
class Membership:
    """Who is there: targets and peers."""

    news: UpdateStore
    pool: PeerPool
    gossip: Gossip
    fleet: FleetView
    view: TargetView
    watch: InstanceListPoller
    probe: LoadProbe


@frozen
class Gate:
    """Who may start when."""

    permits: PermitManager
    admission: Admission
    poison: PoisonRegistry
    retry_budget: RetryBudget
    capacity: CapacityReview


@frozen
class PlainParts:
    """What plain calls run with."""

    claims: ClaimCoordinator
    tickets: TicketManager
    caller: PlainCaller


@frozen
class ControlParts:
    """Who orders engines."""

    leases: LeaseManager
    rollout_controller: RolloutController


@frozen
class Parts:
    """Everything that an entry instance is made of."""

    settings: Settings
    incarnation: Incarnation
    clock: Clock
    counters: Counters
    log: LogClient
    follower: ConfigFollower
    membership: Membership
    router: Router
    gate: Gate
    plain: PlainParts
    control: ControlParts
    loop_thread: LoopThread


def make_parts(
    settings: Settings,
    http_address: str,
    peer_address: str,
    loop_thread: LoopThread,
) -> Parts:
    """Return the parts of an instance.

    Parameters
    ----------
    settings
        The instance's settings.
    http_address, peer_address
        ``ip:port`` that it tells others.
    loop_thread
        Runs the streams.
    """
    clock = SystemClock()
    counters = Counters()
    incarnation = Incarnation(settings.instance, clock.wall_ms())
    identity = PeerIdentity(
        settings.instance,
        incarnation.started_ms,
        settings.domain,
        peer_address,
        http_address,
    )
    log = make_log_client(settings.platform.log_url, clock, counters)
    membership = _make_membership(settings, identity, clock, counters)
    follower = _make_follower(settings, log, membership, clock, counters)
    router = make_router(
        membership.view,
        membership.probe,
        lambda: follower.current,
        settings.domain,
        clock,
        counters,
        seed=time.time_ns(),
    )
    gate = _make_gate(settings, incarnation, follower, membership, clock, counters)
    return Parts(
        settings=settings,
        incarnation=incarnation,
        clock=clock,
        counters=counters,
        log=log,
        follower=follower,
        membership=membership,
        router=router,
        gate=gate,
        plain=_make_plain(
            settings,
            incarnation,
            identity,
            log,
            follower,
            membership,
            router,
            gate,
            clock,
            counters,
        ),
        control=_make_control(
            settings, incarnation, log, follower, membership, clock, counters
        ),
        loop_thread=loop_thread,
    )


def make_runner(parts: Parts, session: EngineSession) -> StreamRunner:
    """Return the stream runner, whose session belongs to the running event loop."""
    return make_stream_runner(
        parts.router,
        parts.membership.view,
        parts.gate.retry_budget,
        parts.gate.poison,
        parts.clock,
        parts.counters,
        session,
        layers_of=lambda model: parts.follower.current.models_by_name[model].layers,
        domain=parts.settings.domain,
        policy=lambda: stream_policy(parts.follower.current.policy),
        load_of=lambda target_id: _batches_waiting(parts.membership.probe, target_id),
    )


def claim_limits(policy: Policy) -> ClaimLimits:
    """Return the part of the policy that claims need."""
    return ClaimLimits(
        retention_s=policy.log_retention_s,
        window_s=policy.claim_window_s,
        commit_wait_s=policy.claim_commit_wait_s,
    )


def stream_policy(policy: Policy) -> StreamPolicy:
    """Return the part of the policy that streams need."""
    return StreamPolicy(
        token_gap_floor_s=policy.token_gap_floor_s,
        gap_factor=policy.token_gap_factor,
        most_attempts=policy.most_stream_attempts,
        stream_buffer_bytes=policy.stream_buffer_bytes,
    )


def _batches_waiting(probe: LoadProbe, target_id: str) -> float:
    report = probe.load_of(target_id)
    return 0.0 if report is None else report.waiting / max(1, report.max_batch)


def _make_membership(
    settings: Settings, identity: PeerIdentity, clock: Clock, counters: Counters
) -> Membership:
    news = make_update_store(clock, counters, settings.instance)
    pool = PeerPool()
    gossip = make_gossip(identity, news, pool, clock, counters)
    gossip.add_seeds(settings.peers)
    view = make_target_view(clock, counters, news, settings.domain)
    list_client = make_instance_list_client(
        settings.platform.instances_url, clock, counters
    )
    return Membership(
        news=news,
        pool=pool,
        gossip=gossip,
        fleet=FleetView(
            settings.instance, settings.domain, identity.peer_address, gossip, clock
        ),
        view=view,
        watch=make_instance_list_poller(
            list_client, view, gossip, clock, counters, settings.instance_poll_s
        ),
        probe=make_load_probe(view, clock, counters, domain=settings.domain),
    )


def _make_follower(
    settings: Settings,
    log: LogClient,
    membership: Membership,
    clock: Clock,
    counters: Counters,
) -> ConfigFollower:
    gossip = membership.gossip
    from_peers = ConfigFromPeers(
        lambda: gossip.peers_by_instance, membership.pool, settings.domain
    )

    def domains_by_instance() -> dict[str, str]:
        peers = gossip.peers_by_instance
        return {
            settings.instance: settings.domain,
            **{name: peer.domain for name, peer in peers.items()},
        }

    return make_follower(
        log,
        clock,
        counters,
        from_peers.read,
        instance=settings.instance,
        fleet=domains_by_instance,
    )


def _make_gate(
    settings: Settings,
    incarnation: Incarnation,
    follower: ConfigFollower,
    membership: Membership,
    clock: Clock,
    counters: Counters,
) -> Gate:
    def limit_of(name: str) -> Limit | None:
        found = follower.current.organisations_by_name.get(name)
        if found is None:
            return None
        return Limit(found.requests_per_second, found.burst, found.concurrency)

    def queue_bounds() -> QueueBounds:
        policy = follower.current.policy
        return QueueBounds(policy.queue_most_requests, policy.queue_most_wait_s)

    def poison_bounds() -> PoisonBounds:
        policy = follower.current.policy
        return PoisonBounds(policy.poison_crashes, policy.poison_ttl_s)

    permits = make_permit_manager(
        settings.instance,
        incarnation.started_ms,
        limit_of,
        membership.fleet,
        membership.pool,
        lambda: follower.current.policy.permit_lease_s,
        clock,
        counters,
    )
    admission = make_admission(permits, queue_bounds, clock, counters)
    return Gate(
        permits=permits,
        admission=admission,
        poison=make_poison_registry(membership.news, clock, counters, poison_bounds),
        retry_budget=make_retry_budget(
            lambda: follower.current.policy.retry_budget_ratio, clock
        ),
        capacity=CapacityReview(
            membership.view,
            membership.probe,
            lambda: follower.current,
            membership.fleet.serving_count,
            admission,
            settings.http_threads,
        ),
    )


def _make_control(
    settings: Settings,
    incarnation: Incarnation,
    log: LogClient,
    follower: ConfigFollower,
    membership: Membership,
    clock: Clock,
    counters: Counters,
) -> ControlParts:
    leases = make_lease_manager(log, str(incarnation), clock, counters)

    def is_candidate() -> bool:
        peers = membership.gossip.peers_in_domain()
        others = [p.instance for p in peers if p.state == InstanceState.SERVING]
        key = f"orders/{settings.domain}"
        return rank_of(settings.instance, others, key) < ORDER_GIVER_CANDIDATES

    rollout_controller = make_rollout_controller(
        RolloutDependencies(
            leases=leases,
            client=make_order_client(counters),
            view=membership.view,
            weights=make_weight_store_client(
                settings.platform.weights_url, clock, counters
            ),
            configuration=lambda: follower.current,
            is_candidate=is_candidate,
            domain=settings.domain,
            holder=str(incarnation),
            clock=clock,
            counters=counters,
        )
    )
    return ControlParts(leases, rollout_controller)


def _make_plain(
    settings: Settings,
    incarnation: Incarnation,
    identity: PeerIdentity,
    log: LogClient,
    follower: ConfigFollower,
    membership: Membership,
    router: Router,
    gate: Gate,
    clock: Clock,
    counters: Counters,
) -> PlainParts:
    limits = claim_limits(Policy())
    claims = make_claim_coordinator(
        log,
        incarnation,
        clock,
        counters,
        limits.retention_s,
        window_s=limits.window_s,
        commit_wait_s=limits.commit_wait_s,
    )
    follower.subscribe(lambda current: claims.set_limits(claim_limits(current.policy)))
    # Without a secret of the fleet no ticket is minted, and none can be read.
    secret = (settings.ticket_secret or token_hex(NO_TICKET_SECRET_BYTES)).encode()
    tickets = make_ticket_manager(
        identity, secret, membership.pool, membership.gossip, clock, counters
    )
    caller = make_plain_caller(
        router,
        membership.view,
        claims,
        tickets,
        gate.retry_budget,
        gate.poison,
        lambda: follower.current,
        clock,
        counters,
    )
    return PlainParts(claims, tickets, caller)
