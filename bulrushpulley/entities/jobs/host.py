"""The hosts of backend servers, as their agents report them to the scheduler."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from bulrushpulley.entities.resources import NO_RESOURCES, Resources

# The index value of hosts that are to be dialled.
UNLINKED = "unlinked"
# The index value of hosts without a link.
NO_LINK = "none"
# The index value of linked hosts whose agents are silent.
SILENT = "silent"


class ServerState(enum.Enum):
    """The state of a backend server as reported by its agent.

    It is UNKNOWN until the server has announced itself and listed its runs. A SILENT
    server does not answer, but its lease may not have expired. A GONE server is known
    to have no runs. A STALLED server answers, but its runs make no progress.
    """

    UNKNOWN = "unknown"
    READY = "ready"
    DRAINING = "draining"
    STALLED = "stalled"
    SILENT = "silent"
    GONE = "gone"


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldImage:
    """The number of tasks of an image on a host, and the processors they request.

    `target_ms` is above zero for a serving image.
    """

    count: int
    processors_m: int
    target_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """One host with its agent and backend server.

    `peer` is the agent's process while it is linked, `linked_at` when the link was
    opened, and `life` the current incarnation of the backend server. `last_contact_at`
    is the time of the agent's last contact in this tenure, or zero. Without one, its
    runs have ended by `runs_end_by`, if a former owner has recorded that, or zero.
    `contact_sent_at` is when the agent sent its last contact over this link, on its own
    clock. It is `silent` if it has missed contacts on an open link, so that the owner
    row lists it, and `resumed_at` is when a silent one last made contact again.
    `announced_epoch` is the tenure that was last announced to the agent, at
    `announced_at`, and zero if it is to be announced again. It was first announced at
    `adopted_at`, or never in this tenure if that is zero, and `adoptions` counts how
    often this tenure has been announced. The host is
    `synced` once the agent has reported every run of this incarnation to this owner;
    the last adoption in which it has is `synced_adoption`.
    `committed` are the resources that its tasks hold, and `images` their images. The
    host gets no new tasks before `quarantined_until`; `failed_at` are the times of the
    recent failures that may lead to a quarantine. `filling_m` is the processors that
    its filling tasks request, and `lasting_m` those that its lasting tasks hold, in
    thousandths; `filling_mb` and `lasting_mb` are the memory that these hold.
    `sent_verdicts` are the verdicts on interference last sent to its
    agent.
    """

    name: str
    address: str = ""
    failure_domain: str = ""
    peer: str = ""
    linked_at: float = 0.0
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
    contact_sent_at: float | None = None
    silent: bool = False
    resumed_at: float = 0.0
    runs_end_by: float = 0.0
    announced_epoch: int = 0
    announced_at: float = 0.0
    adoptions: int = 0
    synced_adoption: int = 0
    adopted_at: float = 0.0
    synced: bool = False
    committed: Resources = NO_RESOURCES
    filling_m: int = 0
    lasting_m: int = 0
    filling_mb: int = 0
    lasting_mb: int = 0
    images: Mapping[str, HeldImage] = field(default_factory=dict)
    quarantined_until: float = 0.0
    failed_at: tuple[float, ...] = ()
    sent_verdicts: object | None = None

    @property
    def rack(self) -> str:
        """The rack, given by the last label."""
        return self.labels[-1] if self.labels else ""

    @property
    def free(self) -> Resources:
        """The capacity that is not committed."""
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


def by_silence(host: Host) -> tuple[str, ...]:
    """Index linked hosts that are silent."""
    return (SILENT,) if host.peer and host.silent else ()


def by_missing_link(host: Host) -> tuple[str, ...]:
    """Index hosts without a link."""
    return () if host.peer else (NO_LINK,)


def server_of_incarnation(incarnation: str) -> str:
    """Return the backend server's id from its incarnation, ``ID/STARTED_AT_MS``."""
    return incarnation.rpartition("/")[0]


def by_link(host: Host) -> tuple[str, ...]:
    """Index hosts that are to be dialled, and linked ones by the epoch announced."""
    if host.peer:
        return (f"{host.announced_epoch}",)
    return (UNLINKED,) if host.address and not host.dialling else ()
