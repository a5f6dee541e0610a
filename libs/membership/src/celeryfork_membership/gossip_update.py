"""One fact on the news board, and its form in a heartbeat."""

from typing import Any

import orjson
from attrs import define
from celeryfork_wire.gen.celeryfork.ttypes import News

from celeryfork_membership.errors import NewsTooLargeError

MAX_BODY_BYTES = 512
MAX_NAME_CHARACTERS = 256
MAX_TTL_S = 3600.0
UPDATE_OVERHEAD_BYTES = 60

UpdateKey = tuple[str, str]


@define
class GossipUpdate:
    """The newest version of one fact.

    Parameters
    ----------
    kind, subject
        What it is about.
    version
        Grows; the highest wins.
    body
        A JSON object.
    origin
        The instance that published it.
    born_s, ttl_s
        When it was published, by this instance's monotonic clock, and for how long
        anybody remembers it.
    taken_s
        When this instance took it in.
    sends
        How often this instance has sent it.
    """

    kind: str
    subject: str
    version: int
    body: str
    origin: str
    published_s: float
    ttl_s: float
    stored_s: float
    send_count: int = 0

    @property
    def key(self) -> UpdateKey:
        """What the fact is about."""
        return self.kind, self.subject

    @property
    def size_bytes(self) -> int:
        """About how much it takes of a heartbeat."""
        names = len(self.kind) + len(self.subject) + len(self.origin)
        return UPDATE_OVERHEAD_BYTES + names + len(self.body)

    def expired(self, now_s: float) -> bool:
        """Return whether its time is over."""
        return now_s - self.published_s >= self.ttl_s

    def supersedes(self, other: "GossipUpdate | None") -> bool:
        """Return whether this one replaces ``other``; ties go to the larger body."""
        if other is None:
            return True
        return (self.version, self.body) > (other.version, other.body)


def update_from_wire(news: News, now_s: float) -> GossipUpdate | None:
    """Return the fact in a peer's news, None if it breaks the bounds."""
    names = (news.kind, news.subject, news.origin or "")
    if any(len(name) > MAX_NAME_CHARACTERS for name in names):
        return None
    if len(news.body) > MAX_BODY_BYTES or news.age_ms < 0:
        return None
    ttl_s = MAX_TTL_S if news.ttl_ms is None else news.ttl_ms / 1000
    return GossipUpdate(
        kind=news.kind,
        subject=news.subject,
        version=news.version,
        body=news.body,
        origin=news.origin or "",
        published_s=now_s - news.age_ms / 1000,
        ttl_s=min(ttl_s, MAX_TTL_S),
        stored_s=now_s,
    )


def check_size(kind: str, subject: str, body: str) -> None:
    """Raise `NewsTooLargeError` for what does not fit into a heartbeat."""
    if len(body) > MAX_BODY_BYTES:
        raise NewsTooLargeError(
            f"News {kind}/{subject} has a body of {len(body)} bytes.",
            f"keep it within {MAX_BODY_BYTES}",
        )
    if max(len(kind), len(subject)) > MAX_NAME_CHARACTERS:
        raise NewsTooLargeError(
            f"News {kind[:40]}/{subject[:40]} has too long a name.",
            f"keep names within {MAX_NAME_CHARACTERS} characters",
        )


def decode_body(body: str) -> dict[str, Any] | None:
    """Return a body as an object, None if it is none."""
    try:
        decoded = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    return decoded if isinstance(decoded, dict) else None


def update_to_wire(update: GossipUpdate, now_s: float) -> News:
    """Return a fact as a heartbeat carries it, with its age instead of a time."""
    return News(
        kind=update.kind,
        subject=update.subject,
        version=update.version,
        body=update.body,
        age_ms=round((now_s - update.published_s) * 1000),
        origin=update.origin or None,
        ttl_ms=round(update.ttl_s * 1000),
    )
