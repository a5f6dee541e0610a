"""A claim attempt of this instance, its state, and the results of a key lookup."""

import threading
from enum import Enum

from attrs import field, frozen, mutable
from celeryfork_base.outcomes import Outcome

from celeryfork_calls import errors
from celeryfork_calls.claim_fold import HeldKey
from celeryfork_calls.claim_records import Claim
from celeryfork_calls.claim_results import InProgress, Refused, Replay, Unresolved
from celeryfork_calls.group_commit import QueuedEntry
from celeryfork_calls.kept_outcomes import KeptOutcome


class AttemptState(Enum):
    """State of one claim of this instance."""

    WAITING = "waiting"
    GRANTED = "granted"
    LOST = "lost"
    UNPROVEN = "unproven"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


@mutable(eq=False)
class Attempt:
    """One claim of this instance, from being queued to its outcome.

    Parameters
    ----------
    answer_lost_s
        Monotonic time at which an append of the claim got no answer, in seconds.
    decided
        Set once the state is no longer ``WAITING``.
    ended
        Set once this instance no longer claims the key, or its outcome is stored.
    """

    claim: Claim
    key_digest: bytes
    queued: QueuedEntry
    state: AttemptState = AttemptState.WAITING
    answer_lost_s: float | None = None
    decided: threading.Event = field(factory=threading.Event)
    ended: threading.Event = field(factory=threading.Event)


@frozen
class WaitForOwnClaim:
    """A claim of this instance holds the key; ``event`` is set when it ends."""

    event: threading.Event


@frozen
class OutcomeInLog:
    """The key's outcome is in the log."""

    held: HeldKey


LookupResult = (
    Replay | InProgress | Unresolved | Refused | WaitForOwnClaim | OutcomeInLog
)
"""Results of a key lookup."""


def replay(kept: KeptOutcome, body_hash: str) -> Replay | Unresolved | Refused:
    """Return the result of a retry whose key has a stored outcome."""
    if kept.body_hash and kept.body_hash != body_hash:
        return Refused(errors.key_reused())
    if kept.outcome is Outcome.UNKNOWN:
        return Unresolved("its target gave no complete answer")
    return Replay(kept)
