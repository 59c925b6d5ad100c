"""The cell owner's systems: they run tasks on the workers of the cells it owns."""
