"""Speeds of engines, as reported by the engines or forwarded by other instances."""

from attrs import define, field, frozen

SLOWNESS_TTL_S = 3.0
"""Seconds for which a reported speed is valid; after that a slow engine is used as if
it had normal speed."""
SLOW_THRESHOLD = 1.2
"""Slowness from which an engine counts as slow and is reported to peers."""
SPEED_RECHECK_INTERVAL_S = 1.0
"""Age in seconds of a slow engine's report at which it is asked again, a third of the
time to live: an engine whose slowness expires attracts streams, and each of their
events is late."""
SLOW_REPORT_TTL_S = 5.0
"""Seconds after an engine was last slow for which its speed is sent to peers, so that
they learn of its recovery."""


@frozen
class Speed:
    """Speed reported by an engine.

    Parameters
    ----------
    slowness
        Duration of its work as a multiple of the expected one, 1 or more.
    born_ms
        Wall-clock start time in ms of the engine process that reported.
    at_s
        Time of the report on this instance's monotonic clock.
    own
        True if the engine reported to this instance, False if a peer forwarded it.
    """

    slowness: float
    born_ms: int | None
    at_s: float
    own: bool


@define(eq=False)
class EngineSpeeds:
    """Newest reported speed of each engine."""

    _speed_by_id: dict[str, Speed] = field(factory=dict)
    _slow_s_by_id: dict[str, float] = field(factory=dict)

    def learn(self, engine_id: str, speed: Speed) -> bool:
        """Record a reported speed if it is newer than the known one.

        Returns
        -------
        bool
            True if the engine turned slow, or returned to normal speed.
        """
        known = self._speed_by_id.get(engine_id)
        if known is not None and speed.at_s <= known.at_s:
            return False
        self._speed_by_id[engine_id] = speed
        was_slow = known is not None and known.slowness >= SLOW_THRESHOLD
        if speed.slowness >= SLOW_THRESHOLD:
            self._slow_s_by_id[engine_id] = speed.at_s
        return was_slow != (speed.slowness >= SLOW_THRESHOLD)

    def forget(self, engine_id: str) -> None:
        """Remove the speed of an engine that has left or restarted."""
        self._speed_by_id.pop(engine_id, None)
        self._slow_s_by_id.pop(engine_id, None)

    def slowness(self, engine_id: str, now_s: float) -> float:
        """Return the slowness last reported, 1 if the report has expired."""
        speed = self._speed_by_id.get(engine_id)
        if speed is None or now_s - speed.at_s >= SLOWNESS_TTL_S:
            return 1.0
        return speed.slowness

    def last_report_s(self, engine_id: str) -> float:
        """Return the time of an engine's last report of its speed, 0 for none."""
        speed = self._speed_by_id.get(engine_id)
        return speed.at_s if speed is not None else 0.0

    def own_slow(self, now_s: float) -> dict[str, Speed]:
        """Return speeds that engines reported to this instance, if slow recently."""
        return {
            engine_id: self._speed_by_id[engine_id]
            for engine_id, slow_s in self._slow_s_by_id.items()
            if now_s - slow_s < SLOW_REPORT_TTL_S and self._speed_by_id[engine_id].own
        }

    def due_for_check(self, now_s: float) -> list[str]:
        """Return the slow engines that are due for a new report."""
        return [
            engine_id
            for engine_id, speed in self._speed_by_id.items()
            if speed.slowness >= SLOW_THRESHOLD
            and SPEED_RECHECK_INTERVAL_S <= now_s - speed.at_s < SLOWNESS_TTL_S
        ]
