"""The former name of `crowpost.membership`, kept for the command `python -m crowpost.members FILE`."""
