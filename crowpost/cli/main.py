"""`crowpost`: the command's entry, and the errors that end it in one line with exit code 2."""

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
    help="A load balancer node for services that call services, and the lab it is tried in.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(feed, name="feed")
app.add_typer(lab, name="lab")
app.add_typer(members, name="members")
app.add_typer(state, name="state")
app.command()(demo)


def main() -> None:
    """Exit code 0 if all went well, 1 if a rule was broken, 2 with one plain line for what cannot be used."""
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
