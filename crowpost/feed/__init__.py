"""Former name of the package `crowpost.config_feed`, kept for the command `python -m crowpost.feed`."""
