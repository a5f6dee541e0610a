"""The planned stop: refuse nothing that was accepted, lose no outcome."""

import time
from collections.abc import Callable

from attrs import frozen

from celeryfork_daemon.assembly import Parts
from celeryfork_daemon.in_flight import InFlight
from celeryfork_daemon.logs import make_logger

# A balancer that has noticed sends nothing more; this long a quiet shows it.
QUIET_S = 0.3
QUIET_CHECK_S = 0.02

logger = make_logger("stopping")


@frozen
class StopPlan:
    """How an instance stops.

    Parameters
    ----------
    notice_s
        How long to keep serving, until the balancer has noticed, in seconds.
    calls_end_s
        Monotonic time by which every accepted call has ended, in seconds.
    """

    parts: Parts
    in_flight: InFlight
    stop_http: Callable[[], None]
    notice_s: float
    calls_end_s: float


def stop_gracefully(plan: StopPlan) -> bool:
    """Serve on until the balancer has noticed, finish, and hand over.

    Returns
    -------
    bool
        Whether every accepted call was answered and every outcome was handed over.
    """
    parts = plan.parts
    _serve_until_quiet(plan)
    plan.stop_http()
    finished = plan.in_flight.wait_empty(plan.calls_end_s - parts.clock.monotonic())
    if not finished:
        logger.warning("calls were cut off", count=plan.in_flight.count())
    return _hand_over(parts) and finished


def _hand_over(parts: Parts) -> bool:
    """Give the log and the peers every outcome; return whether somebody has each."""
    claims, tickets = parts.plain.claims, parts.plain.tickets
    report = tickets.hand_over(
        wait_s=0.0, append_to_log=claims.append_handed_over_outcomes
    )
    unflushed = claims.stop().unflushed
    if unflushed:
        # The log did not take them, so the peers have to.
        report = tickets.hand_over(wait_s=0.0, unlogged_claims=unflushed)
    logger.info(
        "handed over",
        outcomes=report.outcomes,
        peers=list(report.peers),
        not_in_log=len(unflushed),
    )
    return bool(report.peers) or not (unflushed or report.outcomes)


def _serve_until_quiet(plan: StopPlan) -> None:
    """Serve for the notice time, and on while calls still arrive."""
    clock = plan.parts.clock
    notice_ends_s = min(clock.monotonic() + plan.notice_s, plan.calls_end_s)
    while clock.monotonic() < notice_ends_s:
        time.sleep(QUIET_CHECK_S)
    while (
        plan.in_flight.quiet_for_s() < QUIET_S and clock.monotonic() < plan.calls_end_s
    ):
        time.sleep(QUIET_CHECK_S)
