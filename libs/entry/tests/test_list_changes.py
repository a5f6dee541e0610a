"""Changes of the target list since a revision."""

from celeryfork_entry.list_changes import MAX_REMOVED, ListChanges
from celeryfork_entry.targets import Listed, Target, TargetTable, Unlisted


def target(number, **fields):
    return Target(f"i-{number}", "llm", f"10.0.0.{number}:80", "a", **fields)


def test_since_returns_changed_and_removed_targets():
    changes = ListChanges()
    changes.changed("a")
    changes.changed("b")
    known = changes.revision
    changes.changed("c")
    changes.removed("a")
    assert changes.since(known) == (["c"], ["a"])
    assert changes.since(changes.revision) == ([], [])


def test_a_target_added_again_is_not_removed():
    changes = ListChanges()
    known = changes.revision
    changes.removed("a")
    changes.changed("a")
    assert changes.since(known) == (["a"], [])


def test_a_revision_of_another_start_or_instance_is_unknown():
    times = iter([1000.0, 1010.0])
    earlier, later = (ListChanges(lambda: next(times)) for _ in range(2))
    assert later.since(earlier.revision) is None
    assert earlier.since(later.revision) is None
    assert later.since(-1) is None


def test_a_revision_too_far_behind_is_unknown():
    changes = ListChanges()
    known = changes.revision
    for number in range(MAX_REMOVED + 1):
        changes.removed(str(number))
    assert changes.since(known) is None
    assert changes.since(changes.revision - 1) is not None


def test_renewals_of_entries_are_not_changes():
    """98 engines renew their entries 80 times a second in all, and few change."""
    table = TargetTable()
    table.apply([Listed(target(n, entry_number=1)) for n in range(98)])
    known = table.changes.revision
    table.apply([Listed(target(n, entry_number=2)) for n in range(98)])
    assert table.changes.since(known) == ([], [])
    table.apply([Listed(target(5, entry_number=3, draining=True)), Unlisted("i-6")])
    assert table.changes.since(known) == (["i-5"], ["i-6"])
