"""Health of a target as observed by one instance, in addition to the target list."""

from attrs import define, frozen
from celeryfork_routing.layers import LayerRange


@frozen
class ReportedLayers:
    """Layers that an engine has reported and that its entry doesn't show yet.

    Parameters
    ----------
    born_ms
        Wall-clock start time in ms of the engine process that reported.
    at_s
        Time of the report on this instance's monotonic clock.
    own
        True if the engine reported to this instance, False if a peer forwarded it.
    """

    held: LayerRange | None
    born_ms: int | None
    at_s: float
    own: bool


@define
class TargetHealth:
    """Health of one target: outcomes of this instance's requests, and reports.

    The target is excluded while ``hold_s`` is positive.

    Parameters
    ----------
    failed_share
        Moving average of failed answers, 0 to 1.
    held_until_s
        Time of the next health check of an excluded target.
    hold_s
        Current length of its exclusion period, 0 if it isn't excluded.
    marked_s, reason
        Time and cause of its exclusion.
    refused_until_s, refusals
        End of its backoff after a refusal, and the number of consecutive refusals.
    leaving, leaving_until_s
        True if its health check said that it is leaving, and until when that is valid.
    answered_leaving_s
        Time of its last answer that said so, 0 for none.
    learnt
        Layers that it reported after its newest entry was read.
    listed_s
        Time at which its newest entry was read; later reports are newer.
    doubted_until_s
        Time until which it is suspected, after a peer reported it down.
    ended
        True if nothing listens on its port any more, so that its process has ended.
    """

    failed_share: float = 0.0
    held_until_s: float = 0.0
    hold_s: float = 0.0
    marked_s: float = 0.0
    reason: str = ""
    refused_until_s: float = 0.0
    refusals: int = 0
    leaving: bool = False
    leaving_until_s: float = 0.0
    answered_leaving_s: float = 0.0
    learnt: ReportedLayers | None = None
    listed_s: float = 0.0
    ended: bool = False
    doubted_until_s: float = 0.0

    @property
    def is_leaving(self) -> bool:
        """Return True if it has said itself that it is leaving."""
        return self.leaving or self.answered_leaving_s > 0

    @property
    def excluded(self) -> bool:
        """Return True if the target is excluded from selection."""
        return self.hold_s > 0

    def is_suspected(self, now_s: float) -> bool:
        """Return True if a peer has recently reported the target down."""
        return now_s <= self.doubted_until_s

    def accepts_work(self, now_s: float) -> bool:
        """Return True if it is neither in backoff after a refusal nor suspected."""
        return self.refused_until_s < now_s and not self.is_suspected(now_s)
