"""Content types of replies that continue a begun stream."""

import pytest
from stream_trial import Run, Trial

EVENT_STREAM = "text/event-stream"


def count_runs(first, second):
    """Serve a stream that breaks once; return the number of replies that it took.

    Parameters
    ----------
    first, second
        Content types of the reply that begins it, and of the next one.
    """
    trial, types = Trial(max_targets=9), [first, second, first]
    run = trial._run

    def run_with_type(*args):
        reply, content_type = run(*args), types.pop(0)
        reply.header = lambda name: content_type if name == b"content-type" else None
        return reply

    trial._run = run_with_type
    trial.add("e1", Run(3))
    trial.add("e2")
    trial.add("e3")
    assert trial.serve().has_complete_answer
    return 3 - len(types)


@pytest.mark.parametrize(
    "second",
    ["text/event-stream; charset=utf-8", "text/event-stream;charset=UTF-8",
     "Text/Event-Stream"],
)  # fmt: skip
def test_a_continuation_may_have_other_parameters_of_its_content_type(second):
    """Streams were broken off while engines of two versions were in use."""
    assert count_runs(EVENT_STREAM, second) == 2
    assert count_runs(second, EVENT_STREAM) == 2


@pytest.mark.parametrize("second", ["application/json", "text/plain", None, ""])
def test_a_reply_of_another_content_type_continues_no_stream(second):
    """It is an error's text with the status of a success."""
    assert count_runs(EVENT_STREAM, second) == 3
