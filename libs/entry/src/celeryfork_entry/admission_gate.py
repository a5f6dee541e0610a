"""Admits or refuses streams on their arrival while a service is short of capacity."""

import re
import time

from attrs import define, field
from celeryfork_admission.returns import ReturnRegistry
from celeryfork_admission.service_load import Urgency
from celeryfork_admission.shortage import (
    Admit,
    ArrivingRequest,
    Refuse,
    ShortagePolicy,
)
from celeryfork_base.errors import RequestRefusedError
from xxhash import xxh3_64

from celeryfork_entry.call import Call, CallContext, not_run_error
from celeryfork_entry.capacity_sharing import CapacitySharing
from celeryfork_entry.configuration import urgency
from celeryfork_entry.load_knowledge import LoadKnowledge
from celeryfork_entry.path_selector import expected_answer_tokens
from celeryfork_entry.settings import Mode

MAX_RANK = 9
"""Largest priority number that engines accept."""
MAX_ORGANISATION_LABELS = 16
"""Organisations with counters of their own; the others are counted as ``other``."""
REFUSAL_CODE = "shortage"


@define(eq=False)
class AdmissionGate:
    """Decides on each stream of a service that is shared by urgency.

    Parameters
    ----------
    instance
        Name of this instance.
    tokens_by_call
        Tokens of admitted calls that haven't ended.
    labelled
        Organisations with counters of their own.
    """

    _context: CallContext
    _sharing: CapacitySharing
    _mode: Mode
    _instance: str
    _policy_by_service: dict[str, ShortagePolicy] = field(factory=dict)
    _returns: ReturnRegistry = field(factory=ReturnRegistry)
    _tokens_by_call: dict[Call, float] = field(factory=dict)
    _labelled: set[str] = field(factory=set)

    @property
    def _loads(self) -> LoadKnowledge:
        return self._context.load_knowledge

    def check(self, call: Call) -> None:
        """Admit a call, and set its urgency and its priority at engines.

        Raises
        ------
        RequestRefusedError
            The call is refused for a shortage, and no target has run it.
        """
        if self._mode is Mode.OFF:
            return
        sharing = self._sharing.current()
        service = call.service.name
        rank_by_urgency = sharing.rank_by_urgency_by_service.get(service)
        if rank_by_urgency is None:
            return
        if self._mode is Mode.AUTO and service not in sharing.services:
            return
        organisation = sharing.organisation_by_name.get(call.organisation or "")
        call.urgency = urgency(call.route, organisation)
        call.priority = min(MAX_RANK, rank_by_urgency.get(call.urgency, MAX_RANK))
        self._decide(call, call.urgency)

    def release(self, call: Call) -> None:
        """Record the end of a call, if it was admitted and has held memory.

        A call without an event found no path or was refused by engines; counted as an
        end, it would look like capacity.
        """
        tokens = self._tokens_by_call.pop(call, None)
        if tokens is not None and call.progress is not None and call.progress.started:
            meter = self._loads.meter
            meter.record_release(call.service.name, tokens, time.monotonic())

    def _decide(self, call: Call, urgency: Urgency) -> None:
        service, now_s = call.service.name, time.monotonic()
        tokens = call.metadata.prompt_tokens + expected_answer_tokens(call)
        self._loads.meter.record_arrival(
            service, urgency, call.organisation, tokens, now_s
        )
        fingerprint = _fingerprint(call)
        due = self._returns.is_due(fingerprint, now_s)
        request = ArrivingRequest(
            urgency,
            call.organisation,
            tokens,
            call.route.latency_goal_s,
            call.left_s,
            due,
        )
        if due:
            self._count("returned", urgency, call.organisation)
        load = self._loads.service_load(service, now_s)
        if load is not None:
            policy = self._policy(service)
            policy.update(load, now_s)
            match policy.decide(request, now_s):
                case Refuse() as refusal:
                    due_s = now_s + refusal.retry_after_s
                    self._returns.record_refusal(fingerprint, due_s, now_s)
                    self._count("refused", urgency, call.organisation)
                    raise self._refusal(call, urgency, refusal, due)
                case Admit():
                    pass
        self._returns.forget(fingerprint)
        self._count("admitted", urgency, call.organisation)
        self._loads.meter.record_admission(service, tokens, now_s)
        self._tokens_by_call[call] = tokens

    def _refusal(
        self, call: Call, urgency: Urgency, refusal: Refuse, due: bool
    ) -> RequestRefusedError:
        inputs = refusal.inputs
        self._context.log_event(
            call,
            "admission_refused",
            organisation=call.organisation,
            urgency=[urgency.organisation_priority, urgency.route_priority],
            reason=refusal.reason,
            fraction=round(inputs.fraction, 3),
            supply=round(inputs.supply),
            demand=round(inputs.demand),
            demand_more_urgent=round(inputs.demand_more_urgent),
            room_free=round(inputs.free_tokens),
            room_total=round(inputs.total_tokens),
            knowledge_age_ms=round(inputs.age_s * 1000),
            complete=inputs.complete,
            due=due,
            retry_after_s=refusal.retry_after_s,
        )
        return not_run_error(
            REFUSAL_CODE,
            "The service is short of capacity for requests of this urgency.",
            refusal.retry_after_s,
        )

    def _policy(self, service: str) -> ShortagePolicy:
        policy = self._policy_by_service.get(service)
        if policy is None:
            policy = ShortagePolicy(self._instance, self._weight_of)
            self._policy_by_service[service] = policy
        return policy

    def _weight_of(self, organisation: str) -> float:
        known = self._sharing.current().organisation_by_name.get(organisation)
        return known.weight if known is not None else 1.0

    def _count(self, what: str, urgency: Urgency, organisation: str | None) -> None:
        kind = f"{urgency.organisation_priority}_{urgency.route_priority}"
        self._context.counters.add(f"admission.{what}.urgency.{kind}")
        if organisation is None:
            return
        if len(self._labelled) < MAX_ORGANISATION_LABELS:
            self._labelled.add(organisation)
        label = "other"
        if organisation in self._labelled:
            label = re.sub(r"[^A-Za-z0-9_]", "_", organisation)
        self._context.counters.add(f"admission.{what}.organisation.{label}")


def _fingerprint(call: Call) -> int:
    """Return what a request shares with its retries only, a hash of 64 bits."""
    digest = xxh3_64((call.organisation or "").encode("utf-8", "surrogatepass"))
    path = call.metadata.path.encode("utf-8", "surrogatepass")
    for part in (path, call.request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.intdigest()
