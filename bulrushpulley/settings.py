"""Settings in TOML, read into frozen classes and checked completely.

All errors of a file are reported together, with the file as peer and the dotted
path of the key; unknown keys are errors. The key ``role`` names the class, so
that an agent cannot be started from an entry's file.

Example::

    role = "operator"
    entries = ["http://127.0.0.1:7002"]
"""

from __future__ import annotations

import pathlib
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, TypeVar

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.intake_tables import DEFAULT_ORDERS_WITHIN_S
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.validation import Length, Range, SocketAddress, Text, build

STEP = "settings.check"
# Leases are requested for this fraction of the longest one allowed, as a margin for
# errors in reading clocks.
LEASE_FRACTION = 0.95
# A task is placed and started within this time after its lease has expired, unless it
# is held back for the harm that it would do.
RESTART_MARGIN_S = 0.8
# An owner renews each 0.8 s and an agent makes contact as often; either may miss one.
MIN_AUTONOMY_S = 2.0

Name = Annotated[str, Text(pattern=r"[A-Za-z0-9][A-Za-z0-9._-]*", max_characters=100)]
Host = Annotated[str, Text(pattern=r"[0-9.]+|[0-9a-fA-F:]+", max_characters=45)]
Address = Annotated[str, SocketAddress()]
OptionalAddress = Annotated[str, SocketAddress(may_be_empty=True)]
Url = Annotated[str, Text(pattern=r"https?://[^\s/]+(/[^\s]*)?", max_characters=500)]
Port = Annotated[int, Range(low=0, high=65_535)]
Threads = Annotated[int, Range(low=1, high=1_024)]
Seconds = Annotated[float, Range(low=0.0, high=86_400.0)]


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpSettings:
    """An HTTP listener and its threads, one for each request in flight."""

    host: Host
    port: Port
    threads: Threads = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class ListenSettings:
    """The listener for the links of agents.

    `advertised_host` is the IP address at which agents reach it.
    """

    host: Host
    port: Port
    advertised_host: Host = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class TlsSettings:
    """PEM files for links; both sides present a certificate signed by `ca`."""

    certificate: str
    key: str
    ca: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StopSettings:
    """A planned stop.

    Health checks fail for `notice_s`; then work in flight has `within_s` to finish.
    """

    notice_s: Seconds = 0.0
    within_s: Seconds = 30.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LogSettings:
    """Where log lines go: 1 is standard output, 2 standard error."""

    file_descriptor: Annotated[int, Range(low=1, high=1_000)] = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class TableServiceSettings:
    """The platform's table service."""

    url: Url


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """The settings of an entry process."""

    role: Annotated[str, Text(pattern="entry")]
    name: Name
    region: Name
    failure_domain: Name
    links: ListenSettings
    callers: HttpSettings
    operators: HttpSettings
    table_service: TableServiceSettings
    tls: TlsSettings | None = None
    stop: StopSettings = field(default_factory=StopSettings)
    logs: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendSettings:
    """The backend server on the host of the agent, and its limits."""

    url: Url
    service: Name
    slots: Annotated[int, Range(low=1, high=1_024)] = 8
    connections: Annotated[int, Range(low=1, high=4_096)] = 64
    queue_limit: Annotated[int, Range(low=0, high=100_000)] = 64


@dataclass(frozen=True, kw_only=True, slots=True)
class CellSettings:
    """How the agent owns cells.

    While the store is unreachable, it keeps renewing task leases for `autonomy_s`.
    """

    autonomy_s: Seconds = 3_600.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentSettings:
    """The settings of an agent process; `seeds` are addresses of entries."""

    role: Annotated[str, Text(pattern="agent")]
    name: Name
    region: Name
    failure_domain: Name
    seeds: Annotated[tuple[Address, ...], Length(min_items=1, max_items=100)]
    backend_server: BackendSettings
    health: HttpSettings
    cells: CellSettings = field(default_factory=CellSettings)
    tls: TlsSettings | None = None
    stop: StopSettings = field(default_factory=StopSettings)
    logs: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSettings:
    """The platform's store."""

    url: Url


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitSettings:
    """What the platform's backend servers allow.

    No lease is longer than `longest_lease_s`. A run that lost its lease or is stopped
    ends within `kill_s`. A new owner waits for `turn_s` before it orders upkeep, once
    the former owner sends no more orders. An accepted task whose host is lost must run
    again within `longest_wait_s`. Calls are answered by orders of operators no longer
    than `orders_within_s` after newer ones may have been stored.
    """

    longest_lease_s: Annotated[float, Range(low=0.5, high=3_600.0)]
    kill_s: Annotated[float, Range(low=0.0, high=600.0)]
    turn_s: Annotated[float, Range(low=0.0, high=600.0)] = 3.0
    longest_wait_s: Annotated[float, Range(low=1.0, high=3_600.0)] | None = None
    orders_within_s: Annotated[float, Range(low=0.1, high=600.0)] = (
        DEFAULT_ORDERS_WITHIN_S
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundSettings:
    """How long each party continues without contact; see `entities.jobs.bounds`."""

    owner_autonomy_s: Seconds = 6.0
    agent_autonomy_s: Seconds = 4.2
    lease_s: Annotated[float, Range(low=0.5, high=3_600.0)] = 5.7

    def within(self, limits: LimitSettings) -> Bounds:
        """Return the bounds, limited to what the platform allows."""
        bounds = Bounds(
            owner_autonomy_s=self.owner_autonomy_s,
            agent_autonomy_s=self.agent_autonomy_s,
            lease_s=min(self.lease_s, limits.longest_lease_s * LEASE_FRACTION),
            kill_s=limits.kill_s,
            turn_s=limits.turn_s,
        )
        if limits.longest_wait_s is None:
            return bounds
        return _waiting_at_most(bounds, limits.longest_wait_s)


def _waiting_at_most(bounds: Bounds, longest_wait_s: float) -> Bounds:
    """Shorten the autonomies until the task of a lost host runs again in time."""
    autonomy_s = longest_wait_s - bounds.lease_expiry_s - RESTART_MARGIN_S
    autonomy_s = max(MIN_AUTONOMY_S, autonomy_s)
    return replace(
        bounds,
        owner_autonomy_s=min(bounds.owner_autonomy_s, autonomy_s),
        agent_autonomy_s=min(bounds.agent_autonomy_s, autonomy_s),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessorSettings:
    """The processor time of a process: a `share` of cores that are `speed` as fast."""

    share: Annotated[float, Range(low=0.001, high=1_024.0)] = 1.0
    speed: Annotated[float, Range(low=0.001, high=1_024.0)] = 1.0

    @property
    def processors(self) -> float:
        """The processor time in a second, in seconds of one usual core."""
        return self.share * self.speed


@dataclass(frozen=True, kw_only=True, slots=True)
class JobEntrySettings:
    """The settings of an entry on the users' platform.

    `callers` is the address for job submissions, `ready` the one for the platform's
    readiness checks. `advice` is the service that knows where steps may run and
    `machines` the one that takes machines down for upkeep; both are optional.
    """

    role: Annotated[str, Text(pattern="job-entry")]
    name: Name
    region: Name
    failure_domain: Name
    callers: Address
    ready: Address
    store: StoreSettings
    limits: LimitSettings
    advice: OptionalAddress = ""
    machines: OptionalAddress = ""
    processor: ProcessorSettings = field(default_factory=ProcessorSettings)
    bounds: BoundSettings = field(default_factory=BoundSettings)
    stop: StopSettings = field(default_factory=StopSettings)
    logs: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, kw_only=True, slots=True)
class JobAgentSettings:
    """The settings of an agent on the users' platform.

    `links` is the address at which it accepts links. The shard's owner connects to it,
    or to `reached_at` if set. The backend server on its host, which runs `service`,
    announces itself at `announcements`.
    """

    role: Annotated[str, Text(pattern="job-agent")]
    name: Name
    region: Name
    failure_domain: Name
    service: Name
    links: Address
    announcements: Address
    store: StoreSettings
    limits: LimitSettings
    reached_at: OptionalAddress = ""
    bounds: BoundSettings = field(default_factory=BoundSettings)
    logs: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorClientSettings:
    """The settings of the operators' verbs; `entries` are tried in order."""

    role: Annotated[str, Text(pattern="operator")]
    entries: Annotated[tuple[Url, ...], Length(min_items=1, max_items=100)]
    author: Name = "operator"
    timeout_s: Annotated[float, Range(low=0.1, high=600.0)] = 10.0


Settings = (
    EntrySettings
    | AgentSettings
    | JobEntrySettings
    | JobAgentSettings
    | OperatorClientSettings
)
S = TypeVar("S")

CLASS_BY_ROLE: Mapping[str, type[Settings]] = {
    "entry": EntrySettings,
    "agent": AgentSettings,
    "job-entry": JobEntrySettings,
    "job-agent": JobAgentSettings,
    "operator": OperatorClientSettings,
}


def read_toml(path: pathlib.Path) -> dict[str, Any]:
    """Read a TOML file; raises an `ExceptionGroup` that names the file."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise _problem_group(path, str(error)) from error


def load(cls: type[S], path: pathlib.Path) -> S:
    """Read and check a settings file of one role.

    Raises an `ExceptionGroup` of `BulrushpulleyError`, one for each problem.
    """
    return build(cls, read_toml(path), step=STEP, peer=str(path))


def load_any(path: pathlib.Path) -> Settings:
    """Read and check a settings file of the role that its key ``role`` names."""
    raw = read_toml(path)
    cls = CLASS_BY_ROLE.get(str(raw.get("role")))
    if cls is None:
        known = ", ".join(CLASS_BY_ROLE)
        raise _problem_group(path, f"must be one of {known}", "role")
    return build(cls, raw, step=STEP, peer=str(path))


def _problem_group(
    path: pathlib.Path, detail: str, key: str = ""
) -> BaseExceptionGroup[Any]:
    problem = Problem(
        code=Code.INVALID, step=STEP, peer=str(path), detail=detail, field=key
    )
    return ExceptionGroup(
        "1 problem in the settings", [BulrushpulleyError(problem=problem)]
    )
