"""Simulated nodes: hundreds per process, running the real protocol cores over real sockets.

They serve no requests; each takes part in one duty (membership or configuration). To add a duty, implement
`Duty` and add an entry to `DUTIES`. In records their source is called "hollow"; the source "simulated" stands
for figures from simulated time (`crowpost.lab.scale.simulated`).
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


class RegionPartition:
    """Network partition between regions, shared by all simulated nodes of a process.

    Simulated nodes drop traffic to and from other regions at their own sockets, so real nodes of one region
    are partitioned as well. Unlike relays, this needs no extra descriptor or process.
    """

    def __init__(self, regions: list[int]) -> None:
        self._region_by_zone = regions
        self.active = False

    def region_of(self, host: str) -> int:
        """Return the region of an address, or -1 for an address outside all zones."""
        zone = zone_of(host)
        return self._region_by_zone[zone] if zone < len(self._region_by_zone) else -1

    def separates(self, region: int, host: str) -> bool:
        """Return whether the partition currently separates a region from an address."""
        return self.active and self.region_of(host) != region


class Duty(Protocol):
    """What one simulated node does for a duty.

    address: the address announced to other nodes; empty for a node that does not listen.
    """

    address: str

    async def start(self, settings: Mapping[str, Any]) -> str:
        """Start the node and return the address announced to other nodes."""

    def peer_record(self) -> bytes:
        """Return the encoded state that the other nodes are given at the start."""

    def introduce(self, peer_records: list[bytes]) -> None:
        """Add all nodes to the view at once, as if the cluster had been running for a long time."""

    def activate(self) -> None:
        """Start the protocol; the node is idle until then."""

    def counts(self) -> dict[str, float]:
        """Return counts since the start: messages, documents, bytes (sent), bytes_in, late (own timers)."""

    def view_summary(self) -> str:
        """Return a text for the view that it holds: equal texts mean equal views."""

    def local_health_score(self) -> int:
        """Return the local health score; 0 means that the node is not slow."""

    async def end(self, graceful: bool) -> None:
        """Stop the node.

        graceful: leave the cluster properly; otherwise stop as a killed process does.
        """


class _PartitionedDatagramTransport:
    """Datagram transport that drops datagrams to partitioned regions."""

    def __init__(self, transport: asyncio.DatagramTransport, partition: RegionPartition, region: int) -> None:
        self._transport, self._partition, self._region = transport, partition, region

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if not self._partition.separates(self._region, address[0]):
            self._transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class _PartitionedDatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, transport: SimulatedNodeTransport) -> None:
        self._node_transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        transport = self._node_transport
        if transport.running and not transport.partition.separates(transport.region, addr[0]):
            transport.handle_datagram(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore an ICMP error: no process listens at the address."""


class SimulatedNodeTransport(MembershipTransport):
    """The real membership transport with region partitions; idle until `running` is set."""

    def __init__(
        self, config: MembershipConfig, partition: RegionPartition, region: int, running: bool
    ) -> None:
        super().__init__(config)
        self.partition, self.region, self.running = partition, region, running

    async def _bind(self, host: str, port: int) -> None:
        await super()._bind(host, port)
        assert self._datagrams is not None
        self._datagrams.set_protocol(_PartitionedDatagramProtocol(self))
        self._datagrams = _PartitionedDatagramTransport(self._datagrams, self.partition, self.region)  # type: ignore[assignment]

    def _process_output(self) -> None:
        if self.running:
            super()._process_output()

    def activate(self) -> None:
        """Start processing; for the core the time until now counts as a suspension of the process."""
        self.running = True
        self._tick()

    async def _sync(self, address: str) -> None:
        if self.partition.separates(self.region, split_address(address)[0]):
            # A connection to an address that does not respond ends with this timeout.
            await asyncio.sleep(FRAME_TIMEOUT_S)
            self.core.counts[counters.SYNCS_FAILED] += 1
            return
        await super()._sync(address)

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.running or self.partition.separates(self.region, writer.get_extra_info("peername")[0]):
            writer.close()
            return
        await super()._handle_connection(reader, writer)


class SimulatedMember:
    """A simulated node that is a member of the cluster."""

    def __init__(self, place: Place, partition: RegionPartition) -> None:
        self._place, self._partition = place, partition
        self._member_transport: SimulatedNodeTransport | None = None
        self.address = ""
        self._incarnation = 0

    @property
    def transport(self) -> SimulatedNodeTransport:
        """Return the transport of a started member."""
        assert self._member_transport is not None
        return self._member_transport

    async def start(self, settings: Mapping[str, Any]) -> str:
        """Start the member and return its address.

        settings: `join`, the contact addresses; without any, the member is idle until `activate`.
        """
        join = tuple(settings.get("join", ()))
        place = self._place
        config = MembershipConfig(
            CLUSTER,
            place.name,
            self.address or f"{place.host}:0",  # A restarted member keeps its address.
            join=join,
            zone=f"z{place.zone}",
            role="node",
        )
        transport = SimulatedNodeTransport(config, self._partition, place.region, running=bool(join))
        facts = {STAGE_FACT: "0", INDEX_FACT: str(place.index)}  # The facts a real node announces.
        self.address = await transport.start(facts, self._incarnation + 1)
        self._member_transport = transport
        transport.announce_phase(Phase.PRESENT)
        return self.address

    def peer_record(self) -> bytes:
        """Return the packed state update of this member."""
        return pack(encode_update(self.transport.core.own_update))

    def introduce(self, peer_records: list[bytes]) -> None:
        """Add the state updates of all members to the view, as if they had joined long ago."""
        core, now = self.transport.core, self.transport.now()
        # Each node decodes its own copy, because nodes in separate processes would share nothing.
        core.preload_members([decode_update(unpack(record)) for record in peer_records], now)

    def activate(self) -> None:
        """Start the protocol."""
        self.transport.activate()

    def counts(self) -> dict[str, float]:
        """Return the measured counters."""
        counts = self.transport.core.counts
        return {
            "messages": counts[counters.DATAGRAMS_OUT],
            "bytes": counts[counters.BYTES_OUT],
            "bytes_in": counts[counters.BYTES_IN],
            "late": counts[counters.LATE],
            "suspicions": counts[counters.SUSPICIONS],
        }

    def view_summary(self) -> str:
        """Return the number of alive members and the digest of the view."""
        core = self.transport.core
        return f"{core.view.alive_count} {core.view.digest}"

    def local_health_score(self) -> int:
        """Return the core's local health score."""
        return self.transport.core.local_health_score

    async def end(self, graceful: bool) -> None:
        """Leave the cluster, or stop without notice as a crash does."""
        transport = self.transport
        if graceful:
            await transport.close()
        else:
            transport.abort()
        self._incarnation = transport.core.own_update.incarnation


def _create_member(place: Place, partition: RegionPartition) -> Duty:
    return SimulatedMember(place, partition)


def _create_follower(place: Place, partition: RegionPartition) -> Duty:
    # Imported only where the duty is enabled, so that nodes with other duties do not incur its cost.
    from crowpost.lab.scale.follow import SimulatedFollower

    return SimulatedFollower(place, partition)


DUTIES: dict[str, Callable[[Place, RegionPartition], Duty]] = {
    "membership": _create_member,
    "configuration": _create_follower,
}
