"""The committer: the only client of the table service in an entry process."""

from __future__ import annotations

from bulrushpulley.entities.committer_tables import CommitterTables
from bulrushpulley.roles.actor import Role
from bulrushpulley.systems.commit import batch as commit_batch
from bulrushpulley.systems.commit import give_up as commit_give_up
from bulrushpulley.systems.commit import read as commit_read
from bulrushpulley.systems.commit.events import apply

COMMITTER = "committer"


def build(*, name: str, incarnation: str) -> Role[CommitterTables]:
    """Build the role.

    `name` is the process's name in the settings: one process of a name runs at a
    time, a successor takes over its fences. `incarnation` is unique to the process.
    """
    return Role(
        name=COMMITTER,
        tables=CommitterTables(name=name, incarnation=incarnation),
        apply=apply,
        systems=(commit_give_up.run, commit_batch.run, commit_read.run),
    )
