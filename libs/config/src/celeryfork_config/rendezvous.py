"""Rendezvous hashing: who of a set of instances takes a key, without agreement.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def score_of(instance: str, key: str) -> int:
    """Return the weight of an instance for a key; the highest takes it."""
    return xxh3_64_intdigest(f"{instance}\0{key}".encode())


def rank_of(instance: str, others: Iterable[str], key: str) -> int:
    """Return how many of ``others`` come before ``instance`` for a key."""
    mine = (score_of(instance, key), instance)
    return sum((score_of(other, key), other) > mine for other in others)
