"""Traffic of every request class against a node process, with a record of what each side saw.

Clients and servers run in the process of the test, so their times are of one clock.  `violations` judges the
record by the rules of the platform, and asks the node nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from tests.node.stubs import Answer, Client, Received, StubServer, arrived_ago_s, request

# The rules, in seconds: an answer may come this late; an attempt may begin so long after its client has left;
# the deadline that a server is told may exceed what the client has left by this.
ANSWER_SLACK_S = 0.5
LEFT_SLACK_S = 0.1
DEADLINE_SLACK_S = 0.15
# The settings of these tests allow 0.25 s after a drain was told, and sockets 0.05 s more.
DRAIN_GRACE_S = 0.3
WORK_S = 0.01
CLASSES = ("look", "move", "book")
UNSAFE_CLASS = "book"
HEALTH_CHECK_TARGET = "/health"

_ids = itertools.count(1)


@dataclass(slots=True)
class Attempt:
    """A request as a server received it, with the times at which its first and its last byte arrived."""

    server: str
    began_at: float
    received_at: float
    deadline_s: float
    may_have_run: bool = True
    after_drain_s: float = 0.0


@dataclass(slots=True)
class ClientRecord:
    """A request as its client saw it; `sent_at` is the time at which it was written."""

    request_id: str
    request_class: str
    deadline_s: float
    sent_at: float
    fresh: bool
    answer: Answer | None = None
    answered_at: float = 0.0
    left_at: float | None = None
    failure: str = ""
    unread: bool = False  # its connection was closed before it was read, and no other one could be opened
    attempts: list[Attempt] = field(default_factory=list)


class Record:
    """All requests by their id."""

    def __init__(self) -> None:
        self.requests: dict[str, ClientRecord] = {}
        self.connect_failures = 0
        # The server that drains, and since when the node has been told; None if none does.
        self.draining: tuple[str, float] | None = None

    def add_attempt(self, server: str, got: Received, writer: asyncio.StreamWriter) -> Attempt:
        """Record an attempt that has arrived at a server; delays of this process are not counted."""
        received_at = time.monotonic() - arrived_ago_s(writer)
        attempt = Attempt(server, got.began_at, received_at, float(got.headers["x-deadline"]))
        if self.draining is not None and server == self.draining[0]:
            attempt.after_drain_s = got.began_at - self.draining[1]
        self.requests[got.headers["x-request-id"]].attempts.append(attempt)
        return attempt

    def statuses(self) -> Counter[str]:
        """Return how many requests ended in which way."""
        return Counter(
            str(each.answer.status) if each.answer else each.failure or "left"
            for each in self.requests.values()
        )


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """The shares of requests that servers answer 500, reset and turn away; the others are served.

    closing: whether each response ends its connection.
    """

    failed: float = 0.0
    reset: float = 0.0
    turned_away: float = 0.0
    closing: bool = False


def recording_server(record: Record, name: str, rng: random.Random, plan: ServerPlan) -> StubServer:
    """Return a server that records what it gets, and answers with the id of the request."""

    async def behave(_: StubServer, got: Received, writer: asyncio.StreamWriter) -> None:
        if got.target == HEALTH_CHECK_TARGET:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        attempt = record.add_attempt(name, got, writer)
        await asyncio.sleep(WORK_S * (0.5 + rng.random()))
        draw = rng.random()
        if draw < plan.failed:
            writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
        elif draw < plan.failed + plan.reset:
            writer.transport.abort()
        elif draw < plan.failed + plan.reset + plan.turned_away:
            attempt.may_have_run = False
            writer.write(b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            body = got.headers["x-request-id"].encode()
            extra = b"Connection: close\r\n" if plan.closing else b""
            writer.write(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (extra, len(body), body))

    return StubServer([behave])


@dataclass(slots=True)
class Traffic:
    """Clients that ask in turn until they are stopped.

    address: of the node; leave_share: the share of requests whose client leaves without waiting.
    """

    record: Record
    address: tuple[str, int]
    rng: random.Random
    deadline_s: float = 2.0
    pause_s: float = 0.02
    leave_share: float = 0.0
    stopping: bool = False
    only_kept: bool = False  # whether no client opens a connection any more
    _clients: tuple[int, int] = (0, 0)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self, kept: int, fresh: int) -> None:
        """Start clients that keep their connection, and clients that open one for each request."""
        self._clients = (kept, fresh)
        self.stopping = False
        self._tasks.clear()
        for index in range(kept + fresh):
            client = self._ask_in_turn(CLASSES[index % len(CLASSES)], fresh=index >= kept)
            self._tasks.append(asyncio.create_task(client))

    def restart(self) -> None:
        """Start as many clients as before, after a stop."""
        self.start(*self._clients)

    async def stop(self) -> None:
        """Wait until each client has the end of its last request."""
        self.stopping = True
        await asyncio.gather(*self._tasks)

    def end(self) -> None:
        """Let no client begin another request."""
        self.stopping = True

    async def _ask_in_turn(self, request_class: str, *, fresh: bool) -> None:
        client: Client | None = None
        while not self.stopping:
            await asyncio.sleep(self.pause_s * 2.0 * self.rng.random())
            is_new = client is None
            if client is None:
                if self.only_kept:
                    return
                client = await self._connect()
            if client is None:
                continue
            usable = await self._ask(client, request_class, is_new=is_new)
            if fresh or not usable:
                client.close()
                client = None
        if client is not None:
            client.close()

    async def _connect(self) -> Client | None:
        try:
            return await Client.connect(self.address)
        except OSError:
            self.record.connect_failures += 1
            return None

    async def _ask(self, client: Client, request_class: str, *, is_new: bool) -> bool:
        """Send one request and record its end; return whether the connection can be used again."""
        sent = self._new_record(request_class, fresh=is_new)
        await self._exchange(client, sent)
        if sent.answer is not None:
            return sent.answer.headers.get("connection") != "close"
        crossed_a_close = not is_new and not sent.attempts and sent.left_at is None
        if crossed_a_close:
            # The close may have crossed a request that was not read: it is sent once more (PROTOCOL).
            await self._send_again(sent)
        return False

    async def _send_again(self, sent: ClientRecord) -> None:
        client = await self._connect()
        if client is None:
            sent.unread = True
            return
        sent.failure = ""
        await self._exchange(client, sent)
        client.close()

    def _new_record(self, request_class: str, *, fresh: bool) -> ClientRecord:
        request_id = f"{next(_ids):016x}"
        sent = ClientRecord(request_id, request_class, self.deadline_s, time.monotonic(), fresh)
        self.record.requests[request_id] = sent
        return sent

    async def _exchange(self, client: Client, sent: ClientRecord) -> None:
        body = b"x" * 100 if sent.request_class != "look" else b""
        text = request(
            sent.request_class, request_id=sent.request_id, deadline=f"{self.deadline_s}", body=body
        )
        leaving = self.rng.random() < self.leave_share
        try:
            # Both times are taken after the system call, so that a pause of this process accuses nobody.
            client.writer.write(text)
            sent.sent_at = time.monotonic()
            if leaving:
                await asyncio.sleep(2.0 * WORK_S * self.rng.random())
                client.close()
                sent.left_at = time.monotonic()
                return
            timeout_s = self.deadline_s + ANSWER_SLACK_S
            sent.answer = await asyncio.wait_for(client.answer(), timeout_s)
            sent.answered_at = time.monotonic()
        except TimeoutError:
            sent.failure = "no answer"
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
            sent.failure = f"closed: {type(error).__name__}"


def violations(record: Record) -> list[str]:
    """Return one line for each request that breaks a rule."""
    lines = []
    for sent in record.requests.values():
        found = [*_answer_violations(sent), *_attempt_violations(sent)]
        lines += [f"{sent.request_class} {sent.request_id}: {text}" for text in found]
    return lines


def _answer_violations(sent: ClientRecord) -> Sequence[str]:
    if sent.left_at is not None or (sent.unread and not sent.attempts):
        return []
    if sent.answer is None:
        connection = "new" if sent.fresh else "kept"
        return [f"{sent.failure} on a {connection} connection after {len(sent.attempts)} attempts"]
    if sent.answer.status == 200 and sent.answer.body.decode() != sent.request_id:
        return ["the answer to another request"]
    return []


def _attempt_violations(sent: ClientRecord) -> Sequence[str]:
    lines = []
    runs = sum(attempt.may_have_run for attempt in sent.attempts)
    if sent.request_class == UNSAFE_CLASS and runs > 1:
        lines.append(f"ran {runs} times")
    refused = sent.answer is not None and sent.answer.status in (429, 503)
    if refused and sent.request_class == UNSAFE_CLASS and runs:
        lines.append("refused after it ran")
    for attempt in sent.attempts:
        left_s = sent.sent_at + sent.deadline_s - attempt.received_at
        if attempt.deadline_s > left_s + DEADLINE_SLACK_S:
            lines.append(f"a server was told {attempt.deadline_s:.3f} s of {left_s:.3f}")
        if attempt.after_drain_s > DRAIN_GRACE_S:
            lines.append(f"an attempt at a draining server, told {attempt.after_drain_s:.3f} s before")
        if sent.left_at is not None and attempt.began_at > sent.left_at + LEFT_SLACK_S:
            lines.append(f"an attempt {attempt.began_at - sent.left_at:.3f} s after the client has left")
    return lines


async def settle(seconds: float) -> None:
    """Let attempts that are under way arrive before the record is judged."""
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.sleep(seconds)
