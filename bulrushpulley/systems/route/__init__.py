"""The router's systems, which send callers' requests to agents."""
