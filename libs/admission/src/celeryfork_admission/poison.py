"""Refusal of poison requests: those that crash each target that runs them.

A crash is counted for every request that ran on the target, and each of these is a
suspect. Suspects avoid targets on which another suspect is known to run (those of other
instances for a few seconds after they start), which separates the poison request from
the others: a harmless request then usually shares at most one crash with it, completes
on another target and is no longer a suspect.
"""

import threading
import uuid
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import xxhash
from attrs import define, field, frozen
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import RequestRefusedError
from celeryfork_base.outcomes import Outcome

CRASH_NEWS_KIND = "crash"
COMPLETION_NEWS_KIND = "crash_cleared"
SUSPECT_NEWS_KIND = "suspect_on"
SUSPECT_TTL_S = 5.0  # Seconds for which a suspect of a peer counts as running.
MAX_FINGERPRINTS = 10_000

NewsCallback = Callable[[str, dict[str, Any], str], None]


class NewsPort(Protocol):
    """Methods of the store of gossiped updates that the registry needs."""

    def publish(
        self, kind: str, subject: str, body: dict[str, Any], ttl_s: float
    ) -> None:
        """Send a fact to all peers by gossip."""

    def subscribe(self, kind: str, callback: NewsCallback) -> None:
        """Call back with (subject, body, origin) for each fact of the kind."""


def fingerprint(organisation: str, kind: str, body: bytes) -> str:
    """Return a hash that is the same whenever a request is sent again.

    Parameters
    ----------
    organisation, kind
        Organisation of the caller, and kind of the request.
    body
        Body as received, without the request id.
    """
    digest = xxhash.xxh3_128()
    for part in (organisation.encode(), kind.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@frozen
class PoisonBounds:
    """Limits after which a request is refused.

    Parameters
    ----------
    most_crashes
        Crashes after which a fingerprint is refused.
    ttl_s
        Time for which a crash is kept, in seconds.
    """

    most_crashes: int
    ttl_s: float


@define
class _Suspect:
    """Crashes counted for one fingerprint."""

    expires_s: float
    crash_ids: set[str] = field(factory=set)


class PoisonRegistry:
    """Counts crashes by fingerprint, those that peers report included.

    Parameters
    ----------
    news
        Exchanges crashes and suspects with the peers.
    clock, counters
        Time source and metrics.
    bounds
        Returns the limits in force.
    """

    def __init__(
        self,
        news: NewsPort,
        clock: Clock,
        counters: Counters,
        bounds: Callable[[], PoisonBounds],
    ) -> None:
        self._news = news
        self._clock = clock
        self._counters = counters
        self._bounds = bounds
        self._lock = threading.Lock()
        self._suspects_by_fingerprint: dict[str, _Suspect] = {}
        self._targets_by_running_suspect: dict[str, frozenset[str]] = {}
        self._peer_suspect_until_s_by_target: dict[str, float] = {}
        news.subscribe(CRASH_NEWS_KIND, self._handle_crash)
        news.subscribe(COMPLETION_NEWS_KIND, self._handle_completion)
        news.subscribe(SUSPECT_NEWS_KIND, self._handle_suspect)

    def record_crash(self, fingerprint: str, target_id: str) -> int:
        """Record that a target crashed while it ran the request.

        Returns
        -------
        int
            Number of crashes known for the fingerprint.
        """
        crash_id = uuid.uuid4().hex
        self._counters.add("poison.crashes")
        crashes = self._add_crash(fingerprint, crash_id)
        self._news.publish(
            CRASH_NEWS_KIND,
            f"{fingerprint}/{crash_id}",
            {"target": target_id},
            self._bounds().ttl_s,
        )
        return crashes

    def record_completion(self, fingerprint: str) -> None:
        """Record that the request completed, so it is no longer a suspect."""
        with self._lock:
            suspect = self._suspects_by_fingerprint.pop(fingerprint, None)
        if suspect is not None:
            self._news.publish(
                COMPLETION_NEWS_KIND, fingerprint, {}, self._bounds().ttl_s
            )

    def crashes(self, fingerprint: str) -> int:
        """Return the number of crashes known for the fingerprint."""
        with self._lock:
            suspect = self._suspects_by_fingerprint.get(fingerprint)
            if suspect is None or suspect.expires_s < self._clock.monotonic():
                return 0
            return len(suspect.crash_ids)

    def check(self, fingerprint: str) -> None:
        """Refuse a request that has crashed too many targets.

        Raises
        ------
        RequestRefusedError
            With outcome ``failed``: the request ran, and crashed its targets.
        """
        most_crashes = self._bounds().most_crashes
        if self.crashes(fingerprint) < most_crashes:
            return
        self._counters.add("poison.refused")
        raise RequestRefusedError(
            f"This request crashed {most_crashes} targets and is not run again.",
            "change the request; report it to the operator if it should be valid",
            outcome=Outcome.FAILED,
            status=422,
            code="poison",
        )

    def record_start(self, fingerprint: str, target_ids: Iterable[str]) -> None:
        """Record the targets on which a suspect starts to run; others are ignored."""
        if self.crashes(fingerprint) == 0:
            return
        targets = frozenset(target_ids)
        with self._lock:
            self._targets_by_running_suspect[fingerprint] = targets
        for target_id in targets:
            self._news.publish(SUSPECT_NEWS_KIND, target_id, {}, SUSPECT_TTL_S)

    def record_end(self, fingerprint: str) -> None:
        """Record that a request has stopped running."""
        with self._lock:
            self._targets_by_running_suspect.pop(fingerprint, None)

    def targets_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the targets on which other suspects are known to run.

        There are none if the request is not a suspect.
        """
        if self.crashes(fingerprint) == 0:
            return frozenset()
        now_s = self._clock.monotonic()
        with self._lock:
            busy_targets = {
                target_id
                for other, targets in self._targets_by_running_suspect.items()
                if other != fingerprint
                for target_id in targets
            }
            busy_targets.update(
                target_id
                for target_id, until_s in self._peer_suspect_until_s_by_target.items()
                if until_s > now_s
            )
        return frozenset(busy_targets)

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        with self._lock:
            return {
                "crashes_by_fingerprint": {
                    name: len(suspect.crash_ids)
                    for name, suspect in self._suspects_by_fingerprint.items()
                },
                "most_crashes": self._bounds().most_crashes,
            }

    def _add_crash(self, fingerprint: str, crash_id: str) -> int:
        now_s = self._clock.monotonic()
        with self._lock:
            self._evict_old(now_s)
            suspect = self._suspects_by_fingerprint.setdefault(
                fingerprint, _Suspect(expires_s=0.0)
            )
            suspect.expires_s = now_s + self._bounds().ttl_s
            suspect.crash_ids.add(crash_id)
            return len(suspect.crash_ids)

    def _evict_old(self, now_s: float) -> None:
        expired_fingerprints = [
            name
            for name, suspect in self._suspects_by_fingerprint.items()
            if suspect.expires_s < now_s
        ]
        for name in expired_fingerprints:
            del self._suspects_by_fingerprint[name]
        while len(self._suspects_by_fingerprint) >= MAX_FINGERPRINTS:
            oldest = next(iter(self._suspects_by_fingerprint))
            del self._suspects_by_fingerprint[oldest]

    def _handle_crash(self, subject: str, body: dict[str, Any], origin: str) -> None:
        fingerprint, _, crash_id = subject.partition("/")
        if crash_id:
            self._add_crash(fingerprint, crash_id)

    def _handle_completion(
        self, subject: str, body: dict[str, Any], origin: str
    ) -> None:
        with self._lock:
            self._suspects_by_fingerprint.pop(subject, None)

    def _handle_suspect(self, subject: str, body: dict[str, Any], origin: str) -> None:
        now_s = self._clock.monotonic()
        with self._lock:
            until_s_by_target = self._peer_suspect_until_s_by_target
            until_s_by_target[subject] = now_s + SUSPECT_TTL_S
            for target_id in [t for t, u in until_s_by_target.items() if u <= now_s]:
                del until_s_by_target[target_id]


def make_poison_registry(
    news: NewsPort,
    clock: Clock,
    counters: Counters,
    bounds: Callable[[], PoisonBounds],
) -> PoisonRegistry:
    """Return an empty registry that is subscribed to its peers' facts."""
    return PoisonRegistry(news, clock, counters, bounds)
