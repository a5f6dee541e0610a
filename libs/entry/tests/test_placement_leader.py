"""Who places layers, and which orders are sent."""

import asyncio
from types import SimpleNamespace

import pytest
from attrs import evolve
from celeryfork_entry import placement_leader
from celeryfork_entry.engine_checks import ANSWER_TIMEOUT_S
from celeryfork_entry.placement_leader import PlacementLeader
from celeryfork_entry.ports import EngineReport, Leadership
from celeryfork_entry.targets import Listed, Target, TargetTable
from celeryfork_routing.layers import LayerRange
from small_model import SHAPE

REPORT = EngineReport(None, 0, False, 1, 1.0, {})


class Fleet:
    """A table of engines, what they report, and the orders they got."""

    def __init__(self, *targets):
        self.table = TargetTable()
        self.table.apply([Listed(target) for target in targets])
        self.report_by_id = dict.fromkeys(self.table.by_id, REPORT)
        self.orders = []
        self.status = 202
        self.events = []
        self.leadership = PlacementLeader(
            self.table, self, self, self, self, lambda: None, planned_once=True
        )
        self.leadership.renewed(Leadership(True, 7))
        self.asked = []

    async def ask(self, target_id, timeout_s=0.05):
        self.asked.append(target_id)
        return self.report_by_id[target_id]

    async def send(self, address, order, **_):
        self.orders.append((address, *order))
        return SimpleNamespace(status=self.status, drop=lambda: None)

    def build_layer_order(self, layers, fence, expected_orders):
        return layers, fence, expected_orders

    def info(self, event, **_):
        self.events.append(event)

    def round(self):
        """Hold a round; return whether this instance has anything to place."""

        async def hold():
            await self.leadership._take_scope()
            scope = self.leadership._scope
            if scope is not None:
                await self.leadership._round("llm", SHAPE, scope)
            return scope is not None

        return asyncio.run(hold())


def engine(engine_id, held=None, domain="a"):
    address = f"{engine_id}:1"
    return Target(
        engine_id, "llm", address, domain, accelerator="card", held=held, born_ms=1
    )


def test_an_empty_engine_is_ordered_once():
    fleet = Fleet(engine("x"))
    fleet.report_by_id["x"] = evolve(REPORT, orders=3)
    fleet.round()
    fleet.round()
    ((address, layers, fence, expected),) = fleet.orders
    assert (address, fence, expected) == ("x:1", 7, 3)
    assert layers.count > 0


@pytest.mark.parametrize(
    "report", [None, evolve(REPORT, busy=True), evolve(REPORT, held=LayerRange(0, 4))]
)
def test_an_engine_that_is_busy_silent_or_not_empty_gets_no_order(report):
    fleet = Fleet(engine("x"))
    fleet.report_by_id["x"] = report
    fleet.round()
    assert fleet.orders == []
    assert "order_withheld" in fleet.events


def test_a_holder_asks_a_few_engines_at_a_time_and_has_patience():
    """Pattern: 26 engines asked at once by a weak machine, 20 silent within 50 ms."""
    fleet = Fleet(*(engine(f"x{number}") for number in range(98)))
    at_once, timeouts = [], []
    running = 0

    async def ask(target_id, timeout_s=ANSWER_TIMEOUT_S):
        nonlocal running
        running += 1
        at_once.append(running)
        timeouts.append(timeout_s)
        await asyncio.sleep(0)
        running -= 1
        return REPORT

    fleet.ask = ask
    fleet.round()
    assert len(fleet.orders) == 98
    assert max(at_once) <= 16
    assert min(timeouts) > 4 * ANSWER_TIMEOUT_S


def test_an_engine_that_refuses_an_order_may_be_ordered_again():
    fleet = Fleet(engine("x"))
    fleet.status = 409
    fleet.round()
    fleet.round()
    assert len(fleet.orders) == 2


def test_a_holder_whose_fence_is_refused_orders_no_more():
    fleet = Fleet(engine("x"))
    fleet.status = placement_leader.FORBIDDEN
    fleet.round()
    assert not fleet.round()
    assert len(fleet.orders) == 1


def test_a_holder_gives_up_when_a_peer_has_a_higher_fence():
    """Pattern: the store turns the holder away while another is elected."""
    fleet = Fleet(engine("x"))
    fleet.leadership.yield_to(6)
    assert fleet.leadership.leadership.held
    fleet.leadership.yield_to(8)
    assert not fleet.leadership.leadership.held
    assert "duty_superseded" in fleet.events


def test_a_new_holder_leaves_engines_with_layers_alone_at_first():
    fleet = Fleet(engine("x", LayerRange(0, 4)), engine("y", LayerRange(0, 4)))
    fleet.round()
    assert fleet.orders == []
    fleet.leadership._held_since_s -= placement_leader.TAKE_OVER_S + 0.1
    for engine_id in ("x", "y"):
        fleet.report_by_id[engine_id] = evolve(REPORT, held=LayerRange(0, 4))
    fleet.round()
    assert len(fleet.orders) >= 1


def test_a_silent_engines_layers_are_given_to_others_after_a_while():
    fleet = Fleet(engine("x", LayerRange(0, 4)), engine("y", LayerRange(4, 8)))
    fleet.table.apply([Listed(engine("z"))])
    fleet.report_by_id["z"] = REPORT
    fleet.table.exclude("x", "silent", -100.0)
    fleet.round()
    ((address, layers, _, _),) = fleet.orders
    assert address == "z:1"
    assert layers.first == 0


def test_a_holder_goes_on_until_it_hears_of_its_successor():
    """Pattern: troskgille-hosting trouble-3, seed 554110750578.

    The store gave the duty to a member that never heard of it, and failed itself before
    anyone else got it; for 15 s no layers were placed.
    """
    fleet = Fleet(engine("x"))
    fleet.leadership.renewed(Leadership(False, 9))
    assert fleet.leadership.leadership == Leadership(True, 7)
    assert fleet.leadership.generation == 9
    fleet.leadership.yield_to(9)
    assert not fleet.leadership.leadership.held


def test_a_holder_gives_up_if_the_store_goes_on_naming_another(monkeypatch):
    fleet, clock = Fleet(engine("x")), SimpleNamespace(now_s=100.0)
    monkeypatch.setattr(placement_leader.time, "monotonic", lambda: clock.now_s)
    fleet.leadership.renewed(Leadership(False, 9))
    clock.now_s += placement_leader.HANDOVER_S / 2
    fleet.leadership.not_renewed()
    clock.now_s += placement_leader.HANDOVER_S
    fleet.leadership.renewed(Leadership(False, 9))
    assert fleet.leadership.leadership.held
    clock.now_s += placement_leader.HANDOVER_S
    fleet.leadership.renewed(Leadership(False, 9))
    assert not fleet.leadership.leadership.held


def test_a_holder_that_is_named_again_keeps_on():
    fleet = Fleet(engine("x"))
    fleet.leadership.renewed(Leadership(False, 9))
    fleet.leadership.renewed(Leadership(True, 10))
    assert fleet.leadership.leadership == Leadership(True, 10)
    assert "duty_changed" not in fleet.events[1:]


def test_engines_under_orders_are_asked_what_they_hold_while_the_list_is_old():
    """Pattern: engines shift as the store goes away, and no entry tells the outcome."""
    fleet = Fleet(engine("x"))
    fleet.round()
    assert fleet.asked == ["x"]
    fleet.round()
    assert fleet.asked == ["x"]
    fleet.table.list_is_stale = True
    fleet.round()
    assert fleet.asked == ["x", "x"]


def test_an_engine_is_asked_for_the_outcome_when_its_load_should_be_over(monkeypatch):
    """Pattern: repairs in two steps, of which the second waits for the list's lag."""
    clock = SimpleNamespace(now_s=100.0)
    monkeypatch.setattr(placement_leader.time, "monotonic", lambda: clock.now_s)
    fleet = Fleet(engine("x", LayerRange(0, 8)), engine("y"))
    fleet.round()
    assert fleet.asked == ["y"]
    ((_, layers, _, _),) = fleet.orders
    load_s = SHAPE.load_s * layers.count / SHAPE.layers
    clock.now_s += load_s * 0.9
    fleet.round()
    assert fleet.asked == ["y"]
    clock.now_s += load_s * 0.2
    fleet.round()
    assert fleet.asked == ["y", "y"]


def stand_in(fleet, fence_heard=9):
    """Let the instance give up the duty, and stand in for its domain."""
    fleet.leadership.yield_to(8)
    fleet.leadership.stand_in = SimpleNamespace(acts=lambda: True, domain="a")
    fleet.leadership.fence_heard = lambda: fence_heard


def cut_off_fleet():
    """Return domain a with half of its layers lost, and domain b without any."""
    fleet = Fleet(
        engine("a1", LayerRange(4, 8)),
        engine("a2", LayerRange(4, 8)),
        engine("b1", domain="b"),
        engine("b2", LayerRange(4, 8), domain="b"),
    )
    for engine_id, target in fleet.table.by_id.items():
        fleet.report_by_id[engine_id] = evolve(REPORT, held=target.held)
    return fleet


def test_who_stands_in_repairs_its_own_domain_with_the_last_fence_heard():
    """Pattern: a domain is cut off with a gap in its copy, and the store is away."""
    fleet = cut_off_fleet()
    stand_in(fleet)
    fleet.round()
    ((address, layers, fence, _),) = fleet.orders
    assert address in {"a1:1", "a2:1"}
    assert (layers, fence) == (LayerRange(0, 4), 9)
    assert "stands_in" in fleet.events


def test_who_stands_in_first_asks_all_engines_of_its_domain():
    """Those that were moved as the store went away hold other layers than listed."""
    fleet = cut_off_fleet()
    stand_in(fleet)
    asyncio.run(fleet.leadership._take_scope())
    assert set(fleet.asked) == {"a1", "a2"}


def test_a_domain_too_small_for_a_copy_is_left_as_it_is():
    fleet = cut_off_fleet()
    fleet.table.forget("a2")
    stand_in(fleet)
    small = evolve(SHAPE, layer_mb=300.0)
    asyncio.run(fleet.leadership._take_scope())
    asyncio.run(fleet.leadership._round("llm", small, fleet.leadership._scope))
    assert fleet.orders == []


def test_who_stands_in_stops_when_an_engine_has_seen_a_higher_fence():
    fleet = cut_off_fleet()
    stand_in(fleet)
    fleet.status = placement_leader.FORBIDDEN
    assert fleet.round()
    assert not fleet.round()
    assert "stands_in_no_more" in fleet.events


def test_an_instance_that_never_heard_a_fence_does_not_stand_in():
    fleet = Fleet(engine("a1"))
    fleet.leadership.generation = -1
    stand_in(fleet, fence_heard=-1)
    assert not fleet.round()


def test_the_layers_of_an_engine_that_says_it_leaves_are_given_to_others():
    """Pattern: engines drain while the store is away."""
    first, last = LayerRange(0, 4), LayerRange(4, 8)
    held_by_id = {"x": first, "y": last, "spare": last}
    fleet = Fleet(*(engine(each, held) for each, held in held_by_id.items()))
    for each, held in held_by_id.items():
        fleet.report_by_id[each] = evolve(REPORT, held=held)
    fleet.leadership._held_since_s -= placement_leader.TAKE_OVER_S + 0.1
    fleet.round()
    assert fleet.orders == []
    fleet.table.mark_leaving("x", 100.0)
    fleet.round()
    ((address, layers, _, _),) = fleet.orders
    assert address in {"y:1", "spare:1"}
    assert layers == first
