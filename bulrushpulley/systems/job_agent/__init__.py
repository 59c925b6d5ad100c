"""The keeper's systems: they run tasks on the backend server beside an agent."""
