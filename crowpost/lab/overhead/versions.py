"""Versions of the node to measure: the present one, and git revisions unpacked into folders."""

from __future__ import annotations

import io
import tarfile
from dataclasses import dataclass
from pathlib import Path

from crowpost.lab.checkout import PACKAGES, ROOT, GitError, commit_of, git, package_archive, package_of

NOW = "now"


class OverheadError(Exception):
    """Raised for a run that is not possible; the message is one line."""


@dataclass(frozen=True, slots=True)
class Version:
    """A version of the node: the present one, or a revision unpacked into a folder."""

    name: str
    commit: str
    folder: Path | None = None
    package: str = PACKAGES[0]  # Name of the package in that revision.


def present(root: Path = ROOT) -> Version:
    """Return the present version, with its commit if it is in a checkout."""
    try:
        commit = git(root, "rev-parse", "--short=12", "HEAD").decode().strip()
        changed = git(root, "status", "--porcelain", "--untracked-files=no", ":/").strip()
    except GitError:
        return Version(NOW, "unknown")
    return Version(NOW, f"{commit}+changes" if changed else commit)


def unpack(revision: str, folder: Path, root: Path = ROOT) -> Version:
    """Unpack the package of a git revision; raise OverheadError if the revision is unknown."""
    try:
        commit = commit_of(root, revision)
        package = package_of(root, commit)
        archived = package_archive(root, commit, package)
    except GitError as error:
        raise OverheadError(f"git: {error}") from error
    target = folder / commit[:12]
    with tarfile.open(fileobj=io.BytesIO(archived)) as archive:
        archive.extractall(target, filter="data")
    return Version(revision, commit[:12], target, package)
