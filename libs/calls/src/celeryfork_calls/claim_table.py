"""State of an instance's own claims, next to the claims of all instances in the log.

No method blocks; callers wait in `celeryfork_calls.claims`. These rules keep the call
of a key from running twice:

- A claim is granted only while its caller still waits for an answer. A caller that
  gets ``not_run`` had its claim given up in the same step, under the same lock.
- A claim that was given up is never granted, however late its record appears in the
  log; its Abandon record then frees the key for the next claim. A claim of a paused or
  crashed holder is never taken over.
- A claim is granted only if no earlier claim of the key can have expired from the log
  unread or been skipped: the key is newer than any records that this instance may have
  missed (`celeryfork_calls.claim_coverage`).
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
    LookupResult,
    OutcomeInLog,
    WaitForOwnClaim,
    replay,
)
from celeryfork_calls.claim_coverage import Coverage
from celeryfork_calls.claim_fold import (
    ClaimEnded,
    ClaimFold,
    ClaimIgnored,
    ClaimLost,
    ClaimWon,
    HeldKey,
    key_created_ms,
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
    QueuedEntry,
)
from celeryfork_calls.kept_outcomes import KeptOutcome, KeptOutcomeStore
from celeryfork_calls.ports import LogPort, LogRecordPort, LogSlicePort

MAX_GIVEN_UP_CLAIMS = 100_000

HandedOverCallback = Callable[[KeptOutcome], None]


class ClaimTable:
    """The claims of one instance and its fold of the stream; thread-safe."""

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
        self._fold = ClaimFold(limits.key_state_ttl_ms)
        self._coverage = Coverage(limits)
        self._attempts_by_nonce: dict[str, Attempt] = {}
        self._attempts_by_hash: dict[bytes, Attempt] = {}
        # By nonce; the Abandon is None once it has been queued.
        self._given_up: dict[str, Abandon | None] = {}
        self._waiters_by_hash: dict[bytes, list[threading.Event]] = {}
        self._on_handed_over: HandedOverCallback | None = None
        self._waiting_count = 0
        self.claims_waiting = threading.Event()
        self.stopping = False
        self.kept = KeptOutcomeStore(
            clock,
            counters,
            limits.max_kept,
            limits.max_kept_bytes,
            limits.key_state_ttl_ms / 1000,
        )
        commit_limits = CommitLimits(
            limits.commit_wait_s, limits.max_queued, limits.max_queued_bytes
        )
        self.commit = GroupCommit(
            log, holder, commit_limits, self._on_append, clock, counters
        )

    @property
    def log_is_down(self) -> bool:
        """True while the log accepts no appends."""
        return not self._log.available or self.commit.refuses_persistently

    def set_limits(self, limits: ClaimLimits) -> None:
        """Apply a new window, retention or commit wait.

        A wider window is safe immediately: keys whose state was dropped under the old
        window are not granted.
        """
        with self._lock:
            self._coverage.set_limits(limits)
            self._fold.set_key_state_ttl(limits.key_state_ttl_ms)
            self.commit.set_interval(limits.commit_wait_s)

    # Requests of callers

    def look_up_or_begin(
        self, organisation: str, key: str, body_hash: str
    ) -> LookupResult | Attempt:
        """Return the known state of a key, or queue a claim of it."""
        with self._lock:
            found = self._look_up(organisation, key, body_hash)
            if found is not None:
                return found
            nonce = secrets.token_hex(NONCE_BYTES)
            return self._begin(Claim(organisation, key, body_hash, nonce))

    def give_up_if_undecided(self, attempt: Attempt) -> None:
        """Give a claim up if it is undecided, since its caller stops waiting."""
        with self._lock:
            if attempt.state is AttemptState.WAITING:
                self._give_up(attempt)

    def append_again(self, attempt: Attempt, after_s: float) -> None:
        """Queue an undecided claim again ``after_s`` after its append got no answer."""
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
                raise ValueError(
                    "finish needs a granted claim that is not finished yet"
                )
            if kept.outcome is Outcome.NOT_RUN:
                self._give_up(attempt)
                return
            self.kept.put(kept)
            self._remove_attempt(attempt)
            self._log_outcome(claimed.nonce, kept)
            self._wake_waiters(attempt.key_digest)

    def record_resolved_outcome(self, kept: KeptOutcome) -> None:
        """Store an outcome found after the call, and log it if the log lacks it."""
        with self._lock:
            self.kept.put(kept)
            self._wake_waiters(key_hash(kept.organisation, kept.key))
            held = self._fold.held(kept.organisation, kept.key)
            if held is not None and held.outcome is not kept.outcome:
                self._log_outcome(held.nonce, kept)

    def store_peer_outcome(self, kept: KeptOutcome) -> None:
        """Store an outcome sent by the key's holder, which logs it itself."""
        with self._lock:
            self.kept.put(kept)
            self._wake_waiters(key_hash(kept.organisation, kept.key))

    def give_up_all(self) -> None:
        """Refuse further claims, and give up those that are undecided."""
        with self._lock:
            self.stopping = True
            for attempt in list(self._attempts_by_nonce.values()):
                if attempt.state is AttemptState.WAITING:
                    self._give_up(attempt)

    def get_attempt(self, organisation: str, key: str) -> Attempt | None:
        """Return this instance's own unfinished claim of a key."""
        with self._lock:
            return self._attempts_by_hash.get(key_hash(organisation, key))

    def change_event(self, organisation: str, key: str) -> threading.Event | None:
        """Return an event that is set when a key's state changes.

        None if the key is free or has an outcome.
        """
        with self._lock:
            held = self._fold.held(organisation, key)
            if held is None or held.outcome or self.kept.get(organisation, key):
                return None
            return self._add_waiter(key_hash(organisation, key))

    def remove_waiter(
        self, organisation: str, key: str, event: threading.Event
    ) -> None:
        """Remove an event for which no thread waits any more."""
        key_digest = key_hash(organisation, key)
        with self._lock:
            waiters = self._waiters_by_hash.get(key_digest, [])
            if event in waiters:
                waiters.remove(event)
            if not waiters:
                self._waiters_by_hash.pop(key_digest, None)

    def set_handed_over_callback(self, callback: HandedOverCallback) -> None:
        """Set the callback for ticket outcomes that are read from the log."""
        self._on_handed_over = callback

    def dump(self) -> dict[str, object]:
        """Return the sizes for the state dump."""
        with self._lock:
            return {
                "keys_held": self._fold.key_count(),
                "attempts": len(self._attempts_by_nonce),
                "given_up": len(self._given_up),
                "kept": self.kept.dump(),
                "commit": self.commit.dump(),
            }

    def _look_up(
        self, organisation: str, key: str, body_hash: str
    ) -> LookupResult | None:
        kept = self.kept.get(organisation, key)
        held = self._fold.held(organisation, key)
        if kept is not None and not _log_supersedes_kept(held, kept):
            return replay(kept, body_hash)
        key_digest = key_hash(organisation, key)
        attempt = self._attempts_by_hash.get(key_digest)
        if attempt is not None:
            if attempt.claim.body_hash != body_hash:
                return Refused(errors.key_reused())
            return WaitForOwnClaim(attempt.ended)
        if held is None:
            return None
        if held.body_hash_start != bytes.fromhex(body_hash)[:8]:
            return Refused(errors.key_reused())
        return self._describe_held_key(key_digest, held)

    def _describe_held_key(self, key_digest: bytes, held: HeldKey) -> LookupResult:
        """Return the state of a key that is held according to the log."""
        if held.outcome is Outcome.UNKNOWN:
            return Unresolved("its target gave no complete answer")
        if held.outcome is not None:
            return OutcomeInLog(held)
        if held.holder != self.holder:
            return InProgress(held.holder)
        return self._describe_own_key(key_digest, held)

    def _describe_own_key(self, key_digest: bytes, held: HeldKey) -> LookupResult:
        """Return the state of a key held by a claim that this instance has ended."""
        if held.nonce in self._given_up:
            if self.log_is_down:
                return Refused(errors.log_unavailable("The log is down."))
            return WaitForOwnClaim(self._add_waiter(key_digest))
        return Unresolved("its outcome is no longer stored")

    def _begin(self, claim: Claim) -> Attempt | Refused:
        if self.stopping:
            return Refused(errors.stopping())
        if self.log_is_down:
            return Refused(errors.log_unavailable("The log is down."))
        key_digest = key_hash(claim.organisation, claim.key)
        attempt = Attempt(
            claim, key_digest, QueuedEntry(claim, retry_until_confirmed=False)
        )
        if not self.commit.put(attempt.queued):
            return Refused(errors.overloaded("Too many claims are queued for the log."))
        self._attempts_by_nonce[claim.nonce] = attempt
        self._attempts_by_hash[key_digest] = attempt
        self._waiting_count += 1
        self.claims_waiting.set()
        return attempt

    def _log_outcome(self, nonce: str, kept: KeptOutcome) -> None:
        entry = settled_for_log(nonce, kept)
        if not self.commit.put(QueuedEntry(entry, retry_until_confirmed=True)):
            self._counters.add("claims.outcomes_not_logged")

    def _give_up(
        self, attempt: Attempt, state: AttemptState = AttemptState.GIVEN_UP
    ) -> None:
        """Mark a claim so that it is never granted, and free its key."""
        self._decide(attempt, state)
        self._remove_attempt(attempt)
        if self.commit.withdraw(attempt.queued):
            return
        if len(self._given_up) >= MAX_GIVEN_UP_CLAIMS:
            self._given_up.pop(next(iter(self._given_up)))
        claim = attempt.claim
        abandon = Abandon(claim.organisation, claim.key, claim.nonce)
        queued = self.commit.put(QueuedEntry(abandon, retry_until_confirmed=True))
        self._given_up[claim.nonce] = None if queued else abandon

    def _decide(self, attempt: Attempt, state: AttemptState) -> None:
        if attempt.state is AttemptState.WAITING:
            self._waiting_count -= 1
            if self._waiting_count == 0:
                self.claims_waiting.clear()
        attempt.state = state
        attempt.decided.set()

    def _remove_attempt(self, attempt: Attempt) -> None:
        self._attempts_by_nonce.pop(attempt.claim.nonce, None)
        if self._attempts_by_hash.get(attempt.key_digest) is attempt:
            del self._attempts_by_hash[attempt.key_digest]
        attempt.ended.set()

    def _add_waiter(self, key_digest: bytes) -> threading.Event:
        event = threading.Event()
        self._waiters_by_hash.setdefault(key_digest, []).append(event)
        return event

    def _wake_waiters(self, key_digest: bytes) -> None:
        for event in self._waiters_by_hash.pop(key_digest, []):
            event.set()

    # Appends and records of the log

    def _on_append(self, batch: Sequence[QueuedEntry], result: AppendResult) -> None:
        """Update the attempts of a batch after its append failed or got no answer."""
        if result is AppendResult.APPENDED:
            return
        now_s = self._clock.monotonic()
        down = self.log_is_down
        with self._lock:
            for queued in batch:
                attempt = self._attempts_by_nonce.get(_claim_nonce(queued.entry))
                if attempt is None or attempt.state is not AttemptState.WAITING:
                    continue
                if result is AppendResult.UNKNOWN or queued.maybe_in_log:
                    attempt.answer_lost_s = now_s
                elif down or self._is_refused(queued, result):
                    self._decide(attempt, AttemptState.REFUSED)
                    self._remove_attempt(attempt)

    def _is_refused(self, queued: QueuedEntry, result: AppendResult) -> bool:
        """Queue a claim again; True if it is rejected or the queue is full."""
        return result is AppendResult.REJECTED or not self.commit.put(queued)

    def on_gap(self, read_ended_s: float) -> None:
        """Record that entries may have expired unread before a read ended."""
        with self._lock:
            self._coverage.note_gap(read_ended_s)

    def apply_slice(self, log_slice: LogSlicePort) -> None:
        """Apply a slice of the log; records that can't be decoded are only counted."""
        for record in log_slice.records:
            try:
                batch = decode_batch(record.data)
            except NewerRecordError:
                # It may hold claims, so older keys can no longer be proven free.
                self._counters.add("claims.records_newer")
                with self._lock:
                    self._coverage.note_skipped_record(record.appended_ms)
            except MalformedRecordError:
                self._counters.add("claims.records_malformed")
            else:
                if batch.malformed_entries:
                    self._counters.add(
                        "claims.entries_malformed", batch.malformed_entries
                    )
                with self._lock:
                    self._apply(record, batch)
                self._deliver_handed_over(batch)

    def _apply(self, record: LogRecordPort, batch: Batch) -> None:
        for effect in self._fold.apply(record.offset, record.appended_ms, batch):
            match effect:
                case ClaimWon(nonce):
                    self._on_won(nonce, record.appended_ms)
                case ClaimLost(nonce):
                    self._on_lost(nonce, AttemptState.LOST)
                case ClaimIgnored(nonce):
                    self._on_lost(nonce, AttemptState.UNPROVEN)
                case ClaimEnded(key_digest):
                    self._wake_waiters(key_digest)
        for entry in batch.entries:
            if isinstance(entry, Abandon):
                self._given_up.pop(entry.nonce, None)

    def _deliver_handed_over(self, batch: Batch) -> None:
        """Pass ticket outcomes to the callback.

        The lock is not held, since the callback may call this object again.
        """
        if self._on_handed_over is None:
            return
        for entry in batch.entries:
            if isinstance(entry, HandedOver):
                self._on_handed_over(entry.kept)

    def _on_won(self, nonce: str, appended_ms: int) -> None:
        attempt = self._attempts_by_nonce.get(nonce)
        if attempt is None:
            self._on_late_win(nonce)
            return
        if attempt.state is not AttemptState.WAITING:
            return
        created_ms = key_created_ms(attempt.claim.key) or 0
        sent_s = attempt.queued.first_sent_s or 0.0
        if self._coverage.proves_no_claim_missed(created_ms, appended_ms, sent_s):
            self._decide(attempt, AttemptState.GRANTED)
        else:
            self._give_up(attempt, AttemptState.UNPROVEN)

    def _on_late_win(self, nonce: str) -> None:
        """Queue the Abandon of a given-up claim that was read late, if not queued."""
        if nonce not in self._given_up:
            return
        self._counters.add("claims.surfaced_late")
        abandon = self._given_up[nonce]
        if abandon and self.commit.put(
            QueuedEntry(abandon, retry_until_confirmed=True)
        ):
            self._given_up[nonce] = None

    def _on_lost(self, nonce: str, state: AttemptState) -> None:
        attempt = self._attempts_by_nonce.get(nonce)
        if attempt is None or attempt.state is not AttemptState.WAITING:
            return
        if state is AttemptState.UNPROVEN:
            self._give_up(attempt, state)
            return
        self._decide(attempt, state)
        self._remove_attempt(attempt)


def _log_supersedes_kept(held: HeldKey | None, kept: KeptOutcome) -> bool:
    """Return True if the log has an outcome where the stored one is unknown."""
    if held is None or kept.outcome is not Outcome.UNKNOWN:
        return False
    return held.outcome not in (None, Outcome.UNKNOWN)


def _claim_nonce(entry: Entry) -> str:
    return entry.nonce if isinstance(entry, Claim) else ""
