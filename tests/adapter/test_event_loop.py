"""The event loop of the platform's entry instance."""

from pathlib import Path


def test_the_loop_uses_no_io_uring(entry):
    """The users rule io_uring out."""
    assert entry.stream("v1").status == 200
    descriptors = Path(f"/proc/{entry.process.pid}/fd")
    names = [str(each.readlink()) for each in descriptors.iterdir()]
    assert any("eventpoll" in name for name in names)
    assert not [name for name in names if name == "anon_inode:[io_uring]"]


def test_the_loop_tells_a_reset_from_an_end(entry):
    """libuv's loop doesn't where a reset comes together with bytes."""
    maps = Path(f"/proc/{entry.process.pid}/maps").read_text()
    assert "uvloop" not in maps
