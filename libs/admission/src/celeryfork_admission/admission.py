"""Starts a request, queues it, or refuses it.

Every refusal happens before a target is chosen, so its outcome is ``not_run``.
"""

import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol

from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome

from celeryfork_admission.admission_queue import (
    AdmissionRequest,
    Admitted,
    PendingAdmission,
    Queue,
    QueueBounds,
)
from celeryfork_admission.fair_queue import QueuedRequest

MAX_SWEEP_INTERVAL_S = 0.25
MIN_RETRY_AFTER_S = 1.0
MAX_QUEUE_SHARE_PER_ORGANISATION = 0.5
# Weights of the previous value in the exponential moving averages.
RATE_SMOOTHING = 0.9
RUN_TIME_SMOOTHING = 0.95
# Factor on the estimated run time: only a request that would clearly miss its deadline
# is refused.
RUN_TIME_TOLERANCE = 0.8


class PermitPort(Protocol):
    """Methods of the permit manager that admission needs."""

    def acquire(self, organisation: str) -> "Future[None]":
        """Acquire one permit; a refusal is a RequestRefusedError in the future."""

    def release(self, organisation: str) -> None:
        """Release the permit of a request that has ended."""


class Admission:
    """Admission control in front of targets; thread-safe.

    Parameters
    ----------
    permits
        Enforces each organisation's rate and concurrency limits.
    bounds
        Returns the queue bounds in force.
    clock, counters
        Time source and metrics.
    slots
        Initial slots of a queue, until ``set_capacity`` is called for it.
    """

    def __init__(
        self,
        permits: PermitPort,
        bounds: Callable[[], QueueBounds],
        clock: Clock,
        counters: Counters,
        slots: int,
    ) -> None:
        self._permits = permits
        self._bounds = bounds
        self._clock = clock
        self._counters = counters
        self._initial_slots = slots
        self._lock = threading.Lock()
        self._queues_by_name: dict[str, Queue] = {}
        self._sweep_event = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._sweep, name="admission-sweep", daemon=True
        )

    def start(self) -> None:
        """Start the thread that refuses requests that waited too long."""
        self._thread.start()

    def stop(self) -> None:
        """End the background thread; queued requests keep waiting for slots."""
        self._stopped = True
        self._sweep_event.set()
        self._thread.join(timeout=2)

    def acquire(self, request: AdmissionRequest) -> "Future[Admitted]":
        """Acquire a permit and a slot for a request.

        Returns
        -------
        Future
            Holds ``Admitted`` once the request may start, or RequestRefusedError
            (always ``not_run``). Cancel it if the caller disconnects.
        """
        future: Future[Admitted] = Future()
        try:
            self._refuse_if_unservable(request)
        except RequestRefusedError as refusal:
            future.set_exception(refusal)
            return future
        permit = self._permits.acquire(request.organisation)
        permit.add_done_callback(lambda done: self._on_permit(request, future, done))
        return future

    def release(self, admitted: Admitted, tokens_used: float) -> None:
        """Release the permit and slot of an ended request, and start the next one.

        Parameters
        ----------
        admitted
            Result of ``acquire``. A second release of it is ignored.
        tokens_used
            Prompt and answer tokens that the request really used.
        """
        with self._lock:
            if admitted.released:
                return
            admitted.released = True
            queue = self._queue(admitted.request.queue)
            queue.running -= 1
            self._update_token_rate(queue, tokens_used)
            self._update_seconds_per_token(queue, admitted)
            started = self._start_next(queue)
        self._permits.release(admitted.request.organisation)
        self._resolve(started)

    def set_capacity(self, queue: str, slots: int) -> None:
        """Set how many requests of a queue may run at once."""
        with self._lock:
            found = self._queue(queue)
            found.slots = max(1, slots)
            started = self._start_next(found)
        self._resolve(started)

    def request_count(self) -> int:
        """Return the number of running and queued requests."""
        with self._lock:
            return sum(
                queue.running + queue.backlog.waiting_count
                for queue in self._queues_by_name.values()
            )

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        with self._lock:
            return {
                name: {
                    "slots": queue.slots,
                    "running": queue.running,
                    "waiting": queue.backlog.waiting_count,
                    "waiting_tokens": round(queue.backlog.waiting_cost),
                    "tokens_per_second": round(queue.tokens_per_s, 1),
                    "seconds_per_token": round(queue.seconds_per_token, 4),
                    "waiting_by_organisation": queue.backlog.waiting_by_organisation(),
                }
                for name, queue in sorted(self._queues_by_name.items())
            }

    def _on_permit(
        self,
        request: AdmissionRequest,
        future: "Future[Admitted]",
        permit: "Future[None]",
    ) -> None:
        error = permit.exception()
        if error is not None:
            self._counters.add("admission.refused_by_limit")
            _set_exception(future, error)
            return
        admitted = Admitted(request=request, entered_s=self._clock.monotonic())
        try:
            self._refuse_if_unservable(request)
        except RequestRefusedError as refusal:
            self._permits.release(request.organisation)
            _set_exception(future, refusal)
            return
        with self._lock:
            queue = self._queue(request.queue)
            self._push(queue, PendingAdmission(admitted, future))
            started = self._start_next(queue)
        if not started:
            self._sweep_event.set()
        self._resolve(started)

    def _refuse_if_unservable(self, request: AdmissionRequest) -> None:
        """Refuse at once a request that would only wait to be refused.

        Its deadline has passed, there is no room to wait, or its organisation has
        requests waiting already and the expected wait exceeds its deadline.
        """
        bounds = self._bounds()
        now_s = self._clock.monotonic()
        with self._lock:
            queue = self._queue(request.queue)
            waiting = queue.backlog.waiting_count
            own_waiting = queue.backlog.waiting_of(request.organisation)
            wait_s = self._expected_wait_s(queue)
        if request.deadline_s <= now_s:
            raise _refusal(
                "The deadline passed before the request could start.",
                "send a longer X-Deadline-Ms",
                504,
                "deadline",
                None,
            )
        if waiting >= bounds.most_requests:
            self._counters.add("admission.queue_full")
            raise _refusal(
                f"The queue of {request.queue} is full.",
                "come back after Retry-After",
                429,
                "queue_full",
                wait_s,
            )
        max_own = bounds.most_requests * MAX_QUEUE_SHARE_PER_ORGANISATION
        if own_waiting >= max_own:
            self._counters.add("admission.organisation_queue_full")
            raise _refusal(
                f"{request.organisation} has too many requests waiting.",
                "send fewer at once, or come back after Retry-After",
                429,
                "queue_full",
                wait_s,
            )
        if own_waiting and now_s + wait_s > request.deadline_s:
            self._counters.add("admission.shed_by_deadline")
            raise _refusal(
                "The request could not start before its deadline.",
                "come back after Retry-After, or send a longer X-Deadline-Ms",
                503,
                "overloaded",
                wait_s,
            )

    def _push(self, queue: Queue, pending: PendingAdmission) -> None:
        request = pending.admitted.request
        queued = QueuedRequest(
            organisation=request.organisation,
            cost=max(1.0, request.estimated_tokens),
            weight=request.weight * (1 + request.priority),
            expires_s=min(
                pending.admitted.entered_s + self._bounds().most_wait_s,
                request.deadline_s,
            ),
        )
        queue.backlog.push(queued)
        queue.pending_by_queued[id(queued)] = pending

    def _start_next(self, queue: Queue) -> list[PendingAdmission]:
        """Assign free slots to queued requests in order; call with the lock held."""
        started: list[PendingAdmission] = []
        while queue.running < queue.slots:
            queued = queue.backlog.pop()
            if queued is None:
                break
            pending = queue.pending_by_queued.pop(id(queued))
            started.append(pending)
            if not pending.future.set_running_or_notify_cancel():
                self._counters.add("admission.caller_gone")
                continue
            now_s = self._clock.monotonic()
            pending.refusal = self._run_time_refusal(
                queue, pending.admitted.request, now_s
            )
            if pending.refusal is not None:
                continue
            pending.admitted.waited_s = now_s - pending.admitted.entered_s
            queue.running += 1
        return started

    def _run_time_refusal(
        self, queue: Queue, request: AdmissionRequest, now_s: float
    ) -> RequestRefusedError | None:
        """Return a refusal if a request would run beyond its deadline."""
        run_s = request.estimated_tokens * queue.seconds_per_token
        if now_s + run_s * RUN_TIME_TOLERANCE <= request.deadline_s:
            return None
        self._counters.add("admission.shed_by_pace")
        return _refusal(
            f"The request would run for about {run_s:.0f} s, beyond its deadline.",
            "come back after Retry-After, ask for fewer tokens, "
            "or send a longer X-Deadline-Ms",
            503,
            "overloaded",
            self._expected_wait_s(queue),
        )

    def _resolve(self, started: list[PendingAdmission]) -> None:
        """Complete futures without the lock: their callbacks may call this object."""
        for pending in started:
            if pending.future.cancelled():
                self._permits.release(pending.admitted.request.organisation)
            elif pending.refusal is not None:
                self._permits.release(pending.admitted.request.organisation)
                pending.future.set_exception(pending.refusal)
            else:
                self._counters.add("admission.started")
                pending.future.set_result(pending.admitted)

    def _expected_wait_s(self, queue: Queue) -> float:
        if queue.running < queue.slots or queue.tokens_per_s <= 0:
            return 0.0
        return queue.backlog.waiting_cost / queue.tokens_per_s

    def _update_token_rate(self, queue: Queue, tokens: float) -> None:
        now_s = self._clock.monotonic()
        queue.interval_tokens += tokens
        elapsed_s = now_s - queue.interval_start_s
        if elapsed_s < 1.0:
            return
        rate = queue.interval_tokens / elapsed_s
        if queue.tokens_per_s:
            rate = RATE_SMOOTHING * queue.tokens_per_s + (1 - RATE_SMOOTHING) * rate
        queue.tokens_per_s = rate
        queue.interval_tokens = 0.0
        queue.interval_start_s = now_s

    def _update_seconds_per_token(self, queue: Queue, admitted: Admitted) -> None:
        """Update the average run time per estimated token."""
        started_s = admitted.entered_s + admitted.waited_s
        ran_s = self._clock.monotonic() - started_s
        seconds_per_token = ran_s / max(1.0, admitted.request.estimated_tokens)
        if queue.seconds_per_token:
            seconds_per_token = (
                RUN_TIME_SMOOTHING * queue.seconds_per_token
                + (1 - RUN_TIME_SMOOTHING) * seconds_per_token
            )
        queue.seconds_per_token = seconds_per_token

    def _queue(self, name: str) -> Queue:
        queue = self._queues_by_name.get(name)
        if queue is None:
            queue = Queue(
                slots=self._initial_slots, interval_start_s=self._clock.monotonic()
            )
            self._queues_by_name[name] = queue
        return queue

    def _sweep(self) -> None:
        """Refuse each request that waited too long, as soon as its wait expires."""
        while not self._stopped:
            self._sweep_event.wait(timeout=self._seconds_to_next_sweep())
            self._sweep_event.clear()
            self.expire()

    def _seconds_to_next_sweep(self) -> float | None:
        now_s = self._clock.monotonic()
        with self._lock:
            times_s = [
                expiry_s
                for queue in self._queues_by_name.values()
                if (expiry_s := queue.backlog.next_expiry_s()) is not None
            ]
        if not times_s:
            return None
        return min(MAX_SWEEP_INTERVAL_S, max(0.0, min(times_s) - now_s))

    def expire(self) -> None:
        """Refuse the queued requests whose wait has expired."""
        now_s = self._clock.monotonic()
        expired: list[tuple[PendingAdmission, float]] = []
        with self._lock:
            for queue in self._queues_by_name.values():
                for queued in queue.backlog.pop_expired(now_s):
                    pending = queue.pending_by_queued.pop(id(queued))
                    expired.append((pending, self._expected_wait_s(queue)))
        for pending, wait_s in expired:
            self._counters.add("admission.waited_too_long")
            self._permits.release(pending.admitted.request.organisation)
            refusal = _refusal(
                "No slot became free within the permitted waiting time.",
                "come back after Retry-After",
                503,
                "overloaded",
                wait_s,
            )
            _set_exception(pending.future, refusal)


def _refusal(
    message: str, remedy: str, status: int, code: str, wait_s: float | None
) -> RequestRefusedError:
    retry_after_s = None if wait_s is None else max(MIN_RETRY_AFTER_S, wait_s)
    return RequestRefusedError(
        message,
        remedy,
        outcome=Outcome.NOT_RUN,
        status=status,
        code=code,
        retry_after_s=retry_after_s,
    )


def _set_exception(future: "Future[Admitted]", error: BaseException) -> None:
    if future.set_running_or_notify_cancel():
        future.set_exception(error)


def make_admission(
    permits: PermitPort,
    bounds: Callable[[], QueueBounds],
    clock: Clock,
    counters: Counters,
    slots: int = 64,
) -> Admission:
    """Return an admission without queues; it is not started."""
    return Admission(permits, bounds, clock, counters, slots)
