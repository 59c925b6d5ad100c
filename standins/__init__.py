"""Small stand-ins of the platform, the backend servers and the callers."""
