"""Accepts connections on a listening socket; while that fails, they wait in the socket's queue.

The event loop's own server accepts and closes waiting connections when descriptors run out (ENFILE, EMFILE),
and tries again without a pause while memory for a socket is lacking.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

log = logging.getLogger(__name__)

# The most connections that are accepted in one iteration of the event loop.
MAX_ACCEPTS_PER_TURN = 8
# The pause after a failure for which nothing but time or a closed connection helps.
RETRY_S = 0.01
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# The pause before listening is tried again, and how long it is tried.  The platform waits 30 s for a start.
LISTEN_RETRY_S = 0.1
LISTEN_TIMEOUT_S = 20.0
# The least time between two lines of the log about failures.
LOG_INTERVAL_S = 1.0

Bound = TypeVar("Bound")


def listening_socket(address: tuple[str, int], backlog: int) -> socket.socket:
    """Return a socket that listens on this address; raise OSError if that is not possible."""
    # `getaddrinfo` would load the tables of international names, a third of a megabyte.
    listening = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(address)
        listening.listen(backlog)
    except OSError:
        listening.close()
        raise
    return listening


async def listen_when_possible(listen: Callable[[], Awaitable[Bound]]) -> Bound:
    """Return what `listen` returns; try again while this machine lacks descriptors or memory for a moment.

    Raise the OSError of any other failure at once, and of the last one after LISTEN_TIMEOUT_S.
    """
    until = time.monotonic() + LISTEN_TIMEOUT_S
    while True:
        try:
            return await listen()
        except OSError as error:
            if error.errno not in EXHAUSTED or time.monotonic() >= until:
                raise
            log.warning("listening failed and is tried again: %s", error)
        await asyncio.sleep(LISTEN_RETRY_S)


class Acceptor:
    """Accepts the connections of one listening socket, which it closes in the end.

    make_protocol: returns the protocol of a new connection; on_exhausted: closes a dispensable connection, if
    there is one; has_room: returns whether so many more connections may be open.
    """

    def __init__(
        self,
        listening: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        on_exhausted: Callable[[], None] = lambda: None,
        has_room: Callable[[int], bool] = lambda _: True,
    ) -> None:
        listening.setblocking(False)
        self._listening = listening
        self._make_protocol = make_protocol
        self._on_exhausted = on_exhausted
        self._has_room = has_room
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        # The failures to accept, in all and since they were last logged.
        self.failures = 0
        self._unlogged = 0
        self._logged_at = -LOG_INTERVAL_S
        self._loop.add_reader(listening, self._accept_waiting)

    def close(self) -> None:
        """Accept nothing more; connections that were accepted stay open."""
        self._loop.remove_reader(self._listening)
        if self._retry is not None:
            self._retry.cancel()
        self._listening.close()

    def _accept_waiting(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._has_room(len(self._opening) + 1):
                self._pause()
                return
            try:
                accepted, _ = self._listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._count_failure(error)
                if error.errno in EXHAUSTED:
                    if error.errno == errno.EMFILE:
                        self._on_exhausted()
                    self._pause()
                    return
                # Any other error is that of a connection that broke before it was accepted (accept(2)).
                continue
            self._open(accepted)

    def _open(self, accepted: socket.socket) -> None:
        task = self._loop.create_task(self._connect(accepted))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(self._make_protocol, accepted)
        except OSError as error:
            self._count_failure(error)
            accepted.close()

    def _pause(self) -> None:
        """Leave connections waiting for a moment."""
        self._loop.remove_reader(self._listening)
        self._retry = self._loop.call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._listening, self._accept_waiting)

    def _count_failure(self, error: OSError) -> None:
        self.failures += 1
        self._unlogged += 1
        now = time.monotonic()
        if now - self._logged_at >= LOG_INTERVAL_S:
            log.warning("accepting a connection failed %d times, last: %s", self._unlogged, error)
            self._unlogged = 0
            self._logged_at = now
