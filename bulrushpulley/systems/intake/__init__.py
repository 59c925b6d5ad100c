"""The intake's systems: they serve callers' calls about jobs and store submissions."""
