"""The tests of bulrushpulley and its stand-ins."""
