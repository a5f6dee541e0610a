"""Domains with many instances on simulated time, with late load reports."""

from heapq import heappop, heappush

from attrs import evolve
from celeryfork_routing.domain_shares import DomainLoad, DomainShares

STEP_S, MEAN_TOKENS, IDLE_MS, ROUND_TRIP_MS = 0.05, 1_000.0, 600.0, 2.0


class DomainFleet:
    """Instances of each domain that place requests on pools of engines.

    Demand and capacity are in requests in flight; requests beyond the capacity are
    refused. Reports of other domains are ``report_s`` old on average.
    """

    def __init__(self, capacity, demand_at, instances=10, report_s=1.0, balanced=True):
        self.capacity, self.demand_at = capacity, demand_at
        self.report_s, self.balanced, self.instances = report_s, balanced, instances
        self.shares = {
            (d, n): DomainShares(n / instances)
            for d in capacity
            for n in range(instances)
        }
        self.held, self.used = dict.fromkeys(capacity, 0), dict.fromkeys(capacity, 0)
        self.reports = {}
        self.cut = set()
        self.ends = []
        # Arrivals of the instances are spread over time, unlike their shares' phases.
        self.debt = {(d, n): 0.618 * n % 1 for d, n in self.shares}
        self.history, self.refused, self.moved = [], 0, []

    def busy_ms(self, domain):
        return IDLE_MS * (1 + 2 * (self.held[domain] / self.capacity[domain]) ** 3)

    def load(self, domain):
        tokens = self.capacity[domain] * MEAN_TOKENS
        held, used = self.held[domain], self.used[domain]
        return DomainLoad(
            tokens,
            tokens - held * MEAN_TOKENS,
            used * MEAN_TOKENS,
            self.busy_ms(domain),
        )

    def known_by(self, domain):
        """Return the reports that reach a domain, and its own present load."""
        reached = {} if domain in self.cut else self.reports
        known = {
            each: evolve(load, busy_ms=load.busy_ms + ROUND_TRIP_MS)
            for each, load in reached.items()
            if each not in self.cut
        }
        return known | {domain: self.load(domain)}

    def run(self, until_s):
        for step in range(len(self.history), round(until_s / STEP_S)):
            now_s = step * STEP_S
            if step % round(self.report_s / STEP_S) == 0:
                self.reports = {domain: self.load(domain) for domain in self.capacity}
            while self.ends and self.ends[0][0] <= now_s:
                _, origin, place = heappop(self.ends)
                self.used[origin] -= 1
                self.held[place] -= 1
            for (domain, number), shares in self.shares.items():
                if self.balanced and step % 2 == number % 2:
                    shares.update(domain, self.known_by(domain), now_s)
                arriving = self.demand_at(domain, now_s) * STEP_S * 1000 / IDLE_MS
                self.debt[domain, number] += arriving / self.instances
                while self.debt[domain, number] >= 1:
                    self.debt[domain, number] -= 1
                    self.place(domain, shares.pick() or domain, now_s)
            self.history.append((now_s, {each: self.share(each) for each in self.held}))

    def place(self, origin, place, now_s):
        if place != origin:
            fill = [self.held[each] / self.capacity[each] for each in (place, origin)]
            self.moved.append((now_s, origin, place, fill[0] / max(0.01, fill[1])))
        if self.held[place] >= self.capacity[place]:
            self.refused += 1
            return
        self.held[place] += 1
        self.used[origin] += 1
        heappush(self.ends, (now_s + self.busy_ms(place) / 1000, origin, place))

    def share(self, domain):
        """Return the mean share that a domain's instances send away."""
        shares = [s.by_domain for (own, _), s in self.shares.items() if own == domain]
        return sum(sum(each.values()) for each in shares) / self.instances
