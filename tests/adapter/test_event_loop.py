"""The event loop of the platform's entry instance."""

from pathlib import Path


def descriptor_names(pid):
    """Return what the descriptors of a process are; some close while they are read."""
    names = []
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            names.append(str(descriptor.readlink()))
        except FileNotFoundError:
            continue
    return names


def test_the_loop_uses_no_io_uring(entry):
    """The users rule io_uring out."""
    assert entry.stream("v1").status == 200
    names = descriptor_names(entry.process.pid)
    assert any("eventpoll" in name for name in names)
    assert not [name for name in names if name == "anon_inode:[io_uring]"]


def test_the_loop_tells_a_reset_from_an_end(entry):
    """libuv's loop doesn't where a reset comes together with bytes."""
    maps = Path(f"/proc/{entry.process.pid}/maps").read_text()
    assert "uvloop" not in maps
