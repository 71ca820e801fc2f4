"""The lab: scenarios of a whole platform, run in simulated time or on loopback sockets.

It drives the unchanged decision module and node from outside. No module of the node imports it, and its
libraries are the extra `lab` of the package.
"""
