"""The committer's systems; only they write to the table service."""
