"""Policies by name: the module, a baseline, or the module as it stood at a git revision (`rev:NAME`)."""

from __future__ import annotations

import importlib.util
import re
import subprocess
import sys
import tomllib
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import Any, cast

from fawngw import Balancer
from fawngw.interface import Settings
from fawngw.lab import baselines
from fawngw.lab.memory import VARIANTS
from fawngw.lab.nodes import Policy
from fawngw.lab.platform import Platform, PolicyFactory

MODULE = "module"
MEMBERS = "+members"  # behind a policy's name: its front nodes are members and know how many are present
ROOT = Path(__file__).parent  # of the checkout whose revisions are played


class PolicyError(Exception):
    """No such policy, or a revision whose module cannot be played; one line."""


def factory(name: str) -> PolicyFactory:
    """What builds the nodes' policies; PolicyError if there is none by that name."""
    for suffix in (MEMBERS, *VARIANTS):
        name = name.removesuffix(suffix)
    plain = {
        "random": baselines.RandomChoice,
        "round-robin": baselines.RoundRobin,
        "least-outstanding": baselines.LeastOutstanding,
        "p2c-peak-ewma": baselines.PeakEwma,
    }
    if name == MODULE:
        return lambda settings, seed, platform, stage: Balancer(settings, seed)
    if name in plain:
        return lambda settings, seed, platform, stage: plain[name](settings, seed)
    if name == "true-state":
        return _true_state
    if name.startswith("rev:"):
        balancer = revision(name.removeprefix("rev:"))
        return lambda settings, seed, platform, stage: cast(Policy, balancer(settings, seed))
    known = ", ".join(
        (MODULE, *baselines.names(), "rev:GIT-REVISION", MODULE + MEMBERS, *(MODULE + v for v in VARIANTS))
    )
    raise PolicyError(f"{name}: no such policy; known are {known}")


def _true_state(settings: Settings, seed: int, platform: Platform, stage: int) -> Policy:
    return baselines.TrueState(settings, seed, platform)


def _git(root: Path, *arguments: str) -> str:
    try:
        done = subprocess.run(["git", *arguments], cwd=root, capture_output=True, text=True, check=True)
    except FileNotFoundError:
        raise PolicyError("rev: git is not installed") from None
    except subprocess.CalledProcessError as error:
        raise PolicyError(f"rev: {' '.join(error.stderr.split())}") from None
    return done.stdout


@cache
def revision(name: str, root: Path = ROOT) -> Any:
    """The Balancer of a git revision, loaded beside the present one.

    Its policy files, as its own deploy file names them, run under a name of their own; the events and actions
    are the present ones, so that both versions speak to the same lab.
    """
    commit = _git(root, "rev-parse", "--verify", "--end-of-options", f"{name}^{{commit}}").strip()
    files = tomllib.loads(_git(root, "show", f"{commit}:deploy/balancer.toml"))["policy"]
    listed: list[str] = []
    for path in files:
        found = _git(root, "ls-tree", "-r", "--name-only", "--full-tree", commit, path).split()
        listed += [f for f in found if f.endswith(".py")]
    own = {_dotted(path) for path in listed}
    packages = {f for f in own if f"{f}.py".replace(".", "/") not in listed}
    prefix = f"fawngw_{commit[:12]}"
    renamed = {dotted: dotted.replace("fawngw", prefix, 1) for dotted in own}
    sources = {_dotted(path): _git(root, "show", f"{commit}:{path}") for path in listed}
    parent = ModuleType(prefix)
    parent.__path__ = []
    sys.modules[prefix] = parent
    finder = _Sources({renamed[d]: (_rename(s, renamed), d in packages) for d, s in sources.items()})
    sys.meta_path.insert(0, finder)
    try:
        for dotted in sorted(own):
            module = importlib.import_module(renamed[dotted])
            if hasattr(module, "Balancer"):
                return module.Balancer
    except ImportError as error:
        raise PolicyError(f"rev: {name} does not speak the present interface: {error}") from None
    raise PolicyError(f"rev: {name} has no Balancer in {', '.join(files)}")


def _dotted(path: str) -> str:
    return path.removesuffix(".py").removesuffix("/__init__").replace("/", ".")


def _rename(source: str, renamed: dict[str, str]) -> str:
    """The source with its imports of policy files led to that revision's own."""
    for dotted in sorted(renamed, key=len, reverse=True):
        source = re.sub(rf"\b{re.escape(dotted)}\b(?!\.py)", renamed[dotted], source)
    return source


class _Sources:
    """Finds modules among sources held in memory."""

    def __init__(self, sources: dict[str, tuple[str, bool]]) -> None:
        self._sources = sources

    def find_spec(self, fullname: str, path: object = None, target: object = None) -> Any:
        if fullname not in self._sources:
            return None
        package = self._sources[fullname][1]
        return importlib.util.spec_from_loader(fullname, cast(Any, self), is_package=package)

    def create_module(self, spec: object) -> None:
        return None

    def exec_module(self, module: ModuleType) -> None:
        source, _ = self._sources[module.__name__]
        exec(compile(source, f"<{module.__name__}>", "exec"), module.__dict__)  # noqa: S102
