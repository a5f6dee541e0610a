from pathlib import Path

import pytest
from celeryfork_standin.background import LoopThread
from celeryfork_standin.errors import StandinStoppedError


def test_the_loop_uses_no_io_uring():
    thread = LoopThread("test")
    thread.start()
    thread.call(lambda: None)
    links = []
    for descriptor in Path("/proc/self/fd").iterdir():
        try:
            links.append(str(descriptor.readlink()))
        except FileNotFoundError:
            continue  # closed meanwhile
    thread.stop()
    assert links
    assert not [link for link in links if "io_uring" in link]


def test_work_for_a_stopped_loop_is_an_error():
    thread = LoopThread("test")
    with pytest.raises(StandinStoppedError):
        thread.call(lambda: None)
    thread.start()
    thread.stop()
    with pytest.raises(StandinStoppedError):
        thread.call(lambda: None)
