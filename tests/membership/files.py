"""A minimal membership configuration file for the tests."""

from __future__ import annotations

MINIMAL_FILE = '[members]\ncluster = "c"\nname = "n"\nlisten = "127.0.0.1:0"\n'
