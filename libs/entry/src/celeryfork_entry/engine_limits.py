"""Limits that engines name, as answered to this instance or forwarded by others.

An engine in need names the requests a second that it takes from all instances
together, until it answers without a limit.
"""

from math import isfinite

from attrs import define, field, frozen

NEWS_TTL_S = 5.0
"""Seconds after an engine has last named a limit for which its answers are sent to
peers, so that they learn of the limit's end."""


@frozen
class EngineLimit:
    """What an engine has answered about its limit.

    Parameters
    ----------
    per_s
        Requests a second from all instances together, infinite for no limit.
    born_ms
        Wall-clock start time in ms of the engine process, None if unknown.
    at_s
        Time of the answer on this instance's monotonic clock.
    own
        True if the engine answered this instance, False if a peer forwarded it.
    """

    per_s: float
    born_ms: int | None
    at_s: float
    own: bool

    @property
    def limited(self) -> bool:
        """Return True if the engine names a limit."""
        return isfinite(self.per_s)


@define(eq=False)
class EngineLimits:
    """Newest limit of each engine that has named one."""

    _limit_by_id: dict[str, EngineLimit] = field(factory=dict)
    _named_s_by_id: dict[str, float] = field(factory=dict)

    def learn(self, engine_id: str, limit: EngineLimit) -> bool:
        """Record an engine's answer if it is newer than the known one.

        Returns
        -------
        bool
            True if the limit has changed.
        """
        known = self._limit_by_id.get(engine_id)
        if known is None and not limit.limited:
            return False
        if known is not None and limit.at_s <= known.at_s:
            return False
        self._limit_by_id[engine_id] = limit
        if limit.limited:
            self._named_s_by_id[engine_id] = limit.at_s
        return known is None or known.per_s != limit.per_s

    def forget(self, engine_id: str) -> None:
        """Remove the limit of an engine that has left or restarted."""
        self._limit_by_id.pop(engine_id, None)
        self._named_s_by_id.pop(engine_id, None)

    def own_news(self, now_s: float) -> dict[str, EngineLimit]:
        """Return answers to this instance of engines that named a limit recently."""
        return {
            engine_id: self._limit_by_id[engine_id]
            for engine_id, named_s in self._named_s_by_id.items()
            if now_s - named_s < NEWS_TTL_S and self._limit_by_id[engine_id].own
        }

    def limited_ids(self) -> frozenset[str]:
        """Return the ids of all engines that name a limit."""
        return frozenset(each for each in self._limit_by_id if self.limit(each))

    def newest(self, engine_id: str) -> EngineLimit | None:
        """Return the newest answer of an engine that has named a limit."""
        return self._limit_by_id.get(engine_id)

    def limit(self, engine_id: str) -> EngineLimit | None:
        """Return the limit in force of an engine, None for none."""
        known = self._limit_by_id.get(engine_id)
        return known if known is not None and known.limited else None
