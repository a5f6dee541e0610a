"""A fleet of engine stand-ins on one event loop thread, each on its own port."""

import asyncio
import random
import time
from collections.abc import Iterable, Mapping

from attrs import define

from celeryfork_standin.background import ListenerGroup, LoopThread
from celeryfork_standin.engine_core import Engine, FleetContext
from celeryfork_standin.engine_data import (
    EngineSpec,
    EventFault,
    EventFaults,
    RanOrder,
    RanToken,
)
from celeryfork_standin.engine_http import EngineSite
from celeryfork_standin.errors import TargetExistsError, UnknownTargetError
from celeryfork_standin.instance_list import InstanceListService, ListedInstance
from celeryfork_standin.links import LinkTable
from celeryfork_standin.orders import OrderDesk
from celeryfork_standin.step_timer import StepTimer
from celeryfork_standin.token_record import TokenRecord
from celeryfork_standin.weight_store import WeightStore

DEFAULT_LATENCY_S = 0.00025
DEFAULT_LINK_TIMEOUT_S = 1.0
MOST_TOKENS_RECORDED = 500_000

__all__ = ["Engine", "EngineFleet", "EngineSpec", "make_engine_fleet"]


@define(eq=False)
class _Member:
    engine: Engine
    listeners: ListenerGroup


class EngineFleet:
    """Many engines on one loop; every method may be called from any thread."""

    def __init__(
        self,
        seed: int,
        links: LinkTable,
        instances: InstanceListService | None,
        weights: WeightStore | None,
        poison_marker: str | None,
        client_domains: Iterable[str],
    ) -> None:
        self.links = links
        links.subscribe(self._on_links_changed)
        self._client_domains = tuple(client_domains)
        self._seed = seed
        self._chance = random.Random(seed)
        self._instances = instances
        self._record = TokenRecord(MOST_TOKENS_RECORDED)
        self._members_by_id: dict[str, _Member] = {}
        self._engines_by_id: dict[str, Engine] = {}
        self._context = FleetContext(
            links, self._engines_by_id, {}, StepTimer(), poison_marker, self._crash
        )
        self._orders = OrderDesk(weights, self._announce)
        self._thread = LoopThread("standin-engines")
        self._started = False

    # -- life ----------------------------------------------------------------

    def start(self) -> None:
        """Start the loop; a second call does nothing."""
        if not self._started:
            self._started = True
            self._thread.start()

    def stop(self) -> None:
        """Cut every connection and stop the loop."""
        if not self._started:
            return
        for member in list(self._members_by_id.values()):
            self._thread.call(member.listeners.close)
        self._thread.stop()

    def add(self, spec: EngineSpec) -> Engine:
        """Add an engine; it listens at its ``address`` when this returns.

        Raises
        ------
        TargetExistsError
            Its identifier is taken.
        """
        self.start()
        if spec.id in self._members_by_id:
            raise TargetExistsError(
                f"There is an engine {spec.id!r} already.", "give it another name"
            )
        return self._thread.run(self._add(spec))

    async def _add(self, spec: EngineSpec) -> Engine:
        engine = Engine(spec, self._context, self._seed)
        site = EngineSite(
            engine, self._context, self._orders, self._record, self._chance
        )
        listeners = ListenerGroup(site.handle, spec.host, self._client_domains)
        await listeners.open()
        engine.address = listeners.address
        engine.address_by_domain = listeners.address_by_domain
        self._members_by_id[spec.id] = _Member(engine, listeners)
        self._engines_by_id[spec.id] = engine
        for address in (engine.address, *engine.address_by_domain.values()):
            self._context.engines_by_address[address] = engine
        self._announce(engine)
        return engine

    # -- records -------------------------------------------------------------

    @property
    def ran(self) -> list[RanToken]:
        """Every token that a whole chain ran, in the order in which they ended."""
        return self._record.tokens()

    @property
    def ran_count(self) -> int:
        """How many tokens whole chains ran."""
        return self._record.count

    def processor_s(self) -> float:
        """Return the processor time that the fleet's loop has taken, in seconds."""
        return self._thread.call(time.thread_time)

    @property
    def ran_orders(self) -> list[RanOrder]:
        """Every order that came, obeyed or refused."""
        return self._orders.ran()

    @property
    def engines(self) -> list[Engine]:
        """The engines, dead ones too."""
        return list(self._engines_by_id.values())

    def engine(self, engine_id: str) -> Engine:
        """Return one engine.

        Raises
        ------
        UnknownTargetError
            There is none of this identifier.
        """
        return self._member(engine_id).engine

    # -- faults --------------------------------------------------------------

    def kill(self, engine_id: str, restart_s: float | None = None) -> None:
        """Close the port, reset every connection and lose all state.

        Parameters
        ----------
        restart_s
            Seconds to the next incarnation; None leaves it dead.
        """
        member = self._member(engine_id)
        self._thread.call(lambda: self._kill(member, restart_s))

    def kill_after(self, engine_id: str, tokens: int) -> None:
        """Kill an engine at the end of the step in which it ran ``tokens`` more."""
        engine = self.engine(engine_id)
        engine.tokens_until_kill = tokens

    def restart(self, engine_id: str) -> None:
        """Bring a dead engine back on its port, as a new incarnation."""
        self._thread.run(self._restart(self._member(engine_id)))

    def remove(self, engine_id: str) -> None:
        """Kill an engine, and let the instance list forget it."""
        self.kill(engine_id)
        if self._instances is not None:
            self._instances.remove(engine_id)

    def stall(self, engine_id: str) -> None:
        """Make no more steps and no answers, and close nothing."""
        self._thread.call(self.engine(engine_id).stall)

    def resume(self, engine_id: str) -> None:
        """End a stall."""
        self._thread.call(self.engine(engine_id).resume)

    def leave(self, engine_id: str) -> None:
        """Refuse new attempts and finish the running ones."""
        engine = self.engine(engine_id)
        engine.leaving = True
        self._announce(engine)

    def degrade(self, engine_id: str, factor: float) -> None:
        """Multiply the latency of every link of one engine; 1 heals it."""
        self.engine(engine_id).link_factor = factor
        self.links.changed()

    def slow_down(self, engine_id: str, factor: float) -> None:
        """Multiply the time of every step; 1 heals it."""
        self.engine(engine_id).speed_factor = factor

    def partition(self, *groups: Iterable[str]) -> None:
        """Cut failure domains of different groups off from one another.

        Domains in no group still reach everyone.
        """
        self.links.partition([list(group) for group in groups])

    def heal(self) -> None:
        """End every partition."""
        self.links.heal()

    def spoil_events(
        self, engine_id: str, kind: EventFault | None, share: float = 1.0
    ) -> None:
        """Spoil a share of the events that an engine streams; None ends it."""
        faults = EventFaults(kind, share) if kind is not None else None
        self.engine(engine_id).event_faults = faults

    def poison(self, marker: str | None) -> None:
        """Crash every engine that runs a prompt with this marker in it."""
        self._context.poison_marker = marker

    # -- inside --------------------------------------------------------------

    def _member(self, engine_id: str) -> _Member:
        member = self._members_by_id.get(engine_id)
        if member is None:
            raise UnknownTargetError(
                f"There is no engine {engine_id!r}.", "see `engines` for the names"
            )
        return member

    def _kill(self, member: _Member, restart_s: float | None) -> None:
        member.engine.die()
        member.listeners.cut()
        if restart_s is not None:
            asyncio.get_running_loop().call_later(
                restart_s, self._restart_later, member
            )

    def _crash(self, engine: Engine) -> None:
        self._kill(self._member(engine.spec.id), engine.spec.restart_s)

    def _restart_later(self, member: _Member) -> None:
        asyncio.get_running_loop().create_task(self._restart(member))

    async def _restart(self, member: _Member) -> None:
        if member.engine.alive:
            return
        await member.listeners.open()
        member.engine.revive()
        self._announce(member.engine)

    def _on_links_changed(self) -> None:
        if self._started:
            self._thread.loop.call_soon_threadsafe(self._mute_events)

    def _mute_events(self) -> None:
        for engine in self._engines_by_id.values():
            engine.mute_events()

    def _announce(self, engine: Engine) -> None:
        if self._instances is None:
            return
        spec = engine.spec
        self._instances.put(
            ListedInstance(
                id=spec.id,
                role="engine",
                target=spec.model,
                domain=spec.domain,
                address=engine.address,
                address_by_domain=engine.address_by_domain,
                state="leaving" if engine.leaving else "live",
                incarnation=engine.incarnation,
                attributes={
                    "first_layer": spec.first_layer,
                    "last_layer": spec.last_layer,
                    "accelerator": spec.accelerator,
                    "version": engine.version,
                    "checks_fencing": spec.checks_fencing,
                },
            )
        )


def make_engine_fleet(
    seed: int = 0,
    domain_latency_s: Mapping[tuple[str, str], float] | None = None,
    *,
    instances: InstanceListService | None = None,
    weights: WeightStore | None = None,
    poison_marker: str | None = None,
    client_domains: Iterable[str] = (),
    default_latency_s: float = DEFAULT_LATENCY_S,
    link_timeout_s: float | None = DEFAULT_LINK_TIMEOUT_S,
) -> EngineFleet:
    """Return a fleet without engines.

    Parameters
    ----------
    seed
        Seed of every random choice.
    domain_latency_s
        One-way latency in seconds by pair of failure domains.
    instances
        An instance list to keep up to date; None tells nobody.
    weights
        Where engines read versions from.
    poison_marker
        A prompt that contains it crashes every engine that runs it.
    client_domains
        Domains whose clients get addresses of their own, by which a partition
        cuts them off too.
    default_latency_s
        Latency between domains that aren't named.
    link_timeout_s
        How long an engine waits for a hop over a cut link before it reports the
        stage lost; None lets it wait for good.
    """
    links = LinkTable(domain_latency_s or {}, default_latency_s, link_timeout_s)
    return EngineFleet(seed, links, instances, weights, poison_marker, client_domains)
