"""`crowpost`: the entry point, and the errors that are reported in one line with exit code 2."""

from __future__ import annotations

import sys

import typer

from crowpost.cli.demo import demo
from crowpost.cli.feed import app as feed
from crowpost.cli.lab import app as lab
from crowpost.cli.members import app as members
from crowpost.cli.state import app as state

app = typer.Typer(
    name="crowpost",
    help="A load balancer node for services that call services, and the lab that tests it.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(feed, name="feed")
app.add_typer(lab, name="lab")
app.add_typer(members, name="members")
app.add_typer(state, name="state")
app.command()(demo)


def main() -> None:
    """Run the command line.

    The exit code is 0 for success, 1 if a check failed, and 2 with a one-line message for invalid input.
    """
    from crowpost.config_feed.errors import FeedError
    from crowpost.lab.revisions import PolicyError
    from crowpost.lab.runs import RunFolderError
    from crowpost.lab.scenario import ScenarioError
    from crowpost.membership.errors import MembershipError
    from crowpost.storage.errors import StoreError

    try:
        app()
    except (ScenarioError, RunFolderError, PolicyError, MembershipError, StoreError, FeedError) as error:
        print(f"crowpost: {error}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
