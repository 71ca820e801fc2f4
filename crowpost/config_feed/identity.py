"""The identity of a process of the feed."""

from __future__ import annotations

from dataclasses import dataclass

NODE_ROLE = "node"
RELAY_ROLE = "relay"
PUBLISHER_ROLE = "publisher"


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """Cluster, name, role and location of a process, and the number of this instance of it."""

    cluster: str
    name: str
    role: str = NODE_ROLE
    region: str = ""
    zone: str = ""
    instance_id: int = 0  # random number that distinguishes processes of the same name
