"""The scheduler's systems: they own a shard of the jobs and place their tasks."""
