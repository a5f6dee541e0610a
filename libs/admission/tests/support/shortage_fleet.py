"""A simulated fleet of instances that admit requests to a pool of engine memory."""

import heapq
import random
from collections import Counter, deque
from itertools import count

from attrs import define, evolve, field, frozen
from celeryfork_admission.service_load import DemandRow, ServiceDemand, ServiceLoad
from celeryfork_admission.shortage import Admit, ArrivingRequest, ShortagePolicy
from celeryfork_routing.room import Room

STEP_S = 0.05
WAIT_S = 0.25
"""Seconds for which an admitted request waits for memory, as the path search does."""


@frozen
class Source:
    """Requests of one kind; ``retry_s`` is None for callers that obey Retry-After."""

    urgency: object
    organisation: str
    rate: object
    tokens: float = 100.0
    retry_s: float | None = None


@define(slots=False)
class Fleet:
    """Instances that share one pool of engines and the information on it.

    Results count only what arrives after ``warm_up_s``: tokens by source.
    """

    instances: int
    total: float
    age_s: float
    weights: dict = field(factory=dict)
    holding_s: tuple = (2.0,)
    warm_up_s: float = 8.0
    complete: bool = True
    seed: int = 1

    def __attrs_post_init__(self):
        names = [f"i{number}" for number in range(self.instances)]
        weight = lambda organisation: self.weights.get(organisation, 1.0)  # noqa: E731
        self.policies = [ShortagePolicy(n, weight, random.Random(n)) for n in names]
        self.random, self.used, self.order = random.Random(self.seed), 0.0, count()
        self.releases, self.retries, self.waiting = [], [], []
        self.rates, self.infos = Counter(), deque()
        self.offered, self.admitted, self.served = Counter(), Counter(), Counter()
        self.use, self.retry_after_s = [], []

    def run(self, sources, seconds):
        for step in range(round(seconds / STEP_S)):
            now_s = step * STEP_S
            while self.releases and self.releases[0][0] <= now_s:
                _, tokens = heapq.heappop(self.releases)
                self.used -= tokens
                self._rate("released", tokens)
            self._place(now_s)
            for source in sources:
                expected = source.rate(now_s) * STEP_S
                arrivals = int(expected + self.random.random())
                for _ in range(arrivals):
                    self._arrive(source, now_s, now_s + 20.0)
            while self.retries and self.retries[0][0] <= now_s:
                _, _, source, deadline_s = heapq.heappop(self.retries)
                self._arrive(source, now_s, deadline_s)
            self._place(now_s)
            for key in self.rates:
                self.rates[key] *= 1 - STEP_S
            if step % 5 == 0:
                self._publish(now_s)
            if now_s >= self.warm_up_s:
                self.use.append(self.used / self.total)
        return self

    def _rate(self, name, tokens):
        self.rates[name] += tokens

    def _arrive(self, source, now_s, deadline_s):
        policy = self.random.choice(self.policies)
        self._rate(source, source.tokens)
        while len(self.infos) > 1 and self.infos[1][0] <= now_s - self.age_s:
            self.infos.popleft()
        if self.infos and self.infos[0][0] <= now_s - self.age_s:
            at_s, load = self.infos[0]
            policy.update(evolve(load, age_s=now_s - at_s), now_s)
        counts = now_s >= self.warm_up_s
        self.offered[source] += source.tokens * counts
        decision = policy.decide(
            ArrivingRequest(
                source.urgency,
                source.organisation,
                source.tokens,
                0.5,
                deadline_s - now_s,
            ),
            now_s,
        )
        if isinstance(decision, Admit):
            self.admitted[source] += source.tokens * counts
            self._rate("admitted", source.tokens)
            self.waiting.append((now_s, source, counts))
            return
        self.retry_after_s.append(decision.retry_after_s)
        at_s = now_s + (source.retry_s or decision.retry_after_s)
        if at_s < deadline_s:
            entry = (at_s, next(self.order), source, deadline_s)
            heapq.heappush(self.retries, entry)

    def _place(self, now_s):
        left = []
        for since_s, source, counts in self.waiting:
            if self.used + source.tokens <= self.total:
                self.used += source.tokens
                held_s = self.random.choice(self.holding_s) * self.random.uniform(
                    0.5, 1.5
                )
                heapq.heappush(self.releases, (now_s + held_s, source.tokens))
                self.served[source] += source.tokens * counts
            elif now_s - since_s < WAIT_S:
                left.append((since_s, source, counts))
        self.waiting = left

    def _publish(self, now_s):
        """Publish rates averaged over about 1 s, with 16 rows of organisations."""
        demand = Counter()
        for key, tokens in self.rates.items():
            if isinstance(key, Source):
                demand[key.urgency, key.organisation] += tokens
        named = demand.most_common(16)
        rest, members = Counter(), Counter()
        for (urgency, _), tokens in demand.most_common()[16:]:
            rest[urgency] += tokens
            members[urgency] += 1
        rows = [DemandRow(u, o, tokens, tokens / 100) for (u, o), tokens in named]
        rows += [DemandRow(u, None, t, t / 100, members[u]) for u, t in rest.items()]
        rates = self.rates["admitted"], self.rates["released"]
        load = ServiceLoad(
            Room(self.total, self.total - self.used),
            ServiceDemand("llm", tuple(rows), *rates),
            0.0,
            self.instances,
            self.complete,
        )
        self.infos.append((now_s, load))

    def share(self, organisation=None, urgency=None):
        """Return the share of the offered tokens of some sources that was served."""
        chosen = [
            each
            for each in self.offered
            if organisation in (None, each.organisation)
            and urgency in (None, each.urgency)
        ]
        return sum(self.served[s] for s in chosen) / sum(
            self.offered[s] for s in chosen
        )

    @property
    def utilisation(self):
        return sum(self.use) / len(self.use)

    @property
    def lost(self):
        """Return the share of the admitted tokens that found no memory."""
        return 1 - sum(self.served.values()) / max(1.0, sum(self.admitted.values()))
