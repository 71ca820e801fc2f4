"""Policies by name: the module, a baseline, or the module at a git revision (`rev:NAME`)."""

from __future__ import annotations

from crowpost import Balancer
from crowpost.decision_api import Settings
from crowpost.lab import baselines
from crowpost.lab.nodes import Policy
from crowpost.lab.platform import Platform, PolicyFactory
from crowpost.lab.restored_state import VARIANTS
from crowpost.lab.revisions import PolicyError, revision

MODULE = "module"
# Suffix of a policy's name: its front nodes are members and know how many nodes are present.
MEMBERS = "+members"


def factory(name: str) -> PolicyFactory:
    """Return the factory of the policy of that name; raise PolicyError if there is none."""
    for suffix in (MEMBERS, *VARIANTS):
        name = name.removesuffix(suffix)
    baseline_classes = {
        "random": baselines.RandomChoice,
        "round-robin": baselines.RoundRobin,
        "least-outstanding": baselines.LeastOutstanding,
        "p2c-peak-ewma": baselines.PeakEwma,
    }
    if name == MODULE:
        return lambda settings, seed, _platform, _stage: Balancer(settings, seed)
    if name in baseline_classes:
        return lambda settings, seed, _platform, _stage: baseline_classes[name](settings, seed)
    if name == "true-state":
        return _true_state
    if name.startswith("rev:"):
        earlier = revision(name.removeprefix("rev:"))
        return lambda settings, seed, _platform, _stage: earlier(settings, seed)
    known = ", ".join(
        (
            MODULE,
            *baselines.names(),
            "rev:GIT-REVISION",
            MODULE + MEMBERS,
            *(MODULE + suffix for suffix in VARIANTS),
        )
    )
    raise PolicyError(f"{name}: no such policy; known are {known}")


def _true_state(settings: Settings, seed: int, platform: Platform, _stage: int) -> Policy:
    return baselines.TrueState(settings, seed, platform)
