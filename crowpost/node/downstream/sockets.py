"""Socket operations of the downstream side that asyncio's transports do not offer."""

from __future__ import annotations

import asyncio
import select
import socket
import struct

from crowpost.node.configuration import ConfigError

# The place of tcpi_last_data_recv (in ms) in `struct tcp_info` of Linux, and how much of that is read.
LAST_DATA_RECEIVED = struct.Struct("=I")
LAST_DATA_RECEIVED_OFFSET = 52
TCP_INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + LAST_DATA_RECEIVED.size
# Requests that have waited longer are past any time at which an answer would count.
MAX_UNREAD_MS = 3_600_000


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """Return the listening socket that this process inherited.

    Raise ConfigError if the descriptor is not a listening TCP socket.
    """
    try:
        listener = socket.socket(fileno=descriptor)
        listening = listener.family == socket.AF_INET and listener.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        )
    except OSError as error:
        raise ConfigError(f"NODE_ACCEPT_FD: descriptor {descriptor} is no socket: {error}") from error
    if not listening:
        listener.detach()
        raise ConfigError(f"NODE_ACCEPT_FD: descriptor {descriptor} is no listening TCP socket")
    return listener


class PeerWatch:
    """Shows whether the peer of a connection has closed its end, even while nothing is read from it."""

    __slots__ = ("_poll",)

    def __init__(self, transport: asyncio.Transport) -> None:
        self._poll = select.poll()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self._poll.register(sock.fileno(), select.POLLRDHUP)

    def has_closed(self) -> bool:
        """Return whether the peer has closed its end; the connection must be open."""
        return bool(self._poll.poll(0))


def unread_s(transport: asyncio.Transport) -> float:
    """Return how long ago the newest bytes of a connection arrived, in seconds; 0 if that is not known.

    A process that was held up, or a full queue of connections, leaves bytes waiting that the node only then
    reads.  The kernel has the time in steps of a few milliseconds (struct tcp_info, tcpi_last_data_recv).
    """
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        milliseconds: int = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)[0]
    except (OSError, struct.error):
        return 0.0
    # Without any bytes the kernel gives the time since its start.
    return milliseconds / 1000.0 if milliseconds <= MAX_UNREAD_MS else 0.0


def reset_on_close(transport: asyncio.Transport) -> None:
    """Make the close of this transport send a TCP reset and drop unsent output."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
