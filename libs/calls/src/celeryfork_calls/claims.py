"""Claims: at most one instance runs the call with a given key.

An instance appends a claim, reads the log up to it, and runs the call only if its
claim took the key. `celeryfork_calls.claim_table` decides; callers wait here.
"""

import threading
from collections.abc import Sequence

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import CeleryforkError, RequestRefusedError
from celeryfork_base.identity import Incarnation
from celeryfork_base.outcomes import Outcome
from celeryfork_wire.gen.celeryfork import ttypes

from celeryfork_calls import errors
from celeryfork_calls.claim_attempts import (
    Attempt,
    AttemptState,
    Recorded,
    WaitFor,
    replay,
)
from celeryfork_calls.claim_fold import Held, birth_ms_of_key
from celeryfork_calls.claim_follower import READ_TIMEOUT_S, ClaimFollower
from celeryfork_calls.claim_records import (
    CLAIMS_STREAM,
    Abandon,
    HandedOver,
    Settled,
    decode_batch,
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
    StopReport,
    Unresolved,
)
from celeryfork_calls.claim_table import ClaimTable, HandedOverCallback
from celeryfork_calls.group_commit import Queued
from celeryfork_calls.kept_outcomes import KeptOutcome
from celeryfork_calls.ports import LogPort

REAPPEND_AFTER_S = 0.5
# A claim whose append may have landed waits this long once the log is known to be
# down; its thread is worth more to calls that need no log.
LOG_DOWN_PATIENCE_S = 2.0


class ClaimCoordinator:
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
        self._clock = clock
        self._counters = counters
        self._limits = limits
        self.table = ClaimTable(log, str(incarnation), clock, counters, limits)
        self.follower = ClaimFollower(
            log,
            self.table.take_in,
            self.table.on_gap,
            self.table.awaited,
            clock,
            counters,
        )

    @property
    def ready(self) -> bool:
        """Whether the stream was read to its end once."""
        return self.follower.caught_up

    def set_handed_over_callback(self, callback: HandedOverCallback) -> None:
        """Say who takes tickets' outcomes from the log; before ``start``."""
        self.table.set_handed_over_callback(callback)

    def set_limits(self, limits: ClaimLimits) -> None:
        """Follow a new window, retention or commit wait from the configuration."""
        self._limits = limits
        self.table.set_limits(limits)

    def start(self) -> None:
        """Begin to read and to append in the background."""
        self.follower.start()
        self.table.commit.start()

    def stop(self) -> StopReport:
        """Give up what waits, write what ended, and say what couldn't be written.

        Granted claims should have been finished before; one that is not stays held
        in the log without an outcome, and a repeat is told ``unknown``.
        """
        self.table.give_up_all()
        left = self.table.commit.flush(self._limits.flush_s)
        self.table.commit.stop()
        self.follower.stop()
        unflushed = [e.kept for e in left if isinstance(e, Settled | HandedOver)]
        self._counters.add("claims.outcomes_unflushed", len(unflushed))
        abandons = sum(isinstance(e, Abandon) for e in left)
        return StopReport(unflushed, abandons)

    def stop_without_flush(self) -> None:
        """End without writing what waits, as a crash would; doesn't wait."""
        self.table.commit.end()
        self.follower.end()

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
        key = key.lower()
        fault = self._key_fault(key)
        if fault is not None:
            self._counters.add(f"claims.refused_{fault.code}")
            return Refused(fault)
        result: ClaimResult | None = None
        while result is None:
            match self.table.look_or_begin(organisation, key, body_hash):
                case Attempt() as attempt:
                    result = self._await_decision(attempt, deadline_s)
                case WaitFor(event):
                    result = self._await_own(event, organisation, key, deadline_s)
                case Recorded(held):
                    result = self._read_outcome(body_hash, held)
                case found:
                    result = found
        self._counters.add(f"claims.{type(result).__name__.lower()}")
        return result

    def finish(self, claimed: Claimed, kept: KeptOutcome) -> None:
        """End a granted claim; ``NOT_RUN`` frees the key for another claim."""
        self.table.finish(claimed, kept)

    def record_resolved_outcome(self, kept: KeptOutcome) -> None:
        """Keep what was found out about a key, and write it to the log if new there."""
        self.table.record_resolved_outcome(kept)

    def store_peer_outcome(self, kept: KeptOutcome) -> None:
        """Keep an outcome that its holder told; the holder writes it to the log."""
        self.table.store_peer_outcome(kept)

    def append_handed_over_outcomes(self, outcomes: Sequence[KeptOutcome]) -> bool:
        """Write outcomes of tickets to the log, for every instance to read.

        Returns
        -------
        bool
            Whether there was room to queue them all; ``stop`` flushes them.
        """
        queued = [Queued(HandedOver(kept), must_land=True) for kept in outcomes]
        return all(self.table.commit.put(one) for one in queued)

    def find(self, organisation: str, key: str, wait_s: float) -> ttypes.OutcomeReply:
        """Answer a peer that holds a repeat of a call that this instance claimed."""
        attempt = self.table.attempt_of(organisation, key)
        ended = attempt is None or attempt.ended.wait(wait_s)
        kept = self.table.kept.get(organisation, key)
        return ttypes.OutcomeReply(
            known=kept is not None,
            running=kept is None and not ended,
            kept=None if kept is None else kept.to_wire(),
        )

    def wait_for_change(self, organisation: str, key: str, wait_s: float) -> bool:
        """Wait until something new is known of a held key; False after ``wait_s``."""
        event = self.table.change_of(organisation, key)
        if event is None:
            return True
        changed = event.wait(max(0.0, wait_s))
        self.table.drop_waiter(organisation, key, event)
        return changed

    def dump(self) -> dict[str, object]:
        """Return the book's state for the state dump."""
        return {
            "ready": self.follower.caught_up,
            "next_offset": self.follower.next_offset,
            "log_is_down": self.table.log_is_down,
            **self.table.dump(),
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

    def _await_decision(
        self, attempt: Attempt, deadline_s: float
    ) -> ClaimResult | None:
        """Wait until the log decides; None where the key has to be looked up again."""
        patient_until_s = deadline_s
        while True:
            now_s = self._clock.monotonic()
            left_s = min(deadline_s, patient_until_s) - now_s
            if left_s <= 0 or attempt.decided.wait(min(left_s, REAPPEND_AFTER_S)):
                break
            if not self.table.log_is_down:
                patient_until_s = deadline_s
            elif patient_until_s == deadline_s:
                patient_until_s = self._clock.monotonic() + LOG_DOWN_PATIENCE_S
            self.table.append_again(attempt, REAPPEND_AFTER_S)
        self.table.end_wait(attempt)
        claim = attempt.claim
        match attempt.state:
            case AttemptState.GRANTED:
                return Claimed(
                    claim.organisation, claim.key, claim.body_hash, claim.nonce
                )
            case AttemptState.LOST:
                return None
            case AttemptState.UNPROVEN:
                return Unresolved("what it did before has left the log")
        return Refused(self._why_not(attempt))

    def _why_not(self, attempt: Attempt) -> RequestRefusedError:
        """Return why a claim that was never granted ends; it did not run."""
        if self.table.stopping:
            return errors.stopping()
        if attempt.state is AttemptState.REFUSED:
            return errors.log_unavailable("The log did not take the claim.")
        if attempt.queued.maybe_in_log or self.table.log_is_down:
            return errors.log_unavailable("The log did not confirm the claim.")
        return errors.deadline_passed(Outcome.NOT_RUN)

    def _await_own(
        self, event: threading.Event, organisation: str, key: str, deadline_s: float
    ) -> ClaimResult | None:
        """Wait for this instance's own claim of the key to end or be freed."""
        left_s = deadline_s - self._clock.monotonic()
        if left_s > 0 and event.wait(left_s):
            return None
        self.table.drop_waiter(organisation, key, event)
        if self.table.attempt_of(organisation, key) is not None:
            return InProgress(self.table.holder)
        # The one claim that holds the key is this instance's, and given up for good.
        return Refused(errors.log_unavailable("An earlier claim is being withdrawn."))

    def _read_outcome(self, body_hash: str, held: Held) -> ClaimResult:
        """Read a whole outcome back from the log; failing that, its holder has it."""
        if held.outcome_offset < 0:
            outcome = held.outcome or Outcome.UNKNOWN
            reason = "its answer was too large for the log"
            return Unresolved(reason, outcome, held.holder)
        try:
            part = self._log.read(
                CLAIMS_STREAM, held.outcome_offset, 1, 0.0, READ_TIMEOUT_S
            )
            batches = [decode_batch(r.data) for r in part.records[:1]]
        except (CeleryforkError, ValueError):
            reason = "its answer can't be read while the log is down"
            return Unresolved(reason, holder=held.holder)
        for entry in (e for batch in batches for e in batch.entries):
            if isinstance(entry, Settled) and entry.nonce == held.nonce:
                self.table.kept.put(entry.kept)
                return replay(entry.kept, body_hash)
        return Unresolved("its outcome has left the log")


def make_claim_coordinator(
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
) -> ClaimCoordinator:
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
    return ClaimCoordinator(log, incarnation, clock, counters, limits)
