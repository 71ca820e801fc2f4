"""The protocol core on sockets: UDP datagrams and TCP frames, at one address.

The transport takes no decisions: it passes received messages to the core, and performs the core's output.
"""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
import socket
import time
from collections.abc import Callable
from typing import Any

from crowpost.membership import counters, sync
from crowpost.membership.configuration import MembershipConfig
from crowpost.membership.core import MembershipCore, Output
from crowpost.membership.errors import MembershipError, SyncRejectedError
from crowpost.membership.framing import FRAME_TIMEOUT_S, read_frame, stream_bytes, write_frame
from crowpost.membership.model import Phase, Profile, StateChange, split_address
from crowpost.membership.snapshot import view_snapshot
from crowpost.membership.wire import MessageKind, cluster_tag, decode_frame, encode_frame, pack

log = logging.getLogger(__name__)

MAX_INBOUND_CONNECTIONS = 16  # Handled concurrently; further connections wait for a slot
MAX_WAITING_CONNECTIONS = 8  # More are closed at once: each holds a descriptor and received bytes
MAX_LARGE_FRAMES = 1  # Read concurrently, as each takes megabytes
MAX_OUTBOUND_SYNCS = 4  # Concurrent ones; more are dropped, since a later sync brings the same updates
LEAVE_DELAY_S = 0.3  # Time for a leave message to be passed on
MAX_BIND_ATTEMPTS = 20  # Attempts to find a port that is free on both UDP and TCP
RECEIVE_BUFFER_BYTES = 1 << 18  # Buffers datagrams while this process gets little CPU time
INSTANCE_ID_BITS = 32
SEED_BITS = 64


class MembershipTransport:
    """One member on the running event loop.

    `on_change` is called with the changes of the view after each processing step that made any.
    """

    def __init__(
        self, config: MembershipConfig, on_change: Callable[[list[StateChange]], None] | None = None
    ) -> None:
        self._config = config
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._host = ""
        self._datagrams: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ms = float("inf")
        self._syncs: set[asyncio.Task[None]] = set()
        self._inbound_slots = asyncio.Semaphore(MAX_INBOUND_CONNECTIONS)
        self._inbound_count = 0  # Connections that are handled or wait
        self._large_frame_slots = asyncio.Semaphore(MAX_LARGE_FRAMES)
        self._core: MembershipCore | None = None
        self.leave_requested = asyncio.Event()  # Set by a leave request of an operator

    @property
    def core(self) -> MembershipCore:
        """The protocol core; available after `start`."""
        assert self._core is not None
        return self._core

    def now(self) -> float:
        """Return the monotonic time in ms."""
        return 1000.0 * self._loop.time()

    async def start(self, facts: dict[str, str] | None = None, incarnation: int = 1) -> str:
        """Bind, begin to join, and return the bound address; raise OSError if it cannot be bound."""
        config = self._config
        self._host, port = split_address(config.listen)
        await self._bind(self._host, port)
        assert self._datagrams is not None
        host, port = self._datagrams.get_extra_info("sockname")[:2]
        bound = f"{host}:{port}"
        profile = Profile(
            config.name,
            config.advertise or bound,
            config.zone,
            config.role,
            started_s=round(time.time(), 3),
            facts={**(facts or {}), **config.facts},
        )
        self._core = MembershipCore(
            config.cluster,
            profile,
            tuple(address for address in config.join if address != bound),
            seed=secrets.randbits(SEED_BITS),
            instance_id=secrets.randbits(INSTANCE_ID_BITS),
            now=self.now(),
            settings=config.protocol,
            incarnation=incarnation,
        )
        self._log_event("start", self.now(), listens=bound, address=profile.address, cluster=config.cluster)
        self._process_output()
        return bound

    async def _bind(self, host: str, port: int) -> None:
        """Bind the same port on UDP and TCP; port 0 selects any port that is free on both."""
        for attempt in range(1, MAX_BIND_ATTEMPTS + 1):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            try:
                sock.bind((host, port))
                bound_port = sock.getsockname()[1]
                server = await asyncio.start_server(
                    self._handle_connection, host, bound_port, reuse_address=True
                )
            except OSError:
                sock.close()
                if port or attempt == MAX_BIND_ATTEMPTS:
                    raise
                continue
            self._server = server
            self._datagrams, _ = await self._loop.create_datagram_endpoint(
                lambda: _DatagramProtocol(self), sock=sock
            )
            return

    # ------------------------------------------------------------ input and output of the core

    def handle_datagram(self, data: bytes) -> None:
        """Pass a received datagram to the core."""
        self.core.handle_datagram(data, self.now())
        self._process_output()

    def announce_phase(self, phase: Phase, reason: str = "") -> None:
        """Announce the phase of this process."""
        self.core.announce_phase(phase, self.now(), reason)
        self._process_output()

    def _tick(self) -> None:
        self._timer = None
        self._timer_due_ms = float("inf")
        self.core.tick(self.now())
        self._process_output()

    def _process_output(self) -> None:
        """Perform the output of the core, and set the timer to its next due time."""
        output = self.core.take_output()
        for address, data in output.datagrams:
            self._send(address, data)
        for address in output.sync_addresses:
            self._start_sync(address)
        self._log_output(output)
        self._set_timer(self.core.next_due_ms())
        if output.changes and self._on_change is not None:
            self._on_change(output.changes)

    def _send(self, address: str, data: bytes) -> None:
        if self._datagrams is None:
            return
        try:
            self._datagrams.sendto(data, split_address(address))
        except (OSError, ValueError):
            # The address is invalid; probes of the member will fail.
            self.core.counts[counters.UNSENDABLE] += 1

    def _set_timer(self, due_ms: float) -> None:
        if self._datagrams is None or due_ms >= self._timer_due_ms:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._loop.call_at(due_ms / 1000.0, self._tick)

    # ------------------------------------------------------------ sync

    def _start_sync(self, address: str) -> None:
        if len(self._syncs) < MAX_OUTBOUND_SYNCS:
            task = self._loop.create_task(self._sync(address))
            self._syncs.add(task)
            task.add_done_callback(self._syncs.discard)

    async def _sync(self, address: str) -> None:
        """Sync with another member, as the initiator."""
        try:
            async with asyncio.timeout(FRAME_TIMEOUT_S):
                host, port = split_address(address)
                reader, writer = await asyncio.open_connection(host, port, local_addr=(self._host, 0))
        except (OSError, TimeoutError):
            self.core.counts[counters.SYNCS_FAILED] += 1
            return
        try:
            self._write(writer, sync.make_request(self.core))
            response = await self._read(reader)
            self._write(writer, sync.handle_response(self.core, response, self.now()))
            self._process_output()
            await self._read(reader)  # The responder confirms that it has applied the completion
        except SyncRejectedError as error:
            self.core.counts[counters.SYNCS_REJECTED] += 1
            self._log_event("refused", self.now(), address=address, text=str(error))
        except (OSError, EOFError, TimeoutError, MembershipError):
            self.core.counts[counters.SYNCS_FAILED] += 1
        finally:
            writer.close()

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a connection of another process, unless there are too many."""
        if self._inbound_count >= MAX_INBOUND_CONNECTIONS + MAX_WAITING_CONNECTIONS:
            self.core.counts[counters.SYNCS_REJECTED] += 1
            writer.transport.abort()
            return
        self._inbound_count += 1
        try:
            async with self._inbound_slots:
                await self._answer_or_drop(reader, writer)
        finally:
            self._inbound_count -= 1
            writer.close()

    async def _answer_or_drop(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a connection of another process; an error ends only this connection."""
        try:
            await self._answer(reader, writer)
        except (OSError, EOFError, TimeoutError):
            pass
        except MembershipError:
            self.core.counts[counters.FRAMES_DROPPED] += 1
        except Exception:  # No input on one connection may end the process
            log.exception("unexpected error on a membership connection")

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        frame = await self._read(reader)
        kind, _ = decode_frame(frame, None)
        if kind is MessageKind.VIEW:
            self._write(writer, self._encode(MessageKind.VIEW, view_snapshot(self.core, self.now())))
        elif kind is MessageKind.LEAVE:
            decode_frame(frame, cluster_tag(self.core.cluster))
            self.leave("asked to leave")
            self.leave_requested.set()
            self._write_done(writer)
        else:
            await self._answer_sync(frame, reader, writer)
        async with asyncio.timeout(FRAME_TIMEOUT_S):
            await writer.drain()

    async def _answer_sync(
        self, frame: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sync with another member, as the responder."""
        response = sync.handle_request(self.core, frame, self.now())
        self._write(writer, response)
        self._process_output()
        kind, _ = decode_frame(response, None)
        if kind is MessageKind.SYNC_RESPONSE:
            sync.handle_completion(self.core, await self._read(reader), self.now())
            self._process_output()
            self._write_done(writer)

    def _encode(self, kind: MessageKind, value: Any) -> bytes:
        return encode_frame(kind, cluster_tag(self.core.cluster), pack(value))

    def _write_done(self, writer: asyncio.StreamWriter) -> None:
        self._write(writer, self._encode(MessageKind.DONE, [self.core.local_member.name]))

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        self.core.counts[counters.BYTES_OUT] += stream_bytes(frame)
        write_frame(writer, frame)

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        frame = await read_frame(reader, self._large_frame_slots)
        self.core.counts[counters.BYTES_IN] += stream_bytes(frame)
        return frame

    # ------------------------------------------------------------ end

    def leave(self, reason: str = "in order") -> None:
        """Announce that this process leaves, so that the others do not declare it dead when it exits."""
        self.core.leave(self.now(), reason)
        self._process_output()

    async def close(self, reason: str = "in order") -> None:
        """Leave, wait until the leave message has been passed on, and close."""
        self.leave(reason)
        await asyncio.sleep(LEAVE_DELAY_S)
        self.abort()

    def abort(self) -> None:
        """Close at once, as a killed process would."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
            self._datagrams = None
        for task in self._syncs:
            task.cancel()

    # ------------------------------------------------------------ log

    def _log_output(self, output: Output) -> None:
        for text in output.log_messages:
            self._log_event("note", self.now(), text=text)
        for change in output.changes:
            self._log_event(
                "change",
                change.at_ms,
                about=change.name,
                before=change.before,
                after=change.after,
                by=change.origin,
                why=change.reason,
                incarnation=change.incarnation,
                birth=f"{change.instance_id:08x}",
            )

    def _log_event(self, event: str, at_ms: float, **values: object) -> None:
        """Log one JSON line; `at_ms` is the monotonic clock that all processes of a machine share."""
        line = {"event": event, "at_ms": round(at_ms, 1), "member": self._config.name, **values}
        log.info("members %s", json.dumps(line))


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, transport: MembershipTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:  # noqa: ARG002 - asyncio
        self._transport.handle_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable address: the probe that is not answered shows it."""
