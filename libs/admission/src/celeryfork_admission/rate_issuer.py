"""Issues permits for requests to engines that name a limit."""

from attrs import define, field, frozen

from celeryfork_admission.buckets import TokenBucket

MAX_SAVED_S = 0.5
"""Seconds of the rate that are saved while nobody asks for permits."""
IDLE_TTL_S = 30.0
"""Seconds without a request for permits after which an engine's bucket may be dropped;
a new one starts empty."""


@frozen
class Issued:
    """Permits that were issued.

    Parameters
    ----------
    wait_s
        Seconds until the next permit is due.
    """

    permits: int
    wait_s: float


@define(eq=False)
class RateIssuer:
    """Issues permits so that their number in any time is bounded by the rate.

    A bucket starts empty: an issuer that was replaced may just have issued the permits
    of the time before.
    """

    _swept_s: float = 0.0
    _bucket_by_process: dict[tuple[str, int | None], TokenBucket] = field(factory=dict)

    def issue(
        self,
        engine_id: str,
        born_ms: int | None,
        per_s: float,
        wanted: int,
        now_s: float,
    ) -> Issued:
        """Issue up to ``wanted`` permits for requests to an engine.

        Parameters
        ----------
        born_ms
            Start time of the engine's process, which has a bucket of its own.
        per_s
            Permits a second that this issuer may issue.
        """
        process = engine_id, born_ms
        bucket = self._bucket_by_process.get(process)
        if bucket is None:
            if now_s - self._swept_s > IDLE_TTL_S:
                self._drop_idle(now_s)
            bucket = self._bucket_by_process[process] = TokenBucket(0.0, now_s)
        bucket.refill(now_s, per_s, max(1.0, per_s * MAX_SAVED_S))
        permits = bucket.take(wanted)
        return Issued(permits, bucket.seconds_until_one(per_s))

    def _drop_idle(self, now_s: float) -> None:
        self._swept_s = now_s
        self._bucket_by_process = {
            process: bucket
            for process, bucket in self._bucket_by_process.items()
            if now_s - bucket.refilled_s <= IDLE_TTL_S
        }
