"""What waits for admission, and the queues it waits in."""

from concurrent.futures import Future

from attrs import define, field, frozen
from celeryfork_base.errors import RequestRefusedError

from celeryfork_admission.fair_queue import FairQueue


@frozen
class QueueBounds:
    """How much may wait.

    Parameters
    ----------
    most_requests
        Waiting requests per queue.
    most_wait_s
        Longest wait for a slot, in seconds.
    """

    most_requests: int
    most_wait_s: float


@frozen
class AdmissionRequest:
    """A request that wants to start.

    Parameters
    ----------
    organisation, weight
        Whose it is, and the organisation's share relative to others.
    estimated_tokens
        Prompt and answer tokens that it will probably cost.
    priority
        0 (least) to 9.
    deadline_s
        Monotonic time by which the caller wants the answer, in seconds.
    queue
        The queue it waits in: one for each model and each plain service.
    """

    organisation: str
    weight: float
    estimated_tokens: float
    priority: int
    deadline_s: float
    queue: str


@define(eq=False)
class Admitted:
    """A request that was let in; hand it to ``Admission.leave`` exactly once."""

    request: AdmissionRequest
    entered_s: float
    waited_s: float = 0.0
    released: bool = False


@define(eq=False)
class PendingAdmission:
    """A waiting request with the future that its caller holds."""

    admitted: Admitted
    future: "Future[Admitted]"
    refusal: RequestRefusedError | None = None


@define(eq=False)
class Queue:
    """One queue with its slots."""

    slots: int
    running: int = 0
    tokens_per_s: float = 0.0
    seconds_per_token: float = 0.0
    interval_tokens: float = 0.0
    interval_start_s: float = 0.0
    backlog: FairQueue = field(factory=FairQueue)
    pending_by_queued: dict[int, PendingAdmission] = field(factory=dict)
