"""A play of requests that crash targets among sound ones, and its verdict.

Calls come at set intervals, whatever became of those before, at one instance after the
other. The verdict goes by what the stand-ins and the callers saw.
"""

import threading
import time

from attrs import define
from promises import CUT_OFF

STABLE_WINDOW_S = 3.0
"""The platform's ``stableWindowMs``."""
BEFORE_S = 2.0
"""Seconds of sound calls alone."""
AFTER_S = 2.0
"""Least seconds, from twice the stable window after the last crash, that tell how sound
calls fare."""
PLAY_S = 11.0
"""Seconds of deadly calls."""
SOUND_GAP_S = 0.1
DEADLY_GAP_S = 0.3
DEADLINE_S = 4.0
LATE_S = 1.0
"""Seconds over its deadline after which a call hangs."""
MOST_LATE_ARRIVALS = 3
"""Arrivals of deadly requests that are allowed once the window is over."""
UNKNOWN_STATUSES = {502, 504}
"""Statuses that leave open whether the request has run."""


@define(eq=False)
class PlayedCall:
    """One call of a play, and what its caller got.

    Parameters
    ----------
    begun
        True if a successful answer arrived, at least its first piece.
    """

    attempt: str
    deadly: bool
    at_s: float
    ended_s: float = 0.0
    status: int | None = None
    retry_after: str | None = None
    begun: bool = False
    error: Exception | None = None

    def read(self, response):
        self.status = response.status
        self.retry_after = response.getheader("Retry-After")
        self.begun = self.status == 200 and bool(response.read1(1))
        response.read()

    def __str__(self):
        return (
            f"{self.attempt}: status {self.status}, Retry-After {self.retry_after}, "
            f"{self.ended_s - self.at_s:.2f} s, {self.error!r}"
        )


class DeadlyPlay:
    """Sound and deadly calls at several instances.

    Parameters
    ----------
    send
        Sends a call, given the instance, the attempt's id, the call's number and
        whether it is deadly; returns the response.
    """

    def __init__(self, platform, entries, send):
        self.platform, self.entries, self.send = platform, entries, send
        self.calls, self._threads = [], []

    def run(self):
        begun_s = time.monotonic()
        self.deadly_from_s = begun_s + BEFORE_S
        self.end_s = self.deadly_from_s + PLAY_S
        sound = self._times(begun_s, SOUND_GAP_S)
        deadly = self._times(self.deadly_from_s, DEADLY_GAP_S)
        plan = [(at_s, False) for at_s in sound] + [(at_s, True) for at_s in deadly]
        late_s = 0.0
        for number, (at_s, is_deadly) in enumerate(sorted(plan)):
            time.sleep(max(0.0, at_s + late_s - time.monotonic()))
            # Calls that were made up for at once would be more deadly than the plan.
            late_s = max(late_s, time.monotonic() - at_s)
            if is_deadly and not any(call.deadly for call in self.calls):
                self.deadly_from_s += late_s
            self._begin(number, is_deadly)
        self.end_s += late_s
        for thread in self._threads:
            thread.join(max(0.0, self.end_s + DEADLINE_S + LATE_S - time.monotonic()))
        return self

    def _times(self, from_s, gap_s):
        return [from_s + n * gap_s for n in range(int((self.end_s - from_s) / gap_s))]

    def _begin(self, number, is_deadly):
        attempt = f"{'deadly' if is_deadly else 'sound'}-{number}"
        call = PlayedCall(attempt, is_deadly, time.monotonic())
        self.calls.append(call)
        # Deadly calls and sound ones are counted apart, so that both change instances.
        count = sum(each.deadly == is_deadly for each in self.calls)
        entry = self.entries[count % len(self.entries)]
        thread = threading.Thread(
            target=self._call, args=(entry, call, number), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def _call(self, entry, call, number):
        try:
            call.read(self.send(entry, call.attempt, number, call.deadly))
        except CUT_OFF as error:
            call.error = error
        call.ended_s = time.monotonic()

    def late_arrivals(self, crashes):
        """Return what arrived too late after so many crashes."""
        times_s = [at_s for at_s, _ in self.platform.crashes]
        if len(times_s) < crashes:
            return []
        from_s = times_s[crashes - 1] + STABLE_WINDOW_S
        return [each for each in self.platform.deadly_arrivals if each.at_s > from_s]

    def broken(self, *, crashes, most_crashes=None):
        """Return what was broken, as texts.

        Parameters
        ----------
        crashes
            Number of crashes after which, and after the stable window, deadly requests
            must reach no target.
        most_crashes
            Greatest number of crashes in all, None for any.
        """
        broken = []
        if len(late := self.late_arrivals(crashes)) > MOST_LATE_ARRIVALS:
            broken.append(f"{len(late)} deadly requests reached targets late")
        count = len(self.platform.crashes)
        if not count:
            broken.append("no target crashed, so that the play shows nothing")
        if most_crashes is not None and count > most_crashes:
            broken.append(f"{count} targets crashed, {most_crashes} are allowed")
        return broken + self._broken_sound() + self._broken_answers()

    def _broken_sound(self):
        last_s = max((at_s for at_s, _ in self.platform.crashes), default=0.0)
        from_s = max(last_s + 2 * STABLE_WINDOW_S, self.deadly_from_s)
        if self.end_s - from_s < AFTER_S:
            since_s = last_s - self.deadly_from_s
            return [f"targets crash still {since_s:.1f} s after the first deadly call"]
        before = self._begun_share(0.0, self.deadly_from_s)
        after = self._begun_share(from_s, self.end_s)
        if before < 0.5:
            return [f"only {before:.2f} of the sound calls began before any crash"]
        if after < before / 2:
            return [f"{after:.2f} of the sound calls began, before {before:.2f}"]
        return []

    def _begun_share(self, from_s, until_s):
        calls = [
            call for call in self.calls if from_s <= call.at_s < until_s
            if not call.deadly
        ]  # fmt: skip
        return sum(call.begun for call in calls) / len(calls)

    def _broken_answers(self):
        ran = {each.attempt for each in self.platform.deadly_arrivals if each.ran}
        return [
            f"no true answer, {'run' if call.attempt in ran else 'not run'}: {call}"
            for call in self.calls
            if call.deadly and not self._has_true_answer(call, call.attempt in ran)
        ]

    def _has_true_answer(self, call, ran):
        ended = call.ended_s and call.ended_s - call.at_s < DEADLINE_S + LATE_S
        if not ended or call.error is not None:
            return False
        if call.status == 503 and call.retry_after is not None:
            return not ran
        # A request that is sent to a target just as that ends may have run.
        crashed = any(
            call.at_s < at_s < call.ended_s for at_s, _ in self.platform.crashes
        )
        return call.status in UNKNOWN_STATUSES and (ran or crashed)
