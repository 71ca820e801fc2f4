"""A publisher's ledger: who may write what, versions, what is refused, and a power loss at every step."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, make_document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.messages import PublishRequest
from crowpost.config_feed.publication_log import PublicationLog
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.write_authority import WriteAuthority
from crowpost.lab.crash_consistency.simulated_disk import SimulatedDisk
from crowpost.lab.crash_consistency.workload import run_jobs
from crowpost.node.configuration_overlays import make_check
from crowpost.storage.core import Store
from crowpost.storage.model import Durability, RecoveredState
from crowpost.storage.recovery import recover
from crowpost.storage.write_policy import WritePolicy

PUBLISHERS = {"north": "p-n", "south": "p-s"}
ID = bytes(range(8))


def ledger(name: str = "p-n", records: Any = (), tuning: Tuning | None = None) -> PublicationLog:
    return PublicationLog(
        WriteAuthority(name, "north", PUBLISHERS), lambda scope, body: None, records, tuning
    )


def asked(scope: str = "all", body: bytes = b"{}", **more: Any) -> PublishRequest:
    return PublishRequest(1, scope, body, "ann", "why not", **more)


def publish(book: PublicationLog, table: DocumentTable, *args: Any, **more: Any) -> Document:
    """Published and told."""
    document = book.publish(asked(*args, **more), table)[1]
    assert table.put(document)
    return document


def refusal(book: PublicationLog, table: DocumentTable, *args: Any, **more: Any) -> str:
    with pytest.raises(FeedError) as error:
        book.publish(asked(*args, **more), table)
    return str(error.value)


# ---------------------------------------------------------------- who writes what


@pytest.mark.parametrize(
    ("name", "scope", "region", "said"),
    [
        ("p-n", "all", "", ""),
        ("p-n", "service/cart", "", ""),
        ("p-n", "region/north", "", ""),
        ("p-s", "region/south", "", ""),
        ("p-s", "node/n1", "south", ""),
        ("p-s", "all", "", "all is written by p-n, the publisher of north, and not by p-s"),
        (
            "p-s",
            "service/cart",
            "south",
            "service/cart is written by p-n, the publisher of north, and not by",
        ),
        (
            "p-n",
            "region/south",
            "north",
            "region/south is written by p-s, the publisher of south, and not by",
        ),
        ("p-n", "node/n1", "south", "node/n1 is written by p-s, the publisher of south, and not by p-n"),
        (
            "p-n",
            "node/n1",
            "",
            "node/n1: its first document needs the region that the node is configured for",
        ),
        ("p-n", "region/west", "", "no publisher for region 'west'; there are north, south"),
        ("p-n", "zone/a", "", "not a scope (all, region/R, service/S or node/N): 'zone/a'"),
        ("p-n", "region/", "", "not a scope"),
    ],
)
def test_one_publisher_writes_a_scope_and_another_names_it(
    name: str, scope: str, region: str, said: str
) -> None:
    book, table = ledger(name), DocumentTable()
    if said:
        assert refusal(book, table, scope, region=region).startswith(said)
        assert book.documents() == []
    else:
        assert publish(book, table, scope, region=region).header.writer == name


def test_the_writer_of_a_node_stays_whatever_region_is_said_later() -> None:
    north, south, table = ledger("p-n"), ledger("p-s"), DocumentTable()
    publish(south, table, "node/n1", region="south")
    said = refusal(north, table, "node/n1", region="north")
    assert said == "node/n1 is written by p-s, which wrote it first, and not by p-n"
    assert publish(south, table, "node/n1", region="north").header.version == 2


# ---------------------------------------------------------------- versions


def test_versions_rise_in_each_scope_and_a_condition_holds_also_for_what_is_not_on_the_disk_yet() -> None:
    book, table = ledger(), DocumentTable()
    one = book.publish(asked(if_version=0), table)[1]
    assert one.header.version == 1
    # In the same millisecond, before the first is kept or told: one of the two has its way.
    assert refusal(book, table, if_version=0) == "all is at version 1 and not at 0"
    assert book.publish(asked(if_version=1), table)[1].header.version == 2
    assert book.publish(asked("service/cart"), table)[1].header.version == 1
    assert refusal(book, table, "service/cart", if_version=7) == "service/cart is at version 1 and not at 7"
    assert [(d.header.scope, d.header.version) for d in book.documents()] == [("all", 2), ("service/cart", 1)]


def test_a_version_that_only_others_know_of_is_not_used_again() -> None:
    book, table = ledger(), DocumentTable()
    table.put(make_document("all", 3, 8, b"x", author="", reason="", writer="p-old"))
    header = publish(book, table).header
    assert (header.epoch, header.version) == (3, 9)


def test_a_rollback_publishes_the_previous_body_as_a_new_version_and_can_be_rolled_back() -> None:
    book, table = ledger(), DocumentTable()
    said = "all has no previous document to roll back to"
    assert refusal(book, table, rollback=True) == said
    publish(book, table, "all", b"1")
    assert refusal(book, table, rollback=True) == said
    publish(book, table, "all", b"2")
    assert [publish(book, table, rollback=True).body for _ in range(3)] == [b"1", b"2", b"1"]
    assert table.documents["all"].header.version == 5
    assert refusal(book, table, rollback=True, if_version=4) == "all is at version 5 and not at 4"


# ---------------------------------------------------------------- what is refused


def test_bodies_that_no_table_could_hold_are_rejected_before_they_are_written() -> None:
    tuning = Tuning(max_document_bytes=100, max_documents=2, max_table_bytes=150)
    book, table = ledger(tuning=tuning), DocumentTable(tuning)
    assert refusal(book, table, "all", bytes(101)) == "all: 101 bytes, 100 at the most"
    publish(book, table, "all", bytes(100))
    assert "would be 160 bytes" in refusal(book, table, "service/a", bytes(60))
    publish(book, table, "service/a", bytes(50))
    publish(book, table, "all", bytes(90))
    assert "in 2 scopes" in refusal(book, table, "service/b", b"")
    with pytest.raises(FeedError, match="author is longer than 64 bytes"):
        book.publish(PublishRequest(1, "all", b"{}", "x" * 65, ""), table)
    assert [d.header.version for d in book.documents()] == [2, 1], "a refusal takes no version"


@pytest.mark.parametrize(
    ("body", "said"),
    [
        (b"{", "all: the document is no JSON: "),
        (b"[]", "all: the document holds no object"),
        (b'{"discovery": "nowhere"}', "all: NODE_DISCOVERY is not an address and a port: 'nowhere'"),
        (b'{"settings": {"tickMs": "soon"}}', "all: settings: tickMs is not a number: 'soon'"),
    ],
)
def test_the_nodes_own_check_rejects_with_its_line(body: bytes, said: str) -> None:
    book = PublicationLog(WriteAuthority("p-n", "north", PUBLISHERS), make_check())
    assert refusal(book, DocumentTable(), "all", body).startswith(said)
    assert book.documents() == [] and book.publish(asked(body=b'{"discovery": "h:1"}'), DocumentTable())


def test_with_a_nodes_file_a_publisher_also_rejects_what_a_running_node_would(tmp_path: Any) -> None:
    sample = tmp_path / "node.json"
    sample.write_text(
        '{"seed": "1", "limits": {"memory_mb": 64, "sockets": 64},'
        ' "settings": {"tickMs": 5, "profiles": [{"effect": "safe", "aimMs": 1, "deadlineMs": 1}]}}'
    )
    book = PublicationLog(WriteAuthority("p-n", "north", PUBLISHERS), make_check(str(sample)))
    said = refusal(book, DocumentTable(), "all", b'{"settings": {"tickMs": 6}}')
    assert said == "all: settings.tickMs cannot change while the node runs"
    assert book.publish(asked(body=b'{"settings": {"tickMs": 5.0}, "discovery": "h:1"}'), DocumentTable())
    with pytest.raises(FeedError, match="feed.sample: .* cannot be read"):
        make_check(str(tmp_path / "none"))


# ---------------------------------------------------------------- records


def test_records_and_snapshots_give_the_same_state() -> None:
    book, table = ledger(), DocumentTable()
    records = [
        book.publish(asked(scope, body), table)[0]
        for scope in ("all", "region/north")
        for body in (b"1", b"2")
    ]
    records.append(book.begin_epoch())
    for again in (ledger(records=records), ledger(records=book.snapshot())):
        assert again.documents() == book.documents() and again.epoch == 2
        assert again.publish(asked(rollback=True), table)[1] == book.publish(asked(rollback=True), table)[1]
        book = ledger(records=records)
    for bad in (b"", b"\xc1", b"\x92\x07\x00", records[0][:-1] + b"?", b"\x93\x01\x90\xc4\x00"):
        with pytest.raises(FeedError):
            ledger(records=[bad])


def test_after_a_restore_what_is_published_is_newer_than_all_before() -> None:
    book, table = ledger(), DocumentTable()
    backup = [book.publish(asked(body=b"old"), table)[0]]
    lost = publish(book, table, "all", b"lost")
    book = ledger(records=backup)
    book.begin_epoch()
    assert book.publish(asked(body=b"new"), DocumentTable())[1].header.rank > lost.header.rank


def test_a_log_that_was_set_back_adopts_documents_of_the_fleet_and_begins_the_next_epoch() -> None:
    book, table = ledger(), DocumentTable()
    backup = [book.publish(asked(body=b"old"), table)[0]]
    lost, other = publish(book, table, "all", b"lost"), publish(book, table, "region/north", b"lost too")
    book = ledger(records=backup)
    records = book.adopt(lost)
    assert len(records) == 2 and book.epoch == 2
    assert len(book.adopt(other)) == 1 and book.epoch == 2, "one restore is one era"
    assert not book.adopt(lost) and not book.adopt(
        make_document("all", 9, 9, b"", author="", reason="", writer="p-s")
    )
    assert ledger(records=[*backup, *records]).documents() == [lost]
    assert publish(book, table, "all", b"new").header.rank > lost.header.rank
    assert publish(book, table, "all", rollback=True).body == b"lost"


# ---------------------------------------------------------------- a power loss at every step

POLICY = WritePolicy(segment_bytes=900, bytes_per_s=1e9, burst_bytes=1e9)
SCOPES = ("all", "region/north", "service/cart")


@dataclass
class Works:
    """A publisher on a simulated disk: what it assigned, and what it acknowledged, by scope."""

    seed: int
    assigned: dict[tuple[str, int, int], bytes] = field(default_factory=dict)
    acknowledged: dict[str, Document] = field(default_factory=dict)
    said: list[str] = field(default_factory=list)  # why publishes were not taken

    def __post_init__(self) -> None:
        self.rng = Random(f"feed ledger {self.seed}")
        self.table = DocumentTable()

    def assign(self, document: Document) -> None:
        header = document.header
        key = header.scope, header.epoch, header.version
        assert self.assigned.setdefault(key, header.digest) == header.digest, "a version was used twice"

    def work(self, disk: SimulatedDisk, publishes: int = 7) -> Iterator[None]:
        """Open, publish, and pause after each step of the disk."""
        found = recover(disk.names(), disk.read, "feed", ID)
        for operation in found.repairs:
            disk.perform(operation)
            yield
        store, book = Store(found, 0.0, POLICY), opened(found)
        for document in book.documents():
            self.table.put(document)
        for number in range(publishes):
            pending = []
            for _ in range(self.rng.choice((1, 1, 2))):
                body = b"%d %d " % (self.seed, number) * self.rng.randrange(1, 60)
                if store.failure:
                    self.said.append(store.failure)
                    return
                record, document = book.publish(asked(self.rng.choice(SCOPES), body), self.table)
                self.assign(document)
                pending.append((store.append(record, Durability.ACKNOWLEDGED, 0.0), document))
            if number % 3 == 2:
                store.write_snapshot(book.snapshot())

            def kept(pending: list[tuple[int, Document]] = pending) -> None:
                for sequence, document in pending:
                    if sequence <= store.durable_sequence:
                        self.acknowledged[document.header.scope] = document
                        self.table.put(document)

            yield from run_jobs(disk, store, kept)

    def check(self, disk: SimulatedDisk) -> None:
        """What a new process finds: all that was acknowledged, nothing half, and no version free again."""
        found = recover(disk.names(), disk.read, "feed", ID)
        book = opened(found)
        held = {document.header.scope: document for document in book.documents()}
        for scope, document in self.acknowledged.items():
            assert held[scope].header.rank >= document.header.rank, "an acknowledged document is lost"
        for document in held.values():
            header = document.header
            assert (
                document.is_intact
                and self.assigned[header.scope, header.epoch, header.version] == header.digest
            )
        for operation in found.repairs:
            disk.perform(operation)
        seen = dict(self.acknowledged)
        for scope in SCOPES:
            table = DocumentTable()  # of a process that has just begun
            document = book.publish(asked(scope, b"after the crash"), table)[1]
            if scope in seen:
                assert document.header.version > seen[scope].header.version, "a version was used twice"
            if scope in held:
                assert document.header.version == held[scope].header.version + 1
                assert book.publish(asked(scope, rollback=True), table)[1].body == held[scope].body


def opened(found: RecoveredState) -> PublicationLog:
    return ledger(records=[*found.snapshot, *(record.payload for record in found.records)])


def test_a_publisher_killed_at_any_step_of_a_publish_loses_nothing_it_acknowledged() -> None:
    states = 0
    for seed in range(3):
        works, disk = Works(seed), SimulatedDisk()
        for _ in range(2):
            for _ in works.work(disk):
                works.check(disk.survivor())
                for _, files in disk.crash_states(works.rng, 2):
                    works.check(SimulatedDisk(files))
                    states += 1
            disk = disk.survivor()  # a second process goes on
        assert len(works.acknowledged) == len(SCOPES)
    assert states > 1_000


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_a_disk_that_is_full_or_fails_at_any_step_loses_nothing_and_takes_nothing_more(code: int) -> None:
    count = SimulatedDisk()
    for _ in Works(1).work(count):
        pass
    stopped = 0
    for step in range(5, count.operations):
        works, disk = Works(1), SimulatedDisk(fail=(step, code))
        try:
            for _ in works.work(disk):
                pass
        except OSError:
            continue  # while it was opened: it does not start
        works.check(disk.survivor())
        for _, files in disk.crash_states(works.rng, 1):
            works.check(SimulatedDisk(files))
        stopped += bool(works.said)
    assert stopped > count.operations // 2
