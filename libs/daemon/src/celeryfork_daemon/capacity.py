"""How many requests an instance may run at once, from what the targets can do."""

import threading
from collections.abc import Callable, Iterable

from celeryfork_admission.admission import Admission
from celeryfork_config.in_force import Configuration
from celeryfork_membership.probe import LoadProbe
from celeryfork_membership.targets import TargetView

REVIEW_INTERVAL_S = 1.0
USUAL_BATCH = 8
# Arrivals are never spread evenly; the engines' own queues take the rest.
SLACK = 1.5
FEWEST_SLOTS = 4


class CapacityReview:
    """Keeps the slots of each model's queue at this instance's share.

    A stream keeps a seat at one engine of its chain at a time, so the seats of all
    engines together are how many streams keep every engine busy.

    Parameters
    ----------
    view, probe
        The targets, and how large their batches are.
    configuration
        Returns the configuration in force.
    serving_count
        Returns how many instances share the targets.
    admission
        Where the slots are set.
    plain_slots
        Slots of each plain service.
    """

    def __init__(
        self,
        view: TargetView,
        probe: LoadProbe,
        configuration: Callable[[], Configuration],
        serving_count: Callable[[], int],
        admission: Admission,
        plain_slots: int,
    ) -> None:
        self._view = view
        self._probe = probe
        self._configuration = configuration
        self._serving_count = serving_count
        self._admission = admission
        self._plain_slots = plain_slots
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="capacity", daemon=True)

    def start(self) -> None:
        """Set the slots now and from time to time."""
        self.review()
        self._thread.start()

    def stop(self) -> None:
        """End the background thread."""
        self._stopping.set()
        self._thread.join(timeout=2)

    def review(self) -> None:
        """Set the slots of each queue."""
        configuration = self._configuration()
        instances = self._serving_count()
        for model in configuration.models_by_name:
            targets = self._view.eligible_targets(model)
            seats = self._seats(target.id for target in targets)
            slots = max(FEWEST_SLOTS, round(seats * SLACK / instances))
            self._admission.set_capacity(f"model/{model}", slots)
        for service in configuration.services_by_name:
            self._admission.set_capacity(f"service/{service}", self._plain_slots)

    def _seats(self, target_ids: Iterable[str]) -> int:
        seats = 0
        for target_id in target_ids:
            info = self._probe.engine_info(target_id)
            seats += USUAL_BATCH if info is None else info.max_batch
        return seats

    def _run(self) -> None:
        while not self._stopping.wait(REVIEW_INTERVAL_S):
            self.review()
