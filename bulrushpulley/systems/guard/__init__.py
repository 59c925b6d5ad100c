"""The guard's systems, which run requests on the agent's backend server."""
