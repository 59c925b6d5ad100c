"""The controller's systems: records, backlog, members and the calls of operators."""
