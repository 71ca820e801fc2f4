"""The `crowpost` command.  It imports the lab and the node; neither imports it."""
