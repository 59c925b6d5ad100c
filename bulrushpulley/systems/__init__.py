"""The decisions: pure functions over tables, run in a stated order each tick."""
