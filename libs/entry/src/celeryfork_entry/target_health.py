"""What one instance has seen of a target, beside what the list says."""

from attrs import define, frozen
from celeryfork_routing.layers import LayerRange


@frozen
class ReportedLayers:
    """What an engine holds by its own report, which its entry doesn't say yet.

    Parameters
    ----------
    born_ms
        The start of the engine that reported it.
    at_s
        When it reported, by this instance's monotonic clock.
    own
        Whether it reported to this instance; else a peer has passed it on.
    """

    held: LayerRange | None
    born_ms: int | None
    at_s: float
    own: bool


@define
class TargetHealth:
    """What this instance's own requests have shown of one target.

    Parameters
    ----------
    listed_s
        When its newest entry was read; what it reports later is newer.
    doubted_until_s
        To when a peer's word that it is down makes it the last choice.
    ended
        Whether nobody listens at its address any more: its process runs nothing.
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
    learnt: ReportedLayers | None = None
    listed_s: float = 0.0
    ended: bool = False
    doubted_until_s: float = 0.0

    @property
    def excluded(self) -> bool:
        """Return whether the target is out of choice."""
        return self.hold_s > 0

    def is_suspected(self, now_s: float) -> bool:
        """Return whether a peer has just said that the target is down."""
        return now_s <= self.doubted_until_s

    def accepts_work(self, now_s: float) -> bool:
        """Return whether nothing speaks against offering it work just now."""
        return self.refused_until_s < now_s and not self.is_suspected(now_s)
