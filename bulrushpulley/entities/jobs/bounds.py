"""How long each party may continue without contact with the others, in seconds.

A run continues while its backend server holds a lease. The agent renews the lease for
`agent_autonomy_s` after a contact that the owner of the shard confirmed, and the owner
confirms contacts for `owner_autonomy_s` after a renewal of its row in the store. Before
a new owner restarts elsewhere a run whose agent is unreachable, it waits for the sum of
these times, counted from the last renewal or contact that it knows of.
"""

from __future__ import annotations

from dataclasses import dataclass

# A backend server's clock may be this much slower than ours, as the platform states.
MAX_CLOCK_DRIFT_FRACTION = 0.02
# Upper limit of the delays from reading clocks and from timers that fire late.
CLOCK_MARGIN_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """The time limits of one deployment.

    `owner_autonomy_s`: an owner confirms contacts of agents for this long after it sent
    its last successful renewal to the store; covers usual store outages of up to 5 s.
    `agent_autonomy_s`: an agent renews leases for this long after it sent the last
    contact that was answered; with a lease it covers a loss of all entries for 10 s.
    `lease_s`: the longest lease that an agent grants.
    `kill_s`: how long a backend server may take to end runs that lost their lease.
    `turn_s`: how long a new owner waits before it orders upkeep, as an order of the
    former owner may still be in flight.
    """

    owner_autonomy_s: float = 8.0
    agent_autonomy_s: float = 6.0
    lease_s: float = 5.7
    kill_s: float = 1.0
    turn_s: float = 3.0

    @property
    def lease_expiry_s(self) -> float:
        """Time after which an unrenewed lease and its runs have certainly ended."""
        return (
            self.lease_s / (1.0 - MAX_CLOCK_DRIFT_FRACTION)
            + self.kill_s
            + CLOCK_MARGIN_S
        )

    @property
    def agent_expiry_s(self) -> float:
        """Time without contact after which an agent's runs have certainly ended."""
        return self.agent_autonomy_s + self.lease_expiry_s
