"""Ramp-up (slow start) of targets that have just started or recovered.

It handles the rush of a whole fleet of instances to a target that looks idle to all of
them: one that starts, many at once (a domain that returns, a rolling replacement, added
engines), one that flaps, one that starts cold, one with new layers. Each instance
decides by itself, from its own requests' answers.

All instances together begin with :data:`FIRST_WINDOW` requests in flight. The instances
take turns by a hash, so that each one has an answer of its own before it sends more. An
instance whose answers are quick doubles its share round by round until it no longer
limits the target; one without answers yet keeps to its turns, so that a target that is
slow gets no more than the first window at any time.
"""

from math import inf

from attrs import define, field, frozen
from xxhash import xxh3_64_intdigest

FIRST_WINDOW = 8.0
"""Requests in flight that all instances of a target's domain together begin with."""
TURN_S = 0.45
"""Seconds of an instance's turn, and shortest time between two halvings of a window.

By its end, a target that meets the usual latency goal of 0.5 s has answered most
requests of the turn. With 0.5 s, a healthy target was at 0.78 of its full share after
2 s in the worst of 10 simulated starts, with 0.45 s at 0.95. With 0.4 s, a target that
answers 26 requests within 0.5 s took 0.51 s in one of them.
"""
OBJECTIVE_MS = 500.0
"""Usual latency goal in ms. A slower answer is one too many in flight."""
QUICK_FACTOR = 1.5
"""Multiple of the expected time up to which an answer is quick."""
END_FACTOR = 8.0
"""Growth of the first window at which a ramp has ended. The memory of a fast engine
holds about 50 requests, so that a window of 64 limits no engine."""
QUICK_ANSWERS_TO_END = 16
"""Quick answers in a row after which a ramp has ended although the window is smaller:
an engine that refuses work and answers quickly is full, not cold."""
FLAP_MEMORY_S = 30.0
"""Seconds after a start within which another start halves the first window."""
HASH_RANGE = 2.0**64


@frozen
class RampEnd:
    """The end of a ramp.

    Parameters
    ----------
    seconds
        Seconds since its begin.
    requests
        Number of requests that this instance has sent to the target meanwhile.
    """

    seconds: float
    requests: int


@define
class _Ramp:
    """The ramp of one target at one instance.

    Parameters
    ----------
    window
        Requests in flight with which all instances began.
    first_share, share
        This instance's part of the first and of the present window. The fraction is
        the part of the turns in which it may have one more request in flight.
    phase
        Position of this instance in the order of turns, 0 to 1.
    ceiling
        Share above which it grows by one request a round, as it failed at twice that.
    round_began_s, quick_in_round
        Begin of the present round, and quick answers to requests sent in it.
    halved_s
        Time of the last halving: refusals of one burst count once.
    quick_in_row
        Quick answers since the last slow one.
    slow_turn
        Number of the turn of the last slow answer, which has ended the turn.
    """

    began_s: float
    window: float
    first_share: float
    share: float
    phase: float
    round_began_s: float
    ceiling: float = inf
    halved_s: float = -inf
    quick_in_round: int = 0
    quick_in_row: int = 0
    slow_turn: int = -1
    requests: int = 0

    def room(self, now_s: float) -> float:
        whole, part = divmod(self.share, 1.0)
        turn = self.turn(now_s)
        in_turn = turn != self.slow_turn and (self.phase + turn * part) % 1.0 < part
        return whole + in_turn

    def turn(self, now_s: float) -> int:
        return int((now_s - self.began_s) / TURN_S)

    def grow(self, now_s: float) -> None:
        base = max(1.0, self.share)
        self.share = 2 * base if 2 * base <= self.ceiling else base + 1
        self.round_began_s, self.quick_in_round = now_s, 0

    def halve(self, now_s: float) -> None:
        self.quick_in_row = 0
        if now_s - self.halved_s < TURN_S:
            return
        self.halved_s = now_s
        self.ceiling = max(1.0, self.share / 2)
        share = self.share / 2
        if share < 1:
            # Below one request in flight, the instances take turns again.
            share = max(min(share, self.first_share), self.first_share / END_FACTOR)
        self.share = share
        self.round_began_s, self.quick_in_round = now_s, 0


@define(eq=False)
class RampUp:
    """The ramping targets of one instance.

    Parameters
    ----------
    instance
        Name of the instance, which determines its turns.
    """

    _instance: str
    _ramp_by_id: dict[str, _Ramp] = field(factory=dict)
    _start_by_id: dict[str, tuple[float, float]] = field(factory=dict)

    def __len__(self) -> int:
        """Return the number of ramping targets."""
        return len(self._ramp_by_id)

    @property
    def target_ids(self) -> frozenset[str]:
        """Return the ids of the ramping targets."""
        return frozenset(self._ramp_by_id)

    def is_ramping(self, target_id: str) -> bool:
        """Return True if a target's ramp hasn't ended."""
        return target_id in self._ramp_by_id

    def answers(self, target_id: str) -> int:
        """Return the quick answers in a row of a ramping target."""
        return self._ramp_by_id[target_id].quick_in_row

    @staticmethod
    def is_quick(first_event_ms: float, expected_ms: float) -> bool:
        """Return True if an answer was about as quick as expected."""
        return first_event_ms <= QUICK_FACTOR * expected_ms

    def began(
        self, target_id: str, now_s: float, sharers: int, start: object = ""
    ) -> float:
        """Begin a ramp: the target has started, recovered, or has new layers.

        Parameters
        ----------
        sharers
            Number of instances that send requests to the target.
        start
            What tells this start of the target from others, such as its start time.

        Returns
        -------
        float
            The first window of all instances.
        """
        window = self._first_window(target_id, now_s)
        share = window / max(1, sharers)
        name = f"{target_id}|{start}|{self._instance}"
        phase = xxh3_64_intdigest(name.encode()) / HASH_RANGE
        self._ramp_by_id[target_id] = _Ramp(now_s, window, share, share, phase, now_s)
        self._start_by_id[target_id] = (now_s, window)
        return window

    def _first_window(self, target_id: str, now_s: float) -> float:
        """Return the first window, smaller for a target that flaps."""
        while self._start_by_id:
            # Ordered by time, so that a domain that returns costs one step a target.
            oldest = next(iter(self._start_by_id))
            if now_s - self._start_by_id[oldest][0] <= FLAP_MEMORY_S:
                break
            del self._start_by_id[oldest]
        last = self._start_by_id.pop(target_id, None)
        if last is None:
            return FIRST_WINDOW
        at_s, window = last
        # A new process and its first layers may be listed one after the other.
        return window if now_s - at_s < TURN_S else max(1.0, window / 2)

    def forget(self, target_id: str) -> None:
        """Drop the ramp of a target that is no longer listed."""
        self._ramp_by_id.pop(target_id, None)

    def record_start(self, target_id: str, now_s: float) -> None:
        """Record that a request is sent to a target."""
        ramp = self._ramp_by_id.get(target_id)
        if ramp is not None:
            ramp.requests += 1

    def record_answer(
        self, target_id: str, first_event_ms: float, expected_ms: float, now_s: float
    ) -> RampEnd | None:
        """Record the first event of an answer.

        Returns
        -------
        RampEnd or None
            The end of the ramp if this answer ends it.
        """
        ramp = self._ramp_by_id.get(target_id)
        if ramp is None:
            return None
        if not self.is_quick(first_event_ms, expected_ms):
            ramp.quick_in_row, ramp.slow_turn = 0, ramp.turn(now_s)
            if first_event_ms > OBJECTIVE_MS:
                ramp.halve(now_s)
            return None
        ramp.quick_in_row += 1
        if now_s - first_event_ms / 1000 >= ramp.round_began_s:
            ramp.quick_in_round += 1
            if ramp.quick_in_round >= max(1.0, ramp.share // 2):
                ramp.grow(now_s)
        if (
            ramp.share < END_FACTOR * max(1.0, ramp.first_share)
            and ramp.quick_in_row < QUICK_ANSWERS_TO_END
        ):
            return None
        del self._ramp_by_id[target_id]
        return RampEnd(now_s - ramp.began_s, ramp.requests)

    def record_refusal(self, target_id: str, now_s: float) -> None:
        """Record that a target refused a request, as it lacks memory."""
        ramp = self._ramp_by_id.get(target_id)
        if ramp is not None:
            in_row = ramp.quick_in_row
            ramp.halve(now_s)
            ramp.quick_in_row = in_row

    def record_failure(self, target_id: str, now_s: float) -> None:
        """Record that a target failed during a request."""
        ramp = self._ramp_by_id.get(target_id)
        if ramp is not None:
            ramp.halve(now_s)

    def room(self, target_id: str, now_s: float) -> float:
        """Return how many requests this instance may have in flight at a target.

        Returns
        -------
        float
            Infinite for a target that isn't ramping.
        """
        ramp = self._ramp_by_id.get(target_id)
        return inf if ramp is None else ramp.room(now_s)

    def may_start(self, target_id: str, in_flight: int, now_s: float) -> bool:
        """Return True if a target's window has room for another request.

        Parameters
        ----------
        in_flight
            Requests of this instance at the target that were sent during the ramp.
        """
        return in_flight < self.room(target_id, now_s)
