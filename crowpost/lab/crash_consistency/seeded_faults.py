"""Faults put into the store on purpose, each by name, to show that the checks find them."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from crowpost.storage import file_format, recovery
from crowpost.storage.core import Store
from crowpost.storage.file_format import STORE
from crowpost.storage.model import (
    Append,
    Create,
    Found,
    Operation,
    Remove,
    Rename,
    Sync,
    SyncDirectory,
)

Patch = Callable[[], AbstractContextManager[Any]]
_write_snapshot = Store._write_snapshot
_begin_log = Store._begin_log
_write_waiting = Store._write_waiting
_done = Store.done
_rewrite = recovery._rewrite
_begin = recovery._begin
_read_all = recovery._read_all


def _method(name: str, changed: Callable[..., Any]) -> Patch:
    return lambda: mock.patch.object(Store, name, changed)


def _recovery(name: str, changed: Callable[..., Any]) -> Patch:
    return lambda: mock.patch.object(recovery, name, changed)


def _without(operations: list[Operation], *kinds: type) -> list[Operation]:
    return [o for o in operations if not isinstance(o, kinds)]


def _snapshot_without_directory(self: Store, *args: Any) -> list[Operation]:
    return _without(_write_snapshot(self, *args), SyncDirectory)


def _snapshot_renamed_early(self: Store, *args: Any) -> list[Operation]:
    operations = _write_snapshot(self, *args)
    if len(operations) > 3 and isinstance(operations[3], Rename):
        name = operations[3].to
        operations[2:4] = [operations[3], Sync(name)]
    return operations


def _removed_first(self: Store, *args: Any) -> list[Operation]:
    """Logs that the new snapshot makes needless go before it is there, and none is spared."""
    before = list(self._segments)
    operations = _write_snapshot(self, *args)
    self._segments = [s for s in self._segments if s not in before]
    gone = [Remove(name) for _, name in before] if len(self._segments) else []
    seal = [o for o in operations if isinstance(o, Append | Sync) and o.file in {n for _, n in before}]
    return [*gone, *(o for o in operations if not isinstance(o, Remove) and o not in seal)]


def _no_sync(self: Store) -> list[Operation]:
    return _without(_write_waiting(self), Sync)


def _log_without_directory(self: Store) -> list[Operation]:
    return _without(_begin_log(self), SyncDirectory)


def _kept_too_early(self: Store) -> list[Operation]:
    self.kept = self.next_sequence - 1
    return _write_waiting(self)


def _error_ignored(code: str) -> Callable[..., None]:
    def done(self: Store, number: int, error: str | None = None, filled: int = 0) -> None:
        _done(self, number, None if error is not None and f"Errno {code}]" in error else error, filled)

    return done


def _no_rewrite(found: Found, read: recovery.Read) -> list[Operation]:
    name = found.segments[-1][1]
    found.tail_bytes = len(read(name))
    return [Sync(name), SyncDirectory()]


def _rewrite_unsynced(found: Found, read: recovery.Read) -> list[Operation]:
    return _without(_rewrite(found, read), Sync)


def _store_first(owner: str, identity: bytes) -> list[Operation]:
    made = _begin(owner, identity)
    log = [o for o in made if isinstance(o, Create | Sync) and o.file != STORE + file_format.NEW]
    return [*(o for o in made if o not in log), *log, SyncDirectory()]


def _damage_passed_over(found: Found, *args: Any) -> None:
    found.notes.append("something was cut")


def _off_by_one(*args: Any) -> None:
    _read_all(*args)
    args[3].next_sequence += 1


def _newest_ignored(own: Any, read: Any, identity: bytes, found: Found) -> None:
    """Where two snapshots are there the older one is taken, and the log behind it not asked for."""
    snapshots = sorted(name for name, told in own if not told.log)
    _read_all([(n, t) for n, t in own if n not in snapshots[1:]], read, identity, found)


def _head_unchecked(
    file: str, data: bytes, kind: bytes, identity: bytes, sequence: int, version: int
) -> bytes:
    return file_format.head(kind, identity, sequence, version)


BROKEN: dict[str, Patch] = {
    "no fsync of the directory after a snapshot": _method("_write_snapshot", _snapshot_without_directory),
    "no fsync of the directory after a new log": _method("_begin_log", _log_without_directory),
    "no fsync before the acknowledgement": _method("_write_waiting", _no_sync),
    "snapshot renamed before its data is synced": _method("_write_snapshot", _snapshot_renamed_early),
    "logs removed before the snapshot is kept": _method("_write_snapshot", _removed_first),
    "records called synced before they are": _method("_write_waiting", _kept_too_early),
    "a failed fsync taken for done": _method("done", _error_ignored("5")),
    "a full disk taken for done": _method("done", _error_ignored("28")),
    "torn end not cut": _recovery("_rewrite", _no_rewrite),
    "rewritten log not synced": _recovery("_rewrite", _rewrite_unsynced),
    "the store's own file made first": _recovery("_begin", _store_first),
    "damage passed over as a torn end": _recovery("_tear", _damage_passed_over),
    "the next sequence off by one": _recovery("_read_all", _off_by_one),
    "an older snapshot chosen in secret": _recovery("_read_all", _newest_ignored),
    "heads not checked": _recovery("check_head", _head_unchecked),
    "CRC not checked": lambda: mock.patch.object(file_format, "_crc", lambda *args: 0),
}
