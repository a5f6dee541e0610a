"""A fault soak of entry processes: callers, a seeded plan of faults, and a verdict.

``python tests/support/entry_soak.py --seeds 1-20 --seconds 20`` runs many seeds, one
after the other, and ends with 1 if one of them broke a promise.
"""

import argparse
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import suppress
from functools import partial
from heapq import heappop, heappush
from math import inf
from shutil import rmtree

from attrs import define, field
from entry_process import Entry, wait_for
from promises import CUT_OFF
from prompt_parts import DEADLY_PART
from soak_callers import STREAM_S, Caller
from soak_checks import judge
from soak_platform import SoakPlatform

ZONES = ("west", "east", "west", "east")
"""Zones of the instances."""
LEAST_FREE = 3
"""Instances without a fault that a fault may come to one of."""
CALLERS = 16
SERIES_A_SECOND = 2.0
MOST_OF_A_SERIES = 4
LONGEST_FAULT_S = 2.0
DRAIN_S = 4.0
"""Time from a target's word that it leaves to its end."""
UNLISTED_AFTER_S = 1.0
"""Time after which the list leaves out what was killed."""
RETRY_SLACK = 200
FIRST_DEADLY_SEED = 201
"""Least seed whose plan has a deadly part; older seeds keep the plans that they had."""
DEADLY_S = 8.0
"""Time for which some callers' streams hold a deadly part.

It is more than that of five crashes and the stable window after them.
"""
DEADLY_FROM = 0.2
"""Begin of that time, as a share of the soak's."""
LEAST_BEFORE_S = 3.0
"""Least time before it, which tells how sound streams fare without."""
DEADLY_ENGINES_FACTOR = 2
"""Multiple of the engines where a deadly part ends some beside the other faults."""
LEAST_AFTER_S = 2.0
"""Least time after it, for which sound streams are counted."""
LOOK_S = 0.1
SHOWN = 5
"""Incidents of a promise that are printed."""
FAULTS = (
    ("engine", "kill"),
    ("engine", "drain"),
    ("engine", "change", "silent", True),
    ("engine", "change", "full", True),
    ("engine", "change", "events_before_cut", 3),
    ("service", "drain"),
    ("service", "change", "behaviour", "lose"),
    ("service", "change", "behaviour", "full"),
    ("service", "change", "behaviour", "fail"),
    ("service", "change", "behaviour", "busy"),
    ("service", "change", "behaviour", "slow"),
    ("service", "change", "behaviour", "other"),
    ("store", "change", "down", True),
    ("store proxy", "change", "delay_s", 0.4),
    ("proxy", "reset"),
    ("proxy", "change", "delay_s", 0.1),
    ("proxy", "change", "muted", "up"),
    ("proxy", "change", "muted", "down"),
    ("proxy", "change", "trickles", True),
    ("instance", "signal", signal.SIGTERM),
    ("instance", "signal", signal.SIGKILL),
    ("instance", "signal", signal.SIGSTOP),
    ("instance", "reload"),
    ("store", "configure"),
    ("store", "configure_older"),
)
"""Where a fault comes, and the method of the soak that begins it, with its inputs."""


@define(eq=False)
class Life:
    """One process of an instance, from its start to its end."""

    entry: Entry
    begun_s: float = field(factory=time.monotonic)
    killed_s: float = inf
    stop_asked_s: float | None = None
    exit_code: int | None = None
    ended_s: float | None = None


class Soak:
    """Entry processes before stand-ins while faults come.

    Parameters
    ----------
    deadly
        True if some callers' streams hold a deadly part for a while, beside the other
        faults; None if the seed tells. It changes nothing of their plan.
    """

    def __init__(
        self,
        seed,
        seconds,
        directory,
        planted="",
        faults=FAULTS,
        slack=RETRY_SLACK,
        deadly=None,
    ):
        self.seed, self.seconds = seed, seconds
        self.planted, self.faults = planted, faults
        self.has_deadly_part = seed >= FIRST_DEADLY_SEED if deadly is None else deadly
        self.tainted, self.tainted_from_s = False, inf
        factor = DEADLY_ENGINES_FACTOR if self.has_deadly_part else 1
        self.platform = SoakPlatform(sorted(set(ZONES)), factor)
        if self.has_deadly_part:
            self.platform.deadly_parts = frozenset({DEADLY_PART})
        self.over = threading.Event()
        self.asks, self.lives, self.windows, self.leavings = [], [], [], []
        self.life_by_name, self.entries, self.counts = {}, [], Counter()
        self.callers = [Caller(self, number) for number in range(CALLERS)]
        self.latest_s = 0.0  # Far above 1: the machine had no time for the soak.
        self._kept, self._engaged, self._agenda = {}, set(), []
        for number, zone in enumerate(ZONES, 1):
            beside = self.entries[0] if self.entries else None
            entry = Entry(self.platform, directory, f"entry-{number}", zone, beside)
            entry.settings["bounds"]["retrySlack"] = slack
            entry.write_settings()
            self.entries.append(entry)

    def run(self):
        """Return what was broken, as pairs of a promise and an incident."""
        try:
            self._start()
            self._play()
            self.over.set()
            for caller in self.callers:
                caller.join(2 * STREAM_S)
            return judge(self)
        finally:
            self.over.set()
            for entry in self.entries:
                entry.end()
            self.platform.stop()

    def _start(self):
        self._first_configuration = self.platform.configure()
        for entry in self.entries:
            self._begin(entry)
        for entry in self.entries:
            entry.wait_ready()
            wait_for(partial(self.serves, entry), 2 * STREAM_S)
        for caller in self.callers:
            caller.start()

    def _begin(self, entry):
        entry.start(self.planted)
        self.lives.append(Life(entry))
        self.life_by_name[entry.path.stem] = self.lives[-1]

    def serves(self, entry):
        """Return whether an instance answers a stream whole."""
        with suppress(*CUT_OFF):
            response = entry.stream(f"probe-{time.monotonic_ns()}", events=2)
            return response.status == 200 and b"id: 2\n" in response.read()
        return False

    def _play(self):
        """Begin faults in series, which overlap, until all have ended."""
        rng, at_s = random.Random(self.seed), 0.5
        self._later(self.seconds / 4, self._withdraw_key)
        if self.has_deadly_part:
            after_s = max(LEAST_BEFORE_S, self.seconds * DEADLY_FROM)
            self._later(after_s, self._taint)
            self._later(after_s + DEADLY_S + LEAST_AFTER_S, self._do_nothing)
        while at_s < self.seconds:
            fault = rng.choice(self.faults)
            for _ in range(rng.randint(1, MOST_OF_A_SERIES)):
                pick, lasts_s = rng.random(), rng.uniform(0, LONGEST_FAULT_S)
                work = partial(self._take, fault, pick, lasts_s)
                self._later(at_s + rng.uniform(0, 0.5), work)
            at_s += rng.expovariate(SERIES_A_SECOND)
        while self._agenda:
            at_s, _, work = heappop(self._agenda)
            time.sleep(max(0.0, at_s - time.monotonic()))
            self.latest_s = max(self.latest_s, time.monotonic() - at_s)
            work()

    def _later(self, after_s, work):
        heappush(self._agenda, (time.monotonic() + after_s, id(work), work))

    def _take(self, fault, pick, lasts_s):
        """Begin a fault at one of its places, unless few of them are left."""
        where, name, *inputs = fault
        places = self._free() if where == "instance" else self.platform.places(where)
        if places:
            place = places[int(pick * len(places))]
            getattr(self, f"_{name}")(place, lasts_s, *inputs)
        self.counts["faults" if places else "faults left out"] += 1

    def _free(self):
        lives = self.life_by_name.values()
        free = [life for life in lives if life.entry not in self._engaged]
        return free if len(free) >= LEAST_FREE else []

    def _note_window(self, name, lasts_s):
        """Note when a fault may delay the news of targets, or one target's."""
        now_s = time.monotonic()
        self.windows.append((name, now_s, now_s + lasts_s))

    def _change(self, place, lasts_s, name, value):
        """Set an attribute of a place for a while."""
        if (place, name) not in self._kept:
            self._kept[place, name] = getattr(place, name)
            self._note_window(place.id, lasts_s)
            setattr(place, name, value)
            self._later(lasts_s, partial(self._restore, place, name))

    def _restore(self, place, name):
        setattr(place, name, self._kept.pop((place, name)))

    def _reset(self, proxy, lasts_s):
        self.platform.call(proxy.reset())

    def _kill(self, target, lasts_s):
        self._end(target)
        self._later(lasts_s, partial(self.platform.replace, target))

    def _drain(self, target, lasts_s):
        self.platform.drain(target)
        self.leavings.append((target, time.monotonic()))
        self._later(0, partial(self.platform.replace, target))
        self._later(DRAIN_S, partial(self._end, target))

    def _end(self, target):
        self.platform.kill(target.id)
        unlist = partial(self.platform.put_entry, target.id, None)
        self._later(UNLISTED_AFTER_S, unlist)

    def _signal(self, life, lasts_s, number):
        """Stop, kill or pause a process; see to what follows."""
        if number == signal.SIGTERM:
            life.stop_asked_s = time.monotonic()
        if number == signal.SIGKILL:
            life.killed_s = time.monotonic()
        self._engaged.add(life.entry)
        life.entry.process.send_signal(number)
        follow = self._restart
        if number == signal.SIGSTOP:
            self._note_window(life.entry.path.stem, lasts_s)
            follow = self._go_on
        self._later(lasts_s, partial(follow, life))

    def _go_on(self, life):
        life.entry.process.send_signal(signal.SIGCONT)
        self._engaged.discard(life.entry)

    def _restart(self, life):
        """Start an instance anew once its process has ended."""
        life.exit_code, life.ended_s = life.entry.process.poll(), time.monotonic()
        if life.exit_code is None:
            self._later(LOOK_S, partial(self._restart, life))
            return
        self._begin(life.entry)
        self._later(LOOK_S, partial(self._release, life.entry))

    def _release(self, entry):
        """Let faults come to an instance again once it is ready."""
        if entry.is_ready():
            self._engaged.discard(entry)
        elif entry.process.poll() is None:
            self._later(LOOK_S, partial(self._release, entry))

    def _reload(self, life, lasts_s):
        life.entry.settings["bounds"]["retryWindowS"] = 10 + lasts_s
        life.entry.write_settings()
        life.entry.process.send_signal(signal.SIGHUP)

    def _taint(self):
        self.tainted, self.tainted_from_s = True, time.monotonic()
        self._later(DEADLY_S, self._end_taint)

    def _end_taint(self):
        self.tainted = False
        self.counts["crashes"] = len(self.platform.crashes)

    def _do_nothing(self):
        """Keep the soak going until then."""

    def _withdraw_key(self):
        self.platform.tenants = [{"name": "kiosk", "apiKeys": ["key-1", "key-2"]}]
        self._configure()

    def _configure(self, *_):
        self.platform.configure(tenants=self.platform.tenants)

    def _configure_older(self, *_):
        """Put the first configuration, in which the withdrawn key is still valid."""
        self.platform.put_configuration(self._first_configuration)


def main():
    """Soak seed after seed; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="one seed, or first-last")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--retry-slack", type=int, default=RETRY_SLACK)
    parser.add_argument(
        "--deadly-part",
        action=argparse.BooleanOptionalAction,
        help=f"engine crashes by a deadly part (default: seeds >= {FIRST_DEADLY_SEED})",
    )
    given = parser.parse_args()
    # Its entry processes end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    first, _, last = given.seeds.partition("-")
    failed = False
    for seed in range(int(first), int(last or first) + 1):
        directory = tempfile.mkdtemp(prefix=f"entry-soak-{seed}-")
        soak = Soak(
            seed,
            given.seconds,
            directory,
            slack=given.retry_slack,
            deadly=given.deadly_part,
        )
        broken = soak.run()
        counts = soak.counts + Counter(ask.outcome for ask in soak.asks)
        verdict = "broken" if broken else "held"
        late = f"{soak.latest_s:.1f} s late, stand-ins {soak.platform.latest_s:.1f} s"
        print(f"seed {seed}: {verdict}; {late}; {dict(counts)}")
        shown = Counter()
        for promise, what in broken:
            shown[promise] += 1
            if shown[promise] <= SHOWN:
                print(f"  {promise}: {what}")
        if broken:
            failed = True
            print(f"  {dict(shown)}, logs in {directory}")
        else:
            rmtree(directory)
        sys.stdout.flush()
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
