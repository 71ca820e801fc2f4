"""Deterministic subsetting: each node calls a part of the endpoints if many nodes share many endpoints."""

from __future__ import annotations

from collections.abc import Sequence

from crowpost.decisions.endpoint_state import Endpoint

# Subsets have up to twice as many endpoints, so that half of one may fail and still leave a choice.
MIN_SUBSET_SIZE = 6
# Least number of nodes that share an endpoint, so that the random walks of their share vectors cancel out.
MIN_NODES_PER_ENDPOINT = 3


def assign_shards(hashes: Sequence[int], shards: int) -> list[int]:
    """Return the shard of each item, by random hashes of 48 bits.  The sizes of shards differ by at most one.

    In the order of hashes each item goes to the first shard with room, by double hashing; the number of
    shards must be a power of two.  Adding or removing an item moves few others, as most shards that an item
    skips are full either way.  Splitting the sorted items into equal runs would move a third as many items as
    there are shards.
    """
    min_size = len(hashes) // shards
    sizes = [0] * shards
    assigned = [0] * len(hashes)
    for position, item in enumerate(sorted(range(len(hashes)), key=hashes.__getitem__)):
        max_size = min_size if position < min_size * shards else min_size + 1
        shard = hashes[item] % shards
        step = (hashes[item] >> 16) | 1
        while sizes[shard] >= max_size:
            shard = (shard + step) % shards
        sizes[shard] += 1
        assigned[item] = shard
    return assigned


def choose_subset(
    endpoints: Sequence[Endpoint], candidates: list[int], node_count: int, node_index: int
) -> list[int]:
    """Return the indices, out of the candidates, of the endpoints in this node's subset.

    Without subsets a node would call each endpoint too rarely to learn anything while a fault lasts, and the
    number of connections would grow with nodes times endpoints.  The endpoints of each kind are assigned to
    shards by hash, separately for each round of nodes.  Each endpoint is in one subset of a round, so that
    all endpoints are called by about as many nodes.
    """
    # The number of shards is a power of two, since all subsets depend on it and it must not change with every
    # change of the list.  Few nodes use larger subsets: with none, each would connect to every endpoint.
    max_shards = min(len(candidates) // MIN_SUBSET_SIZE, node_count // MIN_NODES_PER_ENDPOINT)
    shards = 1 << max(0, max_shards.bit_length() - 1)
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
        chosen += [index for index, shard in zip(indices, assigned, strict=True) if shard == own_shard]
    return chosen
