"""Encoding only: protobuf between processes, JSON for callers and operators."""
