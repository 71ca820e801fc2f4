"""Tests of a watch of the endpoint list: its bytes may arrive in pieces of any size."""

from __future__ import annotations

import json
import time
from unittest.mock import Mock

import pytest

from crowpost.node.discovery.client import FIRST_LINE_TIMEOUT_S
from crowpost.node.discovery.watch import ObjectAssembler, Watch

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# A list of about a thousand endpoints.
LIST_BYTES = 200_000
READ_BYTES = 256 * 1024


def connected_watch(lines: list[bytes]) -> Watch:
    """Return a watch that appends its lines to this list."""
    watch = Watch(b"/", b"agent", lambda _, line: lines.append(line), lambda _: None)
    watch.connection_made(Mock())
    return watch


def chunked(text: bytes, size: int) -> bytes:
    pieces = (text[i : i + size] for i in range(0, len(text), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)


@pytest.mark.parametrize("size", [1, 64, 70_000])
def test_a_list_in_small_chunks_is_read_within_the_time_for_the_first_line(size: int) -> None:
    """Guards against copying the whole line again for each chunk, which holds up the node for minutes."""
    lines: list[bytes] = []
    watch = connected_watch(lines)
    expected = [b"x" * LIST_BYTES, b"", b"second"]
    text = HEAD + chunked(b"\n".join(expected) + b"\nrest", size)
    began = time.process_time()
    for i in range(0, len(text), READ_BYTES):
        watch.data_received(text[i : i + READ_BYTES])
    assert time.process_time() - began < FIRST_LINE_TIMEOUT_S
    assert lines == expected


@pytest.mark.parametrize("step", [1, 3, 1000])
def test_lines_are_the_same_for_any_size_of_a_read(step: int) -> None:
    lines: list[bytes] = []
    watch = connected_watch(lines)
    text = HEAD + chunked(b"first\n\nsecond\n", 4) + b"0\r\n\r\n"
    for i in range(0, len(text), step):
        watch.data_received(text[i : i + step])
    assert lines == [b"first", b"", b"second"]


def test_a_list_with_an_endpoint_on_each_line_is_parsed_once() -> None:
    """Guards against a list that is parsed again for each line, which holds up the node."""
    rows = [{"instanceId": f"s-{index}}}{{", "hostPort": "127.0.0.1:1"} for index in range(3200)]
    text = json.dumps({"generation": 2, "instances": rows}).replace("}, {", "}\n,\n{")
    assembler = ObjectAssembler()
    began = time.process_time()
    *incomplete, complete = [assembler.take(line) for line in text.encode().split(b"\n")]
    assert time.process_time() - began < FIRST_LINE_TIMEOUT_S
    assert incomplete == [None] * (2 * len(rows) - 2)
    assert complete["instances"] == rows
    assert not assembler.in_object()
