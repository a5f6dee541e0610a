"""Tests of celeryfork_admission.crash_evidence."""

import pytest
from celeryfork_admission.crash_evidence import (
    FIRST_HOLD_S,
    MAX_HOLD_S,
    MAX_SOUND,
    MAX_TRAITS,
    MAX_VALUE_CHARS,
    PROBE_S,
    RECORD_TTL_S,
    SOUND_TTL_S,
    CrashRecord,
    TraitRecord,
    Verdict,
    make_crash_evidence,
    make_part_trait,
    make_request_trait,
)

SERVICE = "menu-plan"
DEADLY, SHARED, OTHER = (
    make_part_trait(SERVICE, name) for name in ("deadly", "shared", "other")
)
REQUEST = make_request_trait(SERVICE, "chumo", "POST", "/v1", b"body")


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class Instance:
    """Evidence with its clock and the number of its calls of ``on_change``."""

    def __init__(self, clock=None):
        self.clock = clock or Clock()
        self.evidence = make_crash_evidence(self.clock)
        self.evidence.on_change = self.count_change
        self.changes = 0
        self.runs = 0

    def count_change(self):
        self.changes += 1

    def crash(self, *traits, organisation="chumo", probe=False, run=None):
        self.runs += 1
        run = run or f"{id(self)}-{self.runs}"
        return self.evidence.record_crash(traits, run, organisation, probe=probe)

    def verdict(self, *traits, organisation="chumo"):
        return self.evidence.judge(traits, organisation).verdict

    def send_to(self, *others):
        for other in others:
            other.evidence.merge(self.evidence.records(MAX_TRAITS))


@pytest.fixture
def one():
    return Instance()


@pytest.fixture
def two(one):
    return Instance(one.clock)


def test_crash_and_crashed_probe_convict(one):
    assert one.verdict(DEADLY) is Verdict.CLEAR
    one.crash(DEADLY)
    assert one.verdict(DEADLY) is Verdict.SUSPECT
    assert one.evidence.begin_probe([DEADLY], "probe")
    one.crash(DEADLY, run="probe", probe=True)
    judgement = one.evidence.judge([OTHER, DEADLY], "chumo")
    assert judgement.verdict is Verdict.REFUSE
    assert (judgement.trait, judgement.crashes) == (DEADLY, 2)
    assert judgement.retry_after_s == FIRST_HOLD_S


def test_three_crashes_of_distinct_runs_convict(one):
    one.crash(DEADLY)
    one.crash(DEADLY)
    assert one.verdict(DEADLY) is Verdict.SUSPECT
    one.crash(DEADLY)
    assert one.verdict(DEADLY) is Verdict.REFUSE


def test_run_that_ends_several_engines_counts_once(one):
    assert one.crash(DEADLY, run="a") == (DEADLY,)
    for _ in range(5):
        assert one.crash(DEADLY, run="a") == ()
    assert one.evidence.judge([DEADLY], "chumo").crashes == 1


def test_part_seen_sound_is_not_counted_against(one):
    one.evidence.record_sound([SHARED])
    for _ in range(5):
        one.crash(DEADLY, SHARED)
    assert one.verdict(SHARED) is Verdict.CLEAR
    assert one.verdict(DEADLY) is Verdict.REFUSE


def test_sound_run_clears_parts_beside_a_deadly_one(one):
    one.crash(DEADLY, SHARED)
    one.crash(DEADLY, SHARED)
    one.evidence.record_sound([SHARED, OTHER])
    assert one.verdict(SHARED) is Verdict.CLEAR
    one.crash(DEADLY, SHARED)
    assert one.verdict(SHARED) is Verdict.CLEAR
    assert one.verdict(DEADLY) is Verdict.REFUSE


def test_run_with_a_convicted_part_counts_against_it_only(one):
    one.crash(DEADLY)
    one.crash(DEADLY, probe=True)
    assert one.crash(SHARED, DEADLY, REQUEST) == (DEADLY,)
    assert one.verdict(SHARED) is Verdict.CLEAR


def test_organisation_cannot_get_the_part_of_another_refused(one):
    for _ in range(8):
        one.crash(SHARED, organisation="mallory")
    assert one.verdict(SHARED, organisation="mallory") is Verdict.REFUSE
    assert one.verdict(SHARED, organisation="chumo") is Verdict.SUSPECT
    assert one.verdict(SHARED, organisation=None) is Verdict.SUSPECT


def test_crashes_without_an_organisation_are_not_of_a_second_one(one):
    """A caller could come with its key and without, as if it were two."""
    for organisation in ("mallory", None, "mallory", None, None):
        one.crash(SHARED, organisation=organisation)
    assert one.verdict(SHARED, organisation=None) is Verdict.REFUSE
    assert one.verdict(SHARED, organisation="chumo") is Verdict.SUSPECT


def test_crashes_of_two_organisations_convict_for_all(one):
    one.crash(DEADLY, organisation="a")
    one.crash(DEADLY, organisation="a")
    one.crash(DEADLY, organisation="b")
    assert one.verdict(DEADLY, organisation="c") is Verdict.REFUSE
    assert one.verdict(DEADLY, organisation=None) is Verdict.REFUSE


def test_part_of_another_service_is_another_trait(one):
    for _ in range(3):
        one.crash(DEADLY)
    assert one.verdict(make_part_trait("other", "deadly")) is Verdict.CLEAR


def test_conviction_holds_then_one_probe_may_run(one):
    one.crash(DEADLY)
    one.crash(DEADLY, probe=True)
    one.clock.now_s += FIRST_HOLD_S - 1
    assert one.evidence.judge([DEADLY], "chumo").retry_after_s == 1.0
    one.clock.now_s += 1
    assert one.verdict(DEADLY) is Verdict.SUSPECT
    assert one.evidence.begin_probe([DEADLY], "a")
    assert not one.evidence.begin_probe([DEADLY], "b")
    assert one.evidence.judge([DEADLY], "chumo").retry_after_s == PROBE_S
    one.evidence.record_sound([DEADLY])
    assert one.verdict(DEADLY) is Verdict.CLEAR


def test_each_crashed_probe_doubles_the_hold_up_to_a_maximum(one):
    one.crash(DEADLY)
    one.crash(DEADLY, probe=True)
    holds_s = []
    for attempt in range(12):
        hold_s = one.evidence.judge([DEADLY], "chumo").retry_after_s
        holds_s.append(hold_s)
        one.clock.now_s += hold_s
        assert one.evidence.begin_probe([DEADLY], f"probe-{attempt}")
        one.crash(DEADLY, run=f"probe-{attempt}", probe=True)
    assert holds_s == [min(FIRST_HOLD_S * 2**n, MAX_HOLD_S) for n in range(12)]


def test_crashes_of_runs_already_sent_do_not_double_the_hold(one):
    """They began before the conviction, and don't tell that it still holds."""
    one.crash(DEADLY)
    one.crash(DEADLY, probe=True)
    one.clock.now_s += 1
    for _ in range(4):
        one.crash(DEADLY)
    assert one.evidence.judge([DEADLY], "chumo").retry_after_s == FIRST_HOLD_S


def test_sound_run_discards_older_crashes_only(one, two):
    for _ in range(3):
        one.crash(DEADLY)
    one.evidence.record_sound([DEADLY])
    assert one.verdict(DEADLY) is Verdict.CLEAR
    one.clock.now_s += SOUND_TTL_S + 1
    one.crash(DEADLY)
    assert one.evidence.judge([DEADLY], "chumo").crashes == 1
    one.crash(DEADLY)
    one.crash(DEADLY)
    assert one.verdict(DEADLY) is Verdict.REFUSE


def test_old_records_expire(one):
    for _ in range(3):
        one.crash(DEADLY)
    one.clock.now_s += RECORD_TTL_S
    assert one.verdict(DEADLY) is Verdict.CLEAR
    assert one.evidence.records(MAX_TRAITS) == []
    assert one.evidence.dump() == []


def test_expired_records_of_a_peer_are_ignored(one):
    crash = CrashRecord("a", None, one.clock() - RECORD_TTL_S, False)
    one.evidence.merge([TraitRecord(DEADLY, (crash,))])
    assert one.evidence.records(MAX_TRAITS) == []


def test_memory_is_bounded_and_convictions_stay(one):
    for _ in range(3):
        one.crash(DEADLY)
    for number in range(100_000):
        one.clock.now_s += 0.01
        one.crash(make_part_trait(SERVICE, f"{number}"))
        one.evidence.record_sound([make_part_trait(SERVICE, f"sound-{number}")])
    assert len(one.evidence.records(10**6)) <= MAX_TRAITS
    assert len(one.evidence.take_changes()) <= MAX_TRAITS
    assert not one.evidence.has_unknown([make_part_trait(SERVICE, "sound-99999")])
    assert not one.evidence.has_unknown(
        [make_part_trait(SERVICE, f"sound-{100_000 - MAX_SOUND // 2}")]
    )
    assert one.verdict(make_part_trait(SERVICE, "99999")) is Verdict.SUSPECT
    assert one.verdict(make_part_trait(SERVICE, "0")) is Verdict.CLEAR
    assert one.evidence.dump()[0]["value"] == "deadly"


def test_parts_not_seen_sound_are_unknown(one):
    assert one.evidence.has_unknown([SHARED])
    one.evidence.record_sound([SHARED])
    assert not one.evidence.has_unknown([SHARED, REQUEST])
    assert one.evidence.has_unknown([SHARED, OTHER])
    one.clock.now_s += SOUND_TTL_S + 0.1
    assert one.evidence.has_unknown([SHARED])


def test_two_crashes_do_not_hinder_a_request_and_three_refuse_it(one):
    for _ in range(2):
        one.crash(REQUEST)
    assert one.verdict(REQUEST) is Verdict.CLEAR
    one.crash(REQUEST)
    assert one.verdict(REQUEST) is Verdict.REFUSE
    one.clock.now_s += FIRST_HOLD_S
    assert one.verdict(REQUEST) is Verdict.SUSPECT


def test_request_suspects_are_known_by_service(one):
    assert not one.evidence.has_request_suspects(SERVICE)
    one.crash(DEADLY)
    assert not one.evidence.has_request_suspects(SERVICE)
    one.crash(REQUEST)
    assert one.evidence.has_request_suspects(SERVICE)
    assert not one.evidence.has_request_suspects("other")
    one.evidence.record_sound([REQUEST])
    assert not one.evidence.has_request_suspects(SERVICE)


def test_fingerprint_separates_the_fields_of_a_request():
    requests = [
        (None, "GET", "/a", b""),
        ("", "GET", "/a", b""),
        ("G", "ET", "/a", b""),
        ("GET", "", "/a", b""),
        (None, "GET/", "a", b""),
        (None, "GET", "/", b"a"),
        (None, "GET", "", b"/a"),
        ("=", "GET", "/a", b""),
    ]
    traits = {make_request_trait(SERVICE, *each) for each in requests}
    assert len(traits) == len(requests)
    assert make_request_trait(SERVICE, *requests[0]) in traits


ODD_IDS = [
    "",
    "x" * 10_000,
    "x" * 10_001,
    "a\0b",
    "\r\n",
    "\ud800",
    "\udfff",
    "é",
    "a,b",
    ",",
    " ",
]


def test_odd_part_ids_make_bounded_values():
    traits = [make_part_trait(SERVICE, each) for each in ODD_IDS]
    assert len(set(traits)) == len(ODD_IDS)
    for trait in traits:
        assert 0 < len(trait.value) <= MAX_VALUE_CHARS
        assert trait.value.isascii()
        assert trait.value.isprintable()


def test_part_id_cannot_imitate_the_hash_of_another():
    odd = make_part_trait(SERVICE, "x" * 10_000)
    assert make_part_trait(SERVICE, odd.value) != odd


def test_operator_clears_a_part_everywhere(one, two):
    for _ in range(3):
        one.crash(DEADLY)
    one.send_to(two)
    assert two.verdict(DEADLY) is Verdict.REFUSE
    one.evidence.take_changes()
    assert one.evidence.clear(DEADLY)
    assert one.verdict(DEADLY) is Verdict.CLEAR
    two.evidence.merge(one.evidence.take_changes())
    assert two.verdict(DEADLY) is Verdict.CLEAR
    assert not one.evidence.clear(OTHER)


def test_instance_that_saw_a_part_sound_tells_the_peer(one, two):
    two.evidence.record_sound([SHARED])
    one.clock.now_s += 1
    one.crash(SHARED)
    assert two.changes == 0
    two.evidence.merge(one.evidence.take_changes())
    assert two.changes == 1
    assert two.verdict(SHARED) is Verdict.CLEAR
    one.evidence.merge(two.evidence.take_changes())
    assert one.verdict(SHARED) is Verdict.CLEAR
    assert not one.evidence.has_unknown([SHARED])


def test_probe_at_a_peer_is_waited_for_until_it_ends(one, two):
    one.crash(DEADLY)
    one.send_to(two)
    assert one.evidence.begin_probe([DEADLY], "a")
    two.evidence.merge(one.evidence.take_changes())
    assert not two.evidence.begin_probe([DEADLY], "b")
    one.clock.now_s += PROBE_S
    assert two.evidence.begin_probe([DEADLY], "b")


def test_ended_probe_lets_the_next_begin(one):
    one.crash(DEADLY)
    assert one.evidence.begin_probe([DEADLY, SHARED], "a")
    one.evidence.end_probe("unknown")
    assert not one.evidence.begin_probe([DEADLY], "b")
    one.evidence.end_probe("a")
    one.clock.now_s += 0.1
    assert one.evidence.begin_probe([DEADLY], "b")


def test_cut_off_instance_judges_on_what_it_has(one, two):
    one.crash(DEADLY)
    one.crash(DEADLY, probe=True)
    assert one.verdict(DEADLY) is Verdict.REFUSE
    assert two.verdict(DEADLY) is Verdict.CLEAR


def test_records_take_turns_when_there_are_more_than_the_limit(one):
    for number in range(100):
        one.clock.now_s += 1
        one.crash(make_part_trait(SERVICE, str(number)))
    newest = {record.trait.value for record in one.evidence.records(4)}
    assert {"99", "98"} < newest
    seen = set()
    for _ in range(50):
        seen |= {record.trait.value for record in one.evidence.records(4)}
    assert len(seen) == 100
