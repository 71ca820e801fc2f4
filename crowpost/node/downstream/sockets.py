"""Socket operations of the downstream side that asyncio's transports do not offer."""

from __future__ import annotations

import asyncio
import select
import socket
import struct

from crowpost.node.configuration import ConfigError


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


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed its end, even while reading from the transport is paused."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def reset_on_close(transport: asyncio.Transport) -> None:
    """Make the close of this transport send a TCP reset and drop unsent output."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
