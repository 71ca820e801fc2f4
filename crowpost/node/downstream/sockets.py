"""What the client side asks of sockets beyond asyncio's transports."""

from __future__ import annotations

import asyncio
import select
import socket
import struct

from crowpost.node.configuration import ConfigError


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """Return the listening socket that this process was started with.

    Raise ConfigError if the descriptor is none.
    """
    try:
        listener = socket.socket(fileno=descriptor)
        listening = listener.family == socket.AF_INET and listener.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        )
    except OSError as error:
        raise ConfigError(f"NODE_ACCEPT_FD: descriptor {descriptor} is no socket: {error}") from None
    if not listening:
        listener.detach()
        raise ConfigError(f"NODE_ACCEPT_FD: descriptor {descriptor} is no listening TCP socket")
    return listener


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed its end, also while the transport is not read."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def reset_on_close(transport: asyncio.Transport) -> None:
    """Have the close of this transport send a reset and drop what is not sent yet."""
    end = transport.get_extra_info("socket")
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
