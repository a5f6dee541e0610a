"""How slow engines are, by their own reports and by those that peers pass on."""

from attrs import define, field, frozen

SLOWNESS_LIFE_S = 3.0
"""Time that an engine's word on its speed counts for; one that was slow is tried again
as if it were sound after it."""
SLOW = 1.2
"""Slowness from which an engine counts as slow; peers are told then."""
ASK_PAUSE_S = 1.0
"""Age of a slow engine's report at which it is asked again, a third of its life: one
whose slowness is forgotten draws streams that are late at each event."""
TOLD_S = 5.0
"""Time after an engine was last slow for which its speed is told, so that peers learn
that it is sound again."""


@frozen
class Speed:
    """What an engine said of its speed.

    Parameters
    ----------
    slowness
        Duration of its work as a multiple of the expected one, 1 or more.
    born_ms
        The start of the engine that said so.
    at_s
        When it did, by this instance's monotonic clock.
    own
        Whether it said so to this instance; else a peer has passed it on.
    """

    slowness: float
    born_ms: int | None
    at_s: float
    own: bool


@define(eq=False)
class EngineSpeeds:
    """The newest speed of each engine."""

    _speed_by_id: dict[str, Speed] = field(factory=dict)
    _slow_s_by_id: dict[str, float] = field(factory=dict)

    def learn(self, engine_id: str, speed: Speed) -> bool:
        """Take what an engine said if it is newer than what is known.

        Returns
        -------
        bool
            Whether the engine has turned slow by it, or sound.
        """
        known = self._speed_by_id.get(engine_id)
        if known is not None and speed.at_s <= known.at_s:
            return False
        self._speed_by_id[engine_id] = speed
        was_slow = known is not None and known.slowness >= SLOW
        if speed.slowness >= SLOW:
            self._slow_s_by_id[engine_id] = speed.at_s
        return was_slow != (speed.slowness >= SLOW)

    def forget(self, engine_id: str) -> None:
        """Drop what is known of an engine that has left or started anew."""
        self._speed_by_id.pop(engine_id, None)
        self._slow_s_by_id.pop(engine_id, None)

    def slowness(self, engine_id: str, now_s: float) -> float:
        """Return the slowness last reported, 1 if that is long ago."""
        speed = self._speed_by_id.get(engine_id)
        if speed is None or now_s - speed.at_s >= SLOWNESS_LIFE_S:
            return 1.0
        return speed.slowness

    def last_report_s(self, engine_id: str) -> float:
        """Return when an engine last said how slow it is, 0 for never."""
        speed = self._speed_by_id.get(engine_id)
        return speed.at_s if speed is not None else 0.0

    def own_slow(self, now_s: float) -> dict[str, Speed]:
        """Return what this instance heard of engines that are or just were slow."""
        return {
            engine_id: self._speed_by_id[engine_id]
            for engine_id, slow_s in self._slow_s_by_id.items()
            if now_s - slow_s < TOLD_S and self._speed_by_id[engine_id].own
        }

    def due_for_check(self, now_s: float) -> list[str]:
        """Return the slow engines whose last report is to be renewed."""
        return [
            engine_id
            for engine_id, speed in self._speed_by_id.items()
            if speed.slowness >= SLOW
            and ASK_PAUSE_S <= now_s - speed.at_s < SLOWNESS_LIFE_S
        ]
