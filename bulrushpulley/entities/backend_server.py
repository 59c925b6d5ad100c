"""A router's view of a backend server, built from its agent's announcements.

The load is the number of requests that this router has in flight on the server plus
those of other routers at the last announcement. Latency is an exponentially weighted
moving average of the time between a dispatch and its answer.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.changing import replace

LATENCY_SAMPLE_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.01


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """One linked agent and its backend server, keyed by the agent's incarnation.

    `other_load` counts the requests of other entries on the server;
    `pending_claims` counts the claims that name it and await their outcome.
    `observed_at` is the time of the last of its `samples` latency samples. An
    `ejected` server receives only one probe request at a time, starting at
    `probe_at`.
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
        """The number of requests that the backend server is known to have."""
        return self.in_flight + self.other_load

    def with_request_added(self) -> BackendServer:
        """Return the row with one more request in flight."""
        return replace(self, in_flight=self.in_flight + 1)

    def with_request_removed(self) -> BackendServer:
        """Return the row with one request fewer in flight."""
        return replace(self, in_flight=max(0, self.in_flight - 1))

    def with_latency_sample(self, latency_s: float, now: float) -> BackendServer:
        """Return the row with a latency sample added to the average."""
        weight = LATENCY_SAMPLE_WEIGHT if self.samples else 1.0
        average_s = self.latency_s + weight * (latency_s - self.latency_s)
        return replace(
            self, latency_s=average_s, samples=self.samples + 1, observed_at=now
        )


def by_service(server: BackendServer) -> tuple[str, ...]:
    """Index function: the service that the backend server runs."""
    return (server.service,)
