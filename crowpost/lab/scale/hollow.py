"""Hollow nodes: the real cores on the real wire, hundreds in one process, with no requests to serve.

A duty is what a hollow node takes part in.  `Duty` is the plug: a further one (configuration, lists) is a
class with these methods and a line in `DUTIES`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from crowpost.lab.scale.places import Place, zone_of
from crowpost.membership.broadcast_queue import Gossip
from crowpost.membership.configuration import MembersConfig
from crowpost.membership.model import Phase, split_address
from crowpost.membership.transport import FRAME_S, Carrier
from crowpost.membership.wire import claim_row, pack, read_claim, unpack
from crowpost.membership.work_share import ORDINAL, STAGE

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
    def __init__(self, member: HollowCarrier) -> None:
        self._member = member

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        member = self._member
        if member.running and not member.cut.between(member.region, addr[0]):
            member.received(data)

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there."""


class HollowCarrier(Carrier):
    """The real carrier, which stands still until `running`, behind a cut."""

    def __init__(self, config: MembersConfig, cut: Cut, region: int, running: bool) -> None:
        super().__init__(config)
        self.cut, self.region, self.running = cut, region, running

    async def _bind(self, host: str, port: int) -> None:
        await super()._bind(host, port)
        assert self._transport is not None
        self._transport.set_protocol(_Gated(self))
        self._transport = _Gate(self._transport, self.cut, self.region)  # type: ignore[assignment]

    def _after(self) -> None:
        if self.running:
            super()._after()

    def go(self) -> None:
        """Run from now on: to the core it has slept until now."""
        self.running = True
        self._tick()

    async def _exchange(self, address: str) -> None:
        if self.cut.between(self.region, split_address(address)[0]):
            await asyncio.sleep(FRAME_S)  # as a connection to where nothing answers
            self.core.counts["exchanges_failed"] += 1
            return
        await super()._exchange(address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.running or self.cut.between(self.region, writer.get_extra_info("peername")[0]):
            writer.close()
            return
        await super()._serve(reader, writer)


class HollowMember:
    """A hollow node that is a member of the cluster."""

    def __init__(self, place: Place, cut: Cut) -> None:
        self._place, self._cut = place, cut
        self._carrier: HollowCarrier | None = None
        self.address = ""
        self._incarnation = 0

    @property
    def carrier(self) -> HollowCarrier:
        assert self._carrier is not None
        return self._carrier

    async def start(self, settings: Mapping[str, Any]) -> str:
        """settings: `join`, addresses; none: it stands still until all are acquainted."""
        join = tuple(settings.get("join", ()))
        place = self._place
        config = MembersConfig(
            CLUSTER,
            place.name,
            self.address or f"{place.host}:0",  # back under the address that it had
            join=join,
            zone=f"z{place.zone}",
            role="node",
        )
        carrier = HollowCarrier(config, self._cut, place.region, running=bool(join))
        facts = {STAGE: "0", ORDINAL: str(place.index)}  # what a real node tells of itself
        self.address = await carrier.start(facts, self._incarnation + 1)
        self._carrier = carrier
        carrier.declare(Phase.PRESENT)
        return self.address

    def row(self) -> bytes:
        return pack(claim_row(self.carrier.core.me_claim))

    def acquaint(self, rows: list[bytes]) -> None:
        core, now = self.carrier.core, self.carrier.now()
        for row in rows:
            claim = read_claim(unpack(row))  # read anew by each: nodes of their own would share nothing
            if claim.name != core.me.name and claim.profile is not None:
                core.view.add(claim.profile, claim, now)
                core.prober.ring.append(claim.name)
        core.rng.shuffle(core.prober.ring)
        core.joined = True
        core.take()
        core.claims.gossip = Gossip(core.tuning)  # nothing is news to anybody

    def go(self) -> None:
        self.carrier.go()

    def counts(self) -> dict[str, float]:
        counts = self.carrier.core.counts
        return {
            "messages": counts["datagrams_out"],
            "bytes": counts["bytes_out"],
            "bytes_in": counts["bytes_in"],
            "late": counts["late"],
            "suspicions": counts["suspicions"],
        }

    def look(self) -> str:
        core = self.carrier.core
        return f"{core.view.alive} {core.view.digest}"

    def awareness(self) -> int:
        """How slow it holds itself to be."""
        return self.carrier.core.awareness

    async def end(self, in_order: bool) -> None:
        carrier = self.carrier
        if in_order:
            await carrier.close()
        else:
            carrier.abort()
        self._incarnation = carrier.core.me_claim.incarnation


def _member(place: Place, cut: Cut) -> Duty:
    return HollowMember(place, cut)


def _follower(place: Place, cut: Cut) -> Duty:
    from crowpost.lab.scale.follow import (
        HollowFollower,  # only where it is on: it must not weigh on the others
    )

    return HollowFollower(place, cut)


DUTIES: dict[str, Callable[[Place, Cut], Duty]] = {"membership": _member, "configuration": _follower}
