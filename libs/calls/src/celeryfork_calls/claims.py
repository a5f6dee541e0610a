"""Claims: at most one instance runs the call with a given key.

An instance appends a claim, reads the log up to it, and runs the call only if its
claim took the key (`celeryfork_calls.claim_fold`). The rules that keep this safe:

- A claim is granted here only while its caller still waits for an answer. A caller
  told ``not_run`` had its claim given up in the same step, under the same lock.
- A claim given up is never granted, whenever it turns up; its Abandon then frees the
  key for the next claim. Nobody takes over from a holder that is paused or gone.
- A claim is granted only if no earlier one can have left the log unread: the key is
  younger than the stream's retention at the time this instance began to read.
"""

import secrets
import threading
import uuid
from collections.abc import Callable, Sequence
from enum import Enum

from attrs import field, frozen, mutable
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError, RequestRefusedError
from celeryfork_base.identity import Incarnation
from celeryfork_base.outcomes import Outcome
from celeryfork_wire.gen.celeryfork import ttypes

from celeryfork_calls import errors
from celeryfork_calls.claim_fold import (
    ClaimFold,
    Ended,
    Held,
    Ignored,
    LostTo,
    Won,
    birth_ms_of_key,
    key_hash,
)
from celeryfork_calls.claim_follower import READ_TIMEOUT_S, ClaimFollower
from celeryfork_calls.claim_records import (
    CLAIMS_STREAM,
    NONCE_BYTES,
    Abandon,
    Batch,
    Claim,
    Entry,
    HandedOver,
    MalformedRecordError,
    NewerRecordError,
    Settled,
    decode_batch,
    settled_for_log,
)
from celeryfork_calls.claim_results import (
    DEFAULT_COMMIT_WAIT_S,
    DEFAULT_FLUSH_S,
    DEFAULT_SKEW_S,
    DEFAULT_WINDOW_S,
    Claimed,
    ClaimLimits,
    ClaimResult,
    InProgress,
    Refused,
    Replay,
    StopReport,
    Unresolved,
)
from celeryfork_calls.group_commit import (
    AppendResult,
    CommitLimits,
    GroupCommit,
    Queued,
)
from celeryfork_calls.kept import KeptOutcome, KeptStore
from celeryfork_calls.ports import LogPort, LogRecordPort, LogSlicePort

REAPPEND_AFTER_S = 0.5
MOST_GIVEN_UP = 100_000


HandedOverCallback = Callable[[KeptOutcome], None]


class _State(Enum):
    WAITING = "waiting"
    GRANTED = "granted"
    LOST = "lost"
    UNPROVEN = "unproven"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


@mutable(eq=False)
class _Attempt:
    """One claim of this instance, from its append to its outcome."""

    claim: Claim
    hashed: bytes
    queued: Queued
    state: _State = _State.WAITING
    answer_lost_s: float | None = None
    decided: threading.Event = field(factory=threading.Event)
    ended: threading.Event = field(factory=threading.Event)


@frozen
class _WaitFor:
    event: threading.Event


@frozen
class _Recorded:
    held: Held


_Found = Replay | InProgress | Unresolved | Refused | _WaitFor | _Recorded


class ClaimBook:
    """The claims of one instance and its view of everyone's; for any thread."""

    def __init__(
        self,
        log: LogPort,
        incarnation: Incarnation,
        clock: Clock,
        counters: Counters,
        limits: ClaimLimits,
    ) -> None:
        self._log = log
        self._holder = str(incarnation)
        self._clock = clock
        self._counters = counters
        self._limits = limits
        self._lock = threading.Lock()
        kept_s = limits.window_s + 2 * limits.skew_s
        self._fold = ClaimFold(round(kept_s * 1000))
        self._coverage_began_s: float | None = None
        self._attempts_by_nonce: dict[str, _Attempt] = {}
        self._attempts_by_hash: dict[bytes, _Attempt] = {}
        self._given_up: dict[str, Abandon | None] = {}
        self._waiters_by_hash: dict[bytes, list[threading.Event]] = {}
        self._stopping = False
        self._kept = KeptStore(
            clock, counters, limits.most_kept, limits.most_kept_bytes, kept_s
        )
        self._on_handed_over: HandedOverCallback | None = None
        self._commit = GroupCommit(
            log,
            self._holder,
            CommitLimits(
                limits.commit_wait_s, limits.most_queued, limits.most_queued_bytes
            ),
            self._on_append,
            clock,
            counters,
        )
        self._follower = ClaimFollower(
            log, self._take_in, self._on_gap, clock, counters
        )

    @property
    def ready(self) -> bool:
        """Whether the stream was read to its end once."""
        return self._follower.caught_up

    def handed_over_to(self, callback: HandedOverCallback) -> None:
        """Say who takes tickets' outcomes from the log; before ``start``."""
        self._on_handed_over = callback

    def start(self) -> None:
        """Begin to read and to append in the background."""
        self._follower.start()
        self._commit.start()

    def stop(self) -> StopReport:
        """Give up what waits, write what ended, and say what couldn't be written."""
        with self._lock:
            self._stopping = True
            waiting = [
                a for a in self._attempts_by_nonce.values() if a.state is _State.WAITING
            ]
            for attempt in waiting:
                self._give_up(attempt)
        left = self._commit.flush(self._limits.flush_s)
        self._commit.stop()
        self._follower.stop()
        unflushed = [e.kept for e in left if isinstance(e, Settled | HandedOver)]
        self._counters.add("claims.outcomes_unflushed", len(unflushed))
        abandons = sum(isinstance(e, Abandon) for e in left)
        return StopReport(unflushed, abandons)

    def claim(
        self, organisation: str, key: str, body_hash: str, deadline_s: float
    ) -> ClaimResult:
        """Claim a key, or say what became of it.

        Parameters
        ----------
        key
            A UUIDv7.
        body_hash
            From ``claim_fold.hash_body``.
        deadline_s
            Monotonic time until which the caller waits, in seconds.
        """
        fault = self._key_fault(key)
        if fault is not None:
            self._counters.add(f"claims.refused_{fault.code}")
            return Refused(fault)
        key = str(uuid.UUID(key))
        while True:
            with self._lock:
                found = self._look(organisation, key, body_hash) or self._begin(
                    Claim(organisation, key, body_hash, _nonce())
                )
            match found:
                case _Attempt():
                    result = self._await_decision(found, deadline_s)
                case _WaitFor(event):
                    result = self._await_other(event, organisation, key, deadline_s)
                case _Recorded(held):
                    result = self._read_outcome(organisation, key, body_hash, held)
                case _:
                    result = found
            if result is not None:
                self._counters.add(f"claims.{type(result).__name__.lower()}")
                return result

    def finish(self, claimed: Claimed, kept: KeptOutcome) -> None:
        """End a granted claim; ``NOT_RUN`` frees the key for another claim."""
        with self._lock:
            attempt = self._attempts_by_nonce.get(claimed.nonce)
            if attempt is None or attempt.state is not _State.GRANTED:
                raise ValueError("finish is for claims that were granted, once")
            if kept.outcome is Outcome.NOT_RUN:
                self._give_up(attempt)
                return
            self._kept.put(kept)
            self._forget(attempt)
            entry = settled_for_log(claimed.nonce, kept)
            if not self._commit.put(Queued(entry, must_land=True)):
                self._counters.add("claims.outcomes_not_logged")
            self._wake(attempt.hashed)

    def settle_unknown(self, kept: KeptOutcome) -> None:
        """Keep what a status call found out about a key whose outcome was unknown."""
        with self._lock:
            self._kept.put(kept)
            held = self._fold.held(kept.organisation, kept.key)
            if held is not None and held.outcome is not kept.outcome:
                entry = settled_for_log(held.nonce, kept)
                self._commit.put(Queued(entry, must_land=True))

    def log_handed_over(self, outcomes: Sequence[KeptOutcome]) -> None:
        """Write outcomes of tickets to the log, for every instance to read."""
        for kept in outcomes:
            self._commit.put(Queued(HandedOver(kept), must_land=True))

    def adopt(self, kept: KeptOutcome) -> None:
        """Keep an outcome that its holder handed over."""
        with self._lock:
            self._kept.put(kept)
            self._wake(key_hash(kept.organisation, kept.key))

    def find(self, organisation: str, key: str, wait_s: float) -> ttypes.OutcomeReply:
        """Answer a peer that holds a repeat of a call that this instance claimed."""
        ends_s = self._clock.monotonic() + wait_s
        hashed = key_hash(organisation, key)
        while True:
            with self._lock:
                kept = self._kept.get(organisation, key)
                attempt = self._attempts_by_hash.get(hashed)
            left_s = ends_s - self._clock.monotonic()
            if kept is not None or attempt is None or left_s <= 0:
                break
            attempt.ended.wait(left_s)
        return ttypes.OutcomeReply(
            known=kept is not None,
            running=kept is None and attempt is not None,
            kept=None if kept is None else kept.to_wire(),
        )

    def await_change(self, organisation: str, key: str, wait_s: float) -> bool:
        """Wait until something new is known of a key; False after ``wait_s``."""
        hashed = key_hash(organisation, key)
        with self._lock:
            held = self._fold.held(organisation, key)
            if held is None or held.outcome or self._kept.get(organisation, key):
                return True
            event = self._waiter(hashed)
        changed = event.wait(max(0.0, wait_s))
        with self._lock:
            self._drop_waiter(hashed, event)
        return changed

    def dump(self) -> dict[str, object]:
        """Return the book's state for the state dump."""
        with self._lock:
            return {
                "ready": self._follower.caught_up,
                "next_offset": self._follower.next_offset,
                "keys_held": self._fold.size(),
                "attempts": len(self._attempts_by_nonce),
                "given_up": len(self._given_up),
                "kept": self._kept.dump(),
                "commit": self._commit.dump(),
            }

    def _key_fault(self, key: str) -> RequestRefusedError | None:
        birth_ms = birth_ms_of_key(key)
        if birth_ms is None:
            return errors.key_malformed("it is not a UUIDv7")
        age_s = (self._clock.wall_ms() - birth_ms) / 1000
        if age_s > self._limits.window_s:
            return errors.key_expired(self._limits.window_s)
        if age_s < -self._limits.skew_s:
            return errors.key_malformed(f"its time is {-age_s:.0f} s in the future")
        return None

    def _look(self, organisation: str, key: str, body_hash: str) -> _Found | None:
        """Return what is known of a key, None if nothing; under the lock."""
        kept = self._kept.get(organisation, key)
        if kept is not None:
            return _replay(kept, body_hash)
        hashed = key_hash(organisation, key)
        attempt = self._attempts_by_hash.get(hashed)
        if attempt is not None:
            if attempt.claim.body_hash != body_hash:
                return Refused(errors.key_reused())
            return _WaitFor(attempt.ended)
        held = self._fold.held(organisation, key)
        if held is None:
            return None
        if held.body_hash_start != bytes.fromhex(body_hash)[:8]:
            return Refused(errors.key_reused())
        return self._look_at_holder(hashed, held)

    def _look_at_holder(self, hashed: bytes, held: Held) -> _Found:
        """Return what is known of a key that the log says is held."""
        if held.outcome is Outcome.UNKNOWN:
            return Unresolved("its target gave no whole answer")
        if held.outcome is not None:
            return _Recorded(held)
        if held.holder != self._holder:
            return InProgress(held.holder)
        if held.nonce in self._given_up:
            return _WaitFor(self._waiter(hashed))
        return Unresolved("its outcome is not kept any more")

    def _begin(self, claim: Claim) -> _Attempt | Refused:
        """Queue a claim, under the lock."""
        if self._stopping:
            return Refused(errors.stopping())
        if self._log_is_down():
            return Refused(errors.log_unavailable("The log is down."))
        hashed = key_hash(claim.organisation, claim.key)
        attempt = _Attempt(claim, hashed, Queued(claim, must_land=False))
        if not self._commit.put(attempt.queued):
            return Refused(errors.overloaded("Too many claims wait for the log."))
        self._attempts_by_nonce[claim.nonce] = attempt
        self._attempts_by_hash[hashed] = attempt
        return attempt

    def _await_decision(
        self, attempt: _Attempt, deadline_s: float
    ) -> ClaimResult | None:
        """Wait until the log decides; None where the key has to be looked up again."""
        while True:
            left_s = deadline_s - self._clock.monotonic()
            if left_s <= 0 or attempt.decided.wait(min(left_s, REAPPEND_AFTER_S)):
                break
            self._append_again(attempt)
        with self._lock:
            if attempt.state is _State.WAITING:
                self._give_up(attempt)
        return self._decision(attempt)

    def _decision(self, attempt: _Attempt) -> ClaimResult | None:
        """Return what a decided attempt means to its caller."""
        claim = attempt.claim
        match attempt.state:
            case _State.GRANTED:
                return Claimed(
                    claim.organisation, claim.key, claim.body_hash, claim.nonce
                )
            case _State.LOST:
                return None
            case _State.UNPROVEN:
                return Unresolved("what it did before has left the log")
        return Refused(self._why_not(attempt))

    def _why_not(self, attempt: _Attempt) -> RequestRefusedError:
        """Return why a claim that was never granted ends; it did not run."""
        if self._stopping:
            return errors.stopping()
        if attempt.state is _State.REFUSED:
            return errors.log_unavailable("The log did not take the claim.")
        if attempt.queued.maybe_in_log or self._log_is_down():
            return errors.log_unavailable("The log did not confirm the claim.")
        return errors.deadline_passed(Outcome.NOT_RUN)

    def _log_is_down(self) -> bool:
        return not self._log.available or self._commit.refused_long

    def _append_again(self, attempt: _Attempt) -> None:
        """Queue a claim anew whose append's answer was lost and which isn't seen."""
        with self._lock:
            lost_s = attempt.answer_lost_s
            if lost_s is None or attempt.state is not _State.WAITING:
                return
            waited_s = self._clock.monotonic() - lost_s
            if waited_s >= REAPPEND_AFTER_S and not self._log_is_down():
                attempt.answer_lost_s = None
                self._commit.put(attempt.queued)

    def _await_other(
        self, event: threading.Event, organisation: str, key: str, deadline_s: float
    ) -> ClaimResult | None:
        """Wait for this instance's own claim of the key to end or be freed."""
        left_s = deadline_s - self._clock.monotonic()
        if left_s > 0 and event.wait(left_s):
            return None
        hashed = key_hash(organisation, key)
        with self._lock:
            self._drop_waiter(hashed, event)
            if hashed in self._attempts_by_hash:
                return InProgress(self._holder)
        # Its only claim is this instance's, and was given up for good.
        return Refused(errors.log_unavailable("An earlier claim is being withdrawn."))

    def _read_outcome(
        self, organisation: str, key: str, body_hash: str, held: Held
    ) -> ClaimResult:
        """Read a whole outcome back from the log; its holder has it otherwise."""
        if held.outcome_offset < 0:
            outcome = held.outcome or Outcome.UNKNOWN
            return Unresolved("its answer was too large to keep", outcome)
        try:
            part = self._log.read(
                CLAIMS_STREAM, held.outcome_offset, 1, 0.0, READ_TIMEOUT_S
            )
            batches = [decode_batch(r.data) for r in part.records[:1]]
        except (CeleryforkError, ValueError):
            return InProgress(held.holder)
        for entry in (e for batch in batches for e in batch.entries):
            if isinstance(entry, Settled) and entry.nonce == held.nonce:
                self._kept.put(entry.kept)
                return _replay(entry.kept, body_hash)
        return Unresolved("its outcome has left the log")

    def _on_append(self, batch: Sequence[Queued], result: AppendResult) -> None:
        """Note what became of an append of claims."""
        if result is AppendResult.APPENDED:
            return
        now_s = self._clock.monotonic()
        down = self._log_is_down()
        with self._lock:
            for queued in batch:
                attempt = self._attempts_by_nonce.get(_nonce_of(queued.entry))
                if attempt is None or attempt.state is not _State.WAITING:
                    continue
                if result is AppendResult.UNKNOWN or queued.maybe_in_log:
                    attempt.answer_lost_s = now_s
                elif down or not self._commit.put(queued):
                    self._decide(attempt, _State.REFUSED)
                    self._forget(attempt)

    def _on_gap(self, read_ended_s: float) -> None:
        with self._lock:
            self._coverage_began_s = read_ended_s

    def _take_in(self, part: LogSlicePort) -> None:
        for record in part.records:
            try:
                batch = decode_batch(record.data)
            except NewerRecordError:
                self._counters.add("claims.records_newer")
                self._on_gap(self._clock.monotonic())
                continue
            except MalformedRecordError:
                self._counters.add("claims.records_malformed")
                continue
            self._counters.add("claims.entries_malformed", batch.faults)
            with self._lock:
                self._apply(record, batch)

    def _apply(self, record: LogRecordPort, batch: Batch) -> None:
        for effect in self._fold.apply(record.offset, record.appended_ms, batch):
            match effect:
                case Won(nonce):
                    self._on_won(nonce, record.appended_ms)
                case LostTo(nonce):
                    self._on_lost(nonce, _State.LOST)
                case Ignored(nonce):
                    self._on_lost(nonce, _State.UNPROVEN)
                case Ended(hashed):
                    self._wake(hashed)
        for entry in batch.entries:
            match entry:
                case Abandon(nonce=nonce):
                    self._given_up.pop(nonce, None)
                case HandedOver(kept):
                    if self._on_handed_over is not None:
                        self._on_handed_over(kept)

    def _on_won(self, nonce: str, appended_ms: int) -> None:
        attempt = self._attempts_by_nonce.get(nonce)
        if attempt is None:
            self._on_surfaced(nonce)
            return
        if attempt.state is not _State.WAITING:
            return
        if self._is_proven(attempt, appended_ms):
            self._decide(attempt, _State.GRANTED)
        else:
            self._give_up(attempt, _State.UNPROVEN)

    def _on_surfaced(self, nonce: str) -> None:
        """Abandon a claim that turned up after it was given up, if that's still due."""
        if nonce not in self._given_up:
            return
        self._counters.add("claims.surfaced_late")
        abandon = self._given_up[nonce]
        if abandon and self._commit.put(Queued(abandon, must_land=True)):
            self._given_up[nonce] = None

    def _on_lost(self, nonce: str, state: _State) -> None:
        attempt = self._attempts_by_nonce.get(nonce)
        if attempt is None or attempt.state is not _State.WAITING:
            return
        if state is _State.UNPROVEN:
            self._give_up(attempt, state)
            return
        self._decide(attempt, state)
        self._forget(attempt)

    def _is_proven(self, attempt: _Attempt, appended_ms: int) -> bool:
        """Tell whether no earlier claim of the key can have left the log unread."""
        birth_ms = birth_ms_of_key(attempt.claim.key) or 0
        skew_ms = self._limits.skew_s * 1000
        age_ms = appended_ms - birth_ms
        if not -skew_ms <= age_ms <= self._limits.window_s * 1000 + skew_ms:
            return False
        if self._coverage_began_s is None:
            return True
        sent_s = attempt.queued.first_sent_s or 0.0
        late_ms = max(0.0, self._coverage_began_s - sent_s) * 1000
        gone_before_ms = appended_ms + late_ms - self._limits.retention_s * 1000
        return birth_ms - skew_ms > gone_before_ms

    def _give_up(self, attempt: _Attempt, state: _State = _State.GIVEN_UP) -> None:
        """Make sure that a claim is never granted, and free its key; under the lock."""
        self._decide(attempt, state)
        self._forget(attempt)
        if self._commit.withdraw(attempt.queued):
            return
        if len(self._given_up) >= MOST_GIVEN_UP:
            self._given_up.pop(next(iter(self._given_up)))
        claim = attempt.claim
        abandon = Abandon(claim.organisation, claim.key, claim.nonce)
        queued = self._commit.put(Queued(abandon, must_land=True))
        self._given_up[claim.nonce] = None if queued else abandon

    def _decide(self, attempt: _Attempt, state: _State) -> None:
        attempt.state = state
        attempt.decided.set()

    def _forget(self, attempt: _Attempt) -> None:
        self._attempts_by_nonce.pop(attempt.claim.nonce, None)
        if self._attempts_by_hash.get(attempt.hashed) is attempt:
            del self._attempts_by_hash[attempt.hashed]
        attempt.ended.set()

    def _waiter(self, hashed: bytes) -> threading.Event:
        event = threading.Event()
        self._waiters_by_hash.setdefault(hashed, []).append(event)
        return event

    def _drop_waiter(self, hashed: bytes, event: threading.Event) -> None:
        waiters = self._waiters_by_hash.get(hashed, [])
        if event in waiters:
            waiters.remove(event)
        if not waiters:
            self._waiters_by_hash.pop(hashed, None)

    def _wake(self, hashed: bytes) -> None:
        for event in self._waiters_by_hash.pop(hashed, []):
            event.set()


def make_claim_book(
    log: LogPort,
    incarnation: Incarnation,
    clock: Clock,
    counters: Counters,
    retention_s: float,
    *,
    window_s: float = DEFAULT_WINDOW_S,
    skew_s: float = DEFAULT_SKEW_S,
    commit_wait_s: float = DEFAULT_COMMIT_WAIT_S,
    flush_s: float = DEFAULT_FLUSH_S,
) -> ClaimBook:
    """Return a claim book; ``start`` it before claiming.

    Parameters
    ----------
    retention_s
        Shortest time that the log keeps a record, in seconds.
    window_s, skew_s, commit_wait_s, flush_s
        See ``ClaimLimits``.

    Raises
    ------
    CallSettingsError
        The window does not fit into the retention.
    """
    limits = ClaimLimits(
        retention_s=retention_s,
        window_s=window_s,
        skew_s=skew_s,
        commit_wait_s=commit_wait_s,
        flush_s=flush_s,
    )
    return ClaimBook(log, incarnation, clock, counters, limits)


def _replay(kept: KeptOutcome, body_hash: str) -> Replay | Unresolved | Refused:
    if kept.body_hash and kept.body_hash != body_hash:
        return Refused(errors.key_reused())
    if kept.outcome is Outcome.UNKNOWN:
        return Unresolved("its target gave no whole answer")
    return Replay(kept)


def _nonce() -> str:
    return secrets.token_hex(NONCE_BYTES)


def _nonce_of(entry: Entry) -> str:
    return entry.nonce if isinstance(entry, Claim) else ""
