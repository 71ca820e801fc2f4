"""The earlier name of `crowpost.config_feed`, kept for the command `python -m crowpost.feed`."""
