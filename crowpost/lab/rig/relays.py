"""Relays on loopback: one in front of each process, on UDP and TCP, injects the faults of the links to it.

Every process has its own address in 127.1.0.0/16, and other processes are given the address of its relay in
127.2.0.0/16.  A process also sends from its own address, so a relay knows the sender.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from crowpost.lab.rig.plan import ScheduledFault

MAX_REPLAYED_DATAGRAMS = 2_000  # datagrams kept for replay
READ_BYTES = 4_096
BLOCKED_CONNECTION_S = 10.0  # duration for which a connection over a blocked link stays open without data


@dataclass(slots=True)
class Link:
    """Faults that are active on a directed link.

    loss, duplicate and reorder are shares of datagrams; bytes_per_s is 0 for an unlimited link.
    free_at_ms: when a slow link has sent all that is queued, in ms of the event loop's clock.
    """

    blocked: bool = False
    loss: float = 0.0
    delay_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_ms: float = 0.0
    bytes_per_s: float = 0.0
    free_at_ms: float = 0.0


def own_ip(index: int) -> str:
    """Return the address that a process listens on and sends from."""
    return f"127.1.{index >> 7}.{(index & 127) + 1}"


def relay_ip(index: int) -> str:
    """Return the address that other processes are given for a process: that of its relay."""
    return f"127.2.{index >> 7}.{(index & 127) + 1}"


class Relays:
    """All relays of a run.

    by_ip: names of processes by the address that they send from.
    targets: where each process listens.
    addresses: the relay of each process.
    recent_datagrams: recent datagrams with their receivers.
    """

    def __init__(self, names: list[str], seed: int) -> None:
        self.names = names
        self.rng = Random(f"relays {seed}")
        self.by_ip = {own_ip(i): name for i, name in enumerate(names)}
        self.targets: dict[str, tuple[str, int]] = {}
        self.addresses: dict[str, str] = {}
        self.recent_datagrams: deque[tuple[str, bytes]] = deque(maxlen=MAX_REPLAYED_DATAGRAMS)
        self._active: list[ScheduledFault] = []
        self._links: dict[tuple[str, str], Link] = {}
        self._healthy_link = Link()
        self._sockets: dict[str, asyncio.DatagramTransport] = {}
        self._servers: list[asyncio.Server] = []
        self._loop = asyncio.get_running_loop()

    async def open(self) -> None:
        """Bind every relay, each to the same port for UDP and TCP."""
        for index, name in enumerate(self.names):
            for _ in range(20):
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                sock.bind((relay_ip(index), 0))
                port = sock.getsockname()[1]
                try:
                    server = await asyncio.start_server(self._connection_handler(name), relay_ip(index), port)
                except OSError:
                    sock.close()
                    continue
                break
            else:
                raise OSError(f"no port for the relay of {name}")
            self._servers.append(server)
            transport, _ = await self._loop.create_datagram_endpoint(self._datagram_relay(name), sock=sock)
            self._sockets[name] = transport
            self.addresses[name] = f"{relay_ip(index)}:{port}"

    def close(self) -> None:
        """Stop listening on all addresses."""
        for server in self._servers:
            server.close()
        for transport in self._sockets.values():
            transport.close()

    # ------------------------------------------------------------ links

    def begin(self, scheduled: ScheduledFault) -> None:
        """Activate a fault on its links."""
        self._active.append(scheduled)
        self._update_links()

    def end(self, scheduled: ScheduledFault) -> None:
        """Deactivate a fault; other active faults of the same links stay."""
        self._active.remove(scheduled)
        self._update_links()

    def _update_links(self) -> None:
        self._links = {}
        for scheduled in self._active:
            fault = scheduled.fault
            for pair in scheduled.links:
                link = self._links.setdefault(pair, Link())
                if fault.kind in ("partition", "one_way"):
                    link.blocked = True
                elif fault.kind == "loss":
                    link.loss = max(link.loss, fault.size)
                elif fault.kind == "delay":
                    link.delay_ms = max(link.delay_ms, fault.ms)
                elif fault.kind == "duplicate":
                    link.duplicate = max(link.duplicate, fault.size)
                elif fault.kind == "reorder":
                    link.reorder, link.reorder_ms = (
                        max(link.reorder, fault.size),
                        max(link.reorder_ms, fault.ms),
                    )
                elif fault.kind == "slow_link":
                    link.bytes_per_s = fault.bytes_per_s

    def link(self, sender: str, receiver: str) -> Link:
        """Return the directed link between two processes."""
        return self._links.get((sender, receiver), self._healthy_link)

    # ------------------------------------------------------------ datagrams

    def _datagram_relay(self, name: str) -> Callable[[], asyncio.DatagramProtocol]:
        relays = self

        class Relay(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                relays.forward(relays.by_ip.get(addr[0], ""), name, data)

        return Relay

    def forward(self, sender: str, receiver: str, data: bytes) -> None:
        """Forward a datagram over a link, which may lose, delay, duplicate or slow it."""
        link, rng = self.link(sender, receiver), self.rng
        if link.blocked or rng.random() < link.loss:
            return
        self.recent_datagrams.append((receiver, data))
        delay_ms = link.delay_ms * rng.random()
        if rng.random() < link.reorder:
            delay_ms += link.reorder_ms
        if link.bytes_per_s:
            now_ms = 1000.0 * self._loop.time()
            link.free_at_ms = max(link.free_at_ms, now_ms) + 1000.0 * len(data) / link.bytes_per_s
            if link.free_at_ms - now_ms > 5_000.0:
                link.free_at_ms -= 1000.0 * len(data) / link.bytes_per_s
                return  # the queue of the link is full
            delay_ms += link.free_at_ms - now_ms
        for _ in range(2 if rng.random() < link.duplicate else 1):
            if delay_ms:
                self._loop.call_later(delay_ms / 1000.0, self.deliver, receiver, data)
            else:
                self.deliver(receiver, data)

    def deliver(self, receiver: str, data: bytes) -> None:
        """Hand a datagram to a process, if it listens."""
        target = self.targets.get(receiver)
        if target is not None and not self._sockets[receiver].is_closing():
            self._sockets[receiver].sendto(data, target)

    # ------------------------------------------------------------ connections

    def _connection_handler(
        self, name: str
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], asyncio.Future[None]]:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> asyncio.Future[None]:
            client = self.by_ip.get(writer.get_extra_info("peername")[0], "")
            return asyncio.ensure_future(self._forward_connection(client, name, reader, writer))

        return accept

    async def _forward_connection(
        self, client: str, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = self.targets.get(name)
        try:
            if target is None:
                return
            if self.link(client, name).blocked or self.link(name, client).blocked:
                await asyncio.sleep(BLOCKED_CONNECTION_S)  # as a partition does: no response and no reset
                return
            target_reader, target_writer = await asyncio.open_connection(*target)
        except OSError:
            return
        finally:
            if target is None or writer.is_closing():
                writer.close()
        try:
            await asyncio.gather(
                self._pump(client, name, reader, target_writer),
                self._pump(name, client, target_reader, writer),
            )
        finally:
            target_writer.close()
            writer.close()

    async def _pump(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # uvloop raises RuntimeError for a connection that was closed meanwhile.
        with contextlib.suppress(OSError, RuntimeError):
            while data := await reader.read(READ_BYTES):
                link = self.link(sender, receiver)
                if link.blocked:
                    await asyncio.sleep(BLOCKED_CONNECTION_S)
                    return
                delay_s = link.delay_ms * self.rng.random() / 1000.0
                delay_s += len(data) / link.bytes_per_s if link.bytes_per_s else 0.0
                if delay_s:
                    await asyncio.sleep(delay_s)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
