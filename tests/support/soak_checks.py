"""What a soak's callers and back ends saw, judged by the entry's promises.

Each check yields a promise and an incident; the promises' names are those of promises.
"""

import time

from deadly_play import MOST_LATE_ARRIVALS, STABLE_WINDOW_S
from entry_process import READY_S
from promises import LAYERS, SAYS_NOT_RUN, desk_runs, engine_runs

LEAVING_S = 2.0
"""Time after which a leaving target gets nothing new."""
NEWS_LAG_S = 4.0
"""The same after the store or an instance was away: their pauses have grown."""
STOP_S = 9.0
"""Time within which a planned stop ends: its grace and a second."""
CRASHES = 5
"""Crashes after which, and after the stable window, a part reaches no engine."""
MOST_CRASHES = 6
"""Engines that a part may end: by a first run, a probe, and what was in flight."""
CRASHES_WITHIN_S = 0.5
"""Time from the arrival of a deadly request within which its engine ends."""
LEAST_STREAMS = 5
"""Streams of a span from which their share that begins is told."""
TIME_OVER_S = 0.1
"""Time left to an answer that ended with its caller's time."""


def paths(soak):
    for engine in soak.platform.engines.values():
        detours = [order for order in engine.orders if order["op"] == "repath"]
        for attempt, path in [
            *((attempt, path) for attempt, path, _ in engine.runs),
            *((each["id"], engine.read_path(each["path"])) for each in detours),
        ]:
            ran = [n for _, first, last in path for n in range(first, last)]
            if ran != list(range(LAYERS)):
                yield "layers", f"{attempt}: {path}"


def answers(soak):
    for ask in soak.asks:
        due = ask.own_answer if ask.whole else ask.own_answer[: len(ask.body)]
        own = ask.answered == ask.attempt
        if ask.status == 200 and not (own and ask.body == due):
            yield "own_whole_answer", f"{ask}: {ask.answered} {ask.body[-50:]}"
        if ask.status in SAYS_NOT_RUN and _ran(soak, ask):
            yield "not_run", ask
        if ask.kind == "once" and desk_runs(soak.platform, ask.attempt) > 1:
            yield "at_most_once", ask


def _ran(soak, ask):
    runs = engine_runs(soak.platform, ask.attempt)
    return bool(runs) or desk_runs(soak.platform, ask.attempt) > 0


def ends(soak):
    for ask in soak.asks:
        if promise := _broken_by_end(soak, ask):
            yield promise, f"{ask}; {_told_end(ask)}"
    for caller in soak.callers:
        if caller.is_alive():
            yield "answered", f"{caller.name} hangs"


def _broken_by_end(soak, ask):
    """Return the promise that is broken by how an answer ended, None for none."""
    begun, stop_asked_s = ask.status is not None, ask.life.stop_asked_s
    if ask.whole or ask.ended_s > ask.life.killed_s:
        return None
    if isinstance(ask.error, TimeoutError):
        return None if begun else "answered"
    if ask.left_s < TIME_OVER_S:
        return None
    if stop_asked_s is not None and ask.ended_s > stop_asked_s:
        # An idle connection may close while a request is on its way to it.
        unseen = ask.reused and not begun and not _ran(soak, ask)
        return None if unseen else "planned_stop"
    if not begun:
        return "answered"
    return "begun" if ask.left_s > ask.limit_s / 2 else None


def _told_end(ask):
    lines = ask.life.entry.events("broken_off")
    return [line["ended_by"] for line in lines if line["id"] == ask.attempt]


def leaving_targets(soak):
    for target, begun_s in soak.leavings:
        for at_s, target_id, attempt, addresses in soak.platform.arrivals:
            meant = target_id == target.id or target.addr in addresses
            late_s = at_s - begun_s
            if meant and late_s > LEAVING_S and not _news_late(soak, at_s, target_id):
                yield "leaving", f"{attempt}: {target.id} after {late_s:.2f} s"


def _news_late(soak, at_s, target_id):
    """Return whether a fault delays the news of targets, or what is on its way."""
    others = soak.platform.targets().keys() - {target_id}
    return any(
        begun_s < at_s < ended_s + NEWS_LAG_S
        for place, begun_s, ended_s in soak.windows
        if place not in others
    )


def planned_stops(soak):
    for life in soak.lives:
        if life.stop_asked_s is not None:
            took_s = life.ended_s - life.stop_asked_s
            if life.exit_code != 0 or took_s > STOP_S:
                yield "planned_stop", f"{life} after {took_s:.1f} s"


def configurations(soak):
    for life in soak.lives:
        asks = [a for a in soak.asks if a.life is life and a.kind == "withdrawn"]
        known_s = [ask.ended_s for ask in asks if ask.status == 401]
        for ask in asks:
            late = known_s and ask.begun_s > min(known_s)
            if late and ask.status not in {None, 401}:
                yield "configuration", f"a withdrawn key is valid again: {ask}"


def processes(soak):
    for life in soak.life_by_name.values():
        if life.entry.process.poll() is not None:
            yield "processes", f"{life} has ended by itself"
    for entry in soak.entries:
        for line in entry.events("task_failed") + entry.events("unstructured"):
            yield "processes", line
    until_s = time.monotonic() + READY_S
    waiting = soak.entries
    while waiting and time.monotonic() < until_s:
        waiting = [entry for entry in waiting if not soak.serves(entry)]
    for entry in waiting:
        yield "processes", f"{entry.path.stem} doesn't serve again"


def deadly_parts(soak):
    """Check what a part ended, and what reached engines after that."""
    ask_by_attempt = {ask.attempt: ask for ask in soak.asks}
    arrivals = [
        each
        for each in soak.platform.deadly_arrivals
        if _is_in_touch(soak, ask_by_attempt.get(each.attempt), each)
    ]
    crashes = [
        (at_s, target_id)
        for at_s, target_id in soak.platform.crashes
        if any(
            each.target_id == target_id and 0 < at_s - each.at_s < CRASHES_WITHIN_S
            for each in arrivals
        )
    ]
    if len(crashes) > MOST_CRASHES:
        yield "deadly_part", f"{len(crashes)} engines crashed, {crashes}"
    times_s = [at_s for at_s, _ in soak.platform.crashes]
    if len(times_s) < CRASHES:
        return
    from_s = times_s[CRASHES - 1] + STABLE_WINDOW_S
    late = [each for each in arrivals if each.at_s > from_s]
    if len(late) > MOST_LATE_ARRIVALS:
        yield "deadly_part", f"{len(late)} arrivals too late: {late[0]}, ..."


def _is_in_touch(soak, ask, arrival):
    """Return False if the sending process or its link was in a fault just before."""
    since_s, places = arrival.at_s - STABLE_WINDOW_S, {arrival.target_id}
    if ask is not None:
        places.add(ask.life.entry.path.stem)
        if ask.life.begun_s > since_s or ask.life.stop_asked_s is not None:
            return False
    return not any(
        place in places and begun_s < arrival.at_s and ended_s > since_s
        for place, begun_s, ended_s in soak.windows
    )


def sound_streams(soak):
    """Check that streams beside deadly ones begin half as often as before."""
    if not soak.platform.crashes:
        return
    last_s = max(at_s for at_s, _ in soak.platform.crashes)
    streams = [ask for ask in soak.asks if ask.kind == "stream" and not ask.deadly]
    before = [ask for ask in streams if ask.begun_s < soak.tainted_from_s]
    after = [ask for ask in streams if ask.begun_s > last_s + 2 * STABLE_WINDOW_S]
    if min(len(before), len(after)) < LEAST_STREAMS:
        return
    shares = [
        sum(ask.status == 200 and bool(ask.body) for ask in asks) / len(asks)
        for asks in (before, after)
    ]
    if shares[1] < shares[0] / 2:
        yield "sound_again", "{:.2f} began before, {:.2f} after".format(*shares)


CHECKS = (
    processes, paths, answers, ends, leaving_targets, planned_stops, configurations,
    deadly_parts, sound_streams,
)  # fmt: skip


def judge(soak):
    """Return what was broken, as pairs of a promise and an incident."""
    return [(name, str(what)) for check in CHECKS for name, what in check(soak)]
