"""A backend server as a router sees it, through its agent's announcements.

The load is what this router has in flight there plus what others had at the last
announcement. Latency is an exponentially weighted moving average of the time
between a dispatch and its answer.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

LATENCY_SAMPLE_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One linked agent and its backend server, keyed by the incarnation.

    `others` counts the requests of other entries there, `claiming` the claims on
    their way to the table service that name it. An `ejected` server gets
    nothing but one probe at a time, from `probe_at` on.
    """

    agent: str
    incarnation: str
    service: str
    region: str
    failure_domain: str
    slots: int
    last_announced_at: float
    other_load: int = 0
    in_flight: int = 0
    pending_claims: int = 0
    latency_s: float = INITIAL_LATENCY_S
    samples: int = 0
    observed_at: float = 0.0
    healthy: bool = True
    leaving: bool = False
    ejected: bool = False
    probe_at: float = 0.0

    @property
    def load(self) -> int:
        """The requests that the backend server has, as far as is known."""
        return self.in_flight + self.other_load

    def with_request_added(self) -> BackendServer:
        """Return the row with one more request in flight."""
        return replace(self, in_flight=self.in_flight + 1)

    def with_request_removed(self) -> BackendServer:
        """Return the row with one request less in flight."""
        return replace(self, in_flight=max(0, self.in_flight - 1))

    def with_latency_sample(self, latency_s: float, now: float) -> BackendServer:
        """Return the row with one more latency in the average."""
        weight = LATENCY_SAMPLE_WEIGHT if self.samples else 1.0
        average = self.latency_s + weight * (latency_s - self.latency_s)
        return replace(
            self, latency_s=average, samples=self.samples + 1, observed_at=now
        )


def by_service(server: BackendServer) -> tuple[str, ...]:
    """Index key function: the service that the backend server runs."""
    return (server.service,)
