"""Deterministic subsetting: which endpoints a node calls where many nodes share many endpoints."""

from __future__ import annotations

from collections.abc import Sequence

from crowpost.decisions.endpoint_state import Endpoint

MIN_SUBSET_SIZE = 6  # up to twice as many: of so few half may fail and leave a choice
MIN_NODES_PER_ENDPOINT = 3  # that must share each endpoint, for the walks of their vectors to cancel out


def assign_shards(hashes: Sequence[int], shards: int) -> list[int]:
    """Return the shard of each item, by random hashes of 48 bits: sizes of shards differ by one at most.

    In the order of hashes each item goes to the first shard with room, in an order of shards of its own
    (double hashing; shards: a power of two).  One item more or less moves few others, as most shards that an
    item passes over are full either way; cutting the sorted items into equal runs would move a third of as
    many items as there are shards.
    """
    least = len(hashes) // shards
    sizes = [0] * shards
    assigned = [0] * len(hashes)
    for place, item in enumerate(sorted(range(len(hashes)), key=hashes.__getitem__)):
        room = least if place < least * shards else least + 1
        shard = hashes[item] % shards
        step = (hashes[item] >> 16) | 1
        while sizes[shard] >= room:
            shard = (shard + step) % shards
        sizes[shard] += 1
        assigned[item] = shard
    return assigned


def choose_subset(
    endpoints: Sequence[Endpoint], candidates: list[int], node_count: int, node_index: int
) -> list[int]:
    """Return the indices, out of the candidates, of the endpoints that this node keeps to.

    Guards against views so sparse that no node meets an endpoint again within the day's faults, and against
    connections that grow with nodes times endpoints.  The endpoints of each kind are assigned to shards by
    hash, anew for each round of nodes: each endpoint is met once in a round, and so all are met alike.
    """
    # A power of two: the number of shards, which all subsets hang on, must not follow every change of the
    # list.  Few nodes keep to larger subsets: with none at all each would open connections to every endpoint.
    most = min(len(candidates) // MIN_SUBSET_SIZE, node_count // MIN_NODES_PER_ENDPOINT)
    shards = 1 << max(0, most.bit_length() - 1)
    if shards <= 1:
        return candidates
    shard_round, own_shard = divmod(node_index, shards)
    by_kind: dict[int, list[int]] = {}
    for index in candidates:
        by_kind.setdefault(endpoints[index].entry.kind, []).append(index)
    chosen: list[int] = []
    for indices in by_kind.values():
        hashes = [endpoints[index].shard_hash(shard_round) for index in indices]
        assigned = assign_shards(hashes, shards)
        chosen += [i for i, shard in zip(indices, assigned, strict=True) if shard == own_shard]
    return chosen
