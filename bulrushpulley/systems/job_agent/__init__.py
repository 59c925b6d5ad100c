"""The job agent's systems: they run tasks on the backend server of their host."""
