"""Settings of the tests whose inputs are drawn, the same for all of them.

In CI each draws the same inputs each time, whichever tests run beside it. With
``FUZZ_TIMES=10`` in the environment it draws ten times as many, other ones in each run.
"""

import contextlib
import os
from collections.abc import Iterator, Sequence
from copy import deepcopy

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.internal.conjecture import providers

TIMES = int(os.environ.get("FUZZ_TIMES", "1"))
"""Multiple of the usual number of examples; above 1 they are drawn at random."""
if TIMES == 1:
    # Hypothesis draws constants of the modules that are loaded, also when derandomized:
    # a test would draw other inputs by itself than in a whole run.
    _none = providers.Constants()
    providers._get_local_constants = lambda: _none
LONGEST_LIST = 6
MOST_CHANGES = 3
"""Parts of one message that are changed."""
LACKING = object()
"""Stands for a part that is left out."""


def examples(count: int) -> settings:
    """Return the settings for a test of ``count`` examples."""
    return settings(
        max_examples=count * TIMES,
        derandomize=TIMES == 1,
        deadline=None,
        database=None,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    )


def any_json() -> st.SearchStrategy:
    """Return values that JSON can say, numbers of any size among them."""
    single = (
        st.none()
        | st.booleans()
        | st.integers()
        | st.integers(-(10**400), 10**400)
        | st.floats()
        | st.text(max_size=12)
    )
    return st.recursive(
        single,
        lambda inner: (
            st.lists(inner, max_size=LONGEST_LIST)
            | st.dictionaries(st.text(max_size=6), inner, max_size=LONGEST_LIST)
        ),
        max_leaves=8,
    )


def altered(usual: object) -> st.SearchStrategy:
    """Return JSON values like ``usual``, in which some parts are others or lacking."""
    numbers = st.integers(-3, 3) | st.integers(-(1 << 70), 1 << 70)
    changes = st.tuples(
        st.sampled_from(list(_places(usual))),
        st.just(LACKING) | numbers | any_json(),
    )
    return st.lists(changes, max_size=MOST_CHANGES).map(
        lambda chosen: _changed(deepcopy(usual), chosen)
    )


def _places(value: object, so_far: tuple = ()) -> Iterator[tuple]:
    """Give the places of all parts of a JSON value, each as keys and numbers."""
    yield so_far
    if isinstance(value, dict):
        for key, part in value.items():
            yield from _places(part, (*so_far, key))
    elif isinstance(value, list):
        for number, part in enumerate(value):
            yield from _places(part, (*so_far, number))


def _changed(value: object, changes: Sequence[tuple]) -> object:
    for place, part in changes:
        if not place:
            value = None if part is LACKING else part
            continue
        holder = value
        # An earlier change may have taken away the place of this one.
        with contextlib.suppress(KeyError, IndexError, TypeError):
            for key in place[:-1]:
                holder = holder[key]
            if part is LACKING:
                del holder[place[-1]]
            else:
                holder[place[-1]] = part
    return value


def pieces(data: bytes) -> st.SearchStrategy[list[bytes]]:
    """Return ``data`` cut at any places."""
    cuts = st.lists(st.integers(0, len(data)), max_size=8).map(sorted)
    return cuts.map(
        lambda places: [
            data[first:last]
            for first, last in zip([0, *places], [*places, len(data)], strict=True)
        ]
    )


def repeated(part: bytes, size: int) -> bytes:
    """Return ``part`` some times whole, of at most ``size`` bytes if it is shorter."""
    return part * max(1, size // len(part))
