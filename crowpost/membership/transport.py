"""The core on sockets: datagrams on UDP, tables on TCP, one address for both.  It decides nothing."""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
import socket
import time
from collections.abc import Callable
from typing import Any

from crowpost.membership import sync
from crowpost.membership.configuration import MembersConfig
from crowpost.membership.core import Members
from crowpost.membership.model import Change, MemberError, Phase, Profile, split_address
from crowpost.membership.wire import FRAME_BYTES, LENGTH, Kind, pack, seal, tag, unpack, unseal

log = logging.getLogger(__name__)

FRAME_S = 3.0  # for each frame of an exchange, and for a connection
PEERS_MOST = 16  # connections that are answered at once; more wait in the listener's queue
CALLS_MOST = 4  # exchanges of this process's own at once; more are left out, as the next one brings the same
ASK_AT_ONCE = 64  # members that one command asks at the same time
FAREWELL_S = 0.3  # that a departure has to be passed on
BIND_TRIES = 20  # for one port that is free on UDP and TCP
BUFFER = 1 << 18  # bytes of datagrams that the socket keeps for a process that hardly runs


class Carrier:
    """One member on the running loop.  on_change is called after every change of the view."""

    def __init__(
        self, config: MembersConfig, on_change: Callable[[list[Change]], None] | None = None
    ) -> None:
        self._config = config
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._calls: set[asyncio.Task[None]] = set()
        self._peers = asyncio.Semaphore(PEERS_MOST)
        self._core: Members | None = None
        self.leaving = asyncio.Event()  # an operator asked this member to leave

    @property
    def core(self) -> Members:
        """The member itself; there from `start` on."""
        assert self._core is not None
        return self._core

    def now(self) -> float:
        """Monotonic time in ms."""
        return 1000.0 * self._loop.time()

    async def start(self, facts: dict[str, str] | None = None, incarnation: int = 1) -> str:
        """Bind, begin to join, and return the address that others are told; OSError where it cannot bind."""
        config = self._config
        host, port = split_address(config.listen)
        await self._bind(host, port)
        assert self._transport is not None
        bound = "{}:{}".format(*self._transport.get_extra_info("sockname")[:2])
        address = config.advertise or bound
        self._host = host
        self._core = Members(
            config.cluster,
            Profile(
                config.name,
                address,
                config.zone,
                config.role,
                started_s=round(time.time(), 3),
                facts={**(facts or {}), **config.facts},
            ),
            tuple(a for a in config.join if a != bound),
            seed=secrets.randbits(64),
            birth=secrets.randbits(32),
            now=self.now(),
            tuning=config.tuning,
            incarnation=incarnation,
        )
        _tell("start", self.now(), member=config.name, listens=bound, address=address, cluster=config.cluster)
        self._after()
        return bound

    async def _bind(self, host: str, port: int) -> None:
        for tries in range(BIND_TRIES):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            try:
                sock.bind((host, port))
                server = await asyncio.start_server(
                    self._serve, host, sock.getsockname()[1], reuse_address=True
                )
            except OSError:
                sock.close()
                if port or tries == BIND_TRIES - 1:
                    raise
                continue
            self._server = server
            self._transport, _ = await self._loop.create_datagram_endpoint(
                lambda: _Datagrams(self), sock=sock
            )
            return

    # ------------------------------------------------------------ the core's work

    def received(self, data: bytes) -> None:
        """A datagram came."""
        self.core.handle(data, self.now())
        self._after()

    def _tick(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        self.core.tick(self.now())
        self._after()

    def declare(self, phase: Phase, why: str = "") -> None:
        """Say of this process: joining, present or leaving."""
        self.core.declare(phase, self.now(), why)
        self._after()

    def _after(self) -> None:
        out = self.core.take()
        for address, data in out.datagrams:
            if self._transport is not None:
                try:
                    self._transport.sendto(data, split_address(address))
                except (OSError, ValueError):
                    self.core.counts["unsendable"] += 1  # an address that cannot be: its probes fail
        for address in out.exchanges:
            if len(self._calls) < CALLS_MOST:
                call = self._loop.create_task(self._exchange(address))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
        for note in out.notes:
            _tell("note", self.now(), member=self._config.name, text=note)
        for change in out.changes:
            _tell(
                "change",
                change.at,
                member=self._config.name,
                about=change.name,
                before=change.before,
                after=change.after,
                by=change.by,
                why=change.why,
                incarnation=change.incarnation,
                birth=f"{change.birth:08x}",
            )
        due = self.core.next_at()
        if self._transport is not None and due < self._timer_at:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self._loop.call_at(due / 1000.0, self._tick)
        if out.changes and self._on_change is not None:
            self._on_change(out.changes)

    # ------------------------------------------------------------ tables

    async def _exchange(self, address: str) -> None:
        core = self.core
        try:
            async with asyncio.timeout(FRAME_S):
                reader, writer = await asyncio.open_connection(
                    *split_address(address), local_addr=(self._host, 0)
                )
        except (OSError, TimeoutError):
            core.counts["exchanges_failed"] += 1
            return
        try:
            self._write(writer, sync.hello(core))
            table = await _frame(reader, core)
            self._write(writer, sync.settle(core, table, self.now()))
            self._after()
            await _frame(reader, core)  # the other has it all
        except sync.Refused as error:
            core.counts["exchanges_refused"] += 1
            _tell("refused", self.now(), member=self._config.name, address=address, text=str(error))
        except (OSError, EOFError, TimeoutError, MemberError):
            core.counts["exchanges_failed"] += 1
        finally:
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, frame: bytes) -> None:
        self.core.counts["bytes_out"] += LENGTH.size + len(frame)
        writer.write(LENGTH.pack(len(frame)) + frame)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with self._peers:
            try:
                await self._answer(reader, writer)
            except (OSError, EOFError, TimeoutError):
                pass
            except MemberError:
                self.core.counts["frames_dropped"] += 1
            except Exception:
                log.exception("fault in an exchange")
            finally:
                writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        core = self.core
        frame = await _frame(reader, core)
        kind, _ = unseal(frame, None)
        if kind is Kind.VIEW:
            self._write(writer, seal(Kind.VIEW, tag(core.cluster), pack(sync.snapshot(core, self.now()))))
        elif kind is Kind.LEAVE:
            unseal(frame, tag(core.cluster))
            self.leave("asked to leave")
            self.leaving.set()
            self._write(writer, seal(Kind.DONE, tag(core.cluster), pack([core.me.name])))
        else:
            reply = sync.answer(core, frame, self.now())
            self._write(writer, reply)
            self._after()
            if unseal(reply, None)[0] is Kind.TABLE:
                sync.finish(core, await _frame(reader, core), self.now())
                self._after()
                self._write(writer, seal(Kind.DONE, tag(core.cluster), pack([core.me.name])))
        async with asyncio.timeout(FRAME_S):
            await writer.drain()

    # ------------------------------------------------------------ the end

    def leave(self, why: str = "in order") -> None:
        """Tell the others that this is no death."""
        self.core.leave(self.now(), why)
        self._after()

    async def close(self, why: str = "in order") -> None:
        """Leave, let that be passed on, and close."""
        self.leave(why)
        await asyncio.sleep(FAREWELL_S)
        self.abort()

    def abort(self) -> None:
        """Close at once, as a killed process would."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        for call in self._calls:
            call.cancel()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, carrier: Carrier) -> None:
        self._carrier = carrier

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._carrier.received(data)

    def error_received(self, exc: Exception) -> None:
        """An address where nobody listens: the probe that goes unanswered tells of it."""


async def _frame(reader: asyncio.StreamReader, core: Members | None = None) -> bytes:
    """One frame; MemberError for one that is too long."""
    async with asyncio.timeout(FRAME_S):
        (size,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if size > FRAME_BYTES:
            raise MemberError(f"a frame of {size} bytes")
        frame = await reader.readexactly(size)
    if core is not None:
        core.counts["bytes_in"] += LENGTH.size + size
    return frame


async def ask(address: str, kind: Kind, cluster: str, within_s: float = FRAME_S) -> Any:
    """What a member answers to VIEW or LEAVE; MemberError, in one line, where none comes."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*split_address(address))
            try:
                frame = seal(kind, tag(cluster), pack([cluster]))
                writer.write(LENGTH.pack(len(frame)) + frame)
                _, body = unseal(await _frame(reader), None)
                return unpack(body)
            finally:
                writer.close()
    except TimeoutError:
        raise MemberError(f"{address}: no answer within {within_s:g} s") from None
    except (OSError, EOFError) as error:
        raise MemberError(f"{address}: {str(error) or 'closed without an answer'}") from None


async def ask_all(addresses: dict[str, str], within_s: float) -> dict[str, dict[str, Any] | str]:
    """The views of many members by name, asked at once; for one that does not answer why, in one line."""
    gate = asyncio.Semaphore(ASK_AT_ONCE)

    async def one(address: str) -> dict[str, Any] | str:
        async with gate:
            try:
                view: dict[str, Any] = await ask(address, Kind.VIEW, "", within_s)
            except MemberError as error:
                return str(error)
            return view

    found = await asyncio.gather(*(one(address) for address in addresses.values()))
    return dict(zip(addresses, found, strict=True))


def _tell(event: str, at: float, **values: object) -> None:
    """One structured line; `at_ms` is the machine's monotonic clock, common to all of its processes."""
    log.info("members %s", json.dumps({"event": event, "at_ms": round(at, 1), **values}))
