"""The scheduler's systems: owning a shard of the jobs and placing their tasks."""
