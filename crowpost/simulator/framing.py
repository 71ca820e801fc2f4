"""Headers of frames and records of the simulator's wire protocol, and the error for invalid input."""

from __future__ import annotations

import struct

BATCH_HEADER = struct.Struct("<IdI")  # Body size in bytes, time in ms, number of records
REPLY_HEADER = struct.Struct("<II")  # Number of records, body size in bytes
RECORD_HEADER = struct.Struct("<BI")  # Record code, body size in bytes


class WireError(Exception):
    """A frame or a setting is invalid; the text names the fault."""
