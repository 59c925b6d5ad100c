"""Clients of the platform's services, workers and backend servers; HTTP fronts."""
