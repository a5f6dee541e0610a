"""One claim of this instance, how far it has come, and what a look at a key finds."""

import threading
from enum import Enum

from attrs import field, frozen, mutable
from celeryfork_base.outcomes import Outcome

from celeryfork_calls import errors
from celeryfork_calls.claim_fold import Held
from celeryfork_calls.claim_records import Claim
from celeryfork_calls.claim_results import InProgress, Refused, Replay, Unresolved
from celeryfork_calls.group_commit import Queued
from celeryfork_calls.kept_outcomes import KeptOutcome


class AttemptState(Enum):
    """How far one claim of this instance has come."""

    WAITING = "waiting"
    GRANTED = "granted"
    LOST = "lost"
    UNPROVEN = "unproven"
    REFUSED = "refused"
    GIVEN_UP = "given_up"


@mutable(eq=False)
class Attempt:
    """One claim of this instance, from its append to its outcome.

    Parameters
    ----------
    answer_lost_s
        Monotonic time at which an append of it went unanswered.
    decided
        Set once the state is no longer ``WAITING``.
    ended
        Set once the key is this instance's no more, or its outcome is kept.
    """

    claim: Claim
    hashed: bytes
    queued: Queued
    state: AttemptState = AttemptState.WAITING
    answer_lost_s: float | None = None
    decided: threading.Event = field(factory=threading.Event)
    ended: threading.Event = field(factory=threading.Event)


@frozen
class WaitFor:
    """The instance's own claim of the key has to end or be freed first."""

    event: threading.Event


@frozen
class Recorded:
    """The key's outcome stands in the log."""

    held: Held


Found = Replay | InProgress | Unresolved | Refused | WaitFor | Recorded
"""What a look at a key can find."""


def replay(kept: KeptOutcome, body_hash: str) -> Replay | Unresolved | Refused:
    """Return what a kept outcome means to a repeat of the call."""
    if kept.body_hash and kept.body_hash != body_hash:
        return Refused(errors.key_reused())
    if kept.outcome is Outcome.UNKNOWN:
        return Unresolved("its target gave no whole answer")
    return Replay(kept)
