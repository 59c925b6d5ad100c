"""Heartbeat interval and timeouts of the links between a shard's owner and agents.

They detect a dead link before the leases of its agent's runs are at risk.
"""

from __future__ import annotations

# An idle link sends an empty frame at this interval, and is closed when no frame
# arrives for the timeout.
JOB_LINK_HEARTBEAT_INTERVAL_S = 1.0
JOB_LINK_SILENCE_TIMEOUT_S = 3.0
# A connection attempt that a host does not answer within this time is repeated.
JOB_LINK_HELLO_TIMEOUT_S = 1.5
