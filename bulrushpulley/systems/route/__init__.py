"""The router's systems: they bring callers' requests to agents."""
