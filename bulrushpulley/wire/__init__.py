"""Encoding only: protobuf between processes, JSON towards the outside."""
