"""Each promise of an entry instance holds, and its check detects planted faults.

A planted fault changes one function of the entry before it starts, so that a promise
is broken; the promise's check must report this.
"""

import pytest
from planted_faults import PLANTED
from promises import PROMISES


@pytest.mark.parametrize("promise", PROMISES)
def test_promise_holds(entry, fleet, promise):
    assert PROMISES[promise](entry, fleet) == []


@pytest.fixture
def planted_entry(request, fleet, start_entry):
    return start_entry(planted=PLANTED[request.param][1])


@pytest.mark.parametrize(
    ("planted_entry", "promise"),
    [pytest.param(name, each[0], id=name) for name, each in PLANTED.items()],
    indirect=["planted_entry"],
)
def test_planted_fault_is_detected(planted_entry, fleet, promise):
    assert PROMISES[promise](planted_entry, fleet) != []


def test_every_promise_has_a_planted_fault():
    assert {promise for promise, _ in PLANTED.values()} == set(PROMISES)
