"""Records of crashes by trait, as instances exchange them, and what they prove."""

from collections.abc import Iterable

from attrs import evolve, frozen

from celeryfork_admission.traits import Trait, TraitKind

MAX_CRASHES = 8
PROBE_WEIGHT = 2
"""A probe ran with fewer others, so that its crash says more than an ordinary one."""
CONVICTION_WEIGHT = 3
SOUND_TTL_S = 60.0
FIRST_HOLD_S = 60.0
MAX_HOLD_S = 3600.0


@frozen
class CrashRecord:
    """An engine's crash while a run with the trait began to write on it.

    Parameters
    ----------
    run
        Id of the run, unique in the fleet.
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
        crash_s = self.crashes[-1].at_s if self.crashes else None
        return latest(crash_s, self.sound_s, self.probe_s) or 0.0

    def with_crash(self, crash: CrashRecord) -> "TraitRecord":
        """Return the record with one more crash."""
        return merge_records(self, TraitRecord(self.trait, (crash,)))

    def with_sound(self, sound_s: float | None) -> "TraitRecord":
        """Return the record with a later time at which the trait was sound."""
        return merge_records(self, TraitRecord(self.trait, sound_s=sound_s))

    def has_run(self, run: str) -> bool:
        """Return True if a crash of the run is counted."""
        return any(each.run == run for each in self.crashes)

    @property
    def suspected(self) -> bool:
        """True if requests with the trait may only run as probes, for some callers.

        A request's own trait isn't below conviction: innocent requests are on crashed
        engines too, and a request that isn't repeated crashes no more engines.
        """
        if self.trait.kind is TraitKind.REQUEST:
            return self.conviction_s(None) is not None
        return bool(self.crashes)

    @property
    def convicted(self) -> bool:
        """True if any caller's requests with the trait are or were refused."""
        if sum(each.weight for each in self.crashes) < CONVICTION_WEIGHT:
            return False
        organisations = {each.organisation for each in self.crashes}
        return any(self.conviction_s(each) is not None for each in organisations)

    def conviction_s(self, organisation: str | None) -> float | None:
        """Return when a conviction's hold ends for an organisation; None if none.

        A part is convicted for an organisation by that organisation's crashes, and for
        all by those of two or more: a caller may name any part, and must not get
        another's requests refused. Callers without a known organisation are no second
        one, since any organisation can also come without its key.
        """
        if self.trait.kind is TraitKind.REQUEST:
            return hold_end_s(self.crashes)
        own = [each for each in self.crashes if each.organisation == organisation]
        end_s = hold_end_s(own)
        known = {each.organisation for each in self.crashes} - {None}
        if len(known) >= 2:
            end_s = latest(end_s, hold_end_s(self.crashes))
        return end_s

    @property
    def open_probe_s(self) -> float | None:
        """Time at which the last probe began; None if its outcome is known."""
        if self.probe_s is None or (self.sound_s or 0.0) >= self.probe_s:
            return None
        crashed = any(each.probe and each.at_s >= self.probe_s for each in self.crashes)
        return None if crashed else self.probe_s

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the record for the state dump, with ages in seconds."""
        return {
            "service": self.trait.service,
            "kind": self.trait.kind.value,
            "value": self.trait.value,
            "convicted": self.convicted,
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


def hold_end_s(crashes: Iterable[CrashRecord]) -> float | None:
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
        if end_s is not None and each.at_s >= end_s:
            hold_s = min(2 * hold_s, MAX_HOLD_S)
        end_s = each.at_s + hold_s
    return end_s


def merge_records(one: TraitRecord, other: TraitRecord) -> TraitRecord:
    """Return what two records of a trait say together.

    The order of merges doesn't matter. Messages make a crash look later than it was, by
    the time of their transit, so that of one run's records the earliest is kept.
    A crash doesn't count if the trait was sound after it or within ``SOUND_TTL_S``
    before it.
    """
    sound_s = latest(one.sound_s, other.sound_s)
    crash_by_run: dict[str, CrashRecord] = {}
    for each in (*one.crashes, *other.crashes):
        known = crash_by_run.setdefault(each.run, each)
        crash_by_run[each.run] = min(known, each, key=_crash_order)
    counted = [
        each
        for each in crash_by_run.values()
        if sound_s is None or each.at_s > sound_s + SOUND_TTL_S
    ]
    counted.sort(key=_crash_order)
    return evolve(
        one,
        crashes=tuple(counted[-MAX_CRASHES:]),
        sound_s=sound_s,
        probe_s=latest(one.probe_s, other.probe_s),
    )


def _crash_order(crash: CrashRecord) -> tuple[float, str, str, bool]:
    return crash.at_s, crash.run, crash.organisation or "", not crash.probe


def _age_s(at_s: float | None, now_s: float) -> float | None:
    return None if at_s is None else round(now_s - at_s, 3)
