"""The guard's systems: they run requests on the backend server beside an agent."""
