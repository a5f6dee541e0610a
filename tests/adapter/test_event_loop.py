"""Requirements on the event loop of an entry process."""

from pathlib import Path


def descriptor_targets(pid):
    """Return the link targets of a process's file descriptors.

    Descriptors that are closed while the list is read are skipped.
    """
    names = []
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            names.append(str(descriptor.readlink()))
        except FileNotFoundError:
            continue
    return names


def test_event_loop_does_not_use_io_uring(entry):
    """The users don't allow io_uring."""
    assert entry.stream("v1").status == 200
    names = descriptor_targets(entry.process.pid)
    assert any("eventpoll" in name for name in names)
    assert not [name for name in names if name == "anon_inode:[io_uring]"]


def test_event_loop_is_not_uvloop(entry):
    """The loop must distinguish a connection reset from an orderly close.

    uvloop does not if the reset arrives together with data.
    """
    maps = Path(f"/proc/{entry.process.pid}/maps").read_text()
    assert "uvloop" not in maps
