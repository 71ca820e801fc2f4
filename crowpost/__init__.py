"""crowpost: a load balancer's decisions, without I/O."""

from crowpost.decisions import Balancer, LearningAutomaton

__all__ = ["Balancer", "LearningAutomaton"]
