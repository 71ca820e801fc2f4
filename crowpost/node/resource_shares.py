"""What a process may use of the limits of its node, and how that is divided."""

from __future__ import annotations

from dataclasses import dataclass

from crowpost.node.configuration import Limits

# Fractions of all descriptors; the rest remains for new connections, discovery and the process itself.
CLIENT_SOCKET_FRACTION = 0.4
ENDPOINT_SOCKET_FRACTION = 0.45
# Dozens of clients of the admin server may hold connections without sending anything.
ADMIN_SOCKET_FRACTION = 1 / 12
MIN_ADMIN_CONNECTIONS = 2
# Fraction of the limits for each of the two processes that form one node during an upgrade.
SHARED_LIMIT_FRACTION = 0.5
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class ResourceShares:
    """The most connections of each kind in one process, and its memory in bytes."""

    client_connections: int
    endpoint_connections: int
    admin_connections: int
    memory_bytes: float

    @property
    def connections(self) -> int:
        """The most connections that serve requests."""
        return self.client_connections + self.endpoint_connections


def divide(limits: Limits, *, shared: bool) -> ResourceShares:
    """Return the shares of one process.  shared: whether two processes may form the node at the same time."""
    fraction = SHARED_LIMIT_FRACTION if shared else 1.0
    sockets = int(fraction * limits.sockets)
    return ResourceShares(
        client_connections=int(CLIENT_SOCKET_FRACTION * sockets),
        endpoint_connections=int(ENDPOINT_SOCKET_FRACTION * sockets),
        admin_connections=max(MIN_ADMIN_CONNECTIONS, int(ADMIN_SOCKET_FRACTION * sockets)),
        memory_bytes=fraction * limits.memory_mb * BYTES_PER_MB,
    )
