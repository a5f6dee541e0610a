"""Tests of celeryfork_admission.admission."""

from concurrent.futures import Future

import pytest
from attrs import define, field
from celeryfork_admission.admission import Admission, make_admission
from celeryfork_admission.admission_queue import AdmissionRequest, QueueBounds
from celeryfork_base.clock import ManualClock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome


@define
class GrantingPermits:
    """Fake permit manager: grants all requests, and lists those that run."""

    running: list[str] = field(factory=list)

    def acquire(self, organisation: str) -> "Future[None]":
        self.running.append(organisation)
        granted: Future[None] = Future()
        granted.set_result(None)
        return granted

    def release(self, organisation: str) -> None:
        self.running.remove(organisation)


class AdmissionMixin:
    """Set-up of an admission with one slot in queue ``m`` and a manual clock."""

    def setup_method(self) -> None:
        self.clock = ManualClock()
        self.permits = GrantingPermits()
        self.admission: Admission = make_admission(
            self.permits,
            lambda: QueueBounds(most_requests=10, most_wait_s=5),
            self.clock,
            Counters(),
            slots=1,
        )

    def request(self, organisation: str = "o", deadline_s: float = 60):
        return AdmissionRequest(
            organisation=organisation,
            weight=1,
            estimated_tokens=100,
            priority=5,
            deadline_s=self.clock.monotonic() + deadline_s,
            queue="m",
        )

    def refusal(self, future) -> RequestRefusedError:
        error = future.exception(timeout=0)
        assert isinstance(error, RequestRefusedError)
        assert error.outcome is Outcome.NOT_RUN
        return error


class TestAdmission(AdmissionMixin):
    def test_release_starts_the_next_request(self) -> None:
        first = self.admission.acquire(self.request())
        second = self.admission.acquire(self.request())
        assert first.done()
        assert not second.done()
        self.admission.release(first.result(), tokens_used=10)
        assert second.done()

    def test_second_release_is_ignored(self) -> None:
        admitted = self.admission.acquire(self.request()).result(timeout=0)
        waiting = [self.admission.acquire(self.request()) for _ in range(2)]
        self.admission.release(admitted, 1)
        self.admission.release(admitted, 1)
        assert [future.done() for future in waiting] == [True, False]

    def test_request_is_refused_when_its_wait_expires(self) -> None:
        self.admission.acquire(self.request())
        expired = self.admission.acquire(self.request())
        self.clock.advance(5.1)
        self.admission.expire()
        refusal = self.refusal(expired)
        assert refusal.code == "overloaded"
        assert refusal.retry_after_s is not None
        assert self.permits.running == ["o"]

    def test_full_queue_refuses_requests(self) -> None:
        organisations = [f"o{number}" for number in range(12)]
        futures = [self.admission.acquire(self.request(name)) for name in organisations]
        assert self.refusal(futures[-1]).code == "queue_full"

    def test_one_organisation_cannot_fill_the_queue(self) -> None:
        futures = [self.admission.acquire(self.request("large")) for _ in range(8)]
        assert self.refusal(futures[-1]).code == "queue_full"
        assert not self.admission.acquire(self.request("small")).done()

    def test_request_with_a_passed_deadline_is_not_run(self) -> None:
        future = self.admission.acquire(self.request(deadline_s=-1))
        assert self.refusal(future).code == "deadline"

    def test_request_that_would_exceed_its_deadline_is_refused(
        self,
    ) -> None:
        for _ in range(3):
            admitted = self.admission.acquire(self.request()).result(timeout=0)
            self.clock.advance(10)
            self.admission.release(admitted, tokens_used=100)
        refusal = self.refusal(self.admission.acquire(self.request(deadline_s=5)))
        assert refusal.code == "overloaded"
        assert self.permits.running == []
        assert self.admission.acquire(self.request(deadline_s=9)).done()

    def test_cancelled_request_uses_no_slot(self) -> None:
        first = self.admission.acquire(self.request())
        cancelled = self.admission.acquire(self.request())
        third = self.admission.acquire(self.request())
        assert cancelled.cancel()
        self.admission.release(first.result(), 1)
        assert third.done()
        assert self.permits.running == ["o"]

    def test_more_slots_start_queued_requests(self) -> None:
        futures = [self.admission.acquire(self.request()) for _ in range(3)]
        self.admission.set_capacity("m", 3)
        assert all(future.done() for future in futures)

    def test_background_thread_refuses_expired_requests(self) -> None:
        self.admission.start()
        self.admission.acquire(self.request())
        expired = self.admission.acquire(self.request())
        self.clock.advance(6)
        with pytest.raises(RequestRefusedError):
            expired.result(timeout=10)
        self.admission.stop()
