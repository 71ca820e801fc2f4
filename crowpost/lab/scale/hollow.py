"""Hollow nodes: the real cores on the real wire, hundreds in one process, with no requests to serve.

A duty is what a hollow node takes part in.  `Duty` is the plug: a further one (configuration, lists) is a
class with these methods and a line in `DUTIES`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from crowpost.lab.scale.places import Place, zone_of
from crowpost.membership import counters
from crowpost.membership.configuration import MembershipConfig
from crowpost.membership.framing import FRAME_TIMEOUT_S
from crowpost.membership.model import Phase, split_address
from crowpost.membership.transport import MembershipTransport
from crowpost.membership.wire import decode_update, encode_update, pack, unpack
from crowpost.membership.work_share import INDEX_FACT, STAGE_FACT

CLUSTER = "scale"


class Cut:
    """Whether regions hear each other; one for all hollow nodes of a process.

    It stands in the hollow nodes' own sockets: what goes to or comes from another region is dropped there,
    so that real nodes of one region are cut off as well.  Other than by relays, no descriptor or process is
    needed for it.
    """

    def __init__(self, regions: list[int]) -> None:
        self._regions = regions  # of each zone
        self.on = False

    def region(self, host: str) -> int:
        """The region of an address; -1 for one that is in no zone."""
        zone = zone_of(host)
        return self._regions[zone] if zone < len(self._regions) else -1

    def between(self, region: int, host: str) -> bool:
        """Whether an address cannot be reached from a region now."""
        return self.on and self.region(host) != region


class Duty(Protocol):
    """One hollow node's part in a duty.  address: that others are told; empty where it listens nowhere."""

    address: str

    async def start(self, settings: Mapping[str, Any]) -> str:
        """Bind and begin; the address that others are told."""

    def row(self) -> bytes:
        """What the others are to know of it beforehand."""

    def acquaint(self, rows: list[bytes]) -> None:
        """Know all others at once, as long after their start."""

    def go(self) -> None:
        """Until then it stands still."""

    def counts(self) -> dict[str, float]:
        """Since its start, what it has: messages, documents, bytes (sent), bytes_in, late (own timers)."""

    def look(self) -> str:
        """What it holds now: equal texts mean equal views."""

    def awareness(self) -> int:
        """How slow it holds itself to be; 0: as quick as it should be."""

    async def end(self, in_order: bool) -> None:
        """Close; in_order: with a good-bye, else as a killed process does."""


class _Gate:
    """A transport that drops what goes to another region while it is cut off."""

    def __init__(self, transport: asyncio.DatagramTransport, cut: Cut, region: int) -> None:
        self._transport, self._cut, self._region = transport, cut, region

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if not self._cut.between(self._region, address[0]):
            self._transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class _Gated(asyncio.DatagramProtocol):
    def __init__(self, member: HollowTransport) -> None:
        self._member = member

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        member = self._member
        if member.running and not member.cut.between(member.region, addr[0]):
            member.handle_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there."""


class HollowTransport(MembershipTransport):
    """The real transport, which stands still until `running`, behind a cut."""

    def __init__(self, config: MembershipConfig, cut: Cut, region: int, running: bool) -> None:
        super().__init__(config)
        self.cut, self.region, self.running = cut, region, running

    async def _bind(self, host: str, port: int) -> None:
        await super()._bind(host, port)
        assert self._datagrams is not None
        self._datagrams.set_protocol(_Gated(self))
        self._datagrams = _Gate(self._datagrams, self.cut, self.region)  # type: ignore[assignment]

    def _process_output(self) -> None:
        if self.running:
            super()._process_output()

    def go(self) -> None:
        """Run from now on: to the core it has slept until now."""
        self.running = True
        self._tick()

    async def _sync(self, address: str) -> None:
        if self.cut.between(self.region, split_address(address)[0]):
            await asyncio.sleep(FRAME_TIMEOUT_S)  # as a connection to where nothing answers
            self.core.counts[counters.SYNCS_FAILED] += 1
            return
        await super()._sync(address)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.running or self.cut.between(self.region, writer.get_extra_info("peername")[0]):
            writer.close()
            return
        await super()._handle_connection(reader, writer)


class HollowMember:
    """A hollow node that is a member of the cluster."""

    def __init__(self, place: Place, cut: Cut) -> None:
        self._place, self._cut = place, cut
        self._member_transport: HollowTransport | None = None
        self.address = ""
        self._incarnation = 0

    @property
    def transport(self) -> HollowTransport:
        assert self._member_transport is not None
        return self._member_transport

    async def start(self, settings: Mapping[str, Any]) -> str:
        """settings: `join`, addresses; none: it stands still until all are acquainted."""
        join = tuple(settings.get("join", ()))
        place = self._place
        config = MembershipConfig(
            CLUSTER,
            place.name,
            self.address or f"{place.host}:0",  # back under the address that it had
            join=join,
            zone=f"z{place.zone}",
            role="node",
        )
        transport = HollowTransport(config, self._cut, place.region, running=bool(join))
        facts = {STAGE_FACT: "0", INDEX_FACT: str(place.index)}  # what a real node tells of itself
        self.address = await transport.start(facts, self._incarnation + 1)
        self._member_transport = transport
        transport.announce_phase(Phase.PRESENT)
        return self.address

    def row(self) -> bytes:
        return pack(encode_update(self.transport.core.own_update))

    def acquaint(self, rows: list[bytes]) -> None:
        core, now = self.transport.core, self.transport.now()
        # Decoded anew by each: nodes in processes of their own would share nothing.
        core.preload_members([decode_update(unpack(row)) for row in rows], now)

    def go(self) -> None:
        self.transport.go()

    def counts(self) -> dict[str, float]:
        counts = self.transport.core.counts
        return {
            "messages": counts[counters.DATAGRAMS_OUT],
            "bytes": counts[counters.BYTES_OUT],
            "bytes_in": counts[counters.BYTES_IN],
            "late": counts[counters.LATE],
            "suspicions": counts[counters.SUSPICIONS],
        }

    def look(self) -> str:
        core = self.transport.core
        return f"{core.view.alive_count} {core.view.digest}"

    def awareness(self) -> int:
        """How slow it holds itself to be."""
        return self.transport.core.local_health_score

    async def end(self, in_order: bool) -> None:
        transport = self.transport
        if in_order:
            await transport.close()
        else:
            transport.abort()
        self._incarnation = transport.core.own_update.incarnation


def _member(place: Place, cut: Cut) -> Duty:
    return HollowMember(place, cut)


def _follower(place: Place, cut: Cut) -> Duty:
    from crowpost.lab.scale.follow import (
        HollowFollower,  # only where it is on: it must not weigh on the others
    )

    return HollowFollower(place, cut)


DUTIES: dict[str, Callable[[Place, Cut], Duty]] = {"membership": _member, "configuration": _follower}
