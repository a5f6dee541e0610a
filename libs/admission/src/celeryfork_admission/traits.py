"""Traits: properties of requests that may be what crashes engines."""

import hashlib
from enum import Enum

from attrs import frozen

MAX_VALUE_CHARS = 64
HASH_PREFIX = "blake2b:"
"""Start of the value of a trait whose own text is too long or odd."""


class TraitKind(Enum):
    """What the requests with a trait have in common."""

    PART = "part"
    """A part of the prompt."""
    REQUEST = "request"
    """Organisation, method, target and body: the same request again."""


@frozen(cache_hash=True)
class Trait:
    """A property that requests share and that may be what crashes engines.

    Parameters
    ----------
    service
        Service of the requests; the same part is another trait at another service.
    kind
        What the requests share.
    value
        Printable ASCII characters, at most ``MAX_VALUE_CHARS``.
    """

    service: str
    kind: TraitKind
    value: str


def make_trait(service: str, kind: TraitKind, text: str) -> Trait:
    """Return the trait named by any text, which is hashed if it is too long or odd.

    No plain text names the same trait as a hashed one.
    """
    plain = (
        0 < len(text) <= MAX_VALUE_CHARS
        and text.isascii()
        and text.isprintable()
        and not text.startswith(HASH_PREFIX)
    )
    if not plain:
        text = HASH_PREFIX + _hash(text.encode("utf-8", "surrogatepass"))
    return Trait(service, kind, text)


def make_part_trait(service: str, part_id: str) -> Trait:
    """Return the trait of the requests with a part in their prompts."""
    return make_trait(service, TraitKind.PART, part_id)


def make_request_trait(
    service: str, organisation: str | None, method: str, target: str, body: bytes
) -> Trait:
    """Return the trait that a request shares only with its own repetitions.

    Parameters
    ----------
    organisation
        Organisation of the caller; None, which differs from all names, if unknown.
    target
        Path and query.
    """
    caller = b"" if organisation is None else b"=" + _encode(organisation)
    fields = (caller, _encode(method), _encode(target), body)
    return Trait(service, TraitKind.REQUEST, _hash(*fields))


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogatepass")


def _hash(*fields: bytes) -> str:
    digest = hashlib.blake2b(digest_size=16)
    for each in fields:
        # The length keeps fields apart: no text can imitate a boundary.
        digest.update(len(each).to_bytes(8, "big"))
        digest.update(each)
    return digest.hexdigest()
