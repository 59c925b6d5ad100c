"""What the scheduler and the agents tell each other over a link.

The owner of the shard dials every agent and adopts it. Every item names the epoch
of the owner, so that a replaced owner's orders and answers to it go unheeded.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder, RunRef, RunStatus
from bulrushpulley.entities.link import LinkEvent
from bulrushpulley.entities.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class JobItem(LinkEvent):
    """The base of the items between scheduler and agents."""

    epoch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Adopt(JobItem):
    """The owner of `epoch` takes the agent over; it answers with its whole state."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Orders(JobItem):
    """Runs to start or keep, and runs to stop, for one life of a backend server.

    A `complete` one lists every run that may be there; all others are stopped.
    """

    life: str
    start: tuple[RunOrder, ...] = ()
    stop: tuple[RunRef, ...] = ()
    complete: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class EndsNoted(JobItem):
    """Ends that are durable, so the backend server may forget them."""

    life: str
    numbers: tuple[int, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ContactAck(JobItem):
    """The owner still owns; `sent_at` is the agent's own time of its contact."""

    sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Contact(JobItem):
    """The agent asks the owner to vouch for its leases from `sent_at` on."""

    sent_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ServingMeasure:
    """The tail latency of a serving task of an image, in milliseconds."""

    image: str
    latency_ms: float
    target_ms: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FillingMeasure:
    """How much of the tasks of an image works on a host.

    A unit is a tenth of the host's processors.
    """

    image: str
    units: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Measures(JobItem):
    """What ran side by side on a host, and how the serving tasks fared."""

    serving: tuple[ServingMeasure, ...]
    filling: tuple[FillingMeasure, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HarmVerdicts(JobItem):
    """Which images slow which serving images on the host, as far as is known.

    Each pair names the serving image first. A pair in neither list is not known yet.
    """

    harmful: tuple[tuple[str, str], ...]
    harmless: tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class HostReport(JobItem):
    """What an agent knows of its host and backend server.

    `leaves_in_s` is the least time that a draining backend server stays.
    """

    host: str
    failure_domain: str
    life: str
    service: str
    state: ServerState
    capacity: Resources
    labels: tuple[str, ...]
    leaves_in_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RunsReport(JobItem):
    """Runs and ends that changed; a `complete` one lists all there are."""

    life: str
    runs: tuple[RunStatus, ...] = ()
    ends: tuple[RunEnd, ...] = ()
    complete: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RunRefused(JobItem):
    """A run that is not there and can never start any more.

    `unhealthy` says that the backend server refused it for its own state.
    """

    life: str
    run: RunRef
    reason: str
    unhealthy: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class LifeEnded(JobItem):
    """A life of the backend server is over: nothing that it ran runs any more."""

    life: str
