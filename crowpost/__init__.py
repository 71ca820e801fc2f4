"""crowpost: a load balancer's decisions, without I/O."""

from crowpost.decisions import Automaton, Balancer

__all__ = ["Automaton", "Balancer"]
