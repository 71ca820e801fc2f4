"""Host many independent instances of the decision module on the simulator's wire."""

from __future__ import annotations

import sys
from typing import BinaryIO

from crowpost.decision_api import Event
from crowpost.decisions import Balancer
from crowpost.simulator.decoding import Decoder, Start, Stop
from crowpost.simulator.encoding import encode, encode_fault, reply
from crowpost.simulator.framing import BATCH_HEADER, WireError

EXIT_BAD_INPUT = 2
EXIT_BROKEN_PIPE = 1


class Host:
    """The instances of one process; they share nothing but the reading of the wire."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Balancer] = {}

    def answer(self, body: bytes, count: int, now: float) -> bytes:
        """Return the reply to one batch; raise WireError where it cannot be read."""
        records: list[bytes] = []
        for node, event in self._decoder.records(body, count):
            if isinstance(event, Stop):
                self._instances.pop(node, None)
            else:
                records += self._handle(node, event, now)
        return reply(records)

    def _handle(self, node: int, event: Event | Start, now: float) -> list[bytes]:
        """Return the records that follow from an event of one instance."""
        if not isinstance(event, Start) and node not in self._instances:
            raise WireError(f"an event for instance {node}, which has not started")
        try:
            if isinstance(event, Start):
                self._instances[node] = Balancer(event.settings, event.seed)
                return []
            actions = self._instances[node].handle(event, now)
        except Exception as error:  # noqa: BLE001  # an instance's fault is reported on the wire
            return [encode_fault(node, f"{type(error).__name__}: {error}")]
        return [encode(node, action) for action in actions]


def _read(source: BinaryIO, size: int) -> bytes:
    """Return so many bytes, or less where the input ends."""
    parts: list[bytes] = []
    left = size
    while left:
        part = source.read(left)
        if not part:
            break
        parts.append(part)
        left -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raise WireError where it cannot be read."""
    host = Host()
    while header := _read(source, BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise WireError("the input ends inside a header")
        length, now, count = BATCH_HEADER.unpack(header)
        body = _read(source, length)
        if len(body) < length:
            raise WireError("the input ends inside a batch")
        sink.write(host.answer(body, count, now))
        sink.flush()


def main(program: str) -> int:
    """Return 0 at the end of input, 2 with one plain line on standard error for bad input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BrokenPipeError:
        return EXIT_BROKEN_PIPE
    return 0
