"""How long each party may continue without contact with the others, in seconds.

A run continues while its backend server holds a lease. The agent requests full leases
for `agent_autonomy_s` after a contact that the owner of the shard confirmed, but no
longer than for `owner_autonomy_s` after the owner last renewed its row in the store.
After that time it renews them only until the end of a lease requested at that time, so
what an agent does in between cannot move the last end. Before a new owner restarts
elsewhere a run whose agent is unreachable, it waits until the last lease has expired,
counted from the last renewal or contact that it knows of.

The times of owner and agent overlap: however often the shard changes hands, no agent
requests a full lease later than `owner_autonomy_s` after the last renewal of a row by
its owner. The wait decides how long a task of a lost host is not served, so it is
limited by how long the platform lets an accepted task wait
(`LimitSettings.longest_wait_s`).
"""

from __future__ import annotations

from dataclasses import dataclass

# A backend server's clock may be this much slower than ours, as the platform states.
MAX_CLOCK_DRIFT_FRACTION = 0.02
# Earlier versions let agents renew leases for this long after a renewal of the owner.
EARLIER_VERSION_RENEWALS_S = 14.0
# Their agents did so for this long after a contact, whatever the owner permitted.
EARLIER_VERSION_AGENT_AUTONOMY_S = 6.0
# Upper limit of the delays from reading clocks and from timers that fire late.
CLOCK_MARGIN_S = 0.5
# A call to a backend server without an answer may still take effect this much later.
MAX_CALL_DELAY_S = 12.5
# How often an agent makes contact with its owner. Three contacts in a row must fail
# before the owner stops placing tasks there.
CONTACT_INTERVAL_S = 0.8


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """The time limits of one deployment.

    `owner_autonomy_s`: agents request full leases for this long after their owner sent
    its last successful renewal to the store; with a lease it covers store outages of
    8.5 s.
    `agent_autonomy_s`: an agent requests full leases for this long after it sent the
    last contact that was answered; with a lease it covers a host that is cut off for
    8 s.
    `lease_s`: the longest lease that an agent grants.
    `kill_s`: how long a backend server may take to end runs that lost their lease.
    `turn_s`: how long a new owner waits before it orders upkeep, once the former owner
    sends no more orders, as one of them may still be in flight.
    """

    owner_autonomy_s: float = 6.0
    agent_autonomy_s: float = 4.2
    lease_s: float = 5.7
    kill_s: float = 1.0
    turn_s: float = 3.0

    @property
    def longest_lease_s(self) -> float:
        """The longest time, on our clocks, that a full lease lasts."""
        return self.lease_s / (1.0 - MAX_CLOCK_DRIFT_FRACTION)

    @property
    def lease_expiry_s(self) -> float:
        """Time after which an unrenewed lease and its runs have certainly ended."""
        return self.longest_lease_s + self.kill_s + CLOCK_MARGIN_S

    @property
    def agent_expiry_s(self) -> float:
        """Time without contact after which an agent's runs have certainly ended."""
        return self.agent_autonomy_s + self.lease_expiry_s
