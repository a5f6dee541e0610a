"""Client of the platform's weight store: how much may be read now."""

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
    """Asks for the weight store's budget; safe from any thread."""

    def budget(self, timeout_s: float) -> WeightBudget:
        """Return what may be read from the weight store now.

        Parameters
        ----------
        timeout_s
            The longest that the call takes, in seconds.

        Raises
        ------
        PlatformUnavailableError
            No readable answer came.
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
            raise PlatformUnavailableError(error.message, "ask again") from error
        if answer.status != 200:
            raise PlatformUnavailableError(
                f"The weight store answered {answer.status}.", "ask again later"
            )
        try:
            return _converter.structure(answer.json(), WeightBudget)
        except (BaseValidationError, ValueError, TypeError) as error:
            raise PlatformUnavailableError(
                f"The weight store's answer can't be read: {error}",
                "check that weights_url is the weight store",
            ) from error
