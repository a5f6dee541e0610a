"""Records of crashes by trait, as instances exchange them, and what they prove."""

import math
from collections.abc import Iterable

from attrs import frozen

from celeryfork_admission.traits import Trait, TraitKind

MAX_CRASHES = 10
PROBE_WEIGHT = 2
"""A probe ran with fewer others, so that its crash says more than an ordinary one."""
CONVICTION_WEIGHT = 3
SOUND_TTL_S = 60.0
FIRST_HOLD_S = 30.0
MAX_HOLD_S = 3600.0
ECHO_S = 0.5
"""Two times so close are one, reported twice. Each message makes a time look later by
its transit, so that a record sent round and round would otherwise never grow old."""


@frozen
class CrashRecord:
    """An engine's crash while runs with the trait began to write on it.

    Parameters
    ----------
    run
        Id of the run, or of the engine's end where it is known, unique in the fleet.
    organisation
        Organisation of the caller, if known.
    at_s
        Time of the crash, in seconds of this instance's monotonic clock.
    probe
        True if the run was a probe.
    """

    run: str
    organisation: str | None
    at_s: float
    probe: bool

    @property
    def weight(self) -> int:
        """What the crash counts towards a conviction."""
        return PROBE_WEIGHT if self.probe else 1


@frozen
class TraitRecord:
    """All that is known of a suspected trait.

    Parameters
    ----------
    crashes
        The newest ``MAX_CRASHES``, oldest first.
    sound_s
        Last time at which a run with the trait was sound, in seconds of this instance's
        monotonic clock; None if never.
    probe_s
        Last time at which a probe began, likewise.
    """

    trait: Trait
    crashes: tuple[CrashRecord, ...] = ()
    sound_s: float | None = None
    probe_s: float | None = None

    @property
    def news_s(self) -> float:
        """Time of the newest evidence, in seconds of the monotonic clock."""
        news_s = self.crashes[-1].at_s if self.crashes else -math.inf
        if self.sound_s is not None and self.sound_s > news_s:
            news_s = self.sound_s
        if self.probe_s is not None and self.probe_s > news_s:
            news_s = self.probe_s
        return news_s

    @property
    def weight(self) -> int:
        """What all counted crashes count towards a conviction."""
        return sum(each.weight for each in self.crashes)

    @property
    def runs(self) -> frozenset[str]:
        """Ids of the counted crashes."""
        return frozenset(each.run for each in self.crashes)

    def merge(self, other: "TraitRecord") -> "TraitRecord":
        """Return what this record and another one of the trait say together.

        The order of merges doesn't matter, but for times closer than ``ECHO_S``. A
        crash doesn't count if the trait was sound after it, or within ``SOUND_TTL_S``
        before it.
        """
        sound_s = _merge_times(self.sound_s, other.sound_s)
        crash_by_run: dict[str, CrashRecord] = {}
        for each in (*self.crashes, *other.crashes):
            known = crash_by_run.setdefault(each.run, each)
            crash_by_run[each.run] = _merge_crashes(known, each)
        counted = [
            each
            for each in crash_by_run.values()
            if sound_s is None or each.at_s > sound_s + SOUND_TTL_S
        ]
        counted.sort(key=lambda each: (each.at_s, each.run))
        return TraitRecord(
            self.trait,
            tuple(counted[-MAX_CRASHES:]),
            sound_s,
            _merge_times(self.probe_s, other.probe_s),
        )

    def with_crash(self, crash: CrashRecord) -> "TraitRecord":
        """Return the record with one more crash."""
        return self.merge(TraitRecord(self.trait, (crash,)))

    def with_sound(self, sound_s: float | None) -> "TraitRecord":
        """Return the record with a later time at which the trait was sound."""
        return self.merge(TraitRecord(self.trait, sound_s=sound_s))

    @property
    def is_suspected(self) -> bool:
        """True if requests with the trait may only run as probes, for some callers.

        A request's own trait isn't below conviction: innocent requests are on crashed
        engines too, and a request that isn't repeated crashes no more engines.
        """
        if self.trait.kind is TraitKind.REQUEST:
            return self.hold_end_s(None) is not None
        return bool(self.crashes)

    @property
    def is_convicted(self) -> bool:
        """True if any caller's requests with the trait are or were refused."""
        if self.weight < CONVICTION_WEIGHT:
            return False
        organisations = {each.organisation for each in self.crashes}
        return any(self.hold_end_s(each) is not None for each in organisations)

    def hold_end_s(self, organisation: str | None) -> float | None:
        """Return when a conviction's hold ends for an organisation; None if none.

        A part is convicted for an organisation by that organisation's crashes, and for
        all by those of two or more: a caller may name any part, and must not get
        another's requests refused. Callers without a known organisation are no second
        one, since any organisation can also come without its key.
        """
        if self.trait.kind is TraitKind.REQUEST:
            return _hold_end_s(self.crashes)
        own = [each for each in self.crashes if each.organisation == organisation]
        end_s = _hold_end_s(own)
        known = {each.organisation for each in self.crashes} - {None}
        if len(known) >= 2:
            end_s = latest(end_s, _hold_end_s(self.crashes))
        return end_s

    @property
    def open_probe_s(self) -> float | None:
        """Time at which the last probe began; None if its outcome is known."""
        if self.probe_s is None or latest(self.sound_s, self.probe_s) == self.sound_s:
            return None
        crashed = any(each.probe and each.at_s >= self.probe_s for each in self.crashes)
        return None if crashed else self.probe_s

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the record for the state dump, with ages in seconds."""
        return {
            "service": self.trait.service,
            "kind": self.trait.kind.value,
            "value": self.trait.value,
            "convicted": self.is_convicted,
            "sound_age_s": _age_s(self.sound_s, now_s),
            "probe_age_s": _age_s(self.probe_s, now_s),
            "crashes": [
                {
                    "run": each.run,
                    "organisation": each.organisation,
                    "age_s": _age_s(each.at_s, now_s),
                    "probe": each.probe,
                }
                for each in self.crashes
            ],
        }


def latest(*times_s: float | None) -> float | None:
    """Return the latest time, None if there is none."""
    return max((each for each in times_s if each is not None), default=None)


def _hold_end_s(crashes: Iterable[CrashRecord]) -> float | None:
    """Return when the hold of a conviction ends; None if the crashes don't convict.

    The hold doubles with each crash after its end, which is one of a new probe. A crash
    before it is of a run that had been sent already, and begins the same hold again.

    Parameters
    ----------
    crashes
        Those that count, oldest first.
    """
    weight, hold_s, end_s = 0, FIRST_HOLD_S, None
    for each in crashes:
        weight += each.weight
        if weight < CONVICTION_WEIGHT:
            continue
        if end_s is not None and each.at_s > end_s - ECHO_S:
            hold_s = min(2 * hold_s, MAX_HOLD_S)
        end_s = each.at_s + hold_s
    return end_s


def _merge_crashes(one: CrashRecord, other: CrashRecord) -> CrashRecord:
    """Return what two reports of a crash say together.

    The earlier time has had the shorter transit. The organisation is any of them, as
    long as all instances choose the same.
    """
    if one == other:
        return one
    known = [
        each for each in (one.organisation, other.organisation) if each is not None
    ]
    return CrashRecord(
        one.run,
        min(known, default=None),
        min(one.at_s, other.at_s),
        one.probe or other.probe,
    )


def _merge_times(one_s: float | None, other_s: float | None) -> float | None:
    if one_s is None or other_s is None:
        return latest(one_s, other_s)
    pick = min if abs(one_s - other_s) <= ECHO_S else max
    return pick(one_s, other_s)


def _age_s(at_s: float | None, now_s: float) -> float | None:
    return None if at_s is None else round(now_s - at_s, 3)
