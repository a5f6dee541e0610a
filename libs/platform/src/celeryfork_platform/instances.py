"""Client of the platform's instance list."""

from typing import Any, Protocol

from attrs import field, frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError
from celeryfork_base.clock import Clock
from celeryfork_base.counters import Counters
from celeryfork_base.errors import PlatformUnavailableError

from celeryfork_platform.http import NoAnswerError, PlatformHttp
from celeryfork_platform.model import Instance, InstanceList

_converter = Converter()


class InstanceListClient(Protocol):
    """Fetches the instance list; thread-safe."""

    def fetch(self, timeout_s: float) -> InstanceList:
        """Return the platform's current instance list.

        Malformed entries are skipped and counted.

        Parameters
        ----------
        timeout_s
            Timeout of the call in seconds.

        Raises
        ------
        PlatformUnavailableError
            The platform gave no valid response.
        """


def make_instance_list_client(
    base_url: str, clock: Clock, counters: Counters
) -> InstanceListClient:
    """Return a client of the instance list at ``base_url``."""
    return _HttpInstanceList(
        PlatformHttp(base_url, "instances", clock, counters), counters
    )


@frozen
class _RawList:
    version: int
    instances: list[dict[str, Any]] = field(factory=list)


class _HttpInstanceList:
    def __init__(self, http: PlatformHttp, counters: Counters) -> None:
        self._http = http
        self._counters = counters

    def fetch(self, timeout_s: float) -> InstanceList:
        try:
            answer = self._http.call("GET", "/v1/instances", timeout_s)
        except NoAnswerError as error:
            raise PlatformUnavailableError(error.message, "retry") from error
        if answer.status != 200:
            raise PlatformUnavailableError(
                f"The instance list service answered with status {answer.status}.",
                "retry later",
            )
        try:
            raw = _converter.structure(answer.json(), _RawList)
        except (BaseValidationError, ValueError, TypeError) as error:
            self._counters.add("platform.instances.malformed_answers")
            raise PlatformUnavailableError(
                f"The instance list's response is malformed: {error}",
                "check that instances_url is the URL of the instance list service",
            ) from error
        instances = [self._parse_instance(entry) for entry in raw.instances]
        return InstanceList(raw.version, {i.id: i for i in instances if i})

    def _parse_instance(self, entry: dict[str, Any]) -> Instance | None:
        try:
            return _converter.structure(entry, Instance)
        except (BaseValidationError, ValueError, TypeError):
            self._counters.add("platform.instances.malformed_entries")
            return None
