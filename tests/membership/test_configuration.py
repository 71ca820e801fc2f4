"""Tests of the membership configuration file."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path

import pytest

from crowpost.membership.configuration import TABLE_KEYS, TUNING_KEYS, load
from crowpost.membership.settings import ProtocolSettings
from tests.membership.files import MINIMAL_FILE
from tests.test_cli import crowpost


def test_all_tables_of_a_file_are_read(tmp_path: Path) -> None:
    file = tmp_path / "m.toml"
    file.write_text(
        MINIMAL_FILE
        + 'join = ["127.0.0.1:1"]\nfeed = true\n[members.facts]\nrack = "7"\n[members.tuning]\nhelpers = 2\n'
    )
    loaded = load(str(file))
    assert (loaded.join, loaded.share_work, loaded.facts, loaded.protocol.indirect_probes) == (
        ("127.0.0.1:1",),
        True,
        {"rack": "7"},
        2,
    )
    file.write_text('[members]\ncluster = "c"\nlisten = "127.0.0.1:0"\n')
    assert load(str(file), "from-the-environment").name == "from-the-environment"


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("", "members: the table is missing"),
        ("x", "Expected '='"),
        ("[members]\n", "members.cluster: is missing"),
        (MINIMAL_FILE + "wrong = 1\n", "members.wrong: no such key; known are cluster"),
        (MINIMAL_FILE + 'join = "a:1"\n', "members.join: a list of addresses"),
        (MINIMAL_FILE + 'join = ["a"]\n', "members.join: not an IPv4 address and a port: 'a'"),
        (MINIMAL_FILE + "feed = 1\n", "members.feed: true or false"),
        (MINIMAL_FILE + "least_part = 2\n", "members.least_part: a number from 0 to 1, not 2"),
        (MINIMAL_FILE + "[members.tuning]\nprobe_ms = 0\n", "members.tuning.probe_ms: a number from 0.001"),
        (MINIMAL_FILE + "[members.tuning]\nhelpers = 1.5\n", "members.tuning.helpers: a whole number"),
        (MINIMAL_FILE + "[members.tuning]\nspeed = 1\n", "members.tuning.speed: no such key"),
        (MINIMAL_FILE + "[members.facts]\na = 1\n", "members.facts: a table of texts"),
        (MINIMAL_FILE.replace('"n"', f'"{"n" * 65}"'), "name is longer than 64 bytes"),
    ],
)
def test_an_invalid_file_is_reported_with_its_path_and_key(tmp_path: Path, text: str, error: str) -> None:
    file = tmp_path / "m.toml"
    file.write_text(text)
    result = crowpost("members", "run", str(file))
    assert result.returncode == 2 and error in result.stderr and str(file) in result.stderr
    assert len(result.stderr.splitlines()) == 1


def test_the_keys_of_the_file_are_fixed() -> None:
    """Guards the keys of operators' files against changes when fields are renamed."""
    assert (
        *("cluster", "name", "listen", "advertise", "join", "zone", "role"),
        *("feed", "settle_ms", "least_part", "facts", "tuning"),
    ) == TABLE_KEYS
    assert set(TUNING_KEYS) == {field.name for field in fields(ProtocolSettings)}
    assert set(TUNING_KEYS.values()) == {
        *("probe_ms", "helpers", "suspicion", "suspicion_most", "confirmations", "gossip_ms", "fanout"),
        *("repeats", "sync_ms", "mismatch_ms", "rejoin_ms", "forget_ms", "most_members", "most_gone"),
        *("datagram_bytes", "bytes_per_s", "bytes_saved"),
    }


@pytest.mark.parametrize(("field", "key"), TUNING_KEYS.items())
def test_each_tuning_key_sets_its_field(tmp_path: Path, field: str, key: str) -> None:
    file = tmp_path / "m.toml"
    file.write_text(f"{MINIMAL_FILE}[members.tuning]\n{key} = 7\n")
    assert load(str(file)).protocol == ProtocolSettings(**{field: 7})
