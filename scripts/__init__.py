"""Programs for developers: the demo, the build's checks and measurements."""
