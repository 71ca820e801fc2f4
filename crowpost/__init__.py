"""crowpost: a load balancer node; this module exports its decision logic, which does no I/O."""

from crowpost.decisions import Balancer, LearningAutomaton

__all__ = ["Balancer", "LearningAutomaton"]
