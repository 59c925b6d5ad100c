"""How the links between the owner of a shard and the agents are kept alive.

A silent link is noticed before the leases of its agent's runs are in danger.
"""

from __future__ import annotations

# An idle link sends an empty frame this often, and ends after so long without one.
HEARTBEAT_S = 1.0
SILENCE_S = 3.0
# A host that does not answer a dial within this time is dialled again.
HELLO_S = 1.5
