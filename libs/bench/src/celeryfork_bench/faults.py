"""Seeded schedules of faults, each undone before its run ends."""

import random
from collections.abc import Callable, Sequence

from attrs import frozen
from celeryfork_standin.service import CrashPoint

from celeryfork_bench.field import Event, Field

Doing = Callable[[Field], None]


@frozen
class Fault:
    """One fault.

    Parameters
    ----------
    do, undo
        Bring it about, and end it.
    lasts_s
        How long it lasts, in seconds; 0 for one that ends by itself.
    """

    name: str
    do: Doing
    undo: Doing | None = None
    lasts_s: float = 0.0


def make_schedule(
    field: Field, seconds: float, count: int, seed: int
) -> Sequence[Event]:
    """Return a schedule of some faults at random times.

    Parameters
    ----------
    seconds
        Faults begin within this time.
    """
    randoms = random.Random(seed)
    events: list[Event] = []
    for number in range(count):
        fault = _choose(field, randoms)
        at_s = randoms.uniform(0.1, seconds)
        name = f"{number} {fault.name}"
        events.append(Event(at_s, name, fault.do))
        if fault.undo is not None:
            events.append(Event(at_s + fault.lasts_s, f"{name} ends", fault.undo))
    return events


def _choose(field: Field, randoms: random.Random) -> Fault:
    """Return a random fault of a random part of the deployment."""
    make = randoms.choice(
        (
            _log_outage,
            _log_loses_answers,
            _log_is_late,
            _log_is_slow,
            _list_fails,
            _engine_dies,
            _engine_stalls,
            _engine_leaves,
            _service_crashes,
            _service_loses_answers,
            _service_drains,
            _entry_is_killed,
            _entry_is_replaced,
            _domain_is_cut_off,
            _operators_race,
        )
    )
    return make(field, randoms)


def _log_outage(field: Field, randoms: random.Random) -> Fault:
    log = field.rig.platform.log
    lasts_s = randoms.uniform(0.3, 1.5)
    return Fault(
        "log outage", lambda _: log.outage(True), lambda _: log.outage(False), lasts_s
    )


def _log_loses_answers(field: Field, randoms: random.Random) -> Fault:
    log = field.rig.platform.log
    share = randoms.uniform(0.1, 0.6)
    return Fault(
        f"log loses {share:.0%} of answers",
        lambda _: log.lose_answers(share),
        lambda _: log.lose_answers(0.0),
        randoms.uniform(0.5, 1.5),
    )


def _log_is_late(field: Field, randoms: random.Random) -> Fault:
    log = field.rig.platform.log
    share, late_s = randoms.uniform(0.1, 0.6), randoms.uniform(0.2, 3.0)
    return Fault(
        f"{share:.0%} of appends turn up {late_s:.1f} s late",
        lambda _: log.late_appends(share, late_s),
        lambda _: log.late_appends(0.0, 0.0),
        randoms.uniform(0.5, 1.5),
    )


def _log_is_slow(field: Field, randoms: random.Random) -> Fault:
    log = field.rig.platform.log
    delay_s = randoms.uniform(0.05, 0.8)
    return Fault(
        f"log takes {delay_s:.2f} s",
        lambda _: log.slow(delay_s),
        lambda _: log.slow(0.0),
        randoms.uniform(0.5, 1.5),
    )


def _list_fails(field: Field, randoms: random.Random) -> Fault:
    instances = field.rig.platform.instances
    if randoms.random() < 0.5:
        return Fault(
            "instance list is empty",
            lambda _: instances.empty_answers(True),
            lambda _: instances.empty_answers(False),
            randoms.uniform(0.5, 2.0),
        )
    return Fault(
        "instance list is down",
        lambda _: instances.outage(True),
        lambda _: instances.outage(False),
        randoms.uniform(0.5, 2.0),
    )


def _engine_dies(field: Field, randoms: random.Random) -> Fault:
    engine_id = _engine_of(field, randoms)
    tokens = randoms.randint(1, 20)
    return Fault(
        f"{engine_id} dies after {tokens} tokens",
        lambda field: field.rig.engines.kill_after(engine_id, tokens),
    )


def _engine_stalls(field: Field, randoms: random.Random) -> Fault:
    engine_id = _engine_of(field, randoms)
    return Fault(
        f"{engine_id} stalls",
        lambda field: field.rig.engines.stall(engine_id),
        lambda field: field.rig.engines.resume(engine_id),
        randoms.uniform(0.5, 2.0),
    )


def _engine_leaves(field: Field, randoms: random.Random) -> Fault:
    engine_id = _engine_of(field, randoms)
    return Fault(f"{engine_id} leaves", lambda field: field.leave_engine(engine_id))


def _service_crashes(field: Field, randoms: random.Random) -> Fault:
    target_id = _service_of(field, randoms)
    point = randoms.choice(list(CrashPoint))
    return Fault(
        f"{target_id} crashes {point}",
        lambda field: field.rig.services.crash(target_id, point, 0.5),
        lambda field: _mend_service(field, target_id),
        randoms.uniform(0.3, 1.0),
    )


def _mend_service(field: Field, target_id: str) -> None:
    field.rig.services.crash(target_id, None)
    field.rig.services.restart(target_id)


def _service_loses_answers(field: Field, randoms: random.Random) -> Fault:
    target_id = _service_of(field, randoms)
    return Fault(
        f"{target_id} loses answers",
        lambda field: field.rig.services.lose_answers(target_id, 0.5),
        lambda field: field.rig.services.lose_answers(target_id, 0.0),
        randoms.uniform(0.3, 1.0),
    )


def _service_drains(field: Field, randoms: random.Random) -> Fault:
    target_id = _service_of(field, randoms)
    return Fault(f"{target_id} drains", lambda field: field.drain_service(target_id))


def _entry_is_killed(field: Field, randoms: random.Random) -> Fault:
    entry = randoms.choice(field.rig.deployment.entries)
    return Fault(f"{entry.id} is killed", lambda field: field.kill_entry(entry.id))


def _entry_is_replaced(field: Field, randoms: random.Random) -> Fault:
    entry = randoms.choice(field.rig.deployment.entries)
    return Fault(f"{entry.id} is replaced", lambda field: field.replace_entry(entry.id))


def _domain_is_cut_off(field: Field, randoms: random.Random) -> Fault:
    platform = field.rig.platform
    domain = randoms.choice(field.rig.deployment.domains)
    return Fault(
        f"{domain} is cut off from the platform",
        lambda _: platform.cut_off(domain, True),
        lambda _: platform.cut_off(domain, False),
        randoms.uniform(0.5, 2.0),
    )


def _operators_race(field: Field, randoms: random.Random) -> Fault:
    rates = [randoms.randint(500, 2000) for _ in range(2)]
    return Fault(
        "two operators change a limit", lambda field: field.publish_racing(rates)
    )


def _engine_of(field: Field, randoms: random.Random) -> str:
    return randoms.choice([spec.id for spec in field.rig.deployment.engine_specs()])


def _service_of(field: Field, randoms: random.Random) -> str:
    return randoms.choice([spec.id for spec in field.rig.deployment.service_specs()])
