"""A state machine over the fold, against a model that saw every record.

Time passes, the log forgets, records are carried, carriers and readers are replaced
and cut off, operators race, appends turn up late, and two software versions read the
same stream. Whoever has read to the log's end must hold what the model holds.
"""

import contextlib
from typing import Any

import orjson
from attrs import define, field
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import (
    AppendUnknownError,
    InputFaultError,
)
from celeryfork_config.carrier import Carrier
from celeryfork_config.entries import encode_entry
from celeryfork_config.fold import Fold
from celeryfork_config.in_force import Configuration
from celeryfork_config.records import Model, Policy
from celeryfork_platform.model import LogRecord, LogSlice
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

RETENTION_S = 1600.0
LONGEST_STEP_S = 100.0
LONGEST_CUT_OFF_S = 2.5 * RETENTION_S
MOST_INSTANCES = 5
NAMES = ("model/a",)
SCHEMAS = (1, 2)
VERSIONS = ("old", "new")


def reader_of(version: str):
    def read(name: str, schema: int, payload: Any) -> Model:
        if (version == "old" and schema > 1) or not payload["readable"]:
            raise InputFaultError("$", "It can't be read.", "upgrade")
        return Model(name=name.split("/")[1], layers=payload["layers"])

    return read


@define
class Instance:
    """A reader that is also a carrier."""

    version: str
    clock: ManualClock
    retention: Configuration
    ready: bool = False
    fold: Fold = field(init=False)
    published: dict[Any, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.renew()

    def renew(self) -> None:
        self.fold = Fold(Counters(), reader_of(self.version))
        self.ready = False
        self.published = {}

    @property
    def absent_s(self) -> float:
        """Age of what was applied last, as the follower knows it."""
        return (self.clock.wall_ms() - self.fold.newest_ms) / 1000

    @property
    def current(self) -> Configuration:
        return self.retention

    @property
    def retention_s(self) -> float:
        return RETENTION_S

    def with_fold(self, use) -> None:
        use(self.fold)

    def heads(self) -> dict[Any, int]:
        return {
            (name, schema): kept.offset
            for name in NAMES
            for schema, kept in self.fold.live(name).items()
        }

    def in_force(self) -> dict[str, int]:
        models = self.fold.configuration.models_by_name
        return {f"model/{name}": model.layers for name, model in models.items()}


class Log:
    """The log, and the model: what each key's records were, in the log's order."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.records: list[LogRecord] = []
        self.first_offset = 0
        self.accepted_by_key: dict[Any, list[tuple[int, Any]]] = {}
        self.late: list[str] = []
        self.lose_next = False
        self.available = True

    def append(self, stream: str, data: str, nonce: str, timeout_s: float) -> int:
        if self.lose_next:
            self.lose_next = False
            self.late.append(data)
            raise AppendUnknownError("Lost.", "look")
        offset = len(self.records)
        self.records.append(LogRecord(offset, self.clock.wall_ms(), nonce, data))
        self._note(offset, data)
        return offset

    def read_all(self, from_offset: int, limit: int) -> LogSlice:
        start = max(from_offset, self.first_offset)
        found = tuple(self.records[start : start + limit])
        return LogSlice(found, self.first_offset, len(self.records))

    def live(self, key: Any) -> int | None:
        accepted = self.accepted_by_key.get(key)
        if not accepted or accepted[-1][1] is None:
            return None
        return accepted[-1][0]

    def in_force(self, version: str) -> dict[str, int]:
        found = {}
        for name in NAMES:
            for schema in SCHEMAS:
                value = self._readable((name, schema), version)
                if value is not None:
                    found[name] = value
        return found

    def heads(self) -> dict[Any, int]:
        keys = [(name, schema) for name in NAMES for schema in SCHEMAS]
        return {key: self.live(key) for key in keys if self.live(key) is not None}

    def forget(self) -> None:
        limit_ms = self.clock.wall_ms() - RETENTION_S * 1000
        while (
            self.first_offset < len(self.records)
            and self.records[self.first_offset].appended_ms < limit_ms
        ):
            self.first_offset += 1

    def _note(self, offset: int, data: str) -> None:
        value = orjson.loads(data)
        if "carry" in value:
            return
        key = value["name"], value["schema"]
        if value["based_on"] == self.live(key):
            accepted = self.accepted_by_key.setdefault(key, [])
            accepted.append((offset, value["payload"]))

    def _readable(self, key: Any, version: str) -> int | None:
        for _, payload in reversed(self.accepted_by_key.get(key, [])):
            if payload is None:
                return None
            try:
                return reader_of(version)(key[0], key[1], payload).layers
            except InputFaultError:
                continue
        return None


class FoldMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.log = Log(self.clock)
        policy = Policy(log_retention_s=RETENTION_S, claim_window_s=1.0)
        self.retention = Configuration(policy=policy)
        self.instances = [self.make_instance(version) for version in VERSIONS]
        self.next_value = 1

    def make_instance(self, version: str) -> Instance:
        return Instance(version, self.clock, self.retention)

    def read(self, instance: Instance, limit: int) -> None:
        if instance.fold.next_offset > 0 and instance.absent_s > LONGEST_CUT_OFF_S:
            instance.renew()  # the follower takes a peer's whole state then
        part = self.log.read_all(instance.fold.next_offset, limit)
        instance.fold.apply_slice(part)
        if instance.fold.next_offset == part.next_offset:
            instance.fold.settle()
            instance.ready = True
            self.check_whole(instance)

    def check_whole(self, instance: Instance) -> None:
        assert instance.heads() == self.log.heads()
        assert instance.in_force() == self.log.in_force(instance.version)
        self.check_forward(instance)

    def check_forward(self, instance: Instance) -> None:
        for key, offset in instance.heads().items():
            assert offset >= instance.published.get(key, 0)
            instance.published[key] = offset

    def envelope(self, key: Any, based_on: int | None, payload: Any) -> str:
        value = {
            "name": key[0],
            "schema": key[1],
            "based_on": based_on,
            "payload": payload,
        }
        return orjson.dumps(value).decode()

    keys = st.tuples(st.sampled_from(NAMES), st.sampled_from(SCHEMAS))
    bases = st.sampled_from(["right", "right", "right", "null", "stale"])
    kinds = st.sampled_from(["readable", "readable", "unreadable", "retracted"])

    @rule(key=keys, base=bases, kind=kinds, late=st.booleans(), seed=st.integers(0, 99))
    def publish(self, key, base, kind, late, seed) -> None:
        based_on = self.log.live(key)
        if base == "null":
            based_on = None
        elif base == "stale":
            accepted = self.log.accepted_by_key.get(key, [])
            based_on = accepted[seed % len(accepted)][0] if accepted else seed
        self.log.lose_next = late and seed < 30
        self.publish_now(key, based_on, kind)

    def publish_now(self, key, based_on, kind) -> None:
        payload = {"layers": self.next_value, "readable": kind == "readable"}
        self.next_value += 1
        data = self.envelope(key, based_on, None if kind == "retracted" else payload)
        with contextlib.suppress(AppendUnknownError):
            self.log.append("configuration", data, "", 1.0)

    @rule(key=keys)
    def race(self, key) -> None:
        based_on = self.log.live(key)
        for _ in range(2):
            self.publish_now(key, based_on, "readable")

    @rule(data=st.sampled_from(["", "{}", "[1]", '{"carry":{}}', '{"carry":3}', "\0"]))
    def garbage(self, data) -> None:
        offset = len(self.log.records)
        self.log.records.append(LogRecord(offset, self.clock.wall_ms(), "", data))

    @precondition(lambda self: self.log.late)
    @rule(index=st.integers(0, 99))
    def late_append_turns_up(self, index) -> None:
        data = self.log.late.pop(index % len(self.log.late))
        self.log.append("configuration", data, "", 1.0)

    @rule(index=st.integers(0, 99), limit=st.integers(1, 5))
    def read_some(self, index, limit) -> None:
        self.read(self.instances[index % len(self.instances)], limit)

    @rule(index=st.integers(0, 99))
    def read_to_the_end(self, index) -> None:
        self.read(self.instances[index % len(self.instances)], 1_000_000)

    @precondition(lambda self: len(self.instances) < MOST_INSTANCES)
    @rule(version=st.sampled_from(VERSIONS))
    def join(self, version) -> None:
        self.instances.append(self.make_instance(version))

    @rule(index=st.integers(0, 99))
    def replace(self, index) -> None:
        self.instances[index % len(self.instances)].renew()

    @rule(reader=st.integers(0, 99), peer=st.integers(0, 99))
    def read_from_peer(self, reader, peer) -> None:
        to = self.instances[reader % len(self.instances)]
        source = self.instances[peer % len(self.instances)]
        if source.version != to.version or not source.ready:
            return
        if not source.fold.settled or source.fold.next_offset < to.fold.next_offset:
            return
        news = source.fold.entries_after(to.fold.next_offset - 1)
        absent = news and to.absent_s > RETENTION_S
        if not to.fold.settled or not to.ready or absent:
            published = to.published
            to.renew()
            to.published = published
        to.fold.merge_peer_entries(source.fold.entries_after(to.fold.next_offset - 1))
        to.ready = True
        assert to.heads() == source.heads()
        assert to.in_force() == source.in_force()
        self.check_forward(to)

    @rule(
        seconds=st.floats(1.0, LONGEST_STEP_S),
        steps=st.integers(1, 20),
        lose=st.booleans(),
        index=st.integers(0, 99),
    )
    def time_passes(self, seconds, steps, lose, index) -> None:
        for step in range(steps):
            self.pass_time(seconds, index, lose=lose and step % 4 == 0)

    @rule(key=keys, kinds=st.lists(kinds, min_size=8, max_size=24))
    def a_key_changes_often(self, key, kinds) -> None:
        for kind in kinds:
            self.pass_time(LONGEST_STEP_S, 0, lose=False)
            self.publish_now(key, self.log.live(key), kind)

    @precondition(lambda self: self.log.live(("model/a", 1)) is not None)
    @rule(steps=st.integers(1, 5), index=st.integers(0, 99))
    def a_carry_turns_up_after_a_retraction(self, steps, index) -> None:
        """Let a carry of a live record land long after it was retracted."""
        key = ("model/a", 1)
        carrier = self.make_instance("old")
        self.read(carrier, 1_000_000)
        kept = carrier.fold.live(key[0])[key[1]]
        carry = kept.to_carry(carrier.fold.next_offset, self.clock.wall_ms())
        self.publish_now(key, self.log.live(key), "retracted")
        for _ in range(steps * int(RETENTION_S / LONGEST_STEP_S)):
            self.pass_time(LONGEST_STEP_S, index, lose=False)
        self.log.append("configuration", encode_entry(carry), "", 1.0)

    def pass_time(self, seconds: float, index: int, *, lose: bool) -> None:
        self.clock.advance(seconds)
        self.log.lose_next = lose
        for version in VERSIONS:
            self.carry(version, index)
        self.log.lose_next = False
        self.log.forget()

    def carry(self, version: str, index: int) -> None:
        """Let one instance of a version, perhaps a new one, carry what is due."""
        known = [i for i in self.instances if i.version == version]
        instance = known[index % len(known)] if known else self.make_instance(version)
        self.read(instance, 1_000_000)
        self.make_carrier(instance).check()

    def make_carrier(self, instance: Instance) -> Carrier:
        return Carrier(self.log, self.clock, Counters(), instance, "", dict)

    @rule(index=st.integers(0, 99))
    def carry_from_old_knowledge(self, index) -> None:
        """Let an instance that may not have read for long carry what it thinks due."""
        instance = self.instances[index % len(self.instances)]
        if instance.ready:
            self.make_carrier(instance).check()

    @invariant()
    def a_new_reader_holds_what_the_model_holds(self) -> None:
        for version in VERSIONS:
            self.read(self.make_instance(version), 1_000_000)


TestFoldMachine = FoldMachine.TestCase
TestFoldMachine.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
