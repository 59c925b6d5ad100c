"""The cell owner's systems, which run tasks on the workers of its cells."""
