"""Draining of client connections: evacuate, rejoin and the graceful shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from enum import Enum

from crowpost.node.downstream.listener import Listener

log = logging.getLogger(__name__)

# The least time between SIGTERM and the end of the process: new connections arrive for up to 0.4 s.
MIN_ACCEPT_S = 0.6
# The process ends only after this long without a new connection or request.
QUIET_S = 0.25
# An evacuated node closes idle connections only after this time: new ones arrive for 0.3 s after it is no
# longer ready.
EVACUATION_KEEP_S = 1.0
# The longest time that clients of a terminating node may continue using their connections: while another node
# also restarts, there may be no other node for them.  The last requests must still be answered in time.
MAX_SERVE_S = 2.0
# The part of the longest deadline that is reserved for answering the last requests.
SERVE_RESERVE_S = 1.0
# SIGKILL comes 0.7 s after the longest deadline, or 0.7 s after this time if the deadline is longer.
KILL_DEADLINE_S = 3.0
# Every request has its response within this time after that deadline.
LAST_RESPONSE_S = 0.4
CHECK_INTERVAL_S = 0.05


class Phase(Enum):
    """Whether a node serves clients."""

    SERVING = "serving"
    # No new clients until the node rejoins.
    EVACUATED = "evacuated"
    # The node shuts down; no other phase follows.
    TERMINATING = "terminating"


class Drain:
    """The phase of a node, and the handling of client connections in it.

    longest_s: the longest deadline in seconds; handed_over: whether another process accepts connections from
    the same listening socket; fail_remaining: responds to all pending requests with an error; on_finished:
    ends the process.
    """

    def __init__(
        self,
        listener: Listener,
        *,
        longest_s: float,
        handed_over: bool,
        fail_remaining: Callable[[], None],
        on_finished: Callable[[], None],
    ) -> None:
        self.phase = Phase.SERVING
        self._listener = listener
        self._handed_over = handed_over
        self._serve_s = min(MAX_SERVE_S, max(0.0, longest_s - SERVE_RESERVE_S))
        self._last_s = min(KILL_DEADLINE_S, longest_s) + LAST_RESPONSE_S
        self._fail_remaining = fail_remaining
        self._on_finished = on_finished
        self._loop = asyncio.get_running_loop()
        self._began = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def time_left_s(self) -> float:
        """Return the seconds until the last response must be sent; infinite unless the node terminates."""
        if self.phase is not Phase.TERMINATING:
            return float("inf")
        return self._began + self._last_s - time.monotonic()

    def evacuate(self) -> bool:
        """Evacuate the node: it is no longer ready, and closes each connection after its responses."""
        if self.phase is Phase.SERVING:
            self._enter(Phase.EVACUATED)
        return True

    def rejoin(self) -> bool:
        """Serve again and return True; return False if the node is terminating."""
        if self.phase is Phase.EVACUATED:
            self._enter(Phase.SERVING)
        return self.phase is Phase.SERVING

    def terminate(self) -> None:
        """Respond to pending and late requests, then end the process."""
        if self.phase is not Phase.TERMINATING:
            self._enter(Phase.TERMINATING)

    def _enter(self, phase: Phase) -> None:
        log.info("%s, %d client connections open", phase.value, self._listener.connection_count())
        previous = self.phase
        self.phase = phase
        self._began = time.monotonic()
        if phase is Phase.TERMINATING and self._handed_over:
            self._listener.stop_accepting()
        # If no other process took over the listening socket, all nodes may be terminating: clients may then
        # use their connections for a while longer.
        close_now = phase is Phase.EVACUATED or self._handed_over or previous is Phase.EVACUATED
        self._listener.closing = phase is not Phase.SERVING and close_now
        if self._timer is not None:
            self._timer.cancel()
        if phase is not Phase.SERVING:
            self._check()

    def _check(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
        listener = self._listener
        elapsed_s = time.monotonic() - self._began
        if elapsed_s >= (EVACUATION_KEEP_S if self.phase is Phase.EVACUATED else self._serve_s):
            listener.closing = True
            listener.close_idle(QUIET_S)
        if self.phase is Phase.EVACUATED:
            return
        if elapsed_s >= self._last_s:
            self._fail_remaining()
        if self._handed_over:
            # No new connection can arrive, but a request may still arrive on any open one.
            finished = listener.is_empty()
        else:
            finished = (
                elapsed_s >= max(MIN_ACCEPT_S, self._serve_s)
                and not listener.has_pending_output()
                and listener.inactive_s() >= QUIET_S
            )
        # A streamed response has no deadline: it continues until it is complete or SIGKILL comes.
        if finished or (elapsed_s >= self._last_s + QUIET_S and not listener.is_streaming()):
            self._timer.cancel()
            self._on_finished()
