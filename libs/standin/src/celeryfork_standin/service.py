"""A fleet of plain services' targets, which count what they ran by key."""

from collections.abc import Iterable

from attrs import define

from celeryfork_standin.background import ListenerGroup, LoopThread
from celeryfork_standin.errors import TargetExistsError, UnknownTargetError
from celeryfork_standin.instance_list import InstanceListService, ListedInstance
from celeryfork_standin.links import LinkTable
from celeryfork_standin.service_data import (
    CallRecord,
    Chance,
    CrashPoint,
    RanCall,
    ServiceSpec,
    ServiceTarget,
)
from celeryfork_standin.service_http import ServiceSite

__all__ = [
    "CrashPoint",
    "RanCall",
    "ServiceFleet",
    "ServiceSpec",
    "ServiceTarget",
    "make_service_fleet",
]


@define(eq=False)
class _Member:
    target: ServiceTarget
    listeners: ListenerGroup


class ServiceFleet:
    """Targets of plain services on one loop; methods may be called from any thread.

    The targets of one service share what they ran, as if over a database.
    """

    def __init__(
        self,
        seed: int,
        instances: InstanceListService | None,
        links: LinkTable | None,
        client_domains: Iterable[str],
    ) -> None:
        self._links = links
        self._client_domains = tuple(client_domains)
        self._chance = Chance(seed)
        self._record = CallRecord()
        self._instances = instances
        self._members_by_id: dict[str, _Member] = {}
        self._thread = LoopThread("standin-services")
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

    def add(self, spec: ServiceSpec) -> ServiceTarget:
        """Add a target; it listens at its ``address`` when this returns.

        Raises
        ------
        TargetExistsError
            Its identifier is taken.
        """
        self.start()
        if spec.id in self._members_by_id:
            raise TargetExistsError(
                f"There is a target {spec.id!r} already.", "give it another name"
            )
        return self._thread.run(self._add(spec))

    async def _add(self, spec: ServiceSpec) -> ServiceTarget:
        target = ServiceTarget(spec, delay_s=spec.delay_s)
        site = ServiceSite(
            target,
            self._record,
            self._chance,
            self._links,
            lambda: self._die(self._member(spec.id)),
        )
        listeners = ListenerGroup(site.handle, spec.host, self._client_domains)
        await listeners.open()
        target.address = listeners.address
        target.address_by_domain = listeners.address_by_domain
        self._members_by_id[spec.id] = _Member(target, listeners)
        self._announce(target)
        return target

    # -- records -------------------------------------------------------------

    @property
    def ran(self) -> list[RanCall]:
        """Every call that ran, in order."""
        return self._record.ran

    @property
    def ran_by_key(self) -> dict[str, list[RanCall]]:
        """The calls that ran, by idempotency key; calls without one are left out."""
        ran_by_key: dict[str, list[RanCall]] = {}
        for call in self.ran:
            if call.key:
                ran_by_key.setdefault(call.key, []).append(call)
        return ran_by_key

    @property
    def targets(self) -> list[ServiceTarget]:
        """The targets, dead ones too."""
        return [member.target for member in list(self._members_by_id.values())]

    def target(self, target_id: str) -> ServiceTarget:
        """Return one target.

        Raises
        ------
        UnknownTargetError
            There is none of this identifier.
        """
        return self._member(target_id).target

    # -- faults --------------------------------------------------------------

    def kill(self, target_id: str) -> None:
        """Close the port, reset every connection and run nothing that was begun."""
        member = self._member(target_id)
        self._thread.call(lambda: self._die(member))

    def restart(self, target_id: str) -> None:
        """Bring a dead target back on its port, as a new incarnation."""
        member = self._member(target_id)
        self._thread.run(member.listeners.open())
        member.target.incarnation += 1
        member.target.alive = True
        member.target.draining = member.target.stalled = False
        self._announce(member.target)

    def remove(self, target_id: str) -> None:
        """Kill a target, and let the instance list forget it."""
        self.kill(target_id)
        if self._instances is not None:
            self._instances.remove(target_id)

    def drain(self, target_id: str) -> None:
        """Refuse new calls with ``X-Draining`` and finish the running ones."""
        target = self.target(target_id)
        target.draining = True
        self._announce(target)

    def stall(self, target_id: str) -> None:
        """Take calls without running or answering them."""
        self.target(target_id).stalled = True

    def resume(self, target_id: str) -> None:
        """End a stall; the calls that wait run now."""
        self.target(target_id).stalled = False

    def slow(self, target_id: str, seconds: float) -> None:
        """Set how long a call takes."""
        self.target(target_id).delay_s = seconds

    def reject(self, target_id: str, share: float) -> None:
        """Answer 503 to a share of calls, before running them."""
        self.target(target_id).reject_share = share

    def fail(self, target_id: str, share: float) -> None:
        """Answer 500 to a share of calls, after running them."""
        self.target(target_id).fail_share = share

    def lose_answers(self, target_id: str, share: float) -> None:
        """Run a share of calls and reset their connections without an answer."""
        self.target(target_id).lose_answer_share = share

    def crash(self, target_id: str, point: CrashPoint | None, share: float = 1) -> None:
        """Die at a share of calls, before or after running; None ends it."""
        target = self.target(target_id)
        target.crash_point = point
        target.crash_share = share

    def poison(self, target_id: str, marker: str | None) -> None:
        """Die at a call whose body contains the marker, before running it."""
        encoded = marker.encode() if marker is not None else None
        self.target(target_id).poison_marker = encoded

    # -- inside --------------------------------------------------------------

    def _member(self, target_id: str) -> _Member:
        member = self._members_by_id.get(target_id)
        if member is None:
            raise UnknownTargetError(
                f"There is no target {target_id!r}.", "see `targets` for the names"
            )
        return member

    def _die(self, member: _Member) -> None:
        member.target.alive = False
        member.listeners.cut()

    def _announce(self, target: ServiceTarget) -> None:
        if self._instances is None:
            return
        self._instances.put(
            ListedInstance(
                id=target.spec.id,
                role="service",
                target=target.spec.service,
                domain=target.spec.domain,
                address=target.address,
                address_by_domain=target.address_by_domain,
                state="leaving" if target.draining else "live",
                incarnation=target.incarnation,
            )
        )


def make_service_fleet(
    seed: int = 0,
    *,
    instances: InstanceListService | None = None,
    links: LinkTable | None = None,
    client_domains: Iterable[str] = (),
) -> ServiceFleet:
    """Return a fleet without targets.

    Parameters
    ----------
    seed
        Seed of every random choice.
    instances
        An instance list to keep up to date; None tells nobody.
    links
        The links whose partitions cut clients off; None never does.
    client_domains
        Domains whose clients get addresses of their own.
    """
    return ServiceFleet(seed, instances, links, client_domains)
