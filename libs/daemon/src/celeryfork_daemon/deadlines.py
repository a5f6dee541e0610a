"""By when a call has to end: its caller's wish, within what a planned stop can wait."""

from collections.abc import Callable

from celeryfork_config.records import Policy
from celeryfork_config.settings import StopSettings

from celeryfork_daemon.http_call import HttpCall
from celeryfork_daemon.refusals import malformed

# Kept back from the bound of a stop for handing over and closing.
HAND_OVER_S = 5.0
MOST_DIGITS = 12


class Deadlines:
    """Gives each accepted call a deadline that no planned stop cuts short.

    Parameters
    ----------
    policy
        Returns the policy in force.
    stop
        Bounds of a planned stop.
    """

    def __init__(self, policy: Callable[[], Policy], stop: StopSettings) -> None:
        self._policy = policy
        self._longest_s = max(HAND_OVER_S, stop.most_stop_s - HAND_OVER_S)
        self._calls_end_s: float | None = None

    def begin_stop(self, now_s: float) -> float:
        """Note that a planned stop begins; return when its last call has to end.

        Monotonic times in seconds.
        """
        self._calls_end_s = now_s + self._longest_s
        return self._calls_end_s

    def of(self, call: HttpCall) -> float:
        """Return the monotonic time by which a call has to end, in seconds.

        Raises
        ------
        RequestRefusedError
            ``X-Deadline-Ms`` is no positive number of milliseconds.
        """
        policy = self._policy()
        wanted_s = _wanted_s(call)
        if wanted_s is None:
            wanted_s = policy.default_deadline_s
        longest_s = min(policy.longest_deadline_s, self._longest_s)
        deadline_s = call.received_s + min(wanted_s, longest_s)
        if self._calls_end_s is None:
            return deadline_s
        return min(deadline_s, self._calls_end_s)


def _wanted_s(call: HttpCall) -> float | None:
    given = call.header("X-Deadline-Ms")
    if given is None:
        return None
    digits = given.lstrip("0")
    if not given.isascii() or not digits.isdigit():
        raise malformed(
            f"X-Deadline-Ms is {given[:40]!r}.",
            "send a whole number of milliseconds above 0",
            "bad_deadline",
        )
    # Digits alone can name a number too large for a float.
    return int(digits[:MOST_DIGITS]) / 1000
