"""Cluster membership: which processes are present, by the SWIM protocol with the Lifeguard extensions.

`core` implements the protocol without I/O, and `sync` its anti-entropy; `transport` runs both on UDP and TCP.
`work_share` derives from a view how many nodes share the work.  `configuration` reads the TOML file.
"""
