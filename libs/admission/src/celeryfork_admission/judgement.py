"""Verdicts on requests by the records of their traits."""

from enum import Enum

from attrs import frozen

from celeryfork_admission.crash_records import TraitRecord
from celeryfork_admission.traits import Trait


class Verdict(Enum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """May run as a probe."""
    REFUSE = "refuse"


@frozen
class Judgement:
    """Verdict on a request.

    Parameters
    ----------
    trait
        The trait that decided; None if the request is clear.
    crashes
        Crashes counted against it, of all organisations.
    retry_after_s
        Seconds until the next probe may begin.
    """

    verdict: Verdict
    trait: Trait | None = None
    crashes: int = 0
    retry_after_s: float = 0.0

    @property
    def severity(self) -> tuple[int, float, int]:
        """Order of judgements on the traits of one request, the deciding one last."""
        order = (Verdict.CLEAR, Verdict.SUSPECT, Verdict.REFUSE)
        return order.index(self.verdict), self.retry_after_s, self.crashes


CLEAR = Judgement(Verdict.CLEAR)


def judge_record(
    record: TraitRecord, organisation: str | None, now_s: float, probe_left_s: float
) -> Judgement:
    """Return the verdict on an organisation's requests with a trait.

    Parameters
    ----------
    probe_left_s
        Seconds for which a probe of the trait still counts as running.
    """
    hold_end_s = record.hold_end_s(organisation)
    if hold_end_s is not None and hold_end_s > now_s:
        left_s = hold_end_s - now_s
        return Judgement(Verdict.REFUSE, record.trait, len(record.crashes), left_s)
    return make_suspicion(record, probe_left_s) if record.is_suspected else CLEAR


def make_suspicion(record: TraitRecord, probe_left_s: float) -> Judgement:
    """Return that requests with a trait may run as probes; see :func:`judge_record`."""
    crashes = len(record.crashes)
    return Judgement(Verdict.SUSPECT, record.trait, crashes, probe_left_s)
