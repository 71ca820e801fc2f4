"""Headers of frames and records on the simulator's wire, and the error of what cannot be read."""

from __future__ import annotations

import struct

BATCH_HEADER = struct.Struct("<IdI")  # bytes, time in ms, number of records
REPLY_HEADER = struct.Struct("<II")  # number of records, bytes
RECORD_HEADER = struct.Struct("<BI")  # code, bytes


class WireError(Exception):
    """A frame or a setting that cannot be read; its text names what is wrong."""
