"""Messages between the scheduler and the agents over a link.

The owner of the shard dials every agent and adopts it. Every item carries the epoch
of the owner, so that orders of a replaced owner, and replies to it, are ignored. In
all items, `life` names the incarnation of the backend server that the item is about.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.jobs.books import Books, digest_of
from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder, RunRef, RunStatus
from bulrushpulley.entities.link import LinkEvent
from bulrushpulley.entities.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class JobItem(LinkEvent):
    """Base class for the items between scheduler and agents."""

    epoch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Adopt(JobItem):
    """The owner of `epoch` takes over the agent, which replies with its full state.

    `adoption` counts the adoptions of the host in a tenure, from 1; earlier versions
    leave it at zero.
    """

    adoption: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Orders(JobItem):
    """Runs to start or keep, and runs to stop, on one incarnation of a server.

    If `complete`, it lists every run that may exist, and all others are stopped.
    `adoption` is the last one of the host when the item was sent, and `number` counts
    the items of orders in it, from 1; earlier versions leave it at zero.
    """

    life: str
    start: tuple[RunOrder, ...] = ()
    stop: tuple[RunRef, ...] = ()
    complete: bool = False
    adoption: int = 0
    number: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EndsNoted(JobItem):
    """Ends that are durable in the store, so the backend server may discard them."""

    life: str
    numbers: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ContactAck(JobItem):
    """Confirms that the owner still owns the shard.

    `sent_at` is the time on the agent's clock at which it sent the contact. The owner
    permits full leases for `renewals_for_s` from then on; earlier versions leave that
    to the agent.
    """

    sent_at: float
    renewals_for_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Contact(JobItem):
    """Asks the owner to confirm that it still owns the shard.

    A confirmation allows the agent to renew leases for a time that starts at `sent_at`.
    All that the agent had to report by then was sent before. Earlier versions send no
    `books`.
    """

    sent_at: float
    books: Books | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ServingMeasure:
    """The tail latency of a serving task of an image, in milliseconds."""

    image: str
    latency_ms: float
    target_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FillingMeasure:
    """How much the tasks of an image use of a host's processors.

    A unit is a tenth of the processors.
    """

    image: str
    units: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Measures(JobItem):
    """What ran together on a host, and the latencies of the serving tasks."""

    serving: tuple[ServingMeasure, ...]
    filling: tuple[FillingMeasure, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HarmVerdicts(JobItem):
    """Which images are known to slow, or not to slow, which serving images.

    Each pair names the serving image first. The effect of a pair in neither list is
    unknown. `number` counts these items in an adoption, from 1; earlier versions leave
    it at zero.
    """

    harmful: tuple[tuple[str, str], ...]
    harmless: tuple[tuple[str, str], ...]
    number: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class HostReport(JobItem):
    """The state of a host and its backend server as the agent knows it.

    `leaves_in_s` is the minimum time for which a draining server still runs.
    """

    host: str
    failure_domain: str
    life: str
    service: str
    state: ServerState
    capacity: Resources
    labels: tuple[str, ...]
    leaves_in_s: float = 0.0

    @property
    def digest(self) -> bytes:
        """The digest of the report, without the time left, of which none is sent."""
        room = self.capacity
        return digest_of(
            (
                self.failure_domain,
                self.life,
                self.service,
                self.state.value,
                f"{room.processors_m} {room.memory_mb} {room.accelerators}",
                *self.labels,
            )
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class RunsReport(JobItem):
    """Runs and ends that changed, or all of them if `complete`."""

    life: str
    runs: tuple[RunStatus, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    complete: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RunRefused(JobItem):
    """A run that does not exist, and will not unless it is ordered again.

    `unhealthy` means that the backend server refused it because of its own state.
    `adoption` is the one in which it was refused; earlier versions leave it at zero.
    The complete orders of a later adoption may have ordered it again.
    """

    life: str
    run: RunRef
    reason: str
    unhealthy: bool = False
    adoption: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class LifeEnded(JobItem):
    """An incarnation of the backend server has ended, and all its runs with it."""

    life: str
