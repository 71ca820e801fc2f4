"""Versions of the node to play: the present one, and git revisions unpacked into folders."""

from __future__ import annotations

import io
import subprocess
import tarfile
from dataclasses import dataclass
from pathlib import Path

NOW = "now"
ROOT = Path(__file__).parent  # of the checkout whose revisions are played


class OverheadError(Exception):
    """What cannot be played; one line."""


@dataclass(frozen=True, slots=True)
class Version:
    """A version of the node: the present one, or a revision unpacked into a folder."""

    name: str
    commit: str
    folder: Path | None = None


def _git(root: Path, *arguments: str) -> bytes:
    try:
        done = subprocess.run(["git", *arguments], cwd=root, capture_output=True, check=True)
    except FileNotFoundError:
        raise OverheadError("git is not installed") from None
    except subprocess.CalledProcessError as error:
        raise OverheadError(f"git: {' '.join(error.stderr.decode().split())}") from None
    return done.stdout


def present(root: Path = ROOT) -> Version:
    """The present version, with its commit where it stands in a checkout."""
    try:
        commit = _git(root, "rev-parse", "--short=12", "HEAD").decode().strip()
        changed = _git(root, "status", "--porcelain", "--untracked-files=no", ":/").strip()
    except OverheadError:
        return Version(NOW, "unknown")
    return Version(NOW, f"{commit}+changes" if changed else commit)


def unpack(revision: str, folder: Path, root: Path = ROOT) -> Version:
    """The package of a git revision; OverheadError if there is none by that name."""
    top = _git(root, "rev-parse", "--show-toplevel").decode().strip()
    commit = (
        _git(root, "rev-parse", "--verify", "--end-of-options", f"{revision}^{{commit}}").decode().strip()
    )
    packed = _git(root, "-C", top, "archive", "--format=tar", commit, "fawngw")
    target = folder / commit[:12]
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(target, filter="data")
    return Version(revision, commit[:12], target)
