"""A gossip update and its encoding in a heartbeat (the thrift struct `News`)."""

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
    """The newest version of the information on one subject.

    Parameters
    ----------
    kind, subject
        Identify the update: a new version replaces the old one of the same pair.
    version
        Increases with each publication; the highest version wins.
    body
        A JSON object, encoded.
    origin
        The instance that published the update.
    published_s, ttl_s
        Time of publication on this instance's monotonic clock, and time to live in
        seconds on every instance.
    stored_s
        Monotonic time at which this instance stored it.
    send_count
        How many times this instance has sent it.
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
        """The kind and subject."""
        return self.kind, self.subject

    @property
    def size_bytes(self) -> int:
        """Estimated size in a heartbeat, in bytes."""
        names = len(self.kind) + len(self.subject) + len(self.origin)
        return UPDATE_OVERHEAD_BYTES + names + len(self.body)

    def expired(self, now_s: float) -> bool:
        """Return True if the time to live is over."""
        return now_s - self.published_s >= self.ttl_s

    def supersedes(self, other: "GossipUpdate | None") -> bool:
        """Return True if this replaces ``other``.

        Of two equal versions the greater body in string order wins, so that all
        instances keep the same one.
        """
        if other is None:
            return True
        return (self.version, self.body) > (other.version, other.body)


def update_from_wire(news: News, now_s: float) -> GossipUpdate | None:
    """Return a received update, None if it exceeds a limit."""
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
    """Raise `NewsTooLargeError` if an update does not fit into a heartbeat."""
    if len(body) > MAX_BODY_BYTES:
        raise NewsTooLargeError(
            f"The body of gossip update {kind}/{subject} has {len(body)} bytes.",
            f"keep it within {MAX_BODY_BYTES}",
        )
    if max(len(kind), len(subject)) > MAX_NAME_CHARACTERS:
        raise NewsTooLargeError(
            f"Kind or subject of gossip update {kind[:40]}/{subject[:40]} is too long.",
            f"keep kind and subject within {MAX_NAME_CHARACTERS} characters each",
        )


def decode_body(body: str) -> dict[str, Any] | None:
    """Return a body decoded from JSON, None if it is not an object."""
    try:
        decoded = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    return decoded if isinstance(decoded, dict) else None


def update_to_wire(update: GossipUpdate, now_s: float) -> News:
    """Return an update as sent in heartbeats.

    Its age is sent instead of the publication time, which is a time of the monotonic
    clock and has no meaning on another instance.
    """
    return News(
        kind=update.kind,
        subject=update.subject,
        version=update.version,
        body=update.body,
        age_ms=round((now_s - update.published_s) * 1000),
        origin=update.origin or None,
        ttl_ms=round(update.ttl_s * 1000),
    )
