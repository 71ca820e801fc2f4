"""Who a process of the feed is."""

from __future__ import annotations

from dataclasses import dataclass

NODE_ROLE = "node"
RELAY_ROLE = "relay"
PUBLISHER_ROLE = "publisher"


@dataclass(frozen=True, slots=True)
class ProcessIdentity:
    """The cluster, the name, the role and the place of a process, and the number of this instance of it."""

    cluster: str
    name: str
    role: str = NODE_ROLE
    region: str = ""
    zone: str = ""
    instance_id: int = 0  # random; tells two processes of one name apart
