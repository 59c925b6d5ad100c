"""The decision logic: pure functions over tables, run in a fixed order each tick."""
