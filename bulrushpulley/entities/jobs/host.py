"""The hosts of backend servers as the scheduler sees them through their agents."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from bulrushpulley.entities.resources import NO_RESOURCES, Resources


class ServerState(enum.Enum):
    """What an agent says of the backend server beside it.

    SILENT does not answer, though its lease may still run; GONE surely runs nothing.
    STALLED answers, but nothing on it gets on.
    """

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    STALLED = "stalled"
    SILENT = "silent"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldImage:
    """The tasks of an image that a host holds, and what processors they want.

    `target_ms` is above zero for an image that serves.
    """

    count: int
    processors_m: int
    target_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One host with its agent and backend server.

    `peer` is the agent's process while it is linked, `life` the backend server's
    present incarnation. `contact_at` is when the agent was last heard in this
    tenure, and zero before. `adopted_epoch` is the tenure that the agent was told
    of. It is `synced` once the agent has listed every run of
    this life to this owner. `committed` is what its tasks hold, and `images` what
    they are of. Nothing is placed
    on it before `aside_until`. `told` is the last word to its agent on who slows whom.
    """

    name: str
    address: str = ""
    failure_domain: str = ""
    peer: str = ""
    dialling: bool = False
    redial_at: float = 0.0
    redials: int = 0
    life: str = ""
    service: str = ""
    state: ServerState = ServerState.UNKNOWN
    capacity: Resources = NO_RESOURCES
    labels: tuple[str, ...] = ()
    leaves_in_s: float = 0.0
    last_contact_at: float = 0.0
    adopted_epoch: int = 0
    synced: bool = False
    committed: Resources = NO_RESOURCES
    filling_m: int = 0
    images: Mapping[str, HeldImage] = field(default_factory=dict)
    quarantined_until: float = 0.0
    failed_at: tuple[float, ...] = ()
    sent_verdicts: object | None = None

    @property
    def rack(self) -> str:
        """The rack, which is the last label."""
        return self.labels[-1] if self.labels else ""

    @property
    def free(self) -> Resources:
        """What is left of its capacity."""
        return self.capacity.minus(self.committed)


def by_peer(host: Host) -> tuple[str, ...]:
    """Index hosts by the process of their agent."""
    return (host.peer,) if host.peer else ()


def by_address(host: Host) -> tuple[str, ...]:
    """Index hosts by the address of their agent."""
    return (host.address,) if host.address else ()


def host_of_peer(peer: str) -> str:
    """Return the host's name from an agent's incarnation, ``HOST-HEX``."""
    return peer.rpartition("-")[0]
