"""Requests for admission, and the queues that they wait in."""

from concurrent.futures import Future

from attrs import define, field, frozen
from celeryfork_base.errors import RequestRefusedError

from celeryfork_admission.fair_queue import FairQueue


@frozen
class QueueBounds:
    """Limits of each queue.

    Parameters
    ----------
    most_requests
        Largest number of waiting requests per queue.
    most_wait_s
        Longest wait for a slot, in seconds.
    """

    most_requests: int
    most_wait_s: float


@frozen
class AdmissionRequest:
    """A request for admission.

    Parameters
    ----------
    organisation, weight
        Organisation of the caller, and its share of the served tokens relative to
        others.
    estimated_tokens
        Estimated prompt and answer tokens.
    priority
        0 (lowest) to 9 (highest).
    deadline_s
        Monotonic time by which the caller needs the whole answer, in seconds.
    queue
        Name of the queue: one for each model and each plain service.
    """

    organisation: str
    weight: float
    estimated_tokens: float
    priority: int
    deadline_s: float
    queue: str


@define(eq=False)
class Admitted:
    """An admitted request; pass it to ``Admission.release`` once it has ended.

    Parameters
    ----------
    entered_s
        Monotonic time at which it got its permit, in seconds.
    waited_s
        Time that it waited for a slot, in seconds.
    released
        True once it was passed to ``Admission.release``.
    """

    request: AdmissionRequest
    entered_s: float
    waited_s: float = 0.0
    released: bool = False


@define(eq=False)
class PendingAdmission:
    """A queued request with the future that its caller waits for."""

    admitted: Admitted
    future: "Future[Admitted]"
    refusal: RequestRefusedError | None = None


@define(eq=False)
class Queue:
    """One queue, its slots and its measured throughput.

    Parameters
    ----------
    tokens_per_s
        Moving average of the tokens used per second by all its requests.
    seconds_per_token
        Moving average of the run time per estimated token of one request.
    interval_tokens, interval_start_s
        Tokens used since the last update of ``tokens_per_s``, and its time.
    """

    slots: int
    running: int = 0
    tokens_per_s: float = 0.0
    seconds_per_token: float = 0.0
    interval_tokens: float = 0.0
    interval_start_s: float = 0.0
    backlog: FairQueue = field(factory=FairQueue)
    pending_by_queued: dict[int, PendingAdmission] = field(factory=dict)
