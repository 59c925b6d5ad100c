"""The committer's systems: the only ones that have the table service written."""
