"""Exchange of crash evidence by instances of three domains."""

import asyncio
import time

import pytest
from attrs import evolve
from celeryfork_admission.crash_evidence import (
    CrashRecord,
    Trait,
    TraitKind,
    TraitRecord,
    make_part_trait,
)
from celeryfork_entry.crash_exchange import (
    FOLLOWER_PATIENCE,
    MAX_TRACKED,
    RELAY_PATIENCE,
    REPORTS_PER_RECORD,
    CrashExchange,
)
from celeryfork_entry.peer_messages import MAX_CRASH_RECORDS
from celeryfork_entry.peer_protocol import (
    CRASH_INTERVAL_S,
    CRASH_RESEND_BYTES,
    CRASH_RESEND_PERIOD,
    MAX_DATAGRAM_BYTES,
)
from celeryfork_entry.roster import RELAYS_PER_DOMAIN
from celeryfork_routing.engine_loads import LayerPath, Load, Part
from celeryfork_routing.layers import LayerRange
from crash_fleet import DOMAINS, PART, Fleet
from orjson import dumps

HEADER_BYTES = 500
"""Bound of the fields of a digest without loads and evidence."""
OTHERS = len(DOMAINS) - 1


@pytest.mark.parametrize("reporter", ["a1", "a2", "a6"])
def test_new_evidence_reaches_all_instances_at_once(reporter):
    """Five crashes come within 1 to 3 s: evidence that waits for reports is late."""
    fleet = Fleet()

    async def work():
        fleet[reporter].crash()
        await fleet.settle()
        assert fleet.suspecting() == fleet.names()
        # To the own relays, once through the domain, and once through each other one.
        assert max(each.hops for each in fleet) <= 3

    fleet.run(work())


@pytest.mark.parametrize(
    "lost",
    [
        lambda sender, receiver: True,
        lambda sender, receiver: sender == "a6",
        lambda sender, receiver: receiver == "a5",
        lambda sender, receiver: receiver == "a1",
        lambda sender, receiver: sender[0] != receiver[0],
        lambda sender, receiver: sender[0] == "b",
    ],
    ids=["all", "sender", "follower", "lead", "between-domains", "in-a-domain"],
)
def test_evidence_survives_the_loss_of_the_first_datagrams(lost):
    """A lost datagram would leave an instance ignorant, which then crashes engines."""
    fleet = Fleet(is_lost=lost)

    async def work():
        fleet["a6"].crash()
        await fleet.settle()
        assert fleet.suspecting() != fleet.names()
        fleet.is_lost = lambda sender, receiver: False
        await fleet.report(CRASH_RESEND_PERIOD + 1)
        assert fleet.suspecting() == fleet.names()

    fleet.run(work())


def test_evidence_that_is_lost_often_arrives_in_the_end():
    """Evidence that is sent again once only is lost where half the datagrams are."""
    count = iter(range(10**6))
    fleet = Fleet(is_lost=lambda sender, receiver: next(count) % 2 == 0)

    async def work():
        fleet["a6"].crash()
        await fleet.report(4 * CRASH_RESEND_PERIOD)
        assert fleet.suspecting() == fleet.names()

    fleet.run(work())


def test_a_second_crash_survives_the_loss_of_its_first_datagrams():
    """What the relays repeat of a part may lack the crash that convicts it."""
    fleet = Fleet()

    async def work():
        fleet["a6"].crash()
        await fleet.report(CRASH_RESEND_PERIOD)
        fleet.is_lost = lambda sender, receiver: True
        fleet["a6"].crash(run="r2")
        await fleet.settle()
        fleet.is_lost = lambda sender, receiver: False
        await fleet.report(CRASH_RESEND_PERIOD + 1)
        for each in fleet:
            assert each.evidence.judge([PART], None).crashes == 2

    fleet.run(work())


def test_a_late_joiner_learns_the_evidence_within_the_resend_interval():
    """An instance that starts in an incident would send the part to engines again."""
    fleet = Fleet()
    late = fleet.by_address.pop(fleet["b6"].own.address).own

    async def work():
        fleet["a6"].crash()
        await fleet.settle()
        await fleet.report(3)
        fleet.start(late)
        await fleet.report(CRASH_RESEND_PERIOD)
        assert fleet["b6"].suspects()

    fleet.run(work())


@pytest.mark.parametrize(
    ("name", "reports"),
    [
        ("a6", CRASH_RESEND_PERIOD),
        ("a2", CRASH_RESEND_PERIOD),
        ("b5", CRASH_RESEND_PERIOD),
        # No relay ranks before these, so that the others wait for their silence.
        ("a1", RELAY_PATIENCE + REPORTS_PER_RECORD + 2),
        ("b1", RELAY_PATIENCE + REPORTS_PER_RECORD + 2),
    ],
)
def test_an_instance_that_restarted_learns_the_evidence_again(name, reports):
    """A conviction that ends with a restart lets the part crash engines again."""
    fleet = Fleet()

    async def work():
        fleet["a6"].crash()
        await fleet.settle()
        await fleet.report(CRASH_RESEND_PERIOD)
        fleet.start(fleet[name].own)
        await fleet.report(reports)
        assert fleet.suspecting() == fleet.names()

    fleet.run(work())


def test_evidence_survives_the_restart_of_all_relays():
    """Relays of a domain may be replaced together, and only followers know it then."""
    fleet = Fleet()

    async def work():
        fleet["a6"].crash()
        await fleet.settle()
        await fleet.report(CRASH_RESEND_PERIOD)
        for each in fleet:
            if each.own.name != "a5":
                fleet.start(each.own)
        await fleet.report(FOLLOWER_PATIENCE + REPORTS_PER_RECORD + 2)
        assert fleet.suspecting() == fleet.names()

    fleet.run(work())


def test_one_crash_causes_a_bounded_number_of_datagrams():
    """Relays that pass on what they passed on before send to each other for ever."""
    fleet = Fleet()

    async def work():
        fleet["a6"].crash()
        await fleet.settle()
        in_domain = RELAYS_PER_DOMAIN * (fleet.size - 1)
        between = RELAYS_PER_DOMAIN * RELAYS_PER_DOMAIN * OTHERS
        most = RELAYS_PER_DOMAIN + in_domain * len(DOMAINS) + between
        assert len(fleet.sent) <= most
        fleet["a6"].evidence.on_change()
        await fleet.settle()
        assert len(fleet.sent) <= most

    fleet.run(work())


def test_what_is_sent_again_does_not_grow_while_datagrams_take_time():
    """Each message makes a mark newer by its transit; taken for news, it is sent on by
    whoever hears it, and again by the next."""
    fleet = Fleet(latency_s=0.003)

    async def work():
        fleet["b5"].evidence.record_sound([PART])
        fleet["a6"].crash()
        other = make_part_trait("llm", "other")
        for n, name in enumerate(("a6", "b6", "c2")):
            fleet[name].crash(other, run=f"r{n}")
        fleet["c6"].evidence.begin_probe([other], "probe")
        await fleet.report(2 * CRASH_RESEND_PERIOD)
        counts = []
        for _ in range(3):
            fleet.sent.clear()
            await fleet.report(CRASH_RESEND_PERIOD)
            counts.append(len(fleet.sent))
        by_leads = len(DOMAINS) * (fleet.size - 1 + OTHERS)
        assert counts == [by_leads] * 3

    fleet.run(work())


def test_nothing_is_sent_without_evidence():
    """On an ordinary day the messages of 690 instances shall not cost more."""
    fleet = Fleet()

    async def work():
        await fleet.report(2 * CRASH_RESEND_PERIOD)
        assert fleet.sent == []

    fleet.run(work())


def test_nothing_is_sent_again_once_all_is_cleared():
    """Cleared parts would be sent for two hours after each crash of an engine."""
    fleet = Fleet()

    async def work():
        fleet["a6"].crash()
        await fleet.report(CRASH_RESEND_PERIOD)
        fleet["c5"].evidence.record_sound([PART])
        await fleet.settle()
        assert fleet.suspecting() == set()
        fleet.sent.clear()
        await fleet.report(3 * CRASH_RESEND_PERIOD)
        assert fleet.sent == []

    fleet.run(work())


@pytest.mark.parametrize("name", ["a1", "a5", "b1", "b6"])
def test_an_instance_that_missed_the_clearing_learns_it(name):
    """It would go on to refuse a sound part for an hour."""
    fleet = Fleet()

    async def work():
        fleet["a6"].crash()
        await fleet.report(CRASH_RESEND_PERIOD)
        fleet.is_lost = lambda sender, receiver: receiver == name
        fleet["c5"].evidence.record_sound([PART])
        await fleet.settle()
        assert fleet.suspecting() == {name}
        fleet.is_lost = lambda sender, receiver: False
        await fleet.report(FOLLOWER_PATIENCE + REPORTS_PER_RECORD + 2)
        assert fleet.suspecting() == set()

    fleet.run(work())


@pytest.mark.parametrize("knower", ["a1", "a5", "b2", "c6"])
def test_a_peer_that_knows_the_part_sound_answers_at_once(knower):
    """Parts that all requests share are on each crashed engine: without an answer they
    stay suspected where they were not seen sound."""
    fleet = Fleet()

    async def work():
        fleet[knower].evidence.record_sound([PART])
        fleet["a6"].crash()
        await fleet.settle()
        assert fleet.suspecting() == set()

    fleet.run(work())


def test_answers_of_many_instances_are_passed_on_once():
    """Each of a domain's instances may know the part sound, and each one answers."""
    fleet = Fleet(size=12)

    async def work():
        for each in fleet:
            if each.own.name != "a12":
                each.evidence.record_sound([PART])
        fleet["a12"].crash()
        await fleet.settle()
        assert fleet.suspecting() == set()
        by_pair = {}
        for sender, receiver, _ in fleet.sent:
            by_pair[sender, receiver] = by_pair.get((sender, receiver), 0) + 1
        assert max(by_pair.values()) <= 2

    fleet.run(work())


def test_evidence_stays_in_a_domain_that_is_cut_off_and_is_exchanged_afterwards():
    """Both sides judge by what they have seen, and neither forgets it at the end."""
    fleet = Fleet()
    far = make_part_trait("llm", "far")

    async def work():
        fleet.is_cut = lambda sender, receiver: (
            (sender[0] == "a") != (receiver[0] == "a")
        )
        fleet["a6"].crash()
        fleet["b6"].crash(far, run="r2")
        await fleet.report(CRASH_RESEND_PERIOD)
        assert fleet.suspecting() == fleet.names("a")
        assert fleet.suspecting(far) == fleet.names("b", "c")
        fleet.is_cut = lambda sender, receiver: False
        await fleet.report(CRASH_RESEND_PERIOD + 1)
        assert fleet.suspecting() == fleet.suspecting(far) == fleet.names()

    fleet.run(work())


def test_a_clearing_during_a_cut_reaches_the_other_side_afterwards():
    """Otherwise a domain goes on to suspect a part that the others know to be sound."""
    fleet = Fleet()

    async def work():
        fleet["a6"].crash()
        await fleet.report(CRASH_RESEND_PERIOD)
        fleet.is_cut = lambda sender, receiver: (
            (sender[0] == "a") != (receiver[0] == "a")
        )
        fleet["b6"].evidence.clear(PART)
        await fleet.report(2)
        assert fleet.suspecting() == fleet.names("a")
        fleet.is_cut = lambda sender, receiver: False
        await fleet.report(CRASH_RESEND_PERIOD + 1)
        assert fleet.suspecting() == set()

    fleet.run(work())


def test_a_second_crash_is_announced_at_once():
    """A part is convicted by its second or third crash, not by its first."""
    fleet = Fleet()

    async def work():
        for n, name in enumerate(("a6", "b5", "c4")):
            fleet[name].crash(run=f"r{n}", organisation=f"o{n}")
            await fleet.settle()
            for each in fleet:
                assert each.evidence.judge([PART], None).crashes == n + 1

    fleet.run(work())


def test_a_probe_is_announced_at_once():
    """A second probe elsewhere crashes a second engine for the same knowledge."""
    fleet = Fleet()

    async def work():
        fleet["a6"].crash()
        await fleet.settle()
        assert fleet["c5"].evidence.begin_probe([PART], "probe")
        await fleet.settle()
        for each in fleet:
            if each.own.name != "c5":
                assert not each.evidence.begin_probe([PART], "another")

    fleet.run(work())


def test_a_crash_found_by_many_instances_is_passed_on_in_few_messages():
    """Many instances have runs on an engine, and find its end within some ms."""
    fleet = Fleet(size=16)

    async def work():
        begun_s = time.monotonic()
        for n in range(4, 17):
            fleet[f"a{n}"].crash(make_part_trait("llm", f"part-{n}"), run=f"r{n}")
            await asyncio.sleep(0.001)
        await fleet.settle()
        took_s = time.monotonic() - begun_s
        sent = [pair for *pair, _ in fleet.sent if pair == ["a1", "b1"]]
        assert 0 < len(sent) <= 2 + took_s / CRASH_INTERVAL_S

    fleet.run(work())


@pytest.mark.parametrize("deaf", ["b1", "b2", "b3"])
def test_evidence_is_sent_again_to_the_relays_of_a_domain_in_turn(deaf):
    """One relay that gets nothing would keep its whole domain ignorant."""
    fleet = Fleet(is_lost=lambda sender, receiver: sender[0] != receiver[0])

    async def work():
        fleet["a6"].crash()
        await fleet.settle()
        assert fleet.suspecting() == fleet.names("a")
        fleet.is_lost = lambda sender, receiver: receiver == deaf and sender[0] != "b"
        await fleet.report(3 * CRASH_RESEND_PERIOD)
        assert fleet.suspecting() == fleet.names()

    fleet.run(work())


def test_the_number_of_records_sent_again_follows_their_size():
    """Records cut off a message each time would never come to their turn; and after
    large ones few small ones would be sent for ever."""
    peers = Fleet(size=1)["a1"].peers
    crash = CrashRecord("r" * 100, "o" * 100, 1.0, False)
    records = [
        TraitRecord(make_part_trait("llm", f"p{n}"), (crash,)) for n in range(100)
    ]
    asked = []

    def select(limit):
        asked.append(limit)
        return records[:limit]

    peers.crashes = select
    for _ in range(4):
        sent = peers._crashes_due()
    assert len(sent) == asked[-1] < MAX_CRASH_RECORDS
    small = evolve(crash, run="r", organisation=None)
    records[:] = [evolve(each, crashes=(small,)) for each in records]
    for _ in range(4):
        sent = peers._crashes_due()
    assert len(sent) == asked[-1] == MAX_CRASH_RECORDS


def test_much_evidence_is_sent_in_turns_within_its_bounds():
    """An engine's crash gives a record for each of its runs; a digest of all of them
    would be dropped for its size, or take more than the 4 KB/s for control."""
    fleet = Fleet(size=4)
    parts = [make_part_trait("llm", f"{n:064}") for n in range(150)]

    async def work():
        fleet["a4"].crash(*parts, run="r" * 60)
        await fleet.settle()
        assert all(fleet.suspecting(part) == fleet.names() for part in parts), "at once"
        late = fleet.start(fleet["b4"].own)
        fleet.sent.clear()
        for _ in range(60):
            await fleet.report(CRASH_RESEND_PERIOD)
            if all(late.suspects(part) for part in parts):
                break
        assert all(late.suspects(part) for part in parts), "in turns"
        to_late = [f for _, receiver, f in fleet.sent if receiver == "b4"]
        for fields in to_late:
            assert len(fields["crashes"]) <= MAX_CRASH_RECORDS
            assert len(dumps(fields["crashes"])) <= CRASH_RESEND_BYTES
            assert len(dumps(fields)) <= CRASH_RESEND_BYTES + HEADER_BYTES

    fleet.run(work())


def test_large_records_fit_into_a_datagram():
    """A datagram above the bound is dropped, and with it the evidence for good."""
    fleet = Fleet(size=4)
    parts = [make_part_trait("s" * 200, f"part-{n}") for n in range(40)]

    async def work():
        for run in range(8):
            fleet["a4"].crash(*parts, run=f"{run}" * 200, organisation="o" * 200)
        await fleet.settle()
        for part in parts:
            assert fleet.suspecting(part) == fleet.names()
        assert max(len(dumps(f)) for _, _, f in fleet.sent) <= MAX_DATAGRAM_BYTES

    fleet.run(work())


def test_names_that_peers_would_reject_do_not_stop_reports():
    """A peer drops a whole datagram for one malformed row, and with it the loads."""
    fleet = Fleet(size=4)

    async def work():
        fleet["a4"].crash(make_part_trait("s" * 300, "x"))
        fleet["a4"].crash(make_part_trait("llm", "y"), organisation="\ud800")
        fleet["a4"].crash(run="r3")
        await fleet.report(2 * CRASH_RESEND_PERIOD)
        assert fleet.suspecting() == fleet.names()
        assert all(each.peers._unreadable_count == 0 for each in fleet)

    fleet.run(work())


def test_evidence_changes_no_load():
    """A digest without loads and a report beside the regular ones shall not be taken
    for the end of all work."""
    fleet = Fleet()
    path = LayerPath((Part("i-1", "a:1", LayerRange(0, 4)),))

    def known_loads():
        now_s = time.monotonic()
        return [e.peers._loads.total_loads(now_s).get("i-1", Load()) for e in fleet]

    async def work():
        for each in fleet:
            each.peers._loads.begin(path, 10)
        await fleet.report(8)
        before = known_loads()
        assert {load.requests for load in before} == {len(fleet.names())}
        fleet["a6"].crash()
        await fleet.settle()
        assert known_loads() == before

    fleet.run(work())


def test_the_memory_of_the_exchange_is_bounded():
    """Parts are named by callers, who can name new ones without end."""
    exchange = CrashExchange()
    for n in range(MAX_TRACKED + 100):
        trait = Trait("llm", TraitKind.PART, f"p{n}")
        record = TraitRecord(trait, (CrashRecord("r", None, 1.0, False),))
        exchange.record_domain_digest([record], n, is_relay=False)
        exchange.record_remote_digest([record])
        assert exchange.lacking_in_domain([record]) == []
    for known in (exchange._domain, exchange._others, exchange._heard):
        assert len(known) == MAX_TRACKED
