"""Why a connection to an endpoint could not be opened."""

from __future__ import annotations

import errno
from enum import Enum

from crowpost.decision_api import Outcome

# Errors of this machine, which has no address, descriptor, memory or route: they say nothing of an endpoint.
# A machine that has vanished shows as a connection that does not come up.
LOCAL_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EHOSTUNREACH,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


class DialFailure(Enum):
    """Why a connection was not opened; the value is the outcome of a call that needed it."""

    # The endpoint refused it, or it did not come up in time.
    ENDPOINT = Outcome.CONNECT_FAILED
    # This machine could not try: the attempt was not begun, and shows nothing about the endpoint.
    LOCAL = Outcome.NOT_SENT

    @classmethod
    def of(cls, error: OSError) -> DialFailure:
        """Return the kind of failure of an error of `socket` or `connect`."""
        return cls.LOCAL if error.errno in LOCAL_ERRORS else cls.ENDPOINT
