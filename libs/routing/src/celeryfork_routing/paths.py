"""Turns each range's share of each segment into weighted paths with few hops."""

from collections.abc import Sequence

from attrs import define, frozen

from celeryfork_routing.bound import GroupKey, Segment

LEAST_WEIGHT = 1e-9


@frozen
class PathHop:
    """A run of layers ``[first, last)`` in one group."""

    group: GroupKey
    first: int
    last: int


@frozen
class Path:
    """Hops that cover the model, and the share of the requests that takes them."""

    hops: tuple[PathHop, ...]
    weight: float


@define
class _Link:
    """The weight that goes on from one group to another at a boundary."""

    source: GroupKey
    to: GroupKey
    weight: float


def make_paths(segments: Sequence[Segment]) -> tuple[Path, ...]:
    """Return paths whose weights give every group its share of every segment.

    At each boundary the shares of both sides are joined so that as much as possible
    stays in its group, which saves hops.
    """
    if not segments:
        return ()
    links = [
        _join(before, after)
        for before, after in zip(segments, segments[1:], strict=False)
    ]
    paths: list[Path] = []
    for group, share in segments[0].shares.items():
        left = share
        while left > LEAST_WEIGHT:
            path = _peel(group, left, links, segments)
            if path is None:
                break  # rounding ate the last of it
            paths.append(path)
            left -= path.weight
    return tuple(paths)


def _join(before: Segment, after: Segment) -> list[_Link]:
    """Join the shares of two neighbouring segments, those of one group first."""
    left_before = dict(before.shares)
    left_after = dict(after.shares)
    pairs = [(group, group) for group in before.shares if group in after.shares]
    pairs += [(source, to) for source in before.shares for to in after.shares]
    links = []
    for source, to in pairs:
        weight = min(left_before[source], left_after[to])
        if weight <= LEAST_WEIGHT / 10:
            continue
        left_before[source] -= weight
        left_after[to] -= weight
        links.append(_Link(source, to, weight))
    return links


def _peel(
    start: GroupKey,
    most: float,
    links: list[list[_Link]],
    segments: Sequence[Segment],
) -> Path | None:
    """Take the heaviest way on from ``start`` out of the links."""
    groups = [start]
    taken: list[_Link] = []
    for at_boundary in links:
        options = [
            link
            for link in at_boundary
            if link.source == groups[-1] and link.weight > LEAST_WEIGHT / 10
        ]
        if not options:
            return None
        link = max(options, key=lambda option: option.weight)
        taken.append(link)
        groups.append(link.to)
    weight = min([most, *(link.weight for link in taken)])
    for link in taken:
        link.weight -= weight
    return Path(_hops(groups, segments), weight)


def _hops(groups: list[GroupKey], segments: Sequence[Segment]) -> tuple[PathHop, ...]:
    """Return the hops of a path, with neighbouring segments of one group joined."""
    hops: list[PathHop] = []
    for group, segment in zip(groups, segments, strict=False):
        if hops and hops[-1].group == group:
            hops[-1] = PathHop(group, hops[-1].first, segment.last)
        else:
            hops.append(PathHop(group, segment.first, segment.last))
    return tuple(hops)
