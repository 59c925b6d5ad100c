"""Programs for developers: the demo, checks with processes, and measurements."""
