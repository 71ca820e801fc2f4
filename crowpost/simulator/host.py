"""Run many independent instances of the decision module for the simulator."""

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
    """The instances of one process; they share only the decoder of the wire protocol."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._instances: dict[int, Balancer] = {}

    def answer(self, body: bytes, count: int, now: float) -> bytes:
        """Return the reply to one batch; raise WireError if it is invalid."""
        records: list[bytes] = []
        for node, event in self._decoder.records(body, count):
            if isinstance(event, Stop):
                self._instances.pop(node, None)
            else:
                records += self._handle(node, event, now)
        return reply(records)

    def _handle(self, node: int, event: Event | Start, now: float) -> list[bytes]:
        """Return the reply records for an event of one instance."""
        if not isinstance(event, Start) and node not in self._instances:
            raise WireError(f"event for instance {node}, which is not running")
        try:
            if isinstance(event, Start):
                self._instances[node] = Balancer(event.settings, event.seed)
                return []
            actions = self._instances[node].handle(event, now)
        except Exception as error:  # noqa: BLE001  # Reported to the simulator as a fault of the instance
            return [encode_fault(node, f"{type(error).__name__}: {error}")]
        return [encode(node, action) for action in actions]


def _read(source: BinaryIO, size: int) -> bytes:
    """Return `size` bytes, or fewer if the input ends."""
    chunks: list[bytes] = []
    remaining = size
    while remaining:
        chunk = source.read(remaining)
        if not chunk:
            break
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raise WireError if the input is invalid."""
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
    """Return exit code 0 at the end of input, or 2 and print one line on standard error for invalid input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BrokenPipeError:
        return EXIT_BROKEN_PIPE
    return 0
