"""Tests that an accepted request never needs more bytes of the budget than were reserved for it."""

from __future__ import annotations

import asyncio

import pytest

from crowpost.node.byte_budget import REQUEST_FRACTION, RequestReservation
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.request import ClientRequest
from crowpost.node.http.message import MAX_BODY
from tests.node.stubs import WAIT_TIMEOUT_S, RunningNode, StubServer, reply, request, row, run, running_node
from tests.node.test_races import HeldDials

BODY = bytes(range(256)) * (4 * MAX_BODY // 256)
LONG_TARGET = "/api/batches?to=" + "0" * 2000
SENT_FIRST = len(request("book", target=LONG_TARGET, body=BODY)) - MAX_BODY


class ExhaustedBudget:
    """Leaves less than one head of the requests' bytes free as soon as a request has been accepted."""

    def __init__(self, running: RunningNode) -> None:
        self._budget = running.node._listener.budget
        self._accept = running.node._listener._on_request
        self.filler = RequestReservation(self._budget)
        self.accepted = asyncio.Event()
        running.node._listener._on_request = self._on_request

    def _on_request(self, accepted: ClientRequest, exchange: Exchange) -> None:
        self._accept(accepted, exchange)
        free = int(REQUEST_FRACTION * self._budget.limit) - self._budget.reserved_by_requests
        assert self.filler.try_resize(free - 10)
        self.accepted.set()


@pytest.mark.parametrize("waits_for", ["connection", "nothing"])
@pytest.mark.parametrize(("status", "expected"), [("200 OK", 200), ("500 Broken", 502)])
def test_an_accepted_upload_is_answered_when_no_bytes_are_left(
    status: str, expected: int, waits_for: str
) -> None:
    """Guards against a second reservation for an accepted request, which failed and left it unanswered."""

    async def main() -> None:
        async with StubServer([reply(status)]) as server, running_node(row("a", server.address)) as running:
            dials = HeldDials(running)
            if waits_for == "nothing":
                dials.release.set()
            budget = ExhaustedBudget(running)
            client = await running.client()
            text = request("book", target=LONG_TARGET, body=BODY)
            client.writer.write(text[:SENT_FIRST])
            await asyncio.wait_for(budget.accepted.wait(), WAIT_TIMEOUT_S)
            await dials.begun()
            dials.release.set()
            client.writer.write(text[SENT_FIRST:])
            assert (await client.answer()).status == expected
            assert [received.body for received in server.received] == [BODY]

    run(main())


def test_an_error_within_an_accepted_upload_is_its_only_response() -> None:
    """Guards against an early response behind the exchange of the same request, which waits for ever."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            dials = HeldDials(running)
            client = await running.client()
            chunked = request("book", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n")
            client.writer.write(chunked + b"%x\r\n%s\r\n" % (len(BODY), BODY))
            await dials.begun()
            dials.release.set()
            client.writer.write(b"no chunk\r\n")
            assert (await client.answer()).status == 400
            assert await client.ended()
            assert not server.received

    run(main())
