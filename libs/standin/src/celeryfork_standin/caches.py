"""An engine's two caches: prompt prefixes in limited memory, and streams' KV."""

import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable

from attrs import define, frozen
from xxhash import xxh3_64_hexdigest

PREFIX_CHARACTERS = 32
CHARACTERS_PER_TOKEN = 4
MOST_EVENTS_KEPT = 1000


def count_prompt_tokens(prompt: str) -> int:
    """Return how many tokens the engines take a prompt for."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def prefix_key(prompt: str) -> str:
    """Return the name under which cache events report a prompt's prefix."""
    return xxh3_64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())


@frozen
class CacheEvent:
    """One change of the prefix cache; ``at_s`` is monotonic."""

    seq: int
    kind: str
    prefix: str
    at_s: float


class PrefixCache:
    """The prompts last run, least recently used out first.

    Parameters
    ----------
    most_prefixes
        How many prefixes fit.
    event_lag_s
        Age at which events begin to show.
    event_loss
        Share of events that never show, which leaves gaps in ``seq``.
    """

    def __init__(
        self,
        most_prefixes: int,
        event_lag_s: float,
        event_loss: float,
        chance: random.Random,
    ) -> None:
        self._most = most_prefixes
        self._lag_s = event_lag_s
        self._loss = event_loss
        self._chance = chance
        self._prompt_by_prefix: OrderedDict[str, str] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MOST_EVENTS_KEPT)
        self._next_seq = 1

    def take(self, prompt: str) -> int:
        """Return how many of the prompt's tokens are cached, and cache them all."""
        prefix = prefix_key(prompt)
        cached = self._prompt_by_prefix.get(prefix)
        self._prompt_by_prefix[prefix] = prompt
        self._prompt_by_prefix.move_to_end(prefix)
        if cached is not None:
            return _common_length(cached, prompt) // CHARACTERS_PER_TOKEN
        self._note("stored", prefix)
        if len(self._prompt_by_prefix) > self._most:
            evicted, _ = self._prompt_by_prefix.popitem(last=False)
            self._note("evicted", evicted)
        return 0

    def events_after(self, seq: int) -> list[CacheEvent]:
        """Return the events that show by now, from ``seq`` on."""
        newest_s = time.monotonic() - self._lag_s
        return [e for e in self._events if e.seq > seq and e.at_s <= newest_s]

    def _note(self, kind: str, prefix: str) -> None:
        seq = self._next_seq
        self._next_seq += 1
        if self._chance.random() >= self._loss:
            self._events.append(CacheEvent(seq, kind, prefix, time.monotonic()))


def _common_length(one: str, other: str) -> int:
    """Return the length of the longest common prefix, by bisection."""
    low, high = 0, min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one.startswith(other[:middle]):
            low = middle
        else:
            high = middle - 1
    return low


@define(eq=False)
class KvEntry:
    """A stream's KV cache on one engine.

    Parameters
    ----------
    first, last
        The layers covered.
    tokens
        How many tokens of prompt and answer it holds; asked anew while running.
    expires_s
        Monotonic time at which it goes; None while an attempt uses it.
    """

    first: int
    last: int
    tokens: Callable[[], int]
    expires_s: float | None = None

    def covers(self, first: int, last: int) -> bool:
        """Whether the layers ``[first, last)`` are all there."""
        return self.first <= first and last <= self.last


class KvCache:
    """KV caches by stream; those not in use go oldest first when memory is full.

    Parameters
    ----------
    most_tokens
        How many tokens fit.
    kept_s
        How long an entry outlives its attempt, in seconds.
    """

    def __init__(self, most_tokens: int, kept_s: float) -> None:
        self._most_tokens = most_tokens
        self._kept_s = kept_s
        self._used_by_stream: dict[str, KvEntry] = {}
        self._kept_by_stream: OrderedDict[str, KvEntry] = OrderedDict()
        self._kept_tokens = 0

    def find(self, stream_id: str, first: int, last: int) -> KvEntry | None:
        """Return the stream's entry if it covers the layers and is still there."""
        self._evict()
        entry = self._used_by_stream.get(stream_id)
        if entry is None:
            entry = self._kept_by_stream.get(stream_id)
        return entry if entry is not None and entry.covers(first, last) else None

    def hold(self, stream_id: str, entry: KvEntry) -> None:
        """Keep an entry for as long as its attempt runs."""
        self.drop(stream_id)
        self._used_by_stream[stream_id] = entry

    def release(self, stream_id: str, entry: KvEntry) -> None:
        """Let an entry age, after its attempt ended."""
        if self._used_by_stream.get(stream_id) is not entry:
            return
        del self._used_by_stream[stream_id]
        final = entry.tokens()
        entry.tokens = lambda: final
        entry.expires_s = time.monotonic() + self._kept_s
        self._kept_by_stream[stream_id] = entry
        self._kept_tokens += final
        self._evict()

    def drop(self, stream_id: str) -> None:
        """Forget a stream's KV cache."""
        self._used_by_stream.pop(stream_id, None)
        kept = self._kept_by_stream.pop(stream_id, None)
        if kept is not None:
            self._kept_tokens -= kept.tokens()

    def used_share(self) -> float:
        """Return the share of the memory in use, 0 to 1."""
        return min(1.0, self._tokens() / self._most_tokens)

    def _tokens(self) -> int:
        in_use = sum(entry.tokens() for entry in self._used_by_stream.values())
        return self._kept_tokens + in_use

    def _evict(self) -> None:
        """Drop what has expired, and the oldest while there is too much."""
        now = time.monotonic()
        excess = self._tokens() - self._most_tokens
        while self._kept_by_stream:
            stream_id, oldest = next(iter(self._kept_by_stream.items()))
            expired = oldest.expires_s is not None and oldest.expires_s <= now
            if not expired and excess <= 0:
                return
            excess -= oldest.tokens()
            self.drop(stream_id)
