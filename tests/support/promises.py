"""What an entry promises, each as a trial that returns what was broken.

A trial returns an empty list where the promise holds. The same trials run against an
entry that breaks it on purpose, so that each of them is known to be able to fail.
"""

import http.client
import time

from entry_process import wait_for
from prompt_parts import DEADLY_PART, prompt_parts

LAYERS = 8
SAYS_NOT_RUN = {408, 421, 429, 503}
EVENTS = 30
DEADLY_STREAMS = 5
MOST_CRASHES = 2
"""A first run, and a probe of what its crash made a suspect."""
CUT_OFF = (http.client.HTTPException, ConnectionError, TimeoutError)


def event_numbers(response):
    """Return the numbers of the events, and whether the answer looks complete."""
    numbers, whole = [], True
    try:
        for line in iter(response.readline, b""):
            if line[:4] == b"id: ":
                numbers.append(int(line[4:]))
    except CUT_OFF:
        whole = False
    return numbers, whole


def engine_runs(platform, attempt):
    """Return the engines that ran an attempt, with the path that each was given."""
    return [
        (engine, path)
        for engine in platform.engines.values()
        for run_id, path, _ in engine.runs
        if run_id == attempt
    ]


def desk_runs(platform, attempt):
    """Return how often the plain service ran an attempt."""
    return sum(
        run[0] == attempt
        for service in platform.services.values()
        for run in service.runs
    )


def layers_once_and_in_order(entry, platform):
    for engine in platform.engines.values():
        engine.event_gap_s = 0.03
    stream_with_a_lost_engine(entry, platform, "around", spare=True)
    stream_with_a_lost_engine(entry, platform, "layers", spare=False)
    paths = [path for _, path in engine_runs(platform, "layers")]
    paths += [path for _, path in engine_runs(platform, "around")]
    paths += [
        engine.read_path(order["path"])
        for engine in platform.engines.values()
        for order in engine.orders
        if order["op"] == "repath"
    ]
    wanted = list(range(LAYERS))
    return [
        path
        for path in paths
        if [n for _, first, last in path for n in range(first, last)] != wanted
    ]


def stream_with_a_lost_engine(entry, platform, attempt, spare):
    """Lose the last engine of a stream midway, with or without one to take over."""
    response = entry.stream(attempt, events=EVENTS)
    response.readline()
    for engine, path in engine_runs(platform, attempt)[:1]:
        others = [e for e in platform.engines.values() if e.addr == path[-1][0]]
        if others and others[0] is not engine:
            lost = others[0]
            if spare:
                platform.add_engine("spare", lost.zone, "big", held=lost.held)
                wait_for(lambda: b'"spare"' in entry.ask("/dump"), 5)
            platform.kill(lost.id)
    event_numbers(response)


def own_whole_answer(entry, platform):
    for engine in platform.engines.values():
        engine.events_before_cut = 3
    numbers, whole = event_numbers(entry.stream("whole", events=6))
    broken = [] if whole and numbers == [1, 2, 3, 4, 5, 6] else [numbers]
    for service in platform.services.values():
        service.behaviour = "other"
    if entry.request("POST", "/book/1", "own", body=b"visit").status == 200:
        broken.append("another request's answer")
    return broken


def true_not_run(entry, platform):
    broken = []
    for behaviour in ("busy", "lose", "full"):
        for service in platform.services.values():
            service.behaviour = behaviour
        response = entry.request("POST", "/book/1", behaviour, body=b"visit")
        if response.status in SAYS_NOT_RUN and desk_runs(platform, behaviour):
            broken.append(f"{behaviour}: {response.status} though it ran")
    return broken


def at_most_once(entry, platform):
    broken = []
    for behaviour in ("lose", "busy", "fail"):
        for service in platform.services.values():
            service.behaviour = behaviour
        entry.request("POST", "/book/1", behaviour, body=b"visit")
        if desk_runs(platform, behaviour) > 1:
            broken.append(behaviour)
    return broken


def leaving_targets_get_nothing_new(entry, platform):
    async def drain():
        platform.services["west-desk"].state = "draining"
        platform.services["west-desk"].listed()
        platform.engines["west-big"].state = "draining"
        platform.engines["west-big"].listed()

    platform.call(drain())
    time.sleep(1.5)
    for number in range(8):
        entry.request("GET", "/look/1", f"look-{number}").read()
        event_numbers(entry.stream(f"stream-{number}", events=2))
    desk, engine = platform.services["west-desk"], platform.engines["west-big"]
    broken = [run for run in desk.runs if run[0].startswith("look-")]
    paths = [
        path
        for number in range(8)
        for _, path in engine_runs(platform, f"stream-{number}")
    ]
    return broken + [p for p in paths if engine.addr in {part[0] for part in p}]


def planned_stop_cuts_off_nothing(entry, platform):
    for engine in platform.engines.values():
        engine.event_gap_s = 0.05
    response = entry.stream("stop", events=80)
    response.readline()
    entry.terminate()
    numbers, whole = event_numbers(response)
    broken = [] if whole and numbers[-1:] == [80] else [f"cut after {numbers[-1:]}"]
    return broken if entry.wait() == 0 else [*broken, "exit code"]


def configuration_never_reverts(entry, platform):
    platform.configure(tenants=[{"name": "kiosk", "apiKeys": ["key-1"]}])

    def status():
        return entry.request("GET", "/look/1", "key", key="key-3").status

    wait_for(lambda: status() == 401, 3)
    platform.version -= 6
    platform.configure()
    time.sleep(1.0)
    return [] if status() == 401 else ["a key that was taken away is valid again"]


def deadly_part_is_kept_from_engines(entry, platform):
    platform.deadly_parts = frozenset({DEADLY_PART})
    for number in range(DEADLY_STREAMS):
        parts = prompt_parts(number, deadly=True)
        entry.stream(f"deadly-{number}", X_Prompt_Prefix=parts).read()
    crashed = [target_id for _, target_id in platform.crashes]
    return crashed if len(crashed) > MOST_CRASHES else []


PROMISES = {
    "layers": layers_once_and_in_order,
    "own_whole_answer": own_whole_answer,
    "not_run": true_not_run,
    "at_most_once": at_most_once,
    "leaving": leaving_targets_get_nothing_new,
    "planned_stop": planned_stop_cuts_off_nothing,
    "configuration": configuration_never_reverts,
    "deadly_part": deadly_part_is_kept_from_engines,
}
