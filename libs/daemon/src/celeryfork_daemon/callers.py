"""Who calls: the organisation of a bearer key, and the administrator."""

from collections.abc import Callable
from hashlib import sha256
from hmac import compare_digest

from celeryfork_config.in_force import Configuration
from celeryfork_config.records import Organisation

from celeryfork_daemon.http_call import HttpCall
from celeryfork_daemon.refusals import unknown_key

_BEARER = "bearer "


class Callers:
    """Tells callers by their bearer keys; only hashes of keys are kept.

    Parameters
    ----------
    configuration
        Returns the configuration in force.
    administrator_key_sha256
        Hash of the administrator's key in hex, None to refuse every one.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        administrator_key_sha256: str | None,
    ) -> None:
        self._configuration = configuration
        self._administrator_key_sha256 = administrator_key_sha256

    def organisation_of(self, call: HttpCall) -> Organisation:
        """Return the organisation that the caller's key belongs to.

        Raises
        ------
        RequestRefusedError
            There is none.
        """
        key_hash = _key_sha256(call)
        if key_hash is not None:
            found = self._configuration().organisation_by_key_sha256(key_hash)
            if found is not None:
                return found
        raise unknown_key()

    def check_administrator(self, call: HttpCall) -> None:
        """Refuse a caller that is not the administrator.

        Raises
        ------
        RequestRefusedError
            The key is not the administrator's.
        """
        key_hash = _key_sha256(call)
        wanted = self._administrator_key_sha256
        if key_hash is None or wanted is None or not compare_digest(key_hash, wanted):
            raise unknown_key()


def _key_sha256(call: HttpCall) -> str | None:
    header = call.header("Authorization") or ""
    if header[: len(_BEARER)].lower() != _BEARER:
        return None
    key = header[len(_BEARER) :].strip()
    return sha256(key.encode("latin-1")).hexdigest() if key else None
