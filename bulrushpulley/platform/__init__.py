"""Clients of the platform: table service, object store, workers, backend servers."""
