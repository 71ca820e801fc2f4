"""The byte budget of a node: what all requests and responses in flight may hold in memory at once.

Nothing waits for bytes.  A request reserves what it needs to be carried to its end when it is accepted, or is
rejected before anything is sent for it; what would only make it faster is reserved if there is room.

The bytes of one request, by its transitions:

| transition | reservation of the connection's input | of the request | of the response |
| --- | --- | --- | --- |
| part of it read | the head and the buffered body | | |
| accepted (`Exchange.try_reserve`) | gives these bytes back | two heads and the body | MIN_BUFFER_BYTES |
| streamed body attached to an attempt | | STREAM_BUFFER_BYTES or MIN_BUFFER_BYTES | |
| response begins | | gives all back | up to STREAM_BUFFER_BYTES |
| response is with the kernel | | | gives all back |
| connection lost | gives all back | gives all back | gives all back |
"""

from __future__ import annotations

from crowpost.node.reading import READ_BYTES

# With this many bytes any response can be carried, and any long request body: they hold one read of this size
# until the other side has taken it.
MIN_BUFFER_BYTES = 16 * 1024
# With this many bytes a short body can be buffered as a whole, and a long one is carried at full speed.
STREAM_BUFFER_BYTES = READ_BYTES + MIN_BUFFER_BYTES
# The share of the budget for requests: clients that send slowly leave the rest to responses.
REQUEST_FRACTION = 0.5
# Bytes that are not needed are reserved only up to this share of a limit: the rest is for new requests.
OPTIONAL_FRACTION = 0.5

# The memory of a process without requests: the interpreter, the modules and the endpoint list.
PROCESS_BYTES = 18_000_000
# The objects of one connection, and of the request that it carries.
CONNECTION_BYTES = 8_000
# Memory that the allocator takes for each reserved byte: freed pieces lie between those in use.
MEMORY_PER_BYTE = 2.0
# The most of the memory limit that may be reserved: the operators want half of it to stay free.
MAX_BUDGET_FRACTION = 0.25
# The least budget, with which one long body can be received.
MIN_BUDGET_BYTES = int((STREAM_BUFFER_BYTES + 2 * MIN_BUFFER_BYTES) / REQUEST_FRACTION)


def budget_bytes(memory_limit: float, max_connections: int) -> int:
    """Return the budget with which a process stays below its memory limit, in bytes.

    memory_limit: in bytes; max_connections: the most connections to clients and endpoints.
    """
    available = memory_limit - PROCESS_BYTES - CONNECTION_BYTES * max_connections
    budget = min(MAX_BUDGET_FRACTION * memory_limit, available / MEMORY_PER_BYTE)
    return max(MIN_BUDGET_BYTES, int(budget))


class ByteBudget:
    """The limit on the bytes that all requests and responses in flight may hold, in bytes."""

    __slots__ = ("limit", "reserved", "reserved_by_requests")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0
        # The part of `reserved` that requests hold.
        self.reserved_by_requests = 0


class Reservation:
    """The bytes of a budget that one holder has reserved; none at first."""

    __slots__ = ("_budget", "size")

    # Whether the bytes count for the share of the requests.
    _of_request = False

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self.size = 0

    def try_resize(self, size: int, *, optional: bool = False) -> bool:
        """Reserve exactly this many bytes; return whether there was room, otherwise nothing changes.

        optional: whether the holder can do without them.
        """
        growth = size - self.size
        if growth > 0 and not self._has_room(growth, OPTIONAL_FRACTION if optional else 1.0):
            return False
        self.add(growth)
        return True

    def shrink_if_scarce(self, size: int) -> None:
        """Return the bytes beyond `size` if more than the optional share of the budget is reserved."""
        budget = self._budget
        if self.size > size and budget.reserved > OPTIONAL_FRACTION * budget.limit:
            self.add(size - self.size)

    def release(self) -> None:
        """Return all bytes to the budget; nothing happens if they were returned before."""
        if self.size:
            self.add(-self.size)

    def move_to(self, other: Reservation) -> None:
        """Give the bytes to another reservation."""
        size = self.size
        self.release()
        other.add(size)

    def add(self, growth: int) -> None:
        """Reserve more bytes, or fewer if `growth` is negative, whether or not there is room."""
        budget = self._budget
        budget.reserved += growth
        if self._of_request:
            budget.reserved_by_requests += growth
        self.size += growth

    def _has_room(self, growth: int, fraction: float) -> bool:
        """Return whether the bytes fit in this fraction of the budget, and of the requests' share of it."""
        budget = self._budget
        limit = fraction * budget.limit
        if self._of_request and budget.reserved_by_requests + growth > REQUEST_FRACTION * limit:
            return False
        return budget.reserved + growth <= limit


class RequestReservation(Reservation):
    """Bytes of a request: all requests together reserve at most their share of the budget."""

    __slots__ = ()

    _of_request = True
