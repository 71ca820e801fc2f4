"""Stand-ins for the cases 6 to 10: clients, servers, discovery and the platform, by the operators' pages.

A case builds a small deployment on loopback from these parts.  The programs under test run as processes of
their own, started with the commands of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[1]
PYTHON = str(ROOT / ".venv" / "bin" / "python")
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 20.0
MAX_LATE_S = 0.002  # a second answer that this process would send later than this is left out
LOG_LINES = 40  # the last lines of each program's log that go into the record
# Whether the disruption of the case takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class Record:
    """The file `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.add(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Program:
    """A program of the project, as a process of its own; its log goes to a file."""

    def __init__(self, name: str, record: Record, log: Path) -> None:
        self.name = name
        self.log = log
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, command: list[str], environment: Mapping[str, str] | None = None) -> None:
        """Start the program from the root of the repository."""
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env={**os.environ, **(environment or {})}, stdout=log, stderr=log
            )
        self._record.add(f"{self.name} started, pid {self._process.pid}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the program still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    def running(self) -> bool:
        """Return whether the program runs."""
        return self._process is not None and self._process.poll() is None

    async def kill(self) -> None:
        """End the program outright, and wait until it has ended."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            await asyncio.to_thread(self._process.wait)
            self._record.add(f"{self.name} killed")

    def log_lines(self) -> list[str]:
        """Return what the program has logged."""
        return self.log.read_text(errors="replace").splitlines() if self.log.exists() else []


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, in the form of the configuration file."""
    classes = [
        {"name": "status", "effect": "safe", "worth": 2.0},
        {"name": "send", "effect": "unsafe", "worth": 5.0},
        {"name": "batch-send", "effect": "keyed", "worth": 10.0, "group": "cell", "windowMs": 10_000.0},
    ]
    common = {"aimMs": 2500.0, "deadlineMs": 6000.0, "lateShare": 0.0, "stream": False, "group": "all"}
    result = {
        "azs": ["caerdydd"],
        "balancers": 1,
        "ordinal": 0,
        "locality": 0,
        "stage": 0,
        "layers": ["front"],
        "models": ["front-mid"],
        "registryMode": "pushed",
        "tickMs": 5.0,
        "weights": "off",
        "worthBy": "work",
        "overShareWorth": 0.05,
        "guarantees": {
            "answerSlackMs": 20.0,
            "coldMs": 8600.0,
            "fallMultiple": 4.0,
            "mustAskInMs": 10_000.0,
            "overloadForMs": 3000.0,
            "startCapacity": 0.31,
            "stopSendingWithinMs": 250.0,
        },
        "policyLimits": {
            "cancel": True,
            "connIdleMs": 30_000.0,
            "connectTimeoutMs": 250.0,
            "maxRetryAfterMs": 2000.0,
            "mayDuplicate": True,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 1,
            "tryLimit": 5,
        },
        "loadInfo": {"columns": ["outstanding", "backlog"], "how": "off"},
        "profiles": [{"windowMs": 5000.0, **common, **each} for each in classes],
        "tenants": [],
    }
    result.update(changes)
    return result


class Node:
    """One node, which keeps its name, address and files over restarts."""

    def __init__(self, name: str, folder: Path, record: Record, discovery: str) -> None:
        self.name = name
        self.port = free_port()
        self.program = Program(name, record, folder / f"{name}.log")
        self.environment: dict[str, str] = {}
        self.limits: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.settings = settings()
        self._folder = folder
        self._discovery = discovery
        self._starts = 0

    def start(self, known: Mapping[str, Any]) -> None:
        """Start the `run` command of the deploy file.  known: the list as the platform passes it."""
        self._starts += 1
        config = self._folder / f"{self.name}-{self._starts}.json"
        address = f"{HOST}:{self.port}"
        content = {
            "name": self.name,
            "listen": address,
            "discovery": self._discovery,
            "seed": f"{self._starts:x}",
            "limits": self.limits,
            "known": known,
            "settings": self.settings,
        }
        config.write_text(json.dumps(content))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "NODE_NAME": self.name,
            "NODE_LISTEN": address,
            "NODE_DISCOVERY": self._discovery,
            "NODE_CONFIG": str(config),
            **self.environment,
        }
        self.program.start(["/bin/sh", "-c", run], environment)

    async def is_ready(self) -> bool:
        """Return whether `GET /ready` is answered with 200."""
        client = Client(self.port)
        try:
            answer = await client.send("GET", "/ready", {}, b"", 2.0)
        finally:
            client.close()
        return answer is not None and answer.status == 200

    async def start_and_wait(self, known: Mapping[str, Any]) -> None:
        """Start, and wait until the node is ready; raise CannotRunError if it does not become ready."""
        self.start(known)
        if not await self.wait_ready(READY_S):
            raise CannotRunError(f"{self.name} did not become ready")

    async def wait_ready(self, limit_s: float) -> bool:
        """Return whether the node became ready within the limit."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


# ---------------------------------------------------------------- discovery


class Discovery:
    """The agent of discovery on the node's machine: whole lists, and watches that tell changes."""

    def __init__(self, generation: int = 41) -> None:
        self.generation = generation
        self.address = ""
        self.opened = asyncio.Event()  # set by each new watch
        self._first = generation
        self._rows: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self, rows: list[dict[str, Any]]) -> None:
        """Listen, with these servers listed."""
        self._rows = {row["instanceId"]: row for row in rows}
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self._rows.values())}

    def change(self, row: dict[str, Any]) -> None:
        """Change one entry, and tell it on every open watch at once."""
        self.generation += 1
        if row["lifecycle"] == "DELETED":
            self._rows.pop(row["instanceId"], None)
        else:
            self._rows[row["instanceId"]] = row
        self._changes.append((self.generation, row))
        line = {"generation": self.generation, "reset": False, "instances": [row]}
        for watch in self._watches:
            _write_chunk(watch, json.dumps(line).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            if "watch=1" in target:
                await self._watch(int(target.partition("from=")[2].partition("&")[0] or 0), writer)
            else:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        self._watches.discard(writer)
        writer.close()

    async def _watch(self, since: int, writer: asyncio.StreamWriter) -> None:
        """Tell the changes after a version, or else the whole list; then an empty line every 2 s."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if not self._first <= since <= self.generation:
            _write_chunk(writer, json.dumps(self.whole()).encode() + b"\n")
        elif rows := {row["instanceId"]: row for number, row in self._changes if number > since}:
            line = {"generation": self.generation, "reset": False, "instances": list(rows.values())}
            _write_chunk(writer, json.dumps(line).encode() + b"\n")
        self._watches.add(writer)
        self.opened.set()
        while not writer.is_closing():
            await writer.drain()
            await asyncio.sleep(2.0)
            _write_chunk(writer, b"\n")


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


# ---------------------------------------------------------------- HTTP


@dataclass
class HttpMessage:
    """A request or an answer that has arrived as a whole."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one message; raise IncompleteReadError if the stream ends before its end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return HttpMessage(start, headers, await _read_chunks(reader))
    return HttpMessage(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    while (await reader.readuntil(b"\r\n")) != b"\r\n":
        pass
    return b"".join(parts)


class Client:
    """A client's connection, which is kept and opened again when it has ended."""

    def __init__(self, port: int, record: Record | None = None) -> None:
        self._port = port
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes, limit_s: float
    ) -> HttpMessage | None:
        """Return the answer; None if there was none in time or the connection ended without one."""
        request = f"{headers.get('X-Class', path)} {headers.get('X-Request-Id', '')}"
        self._note(f"client sends {request}")
        try:
            async with asyncio.timeout(limit_s):
                answer = await self._send(method, path, headers, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._note(f"client got no answer to {request}: {error!r}")
            self.close()
            return None
        self._note(f"client got {answer.status} {answer.body[:60]!r} to {request}")
        return answer

    def _note(self, text: str) -> None:
        if self._record is not None:
            self._record.add(text)

    async def _send(self, method: str, path: str, headers: Mapping[str, str], body: bytes) -> HttpMessage:
        writer = await self.open()
        assert self._reader is not None
        lines = [f"{method} {path} HTTP/1.1", "Host: api.internal"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await self.read()

    async def open(self) -> asyncio.StreamWriter:
        """Return the open connection; open one if there is none."""
        if self.writer is None:
            self._reader, self.writer = await asyncio.open_connection(HOST, self._port)
        return self.writer

    async def read(self) -> HttpMessage:
        """Read one answer, and close the connection if it says so."""
        assert self._reader is not None
        answer = await read_message(self._reader)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.writer = None
        self._reader = None


Work = Callable[["Server", HttpMessage], Awaitable[bytes]]


@dataclass
class Server:
    """A server: it runs each request that has come whole, and answers it with a body made for it."""

    name: str
    work_s: float = 0.02
    port: int = 0
    # Seconds until the answer is sent a second time; called for each answer, None for never.
    second_answer: Callable[[], float | None] = lambda: None
    most: int = 1000  # requests that it holds; it turns further ones away
    keep_alive: bool = True
    record: Record | None = None
    second_answers: int = 0
    _held: int = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = server.sockets[0].getsockname()[1]

    def row(self, lifecycle: str = "SERVING") -> dict[str, Any]:
        """Return its entry in the list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "caerdydd",
            "machineType": "front-mid",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                answer = await self._answer(await read_message(reader))
                writer.write(answer)
                await writer.drain()
                delay_s = self.second_answer()
                if delay_s is not None:
                    due = time.monotonic() + delay_s
                    asyncio.get_running_loop().call_later(delay_s, self._repeat, writer, answer, due)
                if not self.keep_alive:
                    break
        writer.close()

    def _repeat(self, writer: asyncio.StreamWriter, answer: bytes, due: float) -> None:
        """Send an answer a second time, unless this process is late itself."""
        if not writer.is_closing() and time.monotonic() < due + MAX_LATE_S:
            self.second_answers += 1
            self._note("sends an answer a second time")
            writer.write(answer)

    def _note(self, text: str) -> None:
        if self.record is not None:
            self.record.add(f"{self.name} {text}")

    async def _answer(self, request: HttpMessage) -> bytes:
        path = request.start.split(" ")[1]
        if path in ("/health", "/status/load"):
            return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        request_id = request.headers.get("x-request-id", "")
        if self._held >= self.most:
            self._note(f"turns away {request_id}")
            return b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        self._note(f"runs {request_id}")
        self._held += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._held -= 1
        body = f"answer to {request_id}".encode()
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (close, len(body), body)


# ---------------------------------------------------------------- running a case

Case = Callable[[Path, Record, list[Program]], Awaitable[bool]]


async def _run(case: Case, record: Record, limit_s: float) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    programs: list[Program] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            async with asyncio.timeout(limit_s):
                broken = await case(Path(folder), record, programs)
        except CannotRunError as error:
            record.say(f"the case could not run: {error}")
            return NOT_RUN
        except TimeoutError:
            record.say(f"the case could not run: not finished after {limit_s:g} s")
            return NOT_RUN
        finally:
            for program in programs:
                await program.kill()
                for line in program.log_lines()[-LOG_LINES:]:
                    record.add(f"log of {program.name}: {line}")
    record.say("the rule was BROKEN" if broken else "the rule held")
    return BROKEN if broken else HELD


def main(file: str, case: Case, limit_s: float = 115.0) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    case: returns whether the rule was broken; it appends each program that it starts to the list.
    """
    record = Record(Path(file).resolve().parent)
    record.add(f"trouble: {TROUBLE}")
    code = NOT_RUN
    try:
        code = asyncio.run(_run(case, record, limit_s))
    except (Exception, asyncio.CancelledError):
        logging.exception("the case could not run")
    record.close()
    sys.stdout.flush()
    sys.stderr.flush()
    # Skips the destructors of connections whose event loop has ended.
    os._exit(code)
