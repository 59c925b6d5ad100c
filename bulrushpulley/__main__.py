"""Runs the command line by ``python -m bulrushpulley``."""

from bulrushpulley.main import console

console()
