"""Draining: one sequence for evacuate, rejoin and the graceful shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from enum import Enum

from crowpost.node.downstream.listener import Listener

log = logging.getLogger(__name__)

MIN_ACCEPT_S = 0.6  # after SIGTERM: new connections come for up to 0.4 s
QUIET_S = 0.25  # none may have come for this long before the process ends
# An evacuated node closes idle connections from then on: new ones come for 0.3 s after it is no longer ready.
EVACUATION_KEEP_S = 1.0
# The clients of a terminating node may go on with the connections they have: with another node also
# restarting, there may be no other to go to.  What comes last must still be answered in time.
MAX_SERVE_S = 2.0
SERVE_RESERVE_S = 1.0  # of the longest deadline
KILL_DEADLINE_S = 3.0  # SIGKILL comes 0.7 s after the longest deadline, or after this where it is longer
LAST_RESPONSE_S = 0.4  # after that deadline every request has its response
CHECK_INTERVAL_S = 0.05


class Phase(Enum):
    """What a node does with clients."""

    SERVING = "serving"
    EVACUATED = "evacuated"  # until it rejoins
    TERMINATING = "terminating"  # for good


class Drain:
    """The phase that a node is in, and what it means for the clients' connections.

    longest_s: the longest deadline; handed_over: whether another process accepts from the same listening
    socket; fail_remaining: responds to what is still pending; on_finished: ends the process.
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
        """Return the seconds until the last response must be sent; infinite while the process stays."""
        if self.phase is not Phase.TERMINATING:
            return float("inf")
        return self._began + self._last_s - time.monotonic()

    def evacuate(self) -> bool:
        """Evacuate the node: new clients go elsewhere, present ones get their responses and a close."""
        if self.phase is Phase.SERVING:
            self._enter(Phase.EVACUATED)
        return True

    def rejoin(self) -> bool:
        """Serve again, and return True; return False once the process terminates."""
        if self.phase is Phase.EVACUATED:
            self._enter(Phase.SERVING)
        return self.phase is Phase.SERVING

    def terminate(self) -> None:
        """Respond to what is here and what still comes, then end the process."""
        if self.phase is not Phase.TERMINATING:
            self._enter(Phase.TERMINATING)

    def _enter(self, phase: Phase) -> None:
        log.info("%s, %d client connections open", phase.value, self._listener.connection_count())
        previous = self.phase
        self.phase = phase
        self._began = time.monotonic()
        if phase is Phase.TERMINATING and self._handed_over:
            self._listener.stop_accepting()
        # Where the listener stays and all nodes may be terminating, clients keep what they have for a while.
        at_once = phase is Phase.EVACUATED or self._handed_over or previous is Phase.EVACUATED
        self._listener.closing = phase is not Phase.SERVING and at_once
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
            # No connection comes any more; a request may still come on any that is open.
            finished = listener.is_empty()
        else:
            finished = (
                elapsed_s >= max(MIN_ACCEPT_S, self._serve_s)
                and not listener.has_pending_output()
                and listener.inactive_s() >= QUIET_S
            )
        # A long response has no deadline: it goes on until it is complete, or SIGKILL comes.
        if finished or (elapsed_s >= self._last_s + QUIET_S and not listener.is_streaming()):
            self._timer.cancel()
            self._on_finished()
