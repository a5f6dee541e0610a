"""Faults that are planted in an entry process before it starts.

Each changes one function of the entry and breaks the promise that it is listed with.
"""

PATHS = """
from attrs import evolve
from celeryfork_adapter import dialect
whole = dialect.encode_path
dialect.encode_path = lambda path: whole(evolve(path, parts={parts}))
"""
PLANTED = {
    "layers left out": ("layers", PATHS.format(parts="path.parts[:-1]")),
    "layers run twice": (
        "layers",
        PATHS.format(parts="(*path.parts, path.parts[-1])"),
    ),
    "layers out of order": ("layers", PATHS.format(parts="path.parts[::-1]")),
    "a detour that leaves layers out": (
        "layers",
        """
from attrs import evolve
from celeryfork_entry import path_selector
find = path_selector.find_detour
def short(*inputs):
    path = find(*inputs)
    return path and evolve(path, parts=path.parts[:-1])
path_selector.find_detour = short
""",
    ),
    "another request's answer": (
        "own_whole_answer",
        """
from attrs import evolve
from celeryfork_adapter.dialect import PlatformDialect
read = PlatformDialect.read_reply
PlatformDialect.read_reply = lambda self, status, headers: evolve(
    read(self, status, headers), request_id=None
)
""",
    ),
    "a resumed stream from its begin": (
        "own_whole_answer",
        """
from celeryfork_entry.stream_replies import EventRelay
forward_events = EventRelay._forward
async def forget(self, events):
    await forward_events(self, events)
    self._progress.last_event = None
EventRelay._forward = forget
""",
    ),
    "a promise that no target made": (
        "not_run",
        """
from celeryfork_entry import plain_calls
plain_calls.NOT_RUN_STATUSES = frozenset()
""",
    ),
    "a lost answer is taken for not run": (
        "not_run",
        """
from celeryfork_entry import plain_calls
plain_calls.outcome_unknown_error = (
    lambda status, code, message: plain_calls.not_run_error(code, message, 1.0)
)
""",
    ),
    "sent again whatever became of it": (
        "at_most_once",
        """
from celeryfork_entry.plain_calls import PlainCalls
PlainCalls._should_retry = staticmethod(lambda call, attempt, once: True)
""",
    ),
    "what leaves is chosen on": (
        "leaving",
        """
from celeryfork_entry.targets import TargetTable
TargetTable.not_leaving = lambda self, service: [
    target for target in self.by_id.values() if target.service == service
]
""",
    ),
    "a stop that waits for nobody": (
        "planned_stop",
        """
from celeryfork_entry import instance
instance.EXIT_MARGIN_S = 8.0
""",
    ),
    "any configuration is taken": (
        "configuration",
        """
from celeryfork_entry.store_follower import StoreFollower
def take(self, newest, source):
    self.configuration = newest or self.configuration
StoreFollower._adopt = take
""",
    ),
    "crashes that are not counted": (
        "deadly_part",
        """
from celeryfork_admission.crash_evidence import CrashEvidence
CrashEvidence.record_crash = lambda self, *inputs, **options: ()
""",
    ),
}
