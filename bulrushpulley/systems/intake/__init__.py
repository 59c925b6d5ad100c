"""The intake's systems: they take callers' calls about jobs and store them."""
