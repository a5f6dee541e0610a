"""The instance's own claims beside everyone's: what is granted, given up and kept.

Nothing here waits; `celeryfork_calls.claims` does. The rules that keep a key from
running twice:

- A claim is granted here only while its caller still waits for an answer. A caller
  told ``not_run`` had its claim given up in the same step, under the same lock.
- A claim given up is never granted, whenever it turns up; its Abandon then frees the
  key for the next claim. Nobody takes over from a holder that is paused or gone.
- A claim is granted only if no earlier one can have left the log unread: the key is
  younger than what had left the log when this instance began to read.
"""

import secrets
import threading
from collections.abc import Callable, Sequence

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.outcomes import Outcome

from celeryfork_calls import errors
from celeryfork_calls.claim_attempts import (
    Attempt,
    AttemptState,
    Found,
    Recorded,
    WaitFor,
    replay,
)
from celeryfork_calls.claim_coverage import Coverage
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
from celeryfork_calls.claim_records import (
    NONCE_BYTES,
    Abandon,
    Batch,
    Claim,
    Entry,
    HandedOver,
    MalformedRecordError,
    NewerRecordError,
    decode_batch,
    settled_for_log,
)
from celeryfork_calls.claim_results import (
    Claimed,
    ClaimLimits,
    InProgress,
    Refused,
    Unresolved,
)
from celeryfork_calls.group_commit import (
    AppendResult,
    CommitLimits,
    GroupCommit,
    Queued,
)
from celeryfork_calls.kept_outcomes import KeptOutcome, KeptOutcomeStore
from celeryfork_calls.ports import LogPort, LogRecordPort, LogSlicePort

MOST_GIVEN_UP = 100_000

HandedOverCallback = Callable[[KeptOutcome], None]


class ClaimTable:
    """The claims of one instance and its fold of the stream; for any thread."""

    def __init__(
        self,
        log: LogPort,
        holder: str,
        clock: Clock,
        counters: Counters,
        limits: ClaimLimits,
    ) -> None:
        self.holder = holder
        self._log = log
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._fold = ClaimFold(limits.kept_ms)
        self._coverage = Coverage(limits)
        self._attempts_by_nonce: dict[str, Attempt] = {}
        self._attempts_by_hash: dict[bytes, Attempt] = {}
        self._given_up: dict[str, Abandon | None] = {}
        self._waiters_by_hash: dict[bytes, list[threading.Event]] = {}
        self._on_handed_over: HandedOverCallback | None = None
        self._waiting_count = 0
        self.awaited = threading.Event()
        self.stopping = False
        self.kept = KeptOutcomeStore(
            clock,
            counters,
            limits.most_kept,
            limits.most_kept_bytes,
            limits.kept_ms / 1000,
        )
        commit_limits = CommitLimits(
            limits.commit_wait_s, limits.most_queued, limits.most_queued_bytes
        )
        self.commit = GroupCommit(
            log, holder, commit_limits, self._on_append, clock, counters
        )

    @property
    def log_is_down(self) -> bool:
        """Whether the log takes no appends at present."""
        return not self._log.available or self.commit.refused_long

    def set_limits(self, limits: ClaimLimits) -> None:
        """Follow a new window, retention or commit wait.

        A wider window is safe at once: keys whose state was dropped under the old
        one are not granted.
        """
        with self._lock:
            self._coverage.set_limits(limits)
            self._fold.set_kept(limits.kept_ms)
            self.commit.set_gap(limits.commit_wait_s)

    # Callers

    def look_or_begin(
        self, organisation: str, key: str, body_hash: str
    ) -> Found | Attempt:
        """Return what is known of a key, or queue a claim for it."""
        with self._lock:
            found = self._look(organisation, key, body_hash)
            if found is not None:
                return found
            nonce = secrets.token_hex(NONCE_BYTES)
            return self._begin(Claim(organisation, key, body_hash, nonce))

    def end_wait(self, attempt: Attempt) -> None:
        """Give a claim up that is still undecided: its caller waits no more."""
        with self._lock:
            if attempt.state is AttemptState.WAITING:
                self._give_up(attempt)

    def append_again(self, attempt: Attempt, after_s: float) -> None:
        """Queue a claim anew whose append's answer was lost and which isn't seen."""
        with self._lock:
            lost_s = attempt.answer_lost_s
            if lost_s is None or attempt.state is not AttemptState.WAITING:
                return
            waited_s = self._clock.monotonic() - lost_s
            if waited_s >= after_s and not self.log_is_down:
                attempt.answer_lost_s = None
                self.commit.put(attempt.queued)

    def finish(self, claimed: Claimed, kept: KeptOutcome) -> None:
        """End a granted claim; ``NOT_RUN`` frees the key for another claim."""
        with self._lock:
            attempt = self._attempts_by_nonce.get(claimed.nonce)
            if attempt is None or attempt.state is not AttemptState.GRANTED:
                raise ValueError("finish is for claims that were granted, once")
            if kept.outcome is Outcome.NOT_RUN:
                self._give_up(attempt)
                return
            self.kept.put(kept)
            self._forget(attempt)
            self._log_outcome(claimed.nonce, kept)
            self._wake(attempt.hashed)

    def record_resolved_outcome(self, kept: KeptOutcome) -> None:
        """Keep what was found out about a key, and write it to the log if new there."""
        with self._lock:
            self.kept.put(kept)
            self._wake(key_hash(kept.organisation, kept.key))
            held = self._fold.held(kept.organisation, kept.key)
            if held is not None and held.outcome is not kept.outcome:
                self._log_outcome(held.nonce, kept)

    def store_peer_outcome(self, kept: KeptOutcome) -> None:
        """Keep an outcome that its holder told; the holder writes it to the log."""
        with self._lock:
            self.kept.put(kept)
            self._wake(key_hash(kept.organisation, kept.key))

    def give_up_all(self) -> None:
        """Take no more claims, and give up those that are undecided."""
        with self._lock:
            self.stopping = True
            for attempt in list(self._attempts_by_nonce.values()):
                if attempt.state is AttemptState.WAITING:
                    self._give_up(attempt)

    def attempt_of(self, organisation: str, key: str) -> Attempt | None:
        """Return this instance's own unfinished claim of a key."""
        with self._lock:
            return self._attempts_by_hash.get(key_hash(organisation, key))

    def change_of(self, organisation: str, key: str) -> threading.Event | None:
        """Return an event for what is new of a held key, None if there is news now."""
        with self._lock:
            held = self._fold.held(organisation, key)
            if held is None or held.outcome or self.kept.get(organisation, key):
                return None
            return self._waiter(key_hash(organisation, key))

    def drop_waiter(self, organisation: str, key: str, event: threading.Event) -> None:
        """Forget an event that nobody waits for any more."""
        hashed = key_hash(organisation, key)
        with self._lock:
            waiters = self._waiters_by_hash.get(hashed, [])
            if event in waiters:
                waiters.remove(event)
            if not waiters:
                self._waiters_by_hash.pop(hashed, None)

    def set_handed_over_callback(self, callback: HandedOverCallback) -> None:
        """Say who takes tickets' outcomes from the log."""
        self._on_handed_over = callback

    def dump(self) -> dict[str, object]:
        """Return the sizes for the state dump."""
        with self._lock:
            return {
                "keys_held": self._fold.size(),
                "attempts": len(self._attempts_by_nonce),
                "given_up": len(self._given_up),
                "kept": self.kept.dump(),
                "commit": self.commit.dump(),
            }

    def _look(self, organisation: str, key: str, body_hash: str) -> Found | None:
        kept = self.kept.get(organisation, key)
        held = self._fold.held(organisation, key)
        if kept is not None and not _says_more(held, kept):
            return replay(kept, body_hash)
        hashed = key_hash(organisation, key)
        attempt = self._attempts_by_hash.get(hashed)
        if attempt is not None:
            if attempt.claim.body_hash != body_hash:
                return Refused(errors.key_reused())
            return WaitFor(attempt.ended)
        if held is None:
            return None
        if held.body_hash_start != bytes.fromhex(body_hash)[:8]:
            return Refused(errors.key_reused())
        return self._look_at_holder(hashed, held)

    def _look_at_holder(self, hashed: bytes, held: Held) -> Found:
        """Return what is known of a key that the log says is held."""
        if held.outcome is Outcome.UNKNOWN:
            return Unresolved("its target gave no whole answer")
        if held.outcome is not None:
            return Recorded(held)
        if held.holder != self.holder:
            return InProgress(held.holder)
        return self._look_at_own(hashed, held)

    def _look_at_own(self, hashed: bytes, held: Held) -> Found:
        """Return what is known of a key that this instance held before."""
        if held.nonce in self._given_up:
            if self.log_is_down:
                return Refused(errors.log_unavailable("The log is down."))
            return WaitFor(self._waiter(hashed))
        return Unresolved("its outcome is not kept any more")

    def _begin(self, claim: Claim) -> Attempt | Refused:
        if self.stopping:
            return Refused(errors.stopping())
        if self.log_is_down:
            return Refused(errors.log_unavailable("The log is down."))
        hashed = key_hash(claim.organisation, claim.key)
        attempt = Attempt(claim, hashed, Queued(claim, must_land=False))
        if not self.commit.put(attempt.queued):
            return Refused(errors.overloaded("Too many claims wait for the log."))
        self._attempts_by_nonce[claim.nonce] = attempt
        self._attempts_by_hash[hashed] = attempt
        self._waiting_count += 1
        self.awaited.set()
        return attempt

    def _log_outcome(self, nonce: str, kept: KeptOutcome) -> None:
        entry = settled_for_log(nonce, kept)
        if not self.commit.put(Queued(entry, must_land=True)):
            self._counters.add("claims.outcomes_not_logged")

    def _give_up(
        self, attempt: Attempt, state: AttemptState = AttemptState.GIVEN_UP
    ) -> None:
        """Make sure that a claim is never granted from now on, and free its key."""
        self._decide(attempt, state)
        self._forget(attempt)
        if self.commit.withdraw(attempt.queued):
            return
        if len(self._given_up) >= MOST_GIVEN_UP:
            self._given_up.pop(next(iter(self._given_up)))
        claim = attempt.claim
        abandon = Abandon(claim.organisation, claim.key, claim.nonce)
        queued = self.commit.put(Queued(abandon, must_land=True))
        self._given_up[claim.nonce] = None if queued else abandon

    def _decide(self, attempt: Attempt, state: AttemptState) -> None:
        if attempt.state is AttemptState.WAITING:
            self._waiting_count -= 1
            if self._waiting_count == 0:
                self.awaited.clear()
        attempt.state = state
        attempt.decided.set()

    def _forget(self, attempt: Attempt) -> None:
        self._attempts_by_nonce.pop(attempt.claim.nonce, None)
        if self._attempts_by_hash.get(attempt.hashed) is attempt:
            del self._attempts_by_hash[attempt.hashed]
        attempt.ended.set()

    def _waiter(self, hashed: bytes) -> threading.Event:
        event = threading.Event()
        self._waiters_by_hash.setdefault(hashed, []).append(event)
        return event

    def _wake(self, hashed: bytes) -> None:
        for event in self._waiters_by_hash.pop(hashed, []):
            event.set()

    # The log

    def _on_append(self, batch: Sequence[Queued], result: AppendResult) -> None:
        """Note what became of an append of claims."""
        if result is AppendResult.APPENDED:
            return
        now_s = self._clock.monotonic()
        down = self.log_is_down
        with self._lock:
            for queued in batch:
                attempt = self._attempts_by_nonce.get(_nonce_of(queued.entry))
                if attempt is None or attempt.state is not AttemptState.WAITING:
                    continue
                if result is AppendResult.UNKNOWN or queued.maybe_in_log:
                    attempt.answer_lost_s = now_s
                elif down or self._is_refused(queued, result):
                    self._decide(attempt, AttemptState.REFUSED)
                    self._forget(attempt)

    def _is_refused(self, queued: Queued, result: AppendResult) -> bool:
        """Tell whether a claim is refused for good, else queue it again."""
        return result is AppendResult.REJECTED or not self.commit.put(queued)

    def on_gap(self, read_ended_s: float) -> None:
        """Note that records may have left the log unread before a read's end."""
        with self._lock:
            self._coverage.gap(read_ended_s)

    def take_in(self, part: LogSlicePort) -> None:
        """Fold what was read; records that can't be read are counted and skipped."""
        for record in part.records:
            try:
                batch = decode_batch(record.data)
            except NewerRecordError:
                # It may hold claims, so older keys can't be proven free any more.
                self._counters.add("claims.records_newer")
                with self._lock:
                    self._coverage.skipped(record.appended_ms)
            except MalformedRecordError:
                self._counters.add("claims.records_malformed")
            else:
                if batch.faults:
                    self._counters.add("claims.entries_malformed", batch.faults)
                with self._lock:
                    self._apply(record, batch)
                self._hand_on(batch)

    def _apply(self, record: LogRecordPort, batch: Batch) -> None:
        for effect in self._fold.apply(record.offset, record.appended_ms, batch):
            match effect:
                case Won(nonce):
                    self._on_won(nonce, record.appended_ms)
                case LostTo(nonce):
                    self._on_lost(nonce, AttemptState.LOST)
                case Ignored(nonce):
                    self._on_lost(nonce, AttemptState.UNPROVEN)
                case Ended(hashed):
                    self._wake(hashed)
        for entry in batch.entries:
            if isinstance(entry, Abandon):
                self._given_up.pop(entry.nonce, None)

    def _hand_on(self, batch: Batch) -> None:
        """Pass tickets' outcomes on; not under the lock, since they may come back."""
        if self._on_handed_over is None:
            return
        for entry in batch.entries:
            if isinstance(entry, HandedOver):
                self._on_handed_over(entry.kept)

    def _on_won(self, nonce: str, appended_ms: int) -> None:
        attempt = self._attempts_by_nonce.get(nonce)
        if attempt is None:
            self._on_surfaced(nonce)
            return
        if attempt.state is not AttemptState.WAITING:
            return
        birth_ms = birth_ms_of_key(attempt.claim.key) or 0
        sent_s = attempt.queued.first_sent_s or 0.0
        if self._coverage.proves(birth_ms, appended_ms, sent_s):
            self._decide(attempt, AttemptState.GRANTED)
        else:
            self._give_up(attempt, AttemptState.UNPROVEN)

    def _on_surfaced(self, nonce: str) -> None:
        """Abandon a claim that turned up after it was given up, if that's still due."""
        if nonce not in self._given_up:
            return
        self._counters.add("claims.surfaced_late")
        abandon = self._given_up[nonce]
        if abandon and self.commit.put(Queued(abandon, must_land=True)):
            self._given_up[nonce] = None

    def _on_lost(self, nonce: str, state: AttemptState) -> None:
        attempt = self._attempts_by_nonce.get(nonce)
        if attempt is None or attempt.state is not AttemptState.WAITING:
            return
        if state is AttemptState.UNPROVEN:
            self._give_up(attempt, state)
            return
        self._decide(attempt, state)
        self._forget(attempt)


def _says_more(held: Held | None, kept: KeptOutcome) -> bool:
    """Tell whether the log has settled what is kept here as unknown."""
    if held is None or kept.outcome is not Outcome.UNKNOWN:
        return False
    return held.outcome not in (None, Outcome.UNKNOWN)


def _nonce_of(entry: Entry) -> str:
    return entry.nonce if isinstance(entry, Claim) else ""
