"""Round trip of peer datagrams, and rejection of malformed ones."""

import asyncio
import time
from math import inf, isfinite

import pytest
from attrs import evolve
from celeryfork_admission.crash_evidence import (
    MAX_CRASHES,
    MAX_VALUE_CHARS,
    CrashRecord,
    Trait,
    TraitKind,
    TraitRecord,
)
from celeryfork_entry.engine_limits import EngineLimit
from celeryfork_entry.engine_speeds import Speed
from celeryfork_entry.peer_messages import (
    MAX_CRASH_RECORDS,
    MAX_NAME_CHARS,
    MemberReport,
    RelayDigest,
    decode,
    encode_digest,
    encode_report,
)
from celeryfork_entry.peer_protocol import IDLE_REPORT_PERIOD, PeerProtocol
from celeryfork_entry.permit_messages import TRANSIT_S
from celeryfork_entry.ports import Peer
from celeryfork_entry.roster import Roster
from celeryfork_entry.target_health import ReportedLayers
from celeryfork_routing.engine_loads import EngineLoads, Load
from celeryfork_routing.layers import LayerRange
from fuzzing import altered, any_json, examples
from hypothesis import given
from hypothesis import strategies as st
from logbook import Logger
from orjson import dumps, loads
from peer_datagrams import DIGEST, NOW_S, REPORT, stopped_clock

OWN = Peer("west-8", "west", "10.1.0.8:7")
LARGEST = (1 << 63) - 1
"""Largest integer in a datagram: 64 bits, signed."""
ROUNDING_S = 0.0011
"""Tolerance in seconds for rounding up or down to ms."""
names = st.text(min_size=1, max_size=8)
hosts = st.text("0123456789abcXYZ.:-[]_", min_size=1, max_size=8)
numbers = st.integers(0, LARGEST)
starts = st.none() | numbers
ages_s = st.floats(0, 3600)
loads_by_engine = st.dictionaries(
    names, st.builds(Load, numbers, st.integers(0, 1 << 50).map(float)), max_size=3
)
ranges = st.tuples(st.integers(0, 500), st.integers(1, 500)).map(
    lambda pair: LayerRange(pair[0], pair[0] + pair[1])
)


def at_age(age_s):
    return NOW_S - age_s


learnt = st.builds(
    ReportedLayers, st.none() | ranges, starts, ages_s.map(at_age), own=st.just(False)
)
speeds = st.builds(
    Speed, st.floats(1, 1e6), starts, ages_s.map(at_age), own=st.just(False)
)
limits = st.builds(
    EngineLimit,
    st.floats(0, 1e6) | st.just(inf),
    starts,
    ages_s.map(at_age),
    own=st.just(False),
)
values = st.text(
    st.characters(min_codepoint=32, max_codepoint=126),
    min_size=1,
    max_size=MAX_VALUE_CHARS,
)
marks = st.none() | ages_s.map(at_age)
trait_records = st.builds(
    TraitRecord,
    st.builds(Trait, names, st.sampled_from(TraitKind), values),
    st.lists(
        st.builds(
            CrashRecord, names, st.none() | names, ages_s.map(at_age), st.booleans()
        ),
        min_size=1,
        max_size=MAX_CRASHES,
    ).map(tuple),
    marks,
    marks,
)
senders = st.builds(
    Peer,
    names,
    names,
    st.tuples(hosts, st.integers(1, 65_535)).map(lambda at: f"{at[0]}:{at[1]}"),
    st.floats(0, 1e9),
)
common = {
    "sender": senders,
    "fence": starts,
    "version": st.integers(-1, LARGEST),
    "loads": st.none() | loads_by_engine,
    "layers": st.dictionaries(names, learnt, max_size=3),
    "limits": st.dictionaries(names, limits, max_size=3),
    "down": st.lists(st.tuples(names, starts), max_size=3),
    "speeds": st.dictionaries(names, speeds, max_size=3),
    "crashes": st.lists(trait_records, max_size=3),
}
reports = st.builds(MemberReport, **common)
digests = st.builds(
    RelayDigest,
    **common,
    revision=numbers,
    list_age_s=st.integers(0, 10**9).map(lambda age_ms: age_ms / 1000),
    list_is_stale=st.booleans(),
    counts=st.dictionaries(names, numbers, max_size=3),
    remote_loads=st.dictionaries(names, loads_by_engine, max_size=3),
)


def without_times(by_id, field):
    """Return reports by engine without their times, which are rounded."""
    return {
        key: (getattr(each, field), each.born_ms, each.own)
        for key, each in by_id.items()
    }


def assert_same(found, sent):
    assert type(found) is type(sent)
    for name in ("sender", "fence", "version", "loads", "down"):
        assert getattr(found, name) == getattr(sent, name), name
    for name, field in (
        ("layers", "held"),
        ("speeds", "slowness"),
        ("limits", "per_s"),
    ):
        here, there = getattr(found, name), getattr(sent, name)
        assert without_times(here, field) == without_times(there, field)
        for key, each in here.items():
            sent_s = there[key].at_s - (TRANSIT_S if name == "limits" else 0.0)
            assert each.at_s == pytest.approx(sent_s, abs=ROUNDING_S)
    for here, there in zip(found.crashes, sent.crashes, strict=True):
        assert_same_evidence(here, there)


def assert_same_evidence(found, sent):
    assert found.trait == sent.trait
    for name in ("sound_s", "probe_s"):
        here, there = getattr(found, name), getattr(sent, name)
        assert here == (there and pytest.approx(there, abs=ROUNDING_S))
    assert sorted(map(without_time, found.crashes)) == sorted(
        map(without_time, sent.crashes)
    )
    times = [each.at_s for each in found.crashes]
    assert times == sorted(times)
    assert times == pytest.approx(
        sorted(each.at_s for each in sent.crashes), abs=ROUNDING_S
    )


def without_time(crash):
    return crash.run, crash.organisation or "", crash.probe


@examples(120)
@given(reports)
def test_member_reports_survive_a_round_trip(report):
    with stopped_clock():
        assert_same(decode(encode_report(report)), report)


@examples(120)
@given(digests)
def test_relay_digests_survive_a_round_trip(digest):
    with stopped_clock():
        found = decode(encode_digest(digest))
    assert_same(found, digest)
    for name in ("revision", "list_age_s", "list_is_stale", "counts", "remote_loads"):
        assert getattr(found, name) == getattr(digest, name), name


def decode_or_none(data):
    """Return the decoded message, None if the datagram is rejected."""
    try:
        return decode(data)
    except ValueError:
        return None


def encode_or_empty(value):
    """Return a value encoded by orjson, empty if a number is too large."""
    try:
        return dumps(value)
    except TypeError:
        return b""


@examples(200)
@given(
    st.binary(max_size=80)
    | any_json().map(encode_or_empty)
    | altered(REPORT).map(encode_or_empty)
    | altered(DIGEST).map(encode_or_empty)
)
def test_any_datagram_gives_a_message_or_a_value_error(data):
    found = decode_or_none(data)
    assert found is None or isinstance(found, MemberReport | RelayDigest)


def numbers_of(message):
    """Return the numbers of a message that are summed or compared."""
    found = [message.sender.power]
    by_engine = [message.loads or {}]
    if isinstance(message, RelayDigest):
        found.append(message.list_age_s)
        by_engine += message.remote_loads.values()
    found += (load.token_layers for each in by_engine for load in each.values())
    for record in message.crashes:
        times = [record.sound_s, record.probe_s, *(c.at_s for c in record.crashes)]
        found += (at_s for at_s in times if at_s is not None)
    return found


@examples(200)
@given(altered(REPORT).map(encode_or_empty) | altered(DIGEST).map(encode_or_empty))
def test_the_numbers_of_a_message_are_finite(data):
    """Otherwise a sum of loads that was once NaN stays NaN after the peer has left."""
    found = decode_or_none(data)
    assert found is None or all(map(isfinite, numbers_of(found)))


@pytest.mark.parametrize(
    "change",
    [
        lambda number: {"power": number},
        lambda number: {"loads": {"i-1": [1, number]}},
        lambda number: {"age": number},
        lambda number: {"away": {"east": {"i-9": [1, number]}}},
    ],
    ids=["power", "loads", "age", "away"],
)
def test_non_finite_numbers_are_rejected(change):
    for number in ("nan", "inf", "-inf", "1e999"):
        found = decode_or_none(dumps(DIGEST | change(number)))
        assert found is None or all(map(isfinite, numbers_of(found)))


@pytest.mark.parametrize(
    "at",
    [
        "10.1.0.5:\xb2",
        "10.1.0.5:99999",
        "10.1.0.5:" + "9" * 5000,
        "\0:7",
        "10.1.0.5:0",
        "\u2025:7",
        "\xe9" * 80 + ":7",
        "10.1.0.5 :7",
        "a,b:7",
        ";:7",
    ],
    ids=[
        "superscript",
        "too-large",
        "many-digits",
        "null-byte",
        "port-zero",
        "two-dots",
        "long-label",
        "space",
        "comma",
        "semicolon",
    ],
)
def test_an_instance_keeps_reporting_after_a_peer_sent_an_invalid_address(at):
    """Otherwise it sends no reports until it forgets that peer, or never again."""

    async def receive_and_report():
        instance = PeerProtocol(Roster(OWN), EngineLoads(), Logger("test"))
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: instance, local_addr=("127.0.0.1", 0)
        )
        instance.datagram_received(
            dumps(REPORT | {"at": at, "down": []}), ("127.0.0.1", 7)
        )
        for _ in range(2 * IDLE_REPORT_PERIOD):
            instance._report()
        closed = transport.is_closing()
        transport.close()
        return closed

    assert not asyncio.run(receive_and_report())


@pytest.mark.parametrize(
    "data",
    [b"", b"\x00", b"\xef\xbb\xbf{}", b"null", b"[]", b'""', b"1" * 400, b"[" * 5000,
     b'{"from":' * 5000, b'{"from": "\\ud800"}', b'{"from": "w", "from": 7}',
     dumps(REPORT)[:-1], dumps(REPORT) * 2, dumps(DIGEST)[1:]],
    ids=["empty", "null-byte", "byte-order-mark", "null", "list", "text",
         "many-digits", "deep-lists", "deep-objects", "lone-surrogate",
         "duplicate-key", "truncated", "two-messages", "without-first-byte"],
)  # fmt: skip
def test_a_malformed_datagram_is_rejected(data):
    with pytest.raises(ValueError):  # noqa: PT011
        decode(data)


@pytest.mark.parametrize(
    "change",
    [
        {"at": "10.1.0.5:0"},
        {"at": "10.1.0.5 :7"},
        {"at": ";:7"},
        {"layers": {"i-1": [0, 10**18, 1000, 20]}},
        {"layers": {"i-1": [-1, 4, 1000, 20]}},
        {"layers": {"i-1": [False, True, 1000, 20]}},
        {"age": -1e9},
    ],
    ids=["port-zero", "space", "semicolon", "layers-too-large", "layers-negative",
         "layers-of-booleans", "age-negative"],
)  # fmt: skip
def test_a_datagram_with_a_value_out_of_range_is_rejected(change):
    """A list of a negative age counts as fresh for as long, whatever its real age."""
    with pytest.raises(ValueError):  # noqa: PT011
        decode(dumps(DIGEST | change))


def test_valid_datagrams_are_accepted():
    """Otherwise the tests above would cover rejections only."""
    assert isinstance(decode(dumps(REPORT)), MemberReport)
    assert isinstance(decode(dumps(DIGEST)), RelayDigest)
    assert loads(encode_report(decode(dumps(REPORT))))["down"] == REPORT["down"]


def crash_row(*, service="llm", kind="part", value="p", crashes=(), marks=(1, None)):
    return [service, kind, value, list(crashes), *marks]


@pytest.mark.parametrize(
    "rows",
    [
        None, {}, "rows", [None], [[]], ["row"],
        [crash_row()[:-1]], [[*crash_row(), None]],
        [crash_row()] * (MAX_CRASH_RECORDS + 1),
        [crash_row(service="")], [crash_row(service=7)], [crash_row(service=None)],
        [crash_row(service="s" * (MAX_NAME_CHARS + 1))],
        [crash_row(kind="engine")], [crash_row(kind=None)], [crash_row(kind=[])],
        [crash_row(value="")], [crash_row(value=7)], [crash_row(value="\xe9")],
        [crash_row(value="a\n")], [crash_row(value="v" * (MAX_VALUE_CHARS + 1))],
        [crash_row(crashes=[["r", None, 1, False]] * (MAX_CRASHES + 1))],
        [crash_row(crashes=[None])], [crash_row(crashes=[["r", None, 1]])],
        [crash_row(crashes=[["", None, 1, False]])],
        [crash_row(crashes=[[7, None, 1, False]])],
        [crash_row(crashes=[["r" * (MAX_NAME_CHARS + 1), None, 1, False]])],
        [crash_row(crashes=[["r", 7, 1, False]])],
        [crash_row(crashes=[["r", "o" * (MAX_NAME_CHARS + 1), 1, False]])],
        [crash_row(crashes=[["r", None, "1", False]])],
        [crash_row(crashes=[["r", None, True, False]])],
        [crash_row(crashes=[["r", None, 1.5, False]])],
        [crash_row(crashes=[["r", None, 1 << 63, False]])],
        [crash_row(crashes=[["r", None, 1, 0]])],
        [crash_row(crashes=[["r", None, 1, None]])],
        [crash_row(marks=("1", None))], [crash_row(marks=(True, None))],
        [crash_row(marks=(None, 1.5))], [crash_row(marks=(None, []))],
        [crash_row(marks=(None, 1 << 63))],
    ],
)  # fmt: skip
@pytest.mark.parametrize("message", [REPORT, DIGEST], ids=["report", "digest"])
def test_malformed_crash_evidence_is_rejected(message, rows):
    """An odd row in the evidence would end the loop that judges each request by it."""
    with pytest.raises(ValueError):  # noqa: PT011
        decode(dumps(message | {"crashes": rows}))


@pytest.mark.parametrize("message", [REPORT, DIGEST], ids=["report", "digest"])
def test_a_message_of_an_earlier_release_without_crash_evidence_is_accepted(message):
    """During a rolling replacement some instances don't send the field yet."""
    earlier = {key: value for key, value in message.items() if key != "crashes"}
    assert decode(dumps(earlier)).crashes == ()


def test_an_earlier_release_reads_a_message_with_crash_evidence():
    """Instances that aren't replaced yet would lose the loads and the list's revision.

    An earlier release takes the fields that it knows, and ignores others.
    """
    for message, encode in ((REPORT, encode_report), (DIGEST, encode_digest)):
        known = set(message) - {"crashes"}
        with_evidence = loads(encode(decode(dumps(message))))
        without = loads(encode(decode(dumps(message | {"crashes": []}))))
        assert with_evidence["crashes"]
        assert "crashes" not in without
        assert known <= set(without) <= set(with_evidence)
        for key in set(without) - {"layers", "speeds"}:
            assert with_evidence[key] == without[key]


def test_times_of_evidence_do_not_move_by_rounding(monkeypatch):
    """Peers keep the earliest time of a crash and the latest of a mark: rounded the
    other way, each message between two instances would move them, and be news."""
    now_s = 1000.0
    monkeypatch.setattr("time.monotonic", lambda: now_s)
    crash = CrashRecord("r", None, now_s - 10.0004, False)
    sent = TraitRecord(
        Trait("llm", TraitKind.PART, "p"), (crash,), now_s - 5.0004, now_s - 3.0004
    )
    report = decode(dumps(REPORT | {"crashes": []}))
    (received,) = decode(encode_report(evolve(report, crashes=[sent]))).crashes
    assert received.crashes[0].at_s == now_s - 10.0
    assert received.sound_s == now_s - 5.001
    assert received.probe_s == now_s - 3.001


def test_a_crash_dated_in_the_future_counts_as_of_now():
    """A date in the future would hold a conviction for as long as a peer likes."""
    before_s = time.monotonic()
    row = crash_row(crashes=[["r", None, -60_000, False]], marks=(-60_000, -60_000))
    (record,) = decode(dumps(REPORT | {"crashes": [row]})).crashes
    for at_s in (record.crashes[0].at_s, record.sound_s, record.probe_s):
        assert before_s <= at_s <= time.monotonic()
