"""What the golden files hold, made by the code as it is now.

    python -m tests.golden.build --record     write the files anew

The files were written by revision 878089b, before the package was renamed.  They are recorded anew only where
a change of a frame, a format or a number is meant, in a commit that says so.
"""

from __future__ import annotations

import dataclasses
import json
import shutil
import struct
import subprocess
import sys
import tomllib
from collections.abc import Callable, Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import crowpost.cli.main as crowpost
import crowpost.config_feed.frames as feed_wire
import crowpost.config_feed.messages as feed_messages
import crowpost.membership.wire as member_wire
from crowpost.config_feed.apply_status import ApplyState, ApplyStatus
from crowpost.config_feed.document_cache import DocumentCache
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, make_document
from crowpost.config_feed.messages import PublishRequest
from crowpost.config_feed.publication_log import PublicationLog
from crowpost.config_feed.write_authority import WriteAuthority
from crowpost.decision_api import RememberedEndpoint
from crowpost.membership import sync
from crowpost.membership.core import MembershipCore
from crowpost.membership.model import Liveness, Phase, Profile, StateUpdate
from crowpost.membership.snapshot import view_snapshot
from crowpost.node.configuration import load as load_config
from crowpost.node.metrics import Metrics
from crowpost.node.state.node_state import NodeState
from crowpost.node.state.records import (
    Evacuation,
    Incarnation,
    LearnedEndpoints,
    LearnedLimit,
    NodeRecord,
    decode_record,
    split_list,
)
from crowpost.storage.core import Store
from crowpost.storage.model import Durability
from crowpost.storage.runner import execute_job, open_store

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
PAGES = ("docs/feed.md", "docs/lab.md", "docs/membership.md", "docs/recovery.md")
CLUSTER = "golden"
OWNER = "n3"
NOW_MS = 1_700_000_000_000.0

RUNS = {
    "lab-run-calm": ("lab", "run", "calm", "--seed", "3", "--json"),
    "lab-run-demo": ("lab", "run", "demo", "--seed", "2", "--json"),
    "lab-run-demo-members": ("lab", "run", "demo", "--seed", "2", "--policy", "module+members", "--json"),
    "lab-run-demo-state": ("lab", "run", "demo", "--seed", "4", "--policy", "module+state", "--json"),
    "lab-run-slow-server": ("lab", "run", "slow-server", "--seed", "5", "--json"),
    "lab-run-zone-loss": ("lab", "run", "zone-loss", "--seed", "6", "--json"),
    "lab-feed": ("lab", "feed", "calm", "relay-dies", "loss", "--nodes", "60", "--seed", "2", "--json"),
    "lab-swarm": (
        *("lab", "swarm", "--members", "24", "--seconds", "90"),
        *("--seeds", "2", "--kills", "3", "--jobs", "1"),
    ),
}


# ---------------------------------------------------------------- frames


def member_frames() -> dict[str, bytes]:
    """A frame of every message kind of the members, by a name for each."""
    profile = Profile("n1", "127.0.0.1:7001", "north", "node", 1, 12.5, {"rack": "7", "cell": "b"})
    updates = (
        StateUpdate("n1", 11, 3, Phase.PRESENT, Liveness.ALIVE, "n1", "", profile),
        StateUpdate("n2", 12, 4, Phase.PRESENT, Liveness.SUSPECT, "n1", "no answer"),
        StateUpdate("n4", 14, 5, Phase.LEAVING, Liveness.LEFT, "n4", "in order"),
        StateUpdate("n5", 15, 6, Phase.JOINING, Liveness.DEAD, "n9", "not refuted"),
    )
    cluster = member_wire.cluster_tag(CLUSTER)
    sender = member_wire.Sender("n1", 11, 3, Phase.PRESENT, 77, 0xDEADBEEF)
    rows = [member_wire.pack(member_wire.encode_update(update)) for update in updates]
    frames = {}
    for kind in [kind for kind in member_wire.MessageKind if kind < 16]:
        message = member_wire.Message(kind, sender, 9, "n2", "127.0.0.1:7001", updates)
        frames[f"datagram-{int(kind)}"] = member_wire.encode_datagram(message, cluster, rows)
    one, two = (
        MembershipCore(
            CLUSTER, Profile(name, f"127.0.0.1:{port}", "north"), (), seed=1, instance_id=port, now=0.0
        )
        for name, port in (("n1", 7001), ("n2", 7002))
    )
    frames["exchange-hello"] = hello = sync.make_request(one)
    frames["exchange-table"] = table = sync.handle_request(two, hello, 10.0)
    frames["exchange-rest"] = rest = sync.handle_response(one, table, 20.0)
    sync.handle_completion(two, rest, 30.0)
    other = MembershipCore("other", Profile("n8", "127.0.0.1:7008"), (), seed=1, instance_id=8, now=0.0)
    frames["exchange-refused"] = sync.handle_request(other, hello, 10.0)
    view = member_wire.pack(view_snapshot(one, 40.0))
    kinds = member_wire.MessageKind
    for kind, body in (
        (kinds(20), view),
        (kinds(21), member_wire.pack([])),
        (kinds(22), member_wire.pack(["n1"])),
    ):
        frames[f"frame-{int(kind)}"] = member_wire.encode_frame(kind, cluster, body)
    return frames


def feed_frames() -> dict[str, bytes]:
    """A frame of every message kind of the feed, by its number."""
    document = a_document("region/north", 7, b'{"discovery": "127.0.0.1:8501"}')
    head, key = document.header, document.header.key
    apply_statuses = tuple(ApplyStatus(key, state, f"as {state}") for state in ApplyState)
    sent: list[feed_messages.Message] = [
        feed_messages.Hello("n1", "node", "north", "n1", "cart", False, 99, (key,)),
        feed_messages.DocumentHeaders((head, head)),
        feed_messages.FetchRequest(key, 100, 2_000),
        feed_messages.BodyChunk(key, 100, b"piece"),
        feed_messages.BodyUnavailable(key, "busy"),
        feed_messages.Heartbeat(123_456),
        feed_messages.ApplyReport("n1", 99, 5, apply_statuses),
        feed_messages.StatusRequest(3),
        feed_messages.StatusResponse(3, {"name": "r1", "held": [1, 2]}),
        feed_messages.PublishRequest(4, "service/cart", b"{}", "staff", "a reason", "north", 6, True),
        feed_messages.PublishAccepted(4, head),
        feed_messages.PublishRejected(4, "service/cart is at version 7 and not at 6"),
        feed_messages.Goodbye("in order"),
    ]
    frames = [feed_wire.encode(message, feed_wire.cluster_tag(CLUSTER)) for message in sent]
    return {f"kind-{frame[7]:02d}": frame for frame in frames}


def simulator_replies() -> bytes:
    """The replies of the module to the recorded stream, as bytes of the simulator's wire."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    name = command.split("-m ")[-1].strip()
    stream = (ROOT / "tests" / "data" / "stream.bin").read_bytes()
    done = subprocess.run(
        [sys.executable, "-m", name], input=stream, capture_output=True, check=True, cwd=ROOT
    )
    return done.stdout


def reply_count(replies: bytes) -> int:
    """The number of replies in a stream of them."""
    at = count = 0
    while at < len(replies):
        at += 8 + struct.unpack_from("<II", replies, at)[1]
        count += 1
    return count


# ---------------------------------------------------------------- directories


def a_document(scope: str, version: int, body: bytes) -> Document:
    """A document of a fixed author."""
    return make_document(scope, 2, version, body, author="staff", reason="a reason", writer="pub-n")


def write_records(
    directory: Path, owner: str, records: list[bytes], snapshot: Iterator[bytes] | None
) -> None:
    """A store with records, an optional snapshot after them, the records again, and no orderly end."""
    opened = open_store(directory, owner)
    store = Store(opened.recovered, 0.0)

    def work() -> None:
        for _ in range(20):
            job = store.next_job(1e9)
            if job is None:
                return
            store.complete_job(job.number, execute_job(opened.disk, job))

    for record in records:
        store.append(record, Durability.ACKNOWLEDGED, 0.0)
    work()
    if snapshot is not None:
        store.write_snapshot(snapshot)
        work()
        for record in records:
            store.append(record, Durability.ACKNOWLEDGED, 0.0)
        work()
    opened.disk.close()


def instance(name: str, lifecycle: str = "SERVING") -> dict[str, Any]:
    """An endpoint as discovery lists it."""
    return {
        "instanceId": name,
        "hostPort": "127.0.0.1:9000",
        "zone": "north",
        "machineType": "std",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 5.0,
    }


def node_records() -> list[bytes]:
    """A record of every kind that a node keeps."""
    listed = [instance(f"s-{i}") for i in range(300)]
    memories = [
        RememberedEndpoint(b"s-1", 5.0, 1.25, 18.5, False),
        RememberedEndpoint(b"s-2", 5.0, 0.5, None, True),
    ]
    records: list[NodeRecord] = [
        *split_list(True, 41, listed),
        *split_list(False, 42, [instance("s-7", "DELETED"), instance("s-301", "DRAINING")]),
        LearnedEndpoints(NOW_MS, memories),
        LearnedLimit(NOW_MS + 5.0, 12.5),
        Evacuation(True),
        Incarnation(9),
    ]
    return [record.encode() for record in records]


def node_snapshot() -> list[bytes]:
    """The snapshot of a node after those records."""
    state = NodeState()
    for record in node_records():
        state.apply(decode_record(record))
    return list(state.snapshot_pieces())


def ledger_records() -> tuple[list[bytes], list[bytes]]:
    """Records of three publishes and of a restore, and the snapshot after them."""
    ledger = PublicationLog(WriteAuthority("pub-n", "north", {"north": "pub-n"}), lambda scope, body: None)
    table = DocumentTable()
    records = []
    for number, (scope, body) in enumerate([("all", b"{}"), ("all", b'{"a": 1}'), ("region/north", b"[]")]):
        record, _ = ledger.publish(PublishRequest(number, scope, body, "staff", "a reason"), table)
        records.append(record)
    records.append(ledger.begin_epoch())
    return records, list(ledger.snapshot())


def shelf_documents() -> list[Document]:
    """The documents of a follower's cache."""
    return [a_document("all", 3, b"{}"), a_document("node/n3", 1, b'{"discovery": "127.0.0.1:8501"}')]


def write_directories(into: Path) -> None:
    """A node's state, a publisher's ledger and a follower's cache."""
    for name, owner, records, snapshot in (
        ("state", OWNER, node_records(), node_snapshot()),
        ("ledger", "pub-n", *ledger_records()),
    ):
        write_records(into / name, owner, records, iter(snapshot))
        (into / name / "lock").unlink(missing_ok=True)
    shelf = DocumentCache(into / "follower", (CLUSTER, OWNER))
    shelf.load()
    for document in shelf_documents():
        shelf.store(document)


# ---------------------------------------------------------------- texts and numbers


def telemetry() -> bytes:
    """The text of /api/telemetry for some counts."""
    metrics = Metrics(["look", 'a "quoted" \\ name'])
    for index, status in ((0, 200), (0, 200), (0, 503), (0, 429), (1, 502), (1, 200)):
        metrics.answered(index, status)
    for _ in range(7):
        metrics.attempt_written()
    return metrics.render(active=3, pool_size=12, pool_ejected=2, more={'members{state="alive"}': 4})


def toml_blocks(page: Path) -> list[str]:
    """The TOML examples of a page."""
    pieces = page.read_text(encoding="utf-8").split("```toml\n")[1:]
    return [piece.split("```")[0] for piece in pieces]


def plain(value: Any) -> Any:
    """A value without the names of fields: dataclasses as lists, enums as their values."""
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, dict):
        return {str(key): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    if value in (float("inf"), float("-inf")):
        return str(value)
    return value


def settings_of(config_json: Path) -> Any:
    """The settings that a config.json is read as, and its limits and seed."""
    config = load_config({"NODE_NAME": OWNER, "NODE_CONFIG": str(config_json)})
    return json.loads(
        json.dumps([plain(config.settings), plain(config.limits), config.seed, config.conn_idle_ms])
    )


def command_output(arguments: tuple[str, ...]) -> str:
    """What a command prints; it has to end in order."""
    command = [sys.executable, "-m", crowpost.__name__, *arguments]
    return subprocess.run(command, capture_output=True, check=True, cwd=ROOT, text=True).stdout


def numbers(printed: str) -> Any:
    """The results of a run without the time that it took and without digests made from names."""
    return without(json.loads(printed), ("digest", "took_s", "seconds_taken", "real_s"))


def without(value: Any, names: tuple[str, ...]) -> Any:
    """A JSON value without the members of these names, at any depth."""
    if isinstance(value, dict):
        return {key: without(item, names) for key, item in value.items() if key not in names}
    if isinstance(value, list):
        return [without(item, names) for item in value]
    return value


def record() -> None:
    """Write all files anew."""
    frames: dict[str, Callable[[], dict[str, bytes]]] = {"members": member_frames, "feed": feed_frames}
    for name, make in frames.items():
        lines = {key: frame.hex() for key, frame in make().items()}
        (HERE / f"frames-{name}.json").write_text(json.dumps(lines, indent=1) + "\n")
    (HERE / "simulator-replies.bin").write_bytes(simulator_replies())
    for name in ("state", "ledger", "follower"):
        shutil.rmtree(HERE / name, ignore_errors=True)
    write_directories(HERE)
    (HERE / "state.json").write_text(command_output(("state", "show", str(HERE / "state"), "--json")))
    (HERE / "telemetry.txt").write_bytes(telemetry())
    (HERE / "toml").mkdir(exist_ok=True)
    for page in PAGES:
        for number, block in enumerate(toml_blocks(ROOT / page), 1):
            (HERE / "toml" / f"{Path(page).stem}-{number}.toml").write_text(block)
    (HERE / "config-read.json").write_text(json.dumps(settings_of(HERE / "config.json"), indent=1) + "\n")
    for name, arguments in RUNS.items():
        (HERE / f"{name}.json").write_text(
            json.dumps(numbers(command_output(arguments)), sort_keys=True) + "\n"
        )


if __name__ == "__main__" and "--record" in sys.argv:
    record()
