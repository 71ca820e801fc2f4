"""Relays on loopback: one stands before each process, on UDP and TCP, and lets the links to it suffer.

Every process has an address of its own in 127.1.0.0/16 and is told to others by its relay's in 127.2.0.0/16;
since it also calls from its own address, a relay knows who sent what.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from crowpost.lab.rig.plan import Act

KEEP = 2_000  # datagrams that are remembered to be replayed
PIECE = 4_096
HELD_S = 10.0  # that a connection over a cut link stays open in silence


@dataclass(slots=True)
class Link:
    """What happens on one directed link now; times in ms, shares of datagrams."""

    cut: bool = False
    loss: float = 0.0
    delay_ms: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_ms: float = 0.0
    bytes_per_s: float = 0.0
    free_at: float = 0.0  # when a slow link has sent what it has


def own_ip(index: int) -> str:
    """The address that a process listens on and calls from."""
    return f"127.1.{index >> 7}.{(index & 127) + 1}"


def relay_ip(index: int) -> str:
    """The address that others are told."""
    return f"127.2.{index >> 7}.{(index & 127) + 1}"


class Relays:
    """All relays of a rig.  by_ip: which process calls from an address."""

    def __init__(self, names: list[str], seed: int) -> None:
        self.names = names
        self.rng = Random(f"relays {seed}")
        self.by_ip = {own_ip(i): name for i, name in enumerate(names)}
        self.targets: dict[str, tuple[str, int]] = {}  # where each process listens
        self.addresses: dict[str, str] = {}
        self.passed: deque[tuple[str, bytes]] = deque(maxlen=KEEP)
        self._acts: list[Act] = []
        self._links: dict[tuple[str, str], Link] = {}
        self._fine = Link()
        self._sockets: dict[str, asyncio.DatagramTransport] = {}
        self._servers: list[asyncio.Server] = []
        self._loop = asyncio.get_running_loop()

    async def open(self) -> None:
        """Bind every relay, the same port for UDP and TCP."""
        for index, name in enumerate(self.names):
            for _ in range(20):
                sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
                sock.bind((relay_ip(index), 0))
                port = sock.getsockname()[1]
                try:
                    server = await asyncio.start_server(self._carry_to(name), relay_ip(index), port)
                except OSError:
                    sock.close()
                    continue
                break
            else:
                raise OSError(f"no port for the relay of {name}")
            self._servers.append(server)
            transport, _ = await self._loop.create_datagram_endpoint(self._datagrams_to(name), sock=sock)
            self._sockets[name] = transport
            self.addresses[name] = f"{relay_ip(index)}:{port}"

    def close(self) -> None:
        """Stop listening on all addresses."""
        for server in self._servers:
            server.close()
        for transport in self._sockets.values():
            transport.close()

    # ------------------------------------------------------------ links

    def begin(self, act: Act) -> None:
        """Let the links of this trouble suffer."""
        self._acts.append(act)
        self._renew()

    def end(self, act: Act) -> None:
        """They are as they were, but for what other troubles do to them."""
        self._acts.remove(act)
        self._renew()

    def _renew(self) -> None:
        self._links = {}
        for act in self._acts:
            bad = act.bad
            for pair in act.links:
                link = self._links.setdefault(pair, Link())
                if bad.kind in ("partition", "one_way"):
                    link.cut = True
                elif bad.kind == "loss":
                    link.loss = max(link.loss, bad.size)
                elif bad.kind == "delay":
                    link.delay_ms = max(link.delay_ms, bad.ms)
                elif bad.kind == "duplicate":
                    link.duplicate = max(link.duplicate, bad.size)
                elif bad.kind == "reorder":
                    link.reorder, link.reorder_ms = max(link.reorder, bad.size), max(link.reorder_ms, bad.ms)
                elif bad.kind == "slow_link":
                    link.bytes_per_s = bad.bytes_per_s

    def link(self, sender: str, receiver: str) -> Link:
        """The directed link between two processes."""
        return self._links.get((sender, receiver), self._fine)

    # ------------------------------------------------------------ datagrams

    def _datagrams_to(self, name: str) -> Callable[[], asyncio.DatagramProtocol]:
        relays = self

        class Relay(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                relays.pass_on(relays.by_ip.get(addr[0], ""), name, data)

        return Relay

    def pass_on(self, sender: str, receiver: str, data: bytes) -> None:
        """One datagram over a link, which may lose, delay, double or slow it."""
        link, rng = self.link(sender, receiver), self.rng
        if link.cut or rng.random() < link.loss:
            return
        self.passed.append((receiver, data))
        wait = link.delay_ms * rng.random()
        if rng.random() < link.reorder:
            wait += link.reorder_ms
        if link.bytes_per_s:
            now = 1000.0 * self._loop.time()
            link.free_at = max(link.free_at, now) + 1000.0 * len(data) / link.bytes_per_s
            if link.free_at - now > 5_000.0:
                link.free_at -= 1000.0 * len(data) / link.bytes_per_s
                return  # its queue is full
            wait += link.free_at - now
        for _ in range(2 if rng.random() < link.duplicate else 1):
            if wait:
                self._loop.call_later(wait / 1000.0, self.deliver, receiver, data)
            else:
                self.deliver(receiver, data)

    def deliver(self, receiver: str, data: bytes) -> None:
        """Hand a datagram to a process, if it listens."""
        target = self.targets.get(receiver)
        if target is not None and not self._sockets[receiver].is_closing():
            self._sockets[receiver].sendto(data, target)

    # ------------------------------------------------------------ connections

    def _carry_to(
        self, name: str
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], asyncio.Future[None]]:
        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> asyncio.Future[None]:
            caller = self.by_ip.get(writer.get_extra_info("peername")[0], "")
            return asyncio.ensure_future(self._carry(caller, name, reader, writer))

        return accept

    async def _carry(
        self, caller: str, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target = self.targets.get(name)
        try:
            if target is None:
                return
            if self.link(caller, name).cut or self.link(name, caller).cut:
                await asyncio.sleep(HELD_S)  # nobody answers, and nobody says so
                return
            far_reader, far_writer = await asyncio.open_connection(*target)
        except OSError:
            return
        finally:
            if target is None or writer.is_closing():
                writer.close()
        try:
            await asyncio.gather(
                self._pump(caller, name, reader, far_writer), self._pump(name, caller, far_reader, writer)
            )
        finally:
            far_writer.close()
            writer.close()

    async def _pump(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A RuntimeError is uvloop's word for a connection that was closed meanwhile.
        with contextlib.suppress(OSError, RuntimeError):
            while piece := await reader.read(PIECE):
                link = self.link(sender, receiver)
                if link.cut:
                    await asyncio.sleep(HELD_S)
                    return
                wait = link.delay_ms * self.rng.random() / 1000.0
                wait += len(piece) / link.bytes_per_s if link.bytes_per_s else 0.0
                if wait:
                    await asyncio.sleep(wait)
                writer.write(piece)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
