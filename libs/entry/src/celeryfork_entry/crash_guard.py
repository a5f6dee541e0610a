"""Keeps requests that crash targets away from them.

Before each send the guard asks the evidence of crashes about the request: its shared
parts and its fingerprint. A suspect runs as a probe, of which there is one at a time; a
request with a convicted part is refused.
"""

import asyncio
import random
import time
from uuid import uuid4

from attrs import define, field
from celeryfork_admission.crash_evidence import (
    CONVICTION_WEIGHT,
    PROBE_WEIGHT,
    CrashEvidence,
    Trait,
    TraitKind,
    Verdict,
    make_part_trait,
    make_request_trait,
)
from celeryfork_base.errors import RequestRefusedError

from celeryfork_entry.call import (
    Call,
    CallContext,
    not_run_error,
    outcome_unknown_error,
)
from celeryfork_entry.first_engines import (
    MAX_LOST_ENGINES,
    MAX_LOST_ENGINES_IF_SOUND,
)
from celeryfork_entry.path_attempts import PathAttempt
from celeryfork_entry.targets import Target

REFUSAL_CODE = "crashes_engines"
PROBE_WAIT_S = 0.25
"""Seconds that a suspect that has not run waits for a probe to end: half of the usual
latency goal."""
PROBE_POLL_S = (0.02, 0.08)
"""Range of the seconds between two judgements of a waiting suspect. Those of several
instances would otherwise begin their probes within the transit of a message."""
PROBE_DELAY_S = 0.3
"""Seconds after its crash at which a request may run again as a probe. Peers that know
its parts to be sound answer sooner, and the other streams of the engine have started
elsewhere by then."""
PROBE_RETRY_AFTER_S = (0.5, 1.5)
"""Range of Retry-After in seconds for a suspect that is refused during a probe."""
MAX_LOGGED_TRAITS = 1_000
"""Number of convicted traits after which they may be logged a second time."""
PORT_CHECK_TIMEOUT_S = 0.04
"""Timeout in seconds of the check whether a target that broke off a call has ended."""


@define(eq=False)
class CrashGuard:
    """Applies the evidence of crashes to the calls of one instance."""

    evidence: CrashEvidence
    _context: CallContext
    _random: random.Random = field(factory=random.Random)
    _process: str = field(factory=lambda: uuid4().hex[:12])
    _runs: int = 0
    _logged: set[Trait] = field(factory=set)

    async def wait_until_allowed(self, call: Call, until_s: float | None) -> bool:
        """Return True once a call may be sent, False if it must not be.

        A suspect holds the probe of its traits then, until the next call of this
        method or :meth:`end_probe`.

        Parameters
        ----------
        until_s
            Monotonic time at which to give up, None for :data:`PROBE_WAIT_S`.

        Raises
        ------
        RequestRefusedError
            The call must not be sent, and no target has run it.
        """
        self.end_probe(call)
        if call.crashes >= self.max_lost_engines(call):
            self._log_refusal(call, None, Verdict.REFUSE, call.crashes)
            return False
        traits = self._traits_to_judge(call)
        if until_s is None:
            until_s = time.monotonic() + min(PROBE_WAIT_S, call.left_s)
        while True:
            judgement = self.evidence.judge(traits, call.organisation)
            match judgement.verdict:
                case Verdict.CLEAR:
                    return True
                case Verdict.REFUSE:
                    after_s = judgement.retry_after_s
                    break
                case Verdict.SUSPECT if self._begin_probe(call, traits):
                    return True
                case Verdict.SUSPECT:
                    after_s = self._random.uniform(*PROBE_RETRY_AFTER_S)
            if time.monotonic() >= until_s:
                break
            await asyncio.sleep(self._random.uniform(*PROBE_POLL_S))
        self._log_refusal(call, judgement.trait, judgement.verdict, judgement.crashes)
        if not call.may_have_run:
            raise not_run_error(
                REFUSAL_CODE,
                "Requests like this one crash the engines that run them.",
                after_s,
            )
        return False

    def max_lost_engines(self, call: Call) -> int:
        """Return how many engines may go down as they begin to run a call.

        They may be more for a stream of which the caller has a part, and whose shared
        parts are known to be sound: it's probably not what ends its engines.
        """
        has_answer = call.progress is not None and call.progress.started
        parts = self._part_traits(call)
        if has_answer and parts and not self.evidence.has_unknown(parts):
            return MAX_LOST_ENGINES_IF_SOUND
        return MAX_LOST_ENGINES

    def is_allowed(self, call: Call) -> bool:
        """Return True if a call may be sent now."""
        if call.crashes >= self.max_lost_engines(call):
            return False
        judgement = self.evidence.judge(self._traits_to_judge(call), call.organisation)
        match judgement.verdict:
            case Verdict.CLEAR:
                return True
            case Verdict.SUSPECT:
                return call.probe is not None
            case Verdict.REFUSE:
                return False

    def _begin_probe(self, call: Call, traits: tuple[Trait, ...]) -> bool:
        if time.monotonic() < call.crashed_s + PROBE_DELAY_S:
            return False
        run = self.next_run()
        if not self.evidence.begin_probe(traits, run):
            return False
        call.probe = run
        self._context.counters.add("crashes.probes")
        self._context.log_event(call, "crash_probe", parts=call.metadata.shared_parts)
        return True

    def end_probe(self, call: Call) -> None:
        """End the probe that a call holds, if any."""
        if call.probe is not None:
            self.evidence.end_probe(call.probe)
            call.probe = None

    def next_run(self) -> str:
        """Return an id for a run that no other run of any instance has."""
        self._runs += 1
        return f"{self._process}-{self._runs}"

    def may_crash(self, attempt: PathAttempt) -> bool:
        """Return True if an attempt may be what crashes its engines.

        It has only begun to write, and shares a part that isn't known to be sound.
        """
        return attempt.is_starting and self.evidence.has_unknown(
            self._part_traits(attempt.call)
        )

    def record_sound(self, call: Call) -> None:
        """Record that a run of a call wrote on, or ended, without a crash."""
        call.was_sound = True
        self.evidence.record_sound(self._traits_to_judge(call))
        self.end_probe(call)

    def record_crash(self, call: Call, target_id: str) -> None:
        """Record that a target ended as it began to run a call."""
        target = self._context.table.by_id.get(target_id)
        end = f"{target_id}/{target.born_ms if target else None}"
        self._context.counters.add("crashes.recorded")
        call.crashed_s = time.monotonic()
        traits = self._part_traits(call)
        # A sound request may lose as many targets as its retries meet: it takes another
        # call that ends a target to convict it.
        weight = call.crash_weight + (1 if call.probe is None else PROBE_WEIGHT)
        if not call.was_sound:
            call.crashes += 1
            if weight < CONVICTION_WEIGHT:
                call.crash_weight = weight
                traits += (_request_trait(call),)
        counted = self.evidence.record_crash(
            traits,
            call.probe or self.next_run(),
            call.organisation,
            probe=call.probe is not None,
            engine_end=end,
        )
        parts = [each.value for each in counted if each.kind is TraitKind.PART]
        if parts:
            self._context.log_event(
                call,
                "crash_suspect",
                service=call.service.name,
                parts=parts,
                engine=target_id,
                probe=call.probe is not None,
                organisation=call.organisation,
            )

    async def record_broken_call(self, call: Call, target: Target) -> None:
        """Record a crash if the target that broke off a plain call has ended."""
        if await self.has_ended(target):
            self.record_crash(call, target.id)

    async def has_ended(self, target: Target) -> bool:
        """Return True if nothing listens at a target's address any more."""
        return await self._context.connections.is_refused(
            target.address, PORT_CHECK_TIMEOUT_S
        )

    def refusal(self, reason: str) -> RequestRefusedError:
        """Return the error for a call that has run and must not be sent again."""
        return outcome_unknown_error(
            502,
            REFUSAL_CODE,
            f"The request may be what crashed its engines: {reason}.",
        )

    def _traits_to_judge(self, call: Call) -> tuple[Trait, ...]:
        """Return the parts of a call, and its fingerprint if any is suspected."""
        parts = self._part_traits(call)
        if self.evidence.has_request_suspects(call.service.name):
            return (*parts, _request_trait(call))
        return parts

    @staticmethod
    def _part_traits(call: Call) -> tuple[Trait, ...]:
        if call.part_traits is None:
            call.part_traits = tuple(
                make_part_trait(call.service.name, each)
                for each in call.metadata.shared_parts
            )
        return call.part_traits

    def _log_refusal(
        self, call: Call, trait: Trait | None, verdict: Verdict, crashes: int
    ) -> None:
        self._context.counters.add(f"crashes.{verdict.value}")
        if trait is None or verdict is not Verdict.REFUSE or trait in self._logged:
            return
        if len(self._logged) >= MAX_LOGGED_TRAITS:
            self._logged.clear()
        self._logged.add(trait)
        self._context.log_event(
            call,
            "crash_convicted",
            service=trait.service,
            kind=trait.kind.value,
            value=trait.value,
            crashes=crashes,
        )


def _request_trait(call: Call) -> Trait:
    if call.request_trait is None:
        request = call.request
        call.request_trait = make_request_trait(
            call.service.name,
            call.organisation,
            request.method,
            request.target,
            request.body,
        )
    return call.request_trait
