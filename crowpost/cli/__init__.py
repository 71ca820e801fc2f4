"""The `crowpost` command line.  It imports the lab and the node; neither imports it."""
