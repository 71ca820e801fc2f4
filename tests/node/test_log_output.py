"""Tests that a node never waits for whoever reads its log, and that a flood does not fill it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from crowpost.log_output import MAX_BURST_LINES, MAX_LINE_BYTES, LogOutput
from tests.node.processes import node_configuration, node_environment, start_node
from tests.node.stubs import HOST, WAIT_TIMEOUT_S, Client, StubDiscovery, StubServer, reply, run


def log_record(text: str, level: int = logging.INFO) -> logging.LogRecord:
    return logging.LogRecord("test", level, "", 0, text, None, None)


@contextlib.contextmanager
def full_pipe() -> Iterator[tuple[int, int]]:
    """Return the ends of a pipe that holds as much as it can."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(write_end, b"x")
    os.set_blocking(write_end, True)
    try:
        yield read_end, write_end
    finally:
        os.close(read_end)
        os.close(write_end)


@contextlib.contextmanager
def full_disk() -> Iterator[tuple[int, int]]:
    """Return a file that can be read, and one on which there is no space."""
    descriptors = os.open(os.devnull, os.O_RDONLY), os.open("/dev/full", os.O_WRONLY)
    try:
        yield descriptors
    finally:
        for descriptor in descriptors:
            os.close(descriptor)


@pytest.mark.parametrize("log", [full_pipe, full_disk])
def test_a_node_serves_and_ends_while_nothing_can_be_written_to_its_log(log: object, tmp_path: Path) -> None:
    """Guards against an event loop that waits for the reader of standard error."""

    async def main(log_descriptor: int) -> None:
        async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server)))
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                listener.listen(64)
                environment = {
                    **node_environment(discovery, config),
                    "NODE_ACCEPT_FD": str(listener.fileno()),
                }
                process = await start_node(environment, (listener.fileno(),), log=log_descriptor)
                client = await Client.connect(listener.getsockname())
                assert (await client.ask("look")).body == b"served"
                process.send_signal(signal.SIGTERM)
                client.close()
                assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0

    assert callable(log)
    with log() as (_, write_end):
        run(main(write_end))


def test_the_number_of_dropped_lines_is_logged_once_the_log_is_read_again() -> None:
    with full_pipe() as (read_end, write_end):
        output = LogOutput(write_end)
        for _ in range(3):
            output.handle(log_record("lost", logging.WARNING))
        os.set_blocking(read_end, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.read(read_end, 1 << 16)
        output.handle(log_record("kept", logging.WARNING))
        assert os.read(read_end, 1 << 16) == b"3 lines of the log were dropped\nkept\n"
        assert output.dropped == 3


def test_a_line_that_was_written_in_part_is_completed_before_the_next(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write = os.write
    with (tmp_path / "log").open("wb") as file:
        output = LogOutput(file.fileno())
        monkeypatch.setattr(os, "write", lambda descriptor, data: write(descriptor, data[:4]))
        output.handle(log_record("first line", logging.WARNING))
        monkeypatch.setattr(os, "write", write)
        output.handle(log_record("second", logging.WARNING))
    assert (tmp_path / "log").read_text() == "first line\nsecond\n"


def test_a_line_is_cut_to_what_a_pipe_takes_at_once() -> None:
    read_end, write_end = os.pipe()
    LogOutput(write_end).handle(log_record("a" * 10_000 + "end"))
    line = os.read(read_end, 1 << 16)
    assert len(line) == MAX_LINE_BYTES and line.startswith(b"aaa") and line.endswith(b"end\n")
    os.close(read_end)
    os.close(write_end)


def test_the_rate_of_informational_lines_is_limited_and_warnings_are_kept(tmp_path: Path) -> None:
    with (tmp_path / "log").open("wb") as file:
        output = LogOutput(file.fileno())
        for _ in range(int(2 * MAX_BURST_LINES)):
            output.handle(log_record("often"))
        output.handle(log_record("seldom", logging.WARNING))
    lines = (tmp_path / "log").read_text().splitlines()
    assert len(lines) < 1.2 * MAX_BURST_LINES
    assert lines[-1] == "seldom"
