"""Frames, stored files, texts and results must match the golden files of revision 878089b."""

from __future__ import annotations

import json
import shutil
import tomllib
from pathlib import Path

import pytest

import crowpost.config_feed.frames as feed_wire
import crowpost.membership.wire as member_wire
from crowpost.config_feed.configuration import load as load_feed
from crowpost.config_feed.document_cache import DocumentCache
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.publication_log import PublicationLog
from crowpost.config_feed.write_authority import WriteAuthority
from crowpost.lab.scenario import load as load_scenario
from crowpost.membership.configuration import load as load_members
from crowpost.node.state.node_state import read_node_state
from crowpost.storage.config import load as load_state
from crowpost.storage.runner import inspect_store, open_store
from tests.golden import build
from tests.golden.build import HERE, ROOT


def read_frames(name: str) -> dict[str, bytes]:
    hex_frames: dict[str, str] = json.loads((HERE / name).read_text())
    return {key: bytes.fromhex(text) for key, text in hex_frames.items()}


def file_contents(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def test_encoded_membership_frames_match_golden_files() -> None:
    assert build.member_frames() == read_frames("frames-members.json")


def test_membership_datagrams_survive_decoding_and_encoding() -> None:
    cluster = member_wire.cluster_tag(build.CLUSTER)
    frames = [
        frame for key, frame in read_frames("frames-members.json").items() if key.startswith("datagram")
    ]
    assert len(frames) == 5
    for frame in frames:
        message = member_wire.decode_datagram(frame, cluster, 2_000)
        rows = [member_wire.pack(member_wire.encode_update(update)) for update in message.updates]
        assert member_wire.encode_datagram(message, cluster, rows) == frame


def test_encoded_feed_frames_match_golden_files() -> None:
    assert build.feed_frames() == read_frames("frames-feed.json")


def test_feed_frames_survive_decoding_and_encoding() -> None:
    frames = read_frames("frames-feed.json")
    assert len(frames) == 13
    for frame in frames.values():
        message = feed_wire.decode(frame[4:], feed_wire.cluster_tag(build.CLUSTER))
        assert feed_wire.encode(message, feed_wire.cluster_tag(build.CLUSTER)) == frame


def test_simulator_replies_match_golden_file() -> None:
    replies = build.simulator_replies()
    assert build.reply_count(replies) > 100
    assert replies == (HERE / "simulator-replies.bin").read_bytes()


def test_state_show_output_matches_golden_file(tmp_path: Path) -> None:
    shutil.copytree(HERE / "state", tmp_path / "state")
    printed = build.command_output(("state", "show", str(tmp_path / "state"), "--json"))
    assert json.loads(printed) == json.loads((HERE / "state.json").read_text())


def test_golden_state_directory_yields_its_records_and_snapshot(tmp_path: Path) -> None:
    shutil.copytree(HERE / "state", tmp_path / "state")
    opened = open_store(tmp_path / "state", build.OWNER)
    try:
        assert list(read_node_state(opened.recovered).snapshot_pieces()) == opened.recovered.snapshot
        assert [record.payload for record in opened.recovered.records] == build.node_records()
        assert opened.recovered.snapshot == build.node_snapshot()
    finally:
        opened.disk.close()


def test_golden_publication_log_yields_its_records_and_snapshot(tmp_path: Path) -> None:
    shutil.copytree(HERE / "ledger", tmp_path / "ledger")
    stored = inspect_store(tmp_path / "ledger", "pub-n")
    records, snapshot = build.ledger_records()
    assert stored.snapshot == snapshot
    assert [record.payload for record in stored.records] == records
    authority = WriteAuthority("pub-n", "north", {"north": "pub-n"})
    publication_log = PublicationLog(authority, lambda scope, body: None, stored.snapshot)
    assert list(publication_log.snapshot()) == snapshot


def test_golden_document_cache_survives_reading_and_writing(tmp_path: Path) -> None:
    shutil.copytree(HERE / "follower", tmp_path / "read")
    documents, notes = DocumentCache(tmp_path / "read", (build.CLUSTER, build.OWNER)).load()
    assert documents == build.shelf_documents() and notes == []
    rewritten_cache = DocumentCache(tmp_path / "rewritten", (build.CLUSTER, build.OWNER))
    rewritten_cache.load()
    for document in documents:
        rewritten_cache.store(document)
    assert file_contents(tmp_path / "rewritten") == file_contents(HERE / "follower")
    with pytest.raises(FeedError, match="belongs to"):
        DocumentCache(tmp_path / "rewritten", (build.CLUSTER, "n4")).load()


def test_telemetry_text_matches_golden_file() -> None:
    assert build.telemetry() == (HERE / "telemetry.txt").read_bytes()


@pytest.mark.parametrize("page", build.PAGES)
def test_toml_examples_of_pages_match_golden_files(page: str) -> None:
    blocks = build.toml_blocks(ROOT / page)
    files = sorted((HERE / "toml").glob(f"{Path(page).stem}-*.toml"))
    assert blocks and len(blocks) == len(files)
    for block, file in zip(blocks, files, strict=True):
        assert tomllib.loads(block) == tomllib.loads(file.read_text())


def test_golden_toml_examples_load() -> None:
    examples = HERE / "toml"
    members = load_members(str(examples / "membership-1.toml"), "n0")
    assert members.cluster == "caerdydd"
    assert str(load_state(str(examples / "recovery-1.toml"), "n0").directory) == "/var/lib/crowpost/n3"
    assert load_feed(str(examples / "feed-1.toml"), "n3").cluster == "c1"
    assert load_feed(str(examples / "feed-2.toml"), "").cluster == "c1"
    assert load_scenario(str(examples / "lab-1.toml")).duration_s == 30.0


def test_golden_config_json_yields_the_same_settings() -> None:
    assert build.settings_of(HERE / "config.json") == json.loads((HERE / "config-read.json").read_text())


@pytest.mark.parametrize("name", build.RUNS)
def test_lab_results_of_fixed_seeds_match_golden_files(name: str) -> None:
    printed = build.command_output(build.RUNS[name])
    assert build.numbers(printed) == json.loads((HERE / f"{name}.json").read_text())
