"""One call to an endpoint, with exactly one outcome."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from crowpost.interface import Outcome
from crowpost.node.http.body import Sink, Upload
from crowpost.node.http.message import Message

MayWrite = Callable[[], bool]
Done = Callable[[Outcome, Message | None], None]
Render = Callable[[float], bytes]
Begin = Callable[[Message, Callable[[bool], None]], Sink | None]


class CallConnection(Protocol):
    """What a call needs of the connection that carries it."""

    def abandon(self) -> None:
        """Close at once."""

    def leave(self, deadline: float) -> None:
        """Read the response away until the deadline, in the loop's time."""


class Call:
    """One request to a server: an attempt or a probe.  It ends once, with one outcome."""

    __slots__ = (
        "_done",
        "_loop",
        "_timer",
        "begin",
        "connection",
        "deadline",
        "ended",
        "may_write",
        "on_written",
        "path",
        "render",
        "started",
        "upload",
        "written",
    )

    def __init__(
        self,
        render: Render,
        timeout_s: float,
        done: Done,
        *,
        on_written: Callable[[], None] | None = None,
        begin: Begin | None = None,
        upload: Upload | None = None,
        may_write: MayWrite = lambda: True,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.render = render
        self.may_write = may_write  # asked once a connection is there: a dial or a probe takes its time
        self.connection: CallConnection | None = None
        self.written = False  # its last byte may have reached the server
        self.started = False  # its answer is long and has begun
        self.on_written = on_written
        self.begin = begin  # takes a long answer and the means to pace it; None where only a status is asked
        self.upload = upload
        self.path = "not written"  # which connection it went out on, for the log
        self.ended = False
        self._done = done
        self._timer: asyncio.TimerHandle | None = None
        self.deadline = math.inf
        if upload is None or upload.ended:
            self.expire_in(timeout_s)

    def expire_in(self, timeout_s: float) -> None:
        """Wait so long from now on."""
        self.deadline = self._loop.time() + timeout_s
        if not self.ended and not self.started:
            self._timer = self._loop.call_later(timeout_s, self._time_out)

    def start(self, message: Message, pace: Callable[[bool], None]) -> Sink | None:
        """A long answer has begun: time counts no longer.  Where its pieces go, None if nobody wants them."""
        self.started = True
        self._stop_timer()
        return self.begin(message, pace) if self.begin is not None else None

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        """The one outcome; later ones are nobody's."""
        if self.ended:
            return
        self.ended = True
        self._stop_timer()
        self.connection = None
        if self.upload is not None and self.upload.spent:
            self.upload.detach()
        self._done(outcome, answer)

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting.  The connection goes with the call, so that its late bytes reach no other request."""
        connection = self.connection
        if not self.ended and connection is not None:
            connection.abandon()
        self.end(outcome)

    def in_chunks(self) -> bool:
        """Whether its long body is of unknown length."""
        return self.upload is not None and self.upload.length is None

    def leave(self, outcome: Outcome) -> None:
        """Stop waiting, but let the answer come in: a new connection would cost more than its bytes."""
        if self.started or (self.connection is not None and not self.written):
            self.give_up(outcome)
            return
        if not self.ended and self.connection is not None:
            self.connection.leave(self.deadline)
        self.end(outcome)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _time_out(self) -> None:
        self.give_up(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)
