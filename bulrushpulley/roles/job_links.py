"""How the links between the owner of a shard and the agents are kept alive.

A silent link is noticed before the leases of its agent's runs are in danger.
"""

from __future__ import annotations

# An idle link sends an empty frame this often, and ends after so long without one.
JOB_LINK_HEARTBEAT_INTERVAL_S = 1.0
JOB_LINK_SILENCE_TIMEOUT_S = 3.0
# A host that does not answer a dial within this time is dialled again.
JOB_LINK_HELLO_TIMEOUT_S = 1.5
