"""A scheduler for latency-critical services and batch work on the same machines."""
