"""The schedule of faults and jobs of a soak run, drawn from its seed."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

CALM_PERIOD_S = 12.0
STORE_MODES = ("down", "slow", "lose_answers")
CONNECTION_FAULT_KINDS = ("delay", "reset", "cut_in", "cut_out", "silence")
SLOW_STORE_DELAY_S = 0.4
EVACUATION_DURATION_S = 7.0
ODD_ROWS = 4
ODD_ROW_PARTS = (
    ("hosts", ""),
    ("jobs", "intake-0"),
    ("progress", "shard-0"),
    ("owners", "shard-0"),
    ("harms", "shard-0"),
    ("op", ""),
)
ODD_CONTENTS = ("bytes", "nested", "port", "number")


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """Base class for the faults, injected `at` seconds after the start of the run."""

    at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Kill(Fault):
    """A process is killed, and started again after `duration_s`."""

    name: str
    duration_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Terminate(Fault):
    """A process is terminated, and started again after its exit."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Pause(Fault):
    """A process is suspended, and continued after `duration_s`."""

    name: str
    duration_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Reload(Fault):
    """A process reloads its settings."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash(Fault):
    """A backend server is killed, and started again after `duration_s`."""

    host: str
    duration_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Drain(Fault):
    """A backend server drains and exits, and is started again later."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreFault(Fault):
    """The store is down or slow, or its responses are lost."""

    mode: str
    duration_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Compact(Fault):
    """The store deletes its history of changes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectionFault(Fault):
    """A fault is injected into the connections through one proxy."""

    proxy: str
    fault_kind: str
    duration_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Reconfigure(Fault):
    """A new version of the configuration is written."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuate(Fault):
    """A failure domain is taken out of service, and returned later."""

    failure_domain: str
    duration_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteOddRow(Fault):
    """Another writer adds a row that cannot be read; `content` names what it holds."""

    table: str
    part: str
    content: str


@dataclass(frozen=True, kw_only=True, slots=True)
class SiteNames:
    """The names of the parts of a site."""

    entries: tuple[str, ...]
    agents: tuple[str, ...]
    hosts: tuple[str, ...]
    proxies: tuple[str, ...]
    failure_domains: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The faults of one run, with none from `calm_from` to `calm_until`.

    Planned changes, such as an evacuation, are made in that time.
    """

    seed: int
    seconds: float
    calm_from: float
    calm_until: float
    faults: tuple[Fault, ...]


def draw(seed: int, seconds: float, names: SiteNames) -> Plan:
    """Draw a run: faults, a calm period with planned changes, and faults again."""
    rng = random.Random(seed)
    calm_from = (seconds - CALM_PERIOD_S) / 2
    calm_until = calm_from + CALM_PERIOD_S
    faults: list[Fault] = []
    at = 1.0
    while at < seconds:
        if at < calm_from or at >= calm_until:
            # Several faults at the same time, which may overlap.
            for _ in range(rng.choice((1, 1, 2, 3))):
                faults.append(_draw_fault(rng, at, names))
        at += rng.uniform(0.8, 3.0)
    domain = rng.choice(names.failure_domains)
    # By then the faults before the calm period, which last at most 4 s, have ended.
    changes_at = calm_from + CALM_PERIOD_S / 3
    planned_changes: tuple[Fault, ...] = (
        Evacuate(
            at=changes_at, failure_domain=domain, duration_s=EVACUATION_DURATION_S
        ),
        Reconfigure(at=changes_at + 1.0),
    )
    odd_rows = _draw_odd_rows(seed, seconds, calm_from, calm_until)
    ordered = sorted((*faults, *planned_changes, *odd_rows), key=lambda fault: fault.at)
    return Plan(
        seed=seed,
        seconds=seconds,
        calm_from=calm_from,
        calm_until=calm_until,
        faults=tuple(ordered),
    )


def _draw_odd_rows(
    seed: int, seconds: float, calm_from: float, calm_until: float
) -> tuple[Fault, ...]:
    """Draw rows of another writer; they do not change the other faults of a seed."""
    rng = random.Random(seed + 2)
    times = (rng.uniform(1.0, seconds) for _ in range(ODD_ROWS))
    draws = ((at, *rng.choice(ODD_ROW_PARTS), rng.choice(ODD_CONTENTS)) for at in times)
    return tuple(
        WriteOddRow(at=at, table=table, part=part, content=content)
        for at, table, part, content in draws
        if not calm_from <= at < calm_until
    )


def _draw_fault(rng: random.Random, at: float, names: SiteNames) -> Fault:
    """Draw one fault; each entry is at least twice as likely to be hit as an agent."""
    process = rng.choice((*names.entries, *names.entries, *names.agents))
    host = rng.choice(names.hosts)
    duration_s = round(rng.uniform(0.3, 4.0), 2)

    def connection_fault() -> Fault:
        proxy, fault_kind = (
            rng.choice(names.proxies),
            rng.choice(CONNECTION_FAULT_KINDS),
        )
        return ConnectionFault(
            at=at, proxy=proxy, fault_kind=fault_kind, duration_s=duration_s
        )

    makers: tuple[Callable[[], Fault], ...] = (
        lambda: Kill(at=at, name=process, duration_s=duration_s / 2),
        lambda: Kill(at=at, name=rng.choice(names.entries), duration_s=duration_s / 2),
        lambda: Terminate(at=at, name=process),
        lambda: Pause(at=at, name=process, duration_s=duration_s),
        lambda: Reload(at=at, name=process),
        lambda: Crash(at=at, host=host, duration_s=duration_s / 2),
        lambda: Drain(at=at, host=host),
        lambda: StoreFault(at=at, mode=rng.choice(STORE_MODES), duration_s=duration_s),
        lambda: Compact(at=at),
        connection_fault,
        connection_fault,
        lambda: Reconfigure(at=at),
    )
    return rng.choice(makers)()


@dataclass(frozen=True, kw_only=True, slots=True)
class JobPlan:
    """One job of a run.

    `payload` is the run time of each task in seconds, or "poison" if every run fails. A
    step is (task count, thousandths of processors, numbers of the steps before it).
    `lasting` jobs run until they are cancelled.
    """

    at: float
    job_id: str
    payload: str
    steps: tuple[tuple[int, int, tuple[int, ...]], ...]
    lasting: bool = False
    cancel_after_s: float | None = None


def draw_jobs(seed: int, seconds: float, per_s: float) -> tuple[JobPlan, ...]:
    """Draw the jobs of a run; a few are lasting, are cancelled, or always fail."""
    rng = random.Random(seed + 1)
    jobs: list[JobPlan] = []
    at = 0.5
    while at < seconds:
        kind_draw = rng.random()
        lasting = kind_draw < 0.05
        payload = "900" if lasting else str(round(rng.uniform(0.2, 3.0), 1))
        if 0.05 <= kind_draw < 0.1:
            payload = "poison"
        steps = [(rng.randint(1, 4), rng.choice((250, 500, 1_000)), ())]
        if not lasting and rng.random() < 0.5:
            steps.append((rng.randint(1, 3), 500, (0,)))  # type: ignore[arg-type]
        cancels = lasting or rng.random() < 0.15
        jobs.append(
            JobPlan(
                at=at,
                job_id=f"{rng.getrandbits(64):016x}",
                payload=payload,
                steps=tuple(steps),
                lasting=lasting,
                cancel_after_s=rng.uniform(0.5, 9.0) if cancels else None,
            )
        )
        at += rng.expovariate(per_s)
    return tuple(jobs)
