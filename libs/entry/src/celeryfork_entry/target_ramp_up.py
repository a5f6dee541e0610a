"""Ramp-up of targets that this instance has seen start or recover.

It tells the path selector and the plain calls which targets to leave out of the choice
for now, and passes on the times of their answers. All decisions are those of
:mod:`celeryfork_routing.ramp_up`.
"""

import time
from collections import deque
from collections.abc import Callable, Iterable
from statistics import median

from attrs import define, field, frozen
from celeryfork_routing.engine_loads import LayerPath
from celeryfork_routing.first_event import predicted_first_event_ms
from celeryfork_routing.ramp_up import RampEnd, RampUp
from logbook import Logger

from celeryfork_entry.configuration import Route, Service
from celeryfork_entry.settings import Mode
from celeryfork_entry.targets import StartCause, Target, TargetTable

FIRST_TARGETS_S = 5.0
"""Seconds after an instance's first request within which targets that are listed or get
layers count as present from the start. An instance hears of all domains meanwhile."""
ALWAYS_FIRST_TARGETS_S = 0.8
"""The same for the mode ``on``: the usual age of an entry when it appears."""
REFRESH_S = 0.05
"""Seconds after which all windows are looked at again; turns take ten times as long."""
DOMAIN_COUNT_TTL_S = 1.0
"""Seconds for which a number of domains is kept: a domain that returns lists hundreds
of targets at once."""
MAX_SAMPLES = 32
"""Number of recent answers of comparable targets that the expected time is from."""
MIN_SAMPLES = 5
"""Number of such answers from which their median is used."""


@frozen
class RampRequest:
    """A request as far as the ramp-up needs to know it.

    Parameters
    ----------
    is_continued
        True if another target may have run it: its time tells nothing then, as the
        engines also process the events so far.
    """

    service: Service
    route: Route
    prompt_tokens: float
    is_continued: bool


@define(eq=False)
class RampRun:
    """A request at targets of which at least one was ramping, or one to compare with.

    Parameters
    ----------
    ramping
        Ids of the ramping targets that it was sent to.
    sample_key
        Kind of request whose answers are compared.
    predicted_ms
        Predicted time until the first event, None for a plain target.
    is_measured
        True while its time is yet to be judged.
    """

    ramping: tuple[str, ...]
    sample_key: tuple[str, str, bool]
    predicted_ms: float | None
    is_measured: bool
    began_s: float


@define(eq=False)
class TargetRampUp:
    """The ramping targets of this instance, with its requests in flight there.

    Parameters
    ----------
    mode
        ``ON`` or ``AUTO``; with ``OFF`` no object of this class is made.
    instance_count
        Returns the number of live instances, at least the usual one.
    applies
        Returns True if the configuration asks for ramp-ups in the mode ``AUTO``.
    first_request_s
        Time of the first request, None before. A fleet that starts as a whole has its
        targets listed, and their layers loaded, before callers come.
    """

    _table: TargetTable
    _log: Logger
    _mode: Mode
    _domain: str
    _instance_count: Callable[[], int]
    _ramp_up: RampUp
    _applies: Callable[[], bool] = field(default=lambda: True, kw_only=True)
    _clock: Callable[[], float] = time.monotonic
    _first_request_s: float | None = None
    _in_flight_by_id: dict[str, int] = field(factory=dict)
    _samples_by_key: dict[tuple[str, str, bool], deque[float]] = field(factory=dict)
    _domain_counts: dict[str, tuple[float, int]] = field(factory=dict)
    _held_back: set[str] = field(factory=set)
    _refreshed_s: float = 0.0

    @property
    def active(self) -> bool:
        """Return True if any target is ramping."""
        return bool(self._ramp_up)

    def count(self) -> int:
        """Return the number of ramping targets."""
        return len(self._ramp_up)

    def target_started(self, target: Target, cause: StartCause) -> None:
        """Begin the ramp of a target that has started, if the mode asks for it."""
        if self._first_request_s is None:
            return
        now_s = self._clock()
        grace_s = FIRST_TARGETS_S
        if self._mode is Mode.ON:
            grace_s = ALWAYS_FIRST_TARGETS_S
        is_of_start = now_s - self._first_request_s <= grace_s
        if is_of_start and cause is not StartCause.RECOVERED:
            return
        if self._mode is Mode.AUTO and not self._applies():
            return
        if not self.active:
            self._samples_by_key.clear()
        sharers = self._sharers(target, now_s)
        window = self._ramp_up.began(target.id, now_s, sharers, target.born_ms)
        self._in_flight_by_id.pop(target.id, None)
        self._refresh(target.id, now_s)
        self._log.info(
            "ramp_up_began",
            target=target.id,
            cause=cause.value,
            window=window,
            instances=sharers,
        )

    def _sharers(self, target: Target, now_s: float) -> int:
        """Return the number of instances among which a target's window is divided.

        Instances of other domains seldom use it; together they have one more window.
        """
        instances = self._instance_count()
        if target.domain != self._domain:
            return instances
        known_s, domains = self._domain_counts.get(target.service, (0.0, 0))
        if not domains or now_s - known_s > DOMAIN_COUNT_TTL_S:
            listed = self._table.by_id.values()
            domains = len({e.domain for e in listed if e.service == target.service})
            self._domain_counts[target.service] = now_s, domains
        return max(1, instances // max(1, domains))

    def held_back(self, now_s: float) -> set[str]:
        """Return the ids of ramping targets whose window is full."""
        if now_s - self._refreshed_s >= REFRESH_S:
            self._refreshed_s = now_s
            for target_id in self._ramp_up.target_ids:
                if target_id in self._table.by_id:
                    self._refresh(target_id, now_s)
                else:
                    self._ramp_up.forget(target_id)
                    self._held_back.discard(target_id)
                    self._in_flight_by_id.pop(target_id, None)
        return self._held_back

    def _refresh(self, target_id: str, now_s: float) -> None:
        in_flight = self._in_flight_by_id.get(target_id, 0)
        if self._ramp_up.may_start(target_id, in_flight, now_s):
            self._held_back.discard(target_id)
        else:
            self._held_back.add(target_id)

    def begin_path(self, request: RampRequest, path: LayerPath) -> RampRun | None:
        """Record that a stream is sent over a path; return None if no target ramps.

        Its end must be recorded with :meth:`end`.
        """
        shape = request.service.model
        self.record_request()
        if not self.active or shape is None:
            return None
        by_id = self._table.by_id
        accelerators = {
            each: by_id[each].accelerator for each in path.engine_ids if each in by_id
        }
        predicted_ms = predicted_first_event_ms(
            shape, path, accelerators, request.prompt_tokens
        )
        return self._begin(request, path.engine_ids, predicted_ms)

    def begin_plain(self, request: RampRequest, target: Target) -> RampRun | None:
        """Record that a call is sent to a plain target, as :meth:`begin_path` does."""
        self.record_request()
        return self._begin(request, (target.id,), None) if self.active else None

    def record_request(self) -> None:
        """Record that this instance serves requests."""
        if self._first_request_s is None:
            self._first_request_s = self._clock()

    def _begin(
        self,
        request: RampRequest,
        target_ids: Iterable[str],
        predicted_ms: float | None,
    ) -> RampRun:
        now_s = self._clock()
        ramping = tuple(e for e in target_ids if self._ramp_up.is_ramping(e))
        for each in ramping:
            self._in_flight_by_id[each] = self._in_flight_by_id.get(each, 0) + 1
            self._ramp_up.record_start(each, now_s)
            self._refresh(each, now_s)
        key = (request.service.name, request.route.name, bool(ramping))
        is_measured = not request.is_continued
        return RampRun(ramping, key, predicted_ms, is_measured, now_s)

    def end(self, run: RampRun) -> None:
        """Record the end of a request."""
        now_s = self._clock()
        for each in run.ramping:
            # A target that has started anew meanwhile is counted from there.
            if self._in_flight_by_id.get(each, 0) > 0:
                self._in_flight_by_id[each] -= 1
            self._refresh(each, now_s)

    def record_answer(self, run: RampRun) -> None:
        """Record the first event of a request, or the answer of a plain target.

        A quick answer counts for all ramping engines of its path, as each of them was
        quick enough. A slow one counts only against the engine with the fewest quick
        answers, so that one cold engine doesn't hold up the others.
        """
        if not run.is_measured:
            return
        run.is_measured = False
        now_s = self._clock()
        took_ms = (now_s - run.began_s) * 1000
        expected_ms = self._expected_ms(run)
        samples = self._samples_by_key.setdefault(
            run.sample_key, deque(maxlen=MAX_SAMPLES)
        )
        samples.append(took_ms / (run.predicted_ms or 1.0))
        if expected_ms is None:
            return
        judged = self._still_ramping(run)
        if not self._ramp_up.is_quick(took_ms, expected_ms):
            judged = self._least_known(run)
        for each in judged:
            ended = self._ramp_up.record_answer(each, took_ms, expected_ms, now_s)
            self._refresh(each, now_s)
            if ended is not None:
                self._log_end(each, ended)

    def _expected_ms(self, run: RampRun) -> float | None:
        """Return the expected time of a request, None if nothing is known of it.

        It is the prediction times the median of what requests of the same route took
        relative to theirs, if possible without a ramping target; for plain targets the
        median time.
        """
        *kind, _ = run.sample_key
        for ramping in (False, True):
            samples = self._samples_by_key.get((kind[0], kind[1], ramping), ())
            if len(samples) >= MIN_SAMPLES:
                return median(samples) * (run.predicted_ms or 1.0)
        return run.predicted_ms

    def _still_ramping(self, run: RampRun) -> list[str]:
        return [each for each in run.ramping if self._ramp_up.is_ramping(each)]

    def _least_known(self, run: RampRun) -> list[str]:
        """Return the ramping target of a run with the fewest quick answers, if any."""
        ramping = self._still_ramping(run)
        return sorted(ramping, key=self._ramp_up.answers)[:1]

    def _log_end(self, target_id: str, end: RampEnd) -> None:
        self._in_flight_by_id.pop(target_id, None)
        self._log.info(
            "ramp_up_ended",
            target=target_id,
            seconds=round(end.seconds, 3),
            requests=end.requests,
        )

    def record_refusal(self, target_id: str) -> None:
        """Record that a target refused a request."""
        if self._ramp_up.is_ramping(target_id):
            now_s = self._clock()
            self._ramp_up.record_refusal(target_id, now_s)
            self._refresh(target_id, now_s)

    def record_failure(self, run: RampRun, at_fault: Iterable[str] = ()) -> None:
        """Record that a request failed at a target.

        Parameters
        ----------
        at_fault
            Ids of the targets that are down; with none it counts against the ramping
            target with the fewest quick answers.
        """
        now_s = self._clock()
        for each in list(at_fault) or self._least_known(run):
            if self._ramp_up.is_ramping(each):
                self._ramp_up.record_failure(each, now_s)
                self._refresh(each, now_s)


def make_target_ramp_up(
    mode: Mode,
    table: TargetTable,
    log: Logger,
    instance: str,
    domain: str,
    instance_count: Callable[[], int],
    applies: Callable[[], bool] = lambda: True,
) -> TargetRampUp | None:
    """Return the ramp-up of an instance's targets, None if the mode is ``OFF``."""
    match mode:
        case Mode.OFF:
            return None
        case Mode.AUTO | Mode.ON:
            ramp_up = TargetRampUp(
                table,
                log,
                mode,
                domain,
                instance_count,
                RampUp(instance),
                applies=applies,
            )
            table.on_start = ramp_up.target_started
            return ramp_up
