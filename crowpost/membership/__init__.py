"""Membership: which processes of a cluster are present, by SWIM with the extensions of Lifeguard.

`core` is the protocol without I/O, and `sync` its anti-entropy; `transport` runs both on UDP and TCP.
`work_share` derives from a view how many nodes share the work.  `configuration` reads the TOML file.
"""
