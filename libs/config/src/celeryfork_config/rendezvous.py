"""Rendezvous hashing: who of a set of instances takes a key, without agreement.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998.
"""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def score_of(instance: str, key: str) -> int:
    """Return the weight of an instance for a key; the highest takes it."""
    return xxh3_64_intdigest(f"{instance}\0{key}".encode())


def rank_of(
    instance: str, others: Iterable[str], key: str, most: int | None = None
) -> int:
    """Return how many of ``others`` come before ``instance`` for a key.

    Parameters
    ----------
    most
        Stop counting there: most instances come after many others, and find that
        out after a few.
    """
    mine = (score_of(instance, key), instance)
    rank = 0
    for other in others:
        if rank == most:
            break
        if (score_of(other, key), other) > mine:
            rank += 1
    return rank
