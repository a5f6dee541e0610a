"""Client of the platform's weight store, which limits reads by a budget."""

from typing import Protocol

from cattrs import Converter
from cattrs.errors import BaseValidationError
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError

from celeryfork_platform.http import NoAnswerError, PlatformHttp
from celeryfork_platform.model import WeightBudget

_converter = Converter()


class WeightStoreClient(Protocol):
    """Fetches the weight store's read budget; thread-safe."""

    def budget(self, timeout_s: float) -> WeightBudget:
        """Return the current read budget of the weight store.

        Parameters
        ----------
        timeout_s
            Timeout of the call in seconds.

        Raises
        ------
        PlatformUnavailableError
            The weight store gave no valid response.
        """


def make_weight_store_client(
    base_url: str, clock: Clock, counters: Counters
) -> WeightStoreClient:
    """Return a client of the weight store at ``base_url``."""
    return _HttpWeightStore(PlatformHttp(base_url, "weights", clock, counters))


class _HttpWeightStore:
    def __init__(self, http: PlatformHttp) -> None:
        self._http = http

    def budget(self, timeout_s: float) -> WeightBudget:
        try:
            answer = self._http.call("GET", "/v1/weights/budget", timeout_s)
        except NoAnswerError as error:
            raise PlatformUnavailableError(error.message, "retry") from error
        if answer.status != 200:
            raise PlatformUnavailableError(
                f"The weight store answered with status {answer.status}.",
                "retry later",
            )
        try:
            return _converter.structure(answer.json(), WeightBudget)
        except (BaseValidationError, ValueError, TypeError) as error:
            raise PlatformUnavailableError(
                f"The weight store's response is malformed: {error}",
                "check that weights_url is the URL of the weight store",
            ) from error
