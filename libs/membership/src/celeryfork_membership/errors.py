"""Errors of the membership library."""

from celeryfork_base.errors import CeleryforkError


class NewsTooLargeError(CeleryforkError):
    """A gossip update does not fit into a heartbeat."""
