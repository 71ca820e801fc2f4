"""The publication log: write authority, versions, rejected requests, and recovery after a power loss."""

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


def open_log(name: str = "p-n", records: Any = (), tuning: Tuning | None = None) -> PublicationLog:
    return PublicationLog(
        WriteAuthority(name, "north", PUBLISHERS), lambda scope, body: None, records, tuning
    )


def publish_request(scope: str = "all", body: bytes = b"{}", **options: Any) -> PublishRequest:
    return PublishRequest(1, scope, body, "ann", "why not", **options)


def publish(log: PublicationLog, table: DocumentTable, *args: Any, **options: Any) -> Document:
    """Publish a document, and store it in the table as if it had been announced."""
    document = log.publish(publish_request(*args, **options), table)[1]
    assert table.put(document)
    return document


def rejection_reason(log: PublicationLog, table: DocumentTable, *args: Any, **options: Any) -> str:
    with pytest.raises(FeedError) as error:
        log.publish(publish_request(*args, **options), table)
    return str(error.value)


# ---------------------------------------------------------------- write authority


@pytest.mark.parametrize(
    ("name", "scope", "region", "expected_error"),
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
def test_scope_is_written_by_one_publisher_and_the_others_name_it_in_their_rejection(
    name: str, scope: str, region: str, expected_error: str
) -> None:
    log, table = open_log(name), DocumentTable()
    if expected_error:
        assert rejection_reason(log, table, scope, region=region).startswith(expected_error)
        assert log.documents() == []
    else:
        assert publish(log, table, scope, region=region).header.writer == name


def test_writer_of_a_node_scope_does_not_change_with_the_region_of_a_request() -> None:
    north, south, table = open_log("p-n"), open_log("p-s"), DocumentTable()
    publish(south, table, "node/n1", region="south")
    reason = rejection_reason(north, table, "node/n1", region="north")
    assert reason == "node/n1 is written by p-s, which wrote it first, and not by p-n"
    assert publish(south, table, "node/n1", region="north").header.version == 2


# ---------------------------------------------------------------- versions


def test_versions_increase_by_scope_and_if_version_includes_documents_that_are_not_durable_yet() -> None:
    log, table = open_log(), DocumentTable()
    first = log.publish(publish_request(if_version=0), table)[1]
    assert first.header.version == 1
    # Before the first document is durable or announced, only one of two concurrent requests is accepted.
    assert rejection_reason(log, table, if_version=0) == "all is at version 1 and not at 0"
    assert log.publish(publish_request(if_version=1), table)[1].header.version == 2
    assert log.publish(publish_request("service/cart"), table)[1].header.version == 1
    assert (
        rejection_reason(log, table, "service/cart", if_version=7)
        == "service/cart is at version 1 and not at 7"
    )
    assert [(document.header.scope, document.header.version) for document in log.documents()] == [
        ("all", 2),
        ("service/cart", 1),
    ]


def test_version_that_is_only_in_the_table_is_not_used_again() -> None:
    log, table = open_log(), DocumentTable()
    table.put(make_document("all", 3, 8, b"x", author="", reason="", writer="p-old"))
    header = publish(log, table).header
    assert (header.epoch, header.version) == (3, 9)


def test_a_rollback_publishes_the_previous_body_as_a_new_version_and_can_be_rolled_back() -> None:
    log, table = open_log(), DocumentTable()
    expected_error = "all has no document before the one in force"
    assert rejection_reason(log, table, rollback=True) == expected_error
    publish(log, table, "all", b"1")
    assert rejection_reason(log, table, rollback=True) == expected_error
    publish(log, table, "all", b"2")
    assert [publish(log, table, rollback=True).body for _ in range(3)] == [b"1", b"2", b"1"]
    assert table.documents["all"].header.version == 5
    assert rejection_reason(log, table, rollback=True, if_version=4) == "all is at version 5 and not at 4"


# ---------------------------------------------------------------- rejected requests


def test_bodies_that_no_table_could_hold_are_rejected_before_they_are_written() -> None:
    tuning = Tuning(max_document_bytes=100, max_documents=2, max_table_bytes=150)
    log, table = open_log(tuning=tuning), DocumentTable(tuning)
    assert rejection_reason(log, table, "all", bytes(101)) == "all: 101 bytes, 100 at the most"
    publish(log, table, "all", bytes(100))
    assert "would be 160 bytes" in rejection_reason(log, table, "service/a", bytes(60))
    publish(log, table, "service/a", bytes(50))
    publish(log, table, "all", bytes(90))
    assert "in 2 scopes" in rejection_reason(log, table, "service/b", b"")
    with pytest.raises(FeedError, match="author is longer than 64 bytes"):
        log.publish(PublishRequest(1, "all", b"{}", "x" * 65, ""), table)
    assert [document.header.version for document in log.documents()] == [2, 1], "a rejection uses no version"


@pytest.mark.parametrize(
    ("body", "expected_error"),
    [
        (b"{", "all: the document is no JSON: "),
        (b"[]", "all: the document holds no object"),
        (b'{"discovery": "nowhere"}', "all: NODE_DISCOVERY is not an address and a port: 'nowhere'"),
        (b'{"settings": {"tickMs": "soon"}}', "all: settings: tickMs is not a number: 'soon'"),
    ],
)
def test_documents_that_fail_the_check_of_a_node_are_rejected(body: bytes, expected_error: str) -> None:
    log = PublicationLog(WriteAuthority("p-n", "north", PUBLISHERS), make_check())
    assert rejection_reason(log, DocumentTable(), "all", body).startswith(expected_error)
    assert log.documents() == [] and log.publish(
        publish_request(body=b'{"discovery": "h:1"}'), DocumentTable()
    )


def test_with_a_sample_file_changes_that_a_running_node_rejects_are_rejected(tmp_path: Any) -> None:
    sample = tmp_path / "node.json"
    sample.write_text(
        '{"seed": "1", "limits": {"memory_mb": 64, "sockets": 64},'
        ' "settings": {"tickMs": 5, "profiles": [{"effect": "safe", "aimMs": 1, "deadlineMs": 1}]}}'
    )
    log = PublicationLog(WriteAuthority("p-n", "north", PUBLISHERS), make_check(str(sample)))
    reason = rejection_reason(log, DocumentTable(), "all", b'{"settings": {"tickMs": 6}}')
    assert reason == "all: settings.tickMs cannot change while the node runs"
    assert log.publish(
        publish_request(body=b'{"settings": {"tickMs": 5.0}, "discovery": "h:1"}'), DocumentTable()
    )
    with pytest.raises(FeedError, match="feed.sample: .* cannot be read"):
        make_check(str(tmp_path / "none"))


# ---------------------------------------------------------------- records


def test_records_and_snapshots_restore_the_same_state() -> None:
    log, table = open_log(), DocumentTable()
    records = [
        log.publish(publish_request(scope, body), table)[0]
        for scope in ("all", "region/north")
        for body in (b"1", b"2")
    ]
    records.append(log.begin_epoch())
    for restored in (open_log(records=records), open_log(records=log.snapshot())):
        assert restored.documents() == log.documents() and restored.epoch == 2
        assert (
            restored.publish(publish_request(rollback=True), table)[1]
            == log.publish(publish_request(rollback=True), table)[1]
        )
        log = open_log(records=records)
    for bad in (b"", b"\xc1", b"\x92\x07\x00", records[0][:-1] + b"?", b"\x93\x01\x90\xc4\x00"):
        with pytest.raises(FeedError):
            open_log(records=[bad])


def test_documents_published_after_a_restore_are_newer_than_lost_ones() -> None:
    log, table = open_log(), DocumentTable()
    backup = [log.publish(publish_request(body=b"old"), table)[0]]
    lost = publish(log, table, "all", b"lost")
    log = open_log(records=backup)
    log.begin_epoch()
    assert log.publish(publish_request(body=b"new"), DocumentTable())[1].header.rank > lost.header.rank


def test_log_restored_from_an_old_backup_adopts_its_documents_and_begins_the_next_epoch() -> None:
    log, table = open_log(), DocumentTable()
    backup = [log.publish(publish_request(body=b"old"), table)[0]]
    lost, other = publish(log, table, "all", b"lost"), publish(log, table, "region/north", b"lost too")
    log = open_log(records=backup)
    records = log.adopt(lost)
    assert len(records) == 2 and log.epoch == 2
    assert len(log.adopt(other)) == 1 and log.epoch == 2, "one restore begins one epoch"
    assert not log.adopt(lost) and not log.adopt(
        make_document("all", 9, 9, b"", author="", reason="", writer="p-s")
    )
    assert open_log(records=[*backup, *records]).documents() == [lost]
    assert publish(log, table, "all", b"new").header.rank > lost.header.rank
    assert publish(log, table, "all", rollback=True).body == b"lost"


# ---------------------------------------------------------------- power loss and failed writes

POLICY = WritePolicy(segment_bytes=900, bytes_per_s=1e9, burst_bytes=1e9)
SCOPES = ("all", "region/north", "service/cart")


@dataclass
class SimulatedPublisher:
    """A publisher on a simulated disk, which records its assigned versions and acknowledged documents."""

    seed: int
    assigned: dict[tuple[str, int, int], bytes] = field(default_factory=dict)
    acknowledged: dict[str, Document] = field(default_factory=dict)
    # The store failures because of which publishing stopped.
    failures: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = Random(f"feed ledger {self.seed}")
        self.table = DocumentTable()

    def assign(self, document: Document) -> None:
        header = document.header
        key = header.scope, header.epoch, header.version
        assert self.assigned.setdefault(key, header.digest) == header.digest, "a version was used twice"

    def run(self, disk: SimulatedDisk, publishes: int = 7) -> Iterator[None]:
        """Open the store and publish; yield after each operation of the disk."""
        recovered = recover(disk.names(), disk.read, "feed", ID)
        for operation in recovered.repairs:
            disk.perform(operation)
            yield
        store, log = Store(recovered, 0.0, POLICY), recover_log(recovered)
        for document in log.documents():
            self.table.put(document)
        for number in range(publishes):
            pending = []
            for _ in range(self.rng.choice((1, 1, 2))):
                body = b"%d %d " % (self.seed, number) * self.rng.randrange(1, 60)
                if store.failure:
                    self.failures.append(store.failure)
                    return
                record, document = log.publish(publish_request(self.rng.choice(SCOPES), body), self.table)
                self.assign(document)
                pending.append((store.append(record, Durability.ACKNOWLEDGED, 0.0), document))
            if number % 3 == 2:
                store.write_snapshot(log.snapshot())

            def acknowledge(pending: list[tuple[int, Document]] = pending) -> None:
                for sequence, document in pending:
                    if sequence <= store.durable_sequence:
                        self.acknowledged[document.header.scope] = document
                        self.table.put(document)

            yield from run_jobs(disk, store, acknowledge)

    def check(self, disk: SimulatedDisk) -> None:
        """Check that a new process recovers all acknowledged documents intact and reuses no version."""
        recovered = recover(disk.names(), disk.read, "feed", ID)
        log = recover_log(recovered)
        recovered_documents = {document.header.scope: document for document in log.documents()}
        for scope, document in self.acknowledged.items():
            assert (
                recovered_documents[scope].header.rank >= document.header.rank
            ), "an acknowledged document is lost"
        for document in recovered_documents.values():
            header = document.header
            assert (
                document.is_intact
                and self.assigned[header.scope, header.epoch, header.version] == header.digest
            )
        for operation in recovered.repairs:
            disk.perform(operation)
        acknowledged = dict(self.acknowledged)
        for scope in SCOPES:
            table = DocumentTable()  # the table of a process that has just started
            document = log.publish(publish_request(scope, b"after the crash"), table)[1]
            if scope in acknowledged:
                assert (
                    document.header.version > acknowledged[scope].header.version
                ), "a version was used twice"
            if scope in recovered_documents:
                assert document.header.version == recovered_documents[scope].header.version + 1
                assert (
                    log.publish(publish_request(scope, rollback=True), table)[1].body
                    == recovered_documents[scope].body
                )


def recover_log(recovered: RecoveredState) -> PublicationLog:
    return open_log(records=[*recovered.snapshot, *(record.payload for record in recovered.records)])


def test_publisher_killed_at_any_disk_operation_loses_no_acknowledged_document() -> None:
    states = 0
    for seed in range(3):
        publisher, disk = SimulatedPublisher(seed), SimulatedDisk()
        for _ in range(2):
            for _ in publisher.run(disk):
                publisher.check(disk.survivor())
                for _, files in disk.crash_states(publisher.rng, 2):
                    publisher.check(SimulatedDisk(files))
                    states += 1
            # A second process continues with what is on the disk.
            disk = disk.survivor()
        assert len(publisher.acknowledged) == len(SCOPES)
    assert states > 1_000


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.EIO])
def test_disk_failure_at_any_operation_loses_no_document_and_stops_publishing(code: int) -> None:
    reference_disk = SimulatedDisk()
    for _ in SimulatedPublisher(1).run(reference_disk):
        pass
    stopped = 0
    for step in range(5, reference_disk.operations):
        publisher, disk = SimulatedPublisher(1), SimulatedDisk(fail=(step, code))
        try:
            for _ in publisher.run(disk):
                pass
        except OSError:
            continue  # the fault occurred while the store was opened, so the publisher does not start
        publisher.check(disk.survivor())
        for _, files in disk.crash_states(publisher.rng, 1):
            publisher.check(SimulatedDisk(files))
        stopped += bool(publisher.failures)
    assert stopped > reference_disk.operations // 2
