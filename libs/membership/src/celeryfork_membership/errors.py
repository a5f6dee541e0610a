"""Errors of the membership library."""

from celeryfork_base.errors import CeleryforkError


class NewsTooLargeError(CeleryforkError):
    """A piece of news that does not fit into a heartbeat."""
