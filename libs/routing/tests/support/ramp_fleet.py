"""Instances that ramp up targets on simulated time, each one deciding by itself."""

import heapq
import random
from collections import Counter
from itertools import count
from math import inf

from attrs import define, field
from celeryfork_routing.ramp_up import RampUp

SERVICE_S = 0.06
REPORT_S = 0.25


@define(eq=False)
class SimulatedTarget:
    """A target with some slots; more requests wait in its queue.

    Parameters
    ----------
    slowness
        Returns its duration of a request as a multiple of the usual one, by time.
    up
        Returns False by time while it fails all requests at once.
    queue_limit
        Requests in flight above which it refuses work.
    listed_s, leaves_s
        Begin and end of the time for which it is listed.
    taken
        Time, duration in s and requests in flight of each request that it has run.
    """

    id: str
    slots: int = 16
    slowness: object = lambda now_s: 1.0
    up: object = lambda now_s: True
    queue_limit: int = 10_000
    listed_s: float = 0.0
    leaves_s: float = inf
    in_flight: int = 0
    free_s: list = field(factory=list)
    taken: list = field(factory=list)

    def run(self, now_s):
        """Return the duration of a new request."""
        while len(self.free_s) < self.slots:
            heapq.heappush(self.free_s, 0.0)
        begin_s = max(now_s, heapq.heappop(self.free_s))
        end_s = begin_s + SERVICE_S * self.slowness(now_s)
        heapq.heappush(self.free_s, end_s)
        self.in_flight += 1
        self.taken.append((now_s, end_s - now_s, self.in_flight))
        return end_s - now_s


@define(eq=False)
class RampFleet:
    """A fleet that sends each request to the target with the lowest load it knows of.

    Loads are known from reports every ``REPORT_S`` seconds; each instance assumes that
    the others send as many requests in between as it does itself. An instance excludes
    a target that failed one of its requests until the target's next begin.

    Parameters
    ----------
    starts
        Time and target id of each begin of a ramp.
    fallbacks
        Times of requests for which all targets were held back.
    ends
        Time and target id of the end of each ramp of an instance.
    failed, refused
        Number of requests that a target failed, or refused.
    """

    targets: list
    starts: list = field(factory=list)
    instances: int = 60
    per_s: float = 600.0
    seed: int = 1
    fallbacks: list = field(factory=list)
    ends: list = field(factory=list)
    failed: int = 0
    refused: int = 0
    _events: list = field(factory=list)
    _numbers: object = field(factory=count)
    _members: list = field(factory=list)
    _reported: dict = field(factory=dict)
    _rng: object = None

    def run(self, seconds):
        self._rng = random.Random(self.seed)
        self._members = [_Member(RampUp(f"i{n}")) for n in range(self.instances)]
        for at_s, target_id in self.starts:
            self._at(at_s, self._begin, target_id)
        self._at(0.0, self._report)
        self._at(0.0, self._arrive)
        while self._events[0][0] < seconds:
            now_s, _, act, arguments = heapq.heappop(self._events)
            act(now_s, *arguments)

    def _at(self, at_s, act, *arguments):
        heapq.heappush(self._events, (at_s, next(self._numbers), act, arguments))

    def _begin(self, now_s, target_id):
        for each in self._members:
            each.excluded.discard(target_id)
            each.ramp.began(target_id, now_s, self.instances, now_s + self.seed)

    def _report(self, now_s):
        self._reported = {each.id: each.in_flight for each in self.targets}
        for each in self._members:
            each.sent = Counter()
        self._at(now_s + REPORT_S, self._report)

    def _arrive(self, now_s):
        self._at(now_s + self._rng.expovariate(self.per_s), self._arrive)
        member = self._rng.choice(self._members)
        ramp, target = member.ramp, self._choose(member, now_s)
        ramp.record_start(target.id, now_s)
        if not target.up(now_s):
            self.failed += 1
            member.excluded.add(target.id)
            ramp.record_failure(target.id, now_s)
        elif target.in_flight >= target.queue_limit:
            self.refused += 1
            ramp.record_refusal(target.id, now_s)
        else:
            member.sent[target.id] += 1
            member.in_flight[target.id] += 1
            took_s = target.run(now_s)
            self._at(now_s + took_s, self._answer, member, target, took_s)

    def _choose(self, member, now_s):
        listed = [
            each
            for each in self.targets
            if each.listed_s <= now_s < each.leaves_s and each.id not in member.excluded
        ]
        free = [
            each
            for each in listed
            if member.ramp.may_start(each.id, member.in_flight[each.id], now_s)
        ]
        if not free:
            self.fallbacks.append(now_s)
        return min(free or listed, key=lambda each: self._load(member, each.id))

    def _load(self, member, target_id):
        assumed = self.instances * member.sent[target_id]
        return self._reported.get(target_id, 0) + assumed + self._rng.random()

    def _answer(self, now_s, member, target, took_s):
        target.in_flight -= 1
        member.in_flight[target.id] -= 1
        usual_ms = SERVICE_S * 1000
        if member.ramp.record_answer(target.id, took_s * 1000, usual_ms, now_s):
            self.ends.append((now_s, target.id))


@define
class _Member:
    """An instance with its requests in flight, and those sent since the last report."""

    ramp: RampUp
    in_flight: Counter = field(factory=Counter)
    sent: Counter = field(factory=Counter)
    excluded: set = field(factory=set)


def rate(targets, begin_s, end_s):
    """Return the mean requests per second that targets have run."""
    taken = [at_s for each in targets for at_s, *_ in each.taken]
    in_time = sum(begin_s <= at_s < end_s for at_s in taken)
    return in_time / (end_s - begin_s) / len(targets)


def longest_s(targets, begin_s=0.0, end_s=inf):
    """Return the longest duration of requests that targets have begun to run."""
    return max(
        took_s
        for each in targets
        for at_s, took_s, _ in each.taken
        if begin_s <= at_s < end_s
    )
