"""How long each party may go on without the others, in seconds.

A run lives on its backend server's lease, which its agent renews while the owner of
the shard vouches for it, which that owner may do while its row in the store is
fresh. A successor adds these spans up before it starts elsewhere what it cannot ask
about.
"""

from __future__ import annotations

from dataclasses import dataclass

# A backend server's clock may be this much slower than ours; the platform says so.
CLOCK_DRIFT = 0.02
# Reading clocks and timers that fire late add up to less than this, in seconds.
CLOCK_MARGIN_S = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """The spans of one deployment.

    `owner_autonomy_s`: an owner vouches for this long after its last renewal in the
    store was sent; it covers the store's usual outages of up to 5 s.
    `agent_autonomy_s`: an agent renews leases for this long after it sent the last
    contact that was answered; with a lease it covers a loss of all entries for 10 s.
    `lease_s`: the longest lease that an agent gives.
    `kill_s`: how long a backend server may take to end what has lost its lease.
    `turn_s`: how long a new owner leaves machines alone that the former one may just
    have given an order.
    """

    owner_autonomy_s: float = 8.0
    agent_autonomy_s: float = 6.0
    lease_s: float = 5.7
    kill_s: float = 1.0
    turn_s: float = 3.0

    @property
    def lease_expiry_s(self) -> float:
        """How long after its last renewal a lease has surely ended with its runs."""
        return self.lease_s / (1.0 - CLOCK_DRIFT) + self.kill_s + CLOCK_MARGIN_S

    @property
    def agent_expiry_s(self) -> float:
        """How long after its last contact nothing runs by an agent's leave."""
        return self.agent_autonomy_s + self.lease_expiry_s

    @property
    def agent_expiry_after_takeover_s(self) -> float:
        """The same, after a takeover, for an agent that the former owner may reach."""
        return self.owner_autonomy_s + self.agent_expiry_s
