"""Claims: at most one instance runs the call with a given idempotency key.

An instance appends a claim to the log, reads the log up to that claim, and runs the
call only if no other claim held the key. `celeryfork_calls.claim_table`
makes the decision; the threads of callers wait for it in this module.
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
    OutcomeInLog,
    WaitForOwnClaim,
    replay,
)
from celeryfork_calls.claim_fold import HeldKey, key_created_ms
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
from celeryfork_calls.group_commit import QueuedEntry
from celeryfork_calls.kept_outcomes import KeptOutcome
from celeryfork_calls.ports import LogPort

REAPPEND_AFTER_S = 0.5
# Seconds that a claim whose append may have reached the log keeps waiting once the
# log is known to be down; its thread is better spent on calls that need no log.
LOG_DOWN_TIMEOUT_S = 2.0


class ClaimCoordinator:
    """Claims keys for the calls of one instance; thread-safe."""

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
            self.table.apply_slice,
            self.table.on_gap,
            self.table.claims_waiting,
            clock,
            counters,
        )

    @property
    def ready(self) -> bool:
        """True once the stream has been read to its end."""
        return self.follower.caught_up

    def set_handed_over_callback(self, callback: HandedOverCallback) -> None:
        """Set the callback for ticket outcomes in the log; call before ``start``."""
        self.table.set_handed_over_callback(callback)

    def set_limits(self, limits: ClaimLimits) -> None:
        """Apply a new window, retention or commit wait from the configuration."""
        self._limits = limits
        self.table.set_limits(limits)

    def start(self) -> None:
        """Start the threads that read the log and append to it."""
        self.follower.start()
        self.table.commit.start()

    def stop(self) -> StopReport:
        """Give up undecided claims and flush outcomes; report what was not written.

        Granted claims should be finished first. A claim that is not keeps its key in
        the log without an outcome, and a retry gets the outcome ``unknown``.
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
        """Stop without writing queued entries, as in a crash; does not block."""
        self.table.commit.request_stop()
        self.follower.request_stop()

    def claim(
        self, organisation: str, key: str, body_hash: str, deadline_s: float
    ) -> ClaimResult:
        """Claim a key, or return the state of an earlier claim of it.

        Parameters
        ----------
        key
            A UUIDv7.
        body_hash
            Hash of the request body, from ``claim_fold.hash_body``.
        deadline_s
            Monotonic time until which the caller waits, in seconds.
        """
        key = key.lower()
        key_error = self._key_error(key)
        if key_error is not None:
            self._counters.add(f"claims.refused_{key_error.code}")
            return Refused(key_error)
        result: ClaimResult | None = None
        while result is None:
            match self.table.look_up_or_begin(organisation, key, body_hash):
                case Attempt() as attempt:
                    result = self._wait_for_decision(attempt, deadline_s)
                case WaitForOwnClaim(event):
                    result = self._wait_for_own_claim(
                        event, organisation, key, deadline_s
                    )
                case OutcomeInLog(held):
                    result = self._read_logged_outcome(body_hash, held)
                case found:
                    result = found
        self._counters.add(f"claims.{type(result).__name__.lower()}")
        return result

    def finish(self, claimed: Claimed, kept: KeptOutcome) -> None:
        """End a granted claim; ``NOT_RUN`` frees the key for another claim."""
        self.table.finish(claimed, kept)

    def record_resolved_outcome(self, kept: KeptOutcome) -> None:
        """Store an outcome found after the call, and log it if the log lacks it."""
        self.table.record_resolved_outcome(kept)

    def store_peer_outcome(self, kept: KeptOutcome) -> None:
        """Store an outcome sent by the key's holder, which logs it itself."""
        self.table.store_peer_outcome(kept)

    def append_handed_over_outcomes(self, outcomes: Sequence[KeptOutcome]) -> bool:
        """Queue outcomes of tickets for the log, from which every instance reads them.

        Returns
        -------
        bool
            True if the queue had room for all of them; ``stop`` flushes them.
        """
        queued = [
            QueuedEntry(HandedOver(kept), retry_until_confirmed=True)
            for kept in outcomes
        ]
        return all(self.table.commit.put(item) for item in queued)

    def find(self, organisation: str, key: str, wait_s: float) -> ttypes.OutcomeReply:
        """Answer a peer that received a retry of a call claimed by this instance."""
        attempt = self.table.get_attempt(organisation, key)
        ended = attempt is None or attempt.ended.wait(wait_s)
        kept = self.table.kept.get(organisation, key)
        return ttypes.OutcomeReply(
            known=kept is not None,
            running=kept is None and not ended,
            kept=None if kept is None else kept.to_wire(),
        )

    def wait_for_change(self, organisation: str, key: str, wait_s: float) -> bool:
        """Wait until a held key is settled or freed; False after ``wait_s`` seconds."""
        event = self.table.change_event(organisation, key)
        if event is None:
            return True
        changed = event.wait(max(0.0, wait_s))
        self.table.remove_waiter(organisation, key, event)
        return changed

    def dump(self) -> dict[str, object]:
        """Return the state of the claims for the state dump."""
        return {
            "ready": self.follower.caught_up,
            "next_offset": self.follower.next_offset,
            "log_is_down": self.table.log_is_down,
            **self.table.dump(),
        }

    def _key_error(self, key: str) -> RequestRefusedError | None:
        created_ms = key_created_ms(key)
        if created_ms is None:
            return errors.key_malformed("it is not a UUIDv7")
        age_s = (self._clock.wall_ms() - created_ms) / 1000
        if age_s > self._limits.window_s:
            return errors.key_expired(self._limits.window_s)
        if age_s < -self._limits.skew_s:
            return errors.key_malformed(
                f"its timestamp is {-age_s:.0f} s in the future"
            )
        return None

    def _wait_for_decision(
        self, attempt: Attempt, deadline_s: float
    ) -> ClaimResult | None:
        """Wait for the claim's decision; None if the key must be looked up again."""
        wait_until_s = deadline_s
        while True:
            now_s = self._clock.monotonic()
            remaining_s = min(deadline_s, wait_until_s) - now_s
            if remaining_s <= 0 or attempt.decided.wait(
                min(remaining_s, REAPPEND_AFTER_S)
            ):
                break
            if not self.table.log_is_down:
                wait_until_s = deadline_s
            elif wait_until_s == deadline_s:
                wait_until_s = self._clock.monotonic() + LOG_DOWN_TIMEOUT_S
            self.table.append_again(attempt, REAPPEND_AFTER_S)
        self.table.give_up_if_undecided(attempt)
        claim = attempt.claim
        match attempt.state:
            case AttemptState.GRANTED:
                return Claimed(
                    claim.organisation, claim.key, claim.body_hash, claim.nonce
                )
            case AttemptState.LOST:
                return None
            case AttemptState.UNPROVEN:
                return Unresolved("an earlier claim of the key may have been missed")
        return Refused(self._refusal_error(attempt))

    def _refusal_error(self, attempt: Attempt) -> RequestRefusedError:
        """Return the error for a claim that was not granted; its call did not run."""
        if self.table.stopping:
            return errors.stopping()
        if attempt.state is AttemptState.REFUSED:
            return errors.log_unavailable("The log refused the claim.")
        if attempt.queued.maybe_in_log or self.table.log_is_down:
            return errors.log_unavailable("The log did not confirm the claim.")
        return errors.deadline_passed(Outcome.NOT_RUN)

    def _wait_for_own_claim(
        self, event: threading.Event, organisation: str, key: str, deadline_s: float
    ) -> ClaimResult | None:
        """Wait until this instance's own claim of the key is settled or abandoned."""
        remaining_s = deadline_s - self._clock.monotonic()
        if remaining_s > 0 and event.wait(remaining_s):
            return None
        self.table.remove_waiter(organisation, key, event)
        if self.table.get_attempt(organisation, key) is not None:
            return InProgress(self.table.holder)
        # The key is held by a claim that this instance has given up; its Abandon has
        # not been read back yet.
        return Refused(errors.log_unavailable("An earlier claim is being withdrawn."))

    def _read_logged_outcome(self, body_hash: str, held: HeldKey) -> ClaimResult:
        """Read an outcome with its body from the log.

        If it was too large or the read fails, the result names the holder, which may
        have it.
        """
        if held.outcome_offset < 0:
            outcome = held.outcome or Outcome.UNKNOWN
            reason = "its answer was too large to be stored in the log"
            return Unresolved(reason, outcome, held.holder)
        try:
            log_slice = self._log.read(
                CLAIMS_STREAM, held.outcome_offset, 1, 0.0, READ_TIMEOUT_S
            )
            batches = [decode_batch(r.data) for r in log_slice.records[:1]]
        except (CeleryforkError, ValueError):
            reason = "its answer can't be read while the log is down"
            return Unresolved(reason, holder=held.holder)
        for entry in (e for batch in batches for e in batch.entries):
            if isinstance(entry, Settled) and entry.nonce == held.nonce:
                self.table.kept.put(entry.kept)
                return replay(entry.kept, body_hash)
        return Unresolved("its outcome has expired from the log")


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
    """Return a claim coordinator; call ``start`` before claiming.

    Parameters
    ----------
    retention_s
        Minimum time that the log keeps a record, in seconds.
    window_s, skew_s, commit_wait_s, flush_s
        See ``ClaimLimits``.

    Raises
    ------
    CallSettingsError
        The window plus twice the clock skew is not below the retention.
    """
    limits = ClaimLimits(
        retention_s=retention_s,
        window_s=window_s,
        skew_s=skew_s,
        commit_wait_s=commit_wait_s,
        flush_s=flush_s,
    )
    return ClaimCoordinator(log, incarnation, clock, counters, limits)
