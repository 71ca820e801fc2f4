"""Taking listener off this node, for a while or for good: one sequence for evacuate, rejoin and SIGTERM."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from enum import Enum

from crowpost.node.downstream.listener import Listener

log = logging.getLogger(__name__)

NEW_S = 0.6  # after SIGTERM: new connections come for up to 0.4 s
SILENT_S = 0.25  # and none may have come for this long
EMPTY_S = 1.0  # an emptying node closes idle connections from then on: new ones come for 0.3 s after the no
# A terminating node's listener may go on with the connections they have: with a node beside this one also
# restarting, there may be no other to go to.  What comes last must still be answered in time.
SERVE_S = 2.0
SERVE_LESS_S = 1.0  # than the longest deadline
KILL_DEADLINE_S = 3.0  # SIGKILL comes 0.7 s after the longest deadline, or after this where it is longer
LAST_S = 0.4  # after which all is answered, the same way
CHECK_S = 0.05


class Phase(Enum):
    SERVING = "serving"
    EMPTYING = "emptying"  # until the end of the drain
    LEAVING = "leaving"  # for good


class Drain:
    """The phase that a node is in, and what it asks of the listener' connections."""

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
        self._handed_over = handed_over  # the listener is shared: another process takes what comes anew
        self._serve_s = min(SERVE_S, max(0.0, longest_s - SERVE_LESS_S))
        self._last_s = min(KILL_DEADLINE_S, longest_s) + LAST_S
        self._fail_remaining = fail_remaining
        self._on_finished = on_finished
        self._loop = asyncio.get_running_loop()
        self._began = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def time_left_s(self) -> float:
        """Seconds until the last answer must be out; without end while the process is to stay."""
        if self.phase is not Phase.LEAVING:
            return float("inf")
        return self._began + self._last_s - time.monotonic()

    def evacuate(self) -> bool:
        """Empty the node: new listener go elsewhere, those that are here are answered and sent away."""
        if self.phase is Phase.SERVING:
            self._enter(Phase.EMPTYING)
        return True

    def rejoin(self) -> bool:
        """Serve again; False once the process is leaving."""
        if self.phase is Phase.EMPTYING:
            self._enter(Phase.SERVING)
        return self.phase is Phase.SERVING

    def leave(self) -> None:
        """SIGTERM: answer what is here and what still comes, then end."""
        if self.phase is not Phase.LEAVING:
            self._enter(Phase.LEAVING)

    def _enter(self, phase: Phase) -> None:
        log.info("%s, %d connections of listener open", phase.value, self._listener.connection_count())
        was, self.phase = self.phase, phase
        self._began = time.monotonic()
        if phase is Phase.LEAVING and self._handed_over:
            self._listener.stop_accepting()
        # Where the listener stays and all nodes may be leaving, listener keep what they have for a while.
        at_once = phase is Phase.EMPTYING or self._handed_over or was is Phase.EMPTYING
        self._listener.closing = phase is not Phase.SERVING and at_once
        if self._timer is not None:
            self._timer.cancel()
        if phase is not Phase.SERVING:
            self._check()

    def _check(self) -> None:
        self._timer = self._loop.call_later(CHECK_S, self._check)
        listener, past = self._listener, time.monotonic() - self._began
        if past >= (EMPTY_S if self.phase is Phase.EMPTYING else self._serve_s):
            listener.closing = True
            listener.close_idle(SILENT_S)
        if self.phase is Phase.EMPTYING:
            return
        if past >= self._last_s:
            self._fail_remaining()
        if self._handed_over:
            # Nothing comes anew; a request may still come on any connection that is open.
            over = listener.is_empty()
        else:
            over = (
                past >= max(NEW_S, self._serve_s)
                and not listener.has_pending_output()
                and listener.inactive_s() >= SILENT_S
            )
        # A long answer has no deadline: it goes on until it is whole, or SIGKILL comes.
        if over or (past >= self._last_s + SILENT_S and not listener.is_streaming()):
            self._timer.cancel()
            self._on_finished()
