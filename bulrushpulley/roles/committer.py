"""Builds the committer, the only client of the table service in an entry process."""

from __future__ import annotations

from bulrushpulley.entities.committer_tables import CommitterTables
from bulrushpulley.roles.actor import Role
from bulrushpulley.systems.commit import batch as commit_batch
from bulrushpulley.systems.commit import give_up as commit_give_up
from bulrushpulley.systems.commit import read as commit_read
from bulrushpulley.systems.commit.events import apply

COMMITTER = "committer"


def build(*, name: str, incarnation: str) -> Role[CommitterTables]:
    """Return the committer of an entry.

    `name` is the process's name in the settings. Only one process of a name runs at
    a time, and its successor takes over its fences. `incarnation` must be unique to
    the process.
    """
    return Role(
        name=COMMITTER,
        tables=CommitterTables(name=name, incarnation=incarnation),
        apply=apply,
        systems=(commit_give_up.run, commit_batch.run, commit_read.run),
    )
