"""Parsing of the revision in a follower's request."""

import pytest
from celeryfork_entry.peer_state import CHANGES_PATH
from celeryfork_entry.status_endpoints import _revision


@pytest.mark.parametrize(
    ("text", "revision"),
    [("0", 0), ("1796387904529", 1796387904529), ("-1", -1), ("", -1), ("x", -1),
     ("1.5", -1), ("9" * 5000, -1)],
)  # fmt: skip
def test_an_invalid_revision_requests_the_full_list(text, revision):
    assert _revision(CHANGES_PATH + text) == revision
