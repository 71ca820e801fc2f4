"""The git checkout that contains this program: git commands, and the package of a revision."""

from __future__ import annotations

import subprocess
from pathlib import Path

ROOT = Path(__file__).parent  # a folder of the checkout whose revisions are used
PACKAGES = ("crowpost", "fawngw")  # names that the package has had, the present one first


class GitError(Exception):
    """A git command that failed, or a revision that cannot be used; the text is one line."""


def git(root: Path, *arguments: str) -> bytes:
    """Return the output of a git command; raise a one-line GitError if it fails."""
    try:
        done = subprocess.run(["git", *arguments], cwd=root, capture_output=True, check=True)
    except FileNotFoundError:
        raise GitError("git is not installed") from None
    except subprocess.CalledProcessError as error:
        raise GitError(" ".join(error.stderr.decode().split())) from None
    return done.stdout


def commit_of(root: Path, revision: str) -> str:
    """Return the full hash of the commit of a revision; raise GitError if there is no such revision."""
    return git(root, "rev-parse", "--verify", "--end-of-options", f"{revision}^{{commit}}").decode().strip()


def package_of(root: Path, commit: str) -> str:
    """Return the name that the package has at a commit; raise GitError if the commit has none of them."""
    names = git(root, "ls-tree", "--name-only", "--full-tree", commit).decode().split()
    for package in PACKAGES:
        if package in names:
            return package
    raise GitError(f"{commit} contains none of the packages {', '.join(PACKAGES)}")


def package_archive(root: Path, commit: str, package: str) -> bytes:
    """Return the package at a commit as a tar archive."""
    top = git(root, "rev-parse", "--show-toplevel").decode().strip()
    return git(root, "-C", top, "archive", "--format=tar", commit, package)
