"""Tests of celeryfork_admission.crash_evidence."""

import itertools

import pytest
from attrs import evolve
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
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

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

    def crash(self, *traits, organisation="chumo", probe=False, run=None, end=None):
        self.runs += 1
        run = run or f"{id(self)}-{self.runs}"
        return self.evidence.record_crash(
            traits, run, organisation, probe=probe, engine_end=end
        )

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


def test_end_of_an_engine_counts_once_at_all_instances(one, two):
    """Many runs begin to write on one engine, but its end proves little."""
    for instance in (one, two):
        for _ in range(10):
            instance.crash(SHARED, end="engine/1")
            one.clock.now_s += 0.001
    one.send_to(two)
    two.send_to(one)
    for instance in (one, two):
        judgement = instance.evidence.judge([SHARED], "chumo")
        assert (judgement.verdict, judgement.crashes) == (Verdict.SUSPECT, 1)
    two.crash(SHARED, end="engine/1", probe=True)
    two.send_to(one)
    one.crash(SHARED, end="engine/2")
    assert one.verdict(SHARED) is Verdict.REFUSE


def test_end_of_an_engine_is_no_evidence_of_two_organisations(one):
    """Whoever crashes an engine must not get the other callers on it refused."""
    for organisation in ("mallory", "chumo", "wanjiru"):
        one.crash(SHARED, organisation=organisation, end="engine/1")
    one.crash(SHARED, organisation="chumo", probe=True, end="engine/2")
    assert one.verdict(SHARED, organisation="wanjiru") is Verdict.SUSPECT


def test_run_counts_once_though_the_ends_of_its_engines_differ(one):
    assert one.crash(DEADLY, run="a", end="engine/1") == (DEADLY,)
    assert one.crash(DEADLY, run="a", end="engine/2") == ()
    assert one.crash(DEADLY, OTHER, run="a", end="engine/2") == (OTHER,)


def test_parts_convicted_together_are_told_apart_by_a_probe(one):
    """Nothing sound has run yet; the innocent part must not wait for its hold."""
    one.crash(DEADLY, SHARED)
    one.crash(DEADLY, SHARED, probe=True)
    one.clock.now_s += 0.1
    assert one.verdict(DEADLY, SHARED) is Verdict.REFUSE
    assert one.verdict(SHARED, OTHER) is Verdict.SUSPECT
    assert one.evidence.begin_probe([SHARED, OTHER], "probe")
    assert not one.evidence.begin_probe([SHARED, OTHER], "second")
    one.evidence.record_sound([SHARED, OTHER])
    assert one.verdict(SHARED) is Verdict.CLEAR
    assert one.verdict(DEADLY) is Verdict.REFUSE


def test_crashed_probe_leaves_a_part_without_another_explanation(one):
    one.crash(DEADLY, SHARED)
    one.crash(DEADLY, SHARED, probe=True)
    assert one.crash(DEADLY, OTHER, probe=True) == (DEADLY,)
    assert one.verdict(DEADLY, OTHER) is Verdict.REFUSE
    assert one.verdict(SHARED, OTHER) is Verdict.CLEAR


def test_parts_on_the_same_crashed_engines_are_told_apart_by_a_probe(one):
    """Runs of another caller began to write on each engine that the part ended."""
    for end, probe in (("engine/1", False), ("engine/2", True)):
        one.crash(OTHER, organisation="b", end=end, probe=probe)
        one.crash(DEADLY, organisation="a", end=end, probe=probe)
        one.clock.now_s += 0.1
    assert one.verdict(OTHER, organisation="b") is Verdict.SUSPECT
    assert one.verdict(DEADLY, organisation="a") is Verdict.SUSPECT
    one.crash(DEADLY, organisation="a", end="engine/3", probe=True)
    assert one.verdict(OTHER, organisation="b") is Verdict.CLEAR
    assert one.verdict(DEADLY, organisation="a") is Verdict.REFUSE


def test_crashes_that_a_convicted_part_explains_do_not_count_against_others(one):
    """Requests of an engine that ended start again on the next one that ends.

    In a play they were convicted with the part: some forty parts of sound requests.
    """
    one.crash(DEADLY, end="engine/1")
    one.crash(OTHER, end="engine/1")
    one.crash(OTHER, end="engine/2", probe=True)
    one.crash(DEADLY, end="engine/2")
    one.crash(DEADLY, end="engine/3", probe=True)
    assert one.verdict(DEADLY) is Verdict.REFUSE
    assert one.verdict(OTHER) is Verdict.CLEAR
    one.crash(OTHER, end="engine/4")
    assert one.verdict(OTHER) is Verdict.SUSPECT
    one.crash(OTHER, end="engine/5", probe=True)
    assert one.verdict(OTHER) is Verdict.REFUSE


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


def test_suspects_of_one_crash_are_probed_one_after_the_other(one, two):
    """On one engine, the deadly one would end the probes of the others."""
    one.crash(DEADLY, SHARED)
    one.crash(OTHER)
    assert one.evidence.begin_probe([DEADLY], "a")
    one.send_to(two)
    for instance in (one, two):
        assert not instance.evidence.begin_probe([SHARED], "b")
        assert instance.evidence.judge([SHARED], "chumo").retry_after_s == PROBE_S
    assert one.evidence.begin_probe([OTHER], "c")
    one.evidence.end_probe("a")
    one.clock.now_s += 0.1
    assert one.evidence.begin_probe([SHARED], "b")


def test_part_that_shares_every_crash_of_the_cause_does_not_hide_it(one):
    """They would explain each other for ever, and each probe would end an engine."""
    for number in range(3):
        end, probe = f"engine/{number}", number > 0
        one.crash(OTHER, organisation="b", end=end, probe=probe)
        one.crash(DEADLY, organisation="a", end=end, probe=probe)
        one.clock.now_s += 0.1
    assert one.verdict(DEADLY, organisation="a") is Verdict.REFUSE
    one.evidence.record_sound([OTHER])
    assert one.verdict(OTHER, organisation="b") is Verdict.CLEAR


def test_organisation_of_a_crash_does_not_depend_on_the_order_of_messages(one, two):
    for instance, organisation in ((one, "b"), (two, "a")):
        instance.crash(DEADLY, organisation=organisation, end="engine/1")
    one.send_to(two)
    two.send_to(one)
    for instance in (one, two):
        (record,) = instance.evidence.records(MAX_TRAITS)
        assert [each.organisation for each in record.crashes] == ["a"]


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


CRASHES = [
    CrashRecord(f"run-{n}", [None, "a", "b"][n % 3], 1000.0 + 7 * n, n % 4 == 0)
    for n in range(24)
]
WHOLE_SECONDS = st.none() | st.integers(930, 1200).map(float)
"""Times closer than ``ECHO_S`` are taken for one, and may be merged in any way."""
RECORDS = st.builds(
    TraitRecord,
    st.sampled_from([DEADLY, REQUEST]),
    st.lists(st.sampled_from(CRASHES), unique=True, max_size=8).map(
        lambda crashes: tuple(sorted(crashes, key=lambda each: each.at_s))
    ),
    WHOLE_SECONDS,
    WHOLE_SECONDS,
)


def merged(records):
    instance = Instance()
    instance.clock.now_s = 1200.0
    for record in records:
        instance.evidence.merge([record])
    return sorted(
        instance.evidence.records(MAX_TRAITS), key=lambda each: each.trait.value
    )


@given(st.lists(RECORDS, max_size=8), st.randoms(use_true_random=False))
@settings(deadline=None)
def test_merge_is_commutative_associative_and_idempotent(records, rng):
    shuffled = [*records, *rng.choices(records, k=4)] if records else []
    rng.shuffle(shuffled)
    expected = merged(records)
    assert merged(shuffled) == expected
    assert merged([*expected, *records]) == expected
    half = len(shuffled) // 2
    assert merged([*merged(shuffled[:half]), *merged(shuffled[half:])]) == expected


NUMBERS = st.integers(0, 2)
SOME_TRAITS = st.lists(
    st.sampled_from([DEADLY, SHARED, OTHER, REQUEST]), min_size=1, unique=True
)
STEPS = st.one_of(
    st.tuples(
        st.just("crash"),
        NUMBERS,
        SOME_TRAITS,
        st.sampled_from([None, "a", "b"]),
        st.booleans(),
        st.none() | st.sampled_from(["engine/1", "engine/2", "engine/3"]),
    ),
    st.tuples(st.just("sound"), NUMBERS, SOME_TRAITS),
    st.tuples(st.just("probe"), NUMBERS, SOME_TRAITS),
    st.tuples(st.just("wait"), st.integers(1, 90)),
    st.tuples(st.just("send"), NUMBERS),
    st.tuples(st.just("receive"), NUMBERS, st.integers(0, 9)),
)


def play(instances, steps):
    """Play crashes, sound runs, probes and messages; some of these never arrive."""
    messages = []
    for number, step in enumerate(steps):
        match step:
            case "crash", who, traits, organisation, probe, end:
                one = instances[who]
                one.crash(*traits, organisation=organisation, probe=probe, end=end)
            case "sound", who, traits:
                instances[who].evidence.record_sound(traits)
            case "probe", who, traits:
                instances[who].evidence.begin_probe(traits, f"probe-{number}")
            case "wait", seconds:
                instances[0].clock.now_s += seconds
            case "send", who:
                evidence = instances[who].evidence
                messages.append(evidence.take_changes() or evidence.records(2))
            case "receive", who, which if messages:
                instances[who].evidence.merge(messages[which % len(messages)])


def judgements(instance):
    """Return the judgements that all instances with the same records share."""
    found = []
    for size in (1, 2):
        for traits in itertools.combinations([DEADLY, SHARED, OTHER, REQUEST], size):
            for organisation in (None, "a", "b", "c"):
                judgement = instance.evidence.judge(traits, organisation)
                if judgement.verdict is not Verdict.REFUSE:
                    # The end of its own probe is known to an instance alone.
                    judgement = evolve(
                        judgement, trait=None, retry_after_s=0, crashes=0
                    )
                found.append(judgement)
    return found


@given(st.lists(STEPS, max_size=60))
@settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
def test_instances_agree_once_all_records_are_exchanged(steps):
    instances = [Instance()]
    instances += [Instance(instances[0].clock) for _ in range(2)]
    play(instances, steps)
    for _ in range(2):
        for one, other in itertools.permutations(instances, 2):
            one.send_to(other)
    expected = judgements(instances[0])
    assert all(judgements(each) == expected for each in instances)
    late_joiner = Instance(instances[0].clock)
    instances[1].send_to(late_joiner)
    assert judgements(late_joiner) == expected


def test_part_that_turns_deadly_is_refused_though_it_was_sound_before(one):
    """As after a change of the engines' software, on which the part crashes them."""
    one.evidence.record_sound([DEADLY])
    crashes = 0
    while crashes < 20 and one.verdict(DEADLY) is not Verdict.REFUSE:
        one.clock.now_s += 0.5
        one.crash(DEADLY, end=f"engine-{crashes}")
        crashes += 1
    assert crashes <= 5
