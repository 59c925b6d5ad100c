"""Runs the soak: ``scripts/soak --seed N`` or ``scripts/soak --seeds K --minutes M``.

Each run prints its seed, the numbers of its jobs and faults, every violated invariant
and unfinished job, and finally its verdict. The exit code is 1 if a run failed.
"""

from __future__ import annotations

import collections
import json
import pathlib
import queue
import random
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace
from functools import singledispatch

from absl import app, flags
from pyrsistent import pmap

from bulrushpulley.systems.scheduling.setting_aside import FAILURE_KINDS
from soak.callers import Caller, Connection
from soak.invariants import (
    EndAcknowledged,
    Ended,
    Observation,
    Started,
    Tables,
    check_observation,
    unfinished,
)
from soak.picture import draw_picture
from soak.plan import Fault, JobPlan, Plan, draw, draw_jobs
from soak.site import CAPACITY_M, Site, inject_fault, make_names, make_site

FLAGS = flags.FLAGS
# Within this time the agents are announced and a first owner holds the lease.
READY_WAIT_S = 3.0
# Jobs that are left after the last fault end within this time: the leases of 6 s may
# have to expire twice before the tasks run, and then the tasks run to their end.
FINISH_TIMEOUT_S = 45.0
# Observations are kept this long, to put those of different processes in order.
REORDER_WINDOW_S = 1.0
MAX_CALLERS = 48
POLL_INTERVAL_S = 0.25


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The result of a run."""

    seed: int
    tables: Tables
    unfinished: tuple[str, ...]
    ended_by_itself: tuple[str, ...] = ()
    failures: tuple[str, ...] = ()
    picture: tuple[str, ...] = ()

    @property
    def passed(self) -> bool:
        """Whether every invariant held, every job ended and nothing failed."""
        return not (
            self.tables.violations
            or self.unfinished
            or self.ended_by_itself
            or self.failures
        )


class Observer:
    """Sorts the observations by time and checks them during the run."""

    def __init__(self, tables: Tables, folder: pathlib.Path) -> None:
        self.tables = tables
        self._folder = folder
        self._observations: queue.SimpleQueue[Observation] = queue.SimpleQueue()
        self._pending: list[Observation] = []
        self._offset_by_path: dict[pathlib.Path, int] = {}
        self.processed: list[Observation] = []

    def record(self, observation: Observation) -> None:
        """Add an observation of a caller or of the site."""
        self._observations.put(observation)

    def process(self, now: float) -> None:
        """Read new log lines of backend servers, and check the observations due.

        An observation is due `REORDER_WINDOW_S` after its time.
        """
        for path in self._folder.glob("host-*.log"):
            self._read_log(path)
        while not self._observations.empty():
            self._pending.append(self._observations.get())
        self._pending.sort(key=lambda observation: observation.at)
        while self._pending and self._pending[0].at < now - REORDER_WINDOW_S:
            observation = self._pending.pop(0)
            self.processed.append(observation)
            self.tables = check_observation(observation, self.tables)

    def _read_log(self, path: pathlib.Path) -> None:
        offset = self._offset_by_path.get(path, 0)
        with path.open("rb") as log:
            log.seek(offset)
            data = log.read()
        complete_lines = data[: data.rfind(b"\n") + 1]
        self._offset_by_path[path] = offset + len(complete_lines)
        for line in complete_lines.splitlines():
            observation = _parse_observation(line)
            if observation is not None:
                self._pending.append(observation)


def _parse_observation(line: bytes) -> Observation | None:
    if not line.startswith(b"{"):
        return None
    raw = json.loads(line)
    at, what = raw["at"], raw["what"]
    if what == "start":
        return Started(
            at=at,
            host=raw["host"],
            failure_domain=raw["failure_domain"],
            task=raw["task"],
            run=raw["run"],
        )
    if what == "end":
        return Ended(
            at=at, host=raw["host"], task=raw["task"], run=raw["run"], how=raw["how"]
        )
    if what == "noted":
        return EndAcknowledged(at=at, task=raw["task"], how=raw["how"])
    return None


def run_seed(seed: int, seconds: float, folder: pathlib.Path) -> Verdict:
    """Run one seed and return its verdict."""
    names = make_names(FLAGS.entries, FLAGS.hosts)
    plan = draw(seed, seconds, names)
    if FLAGS.calm:
        plan = replace(plan, faults=())
    jobs = draw_jobs(seed, seconds, FLAGS.jobs_per_s)
    kinds = collections.Counter(type(fault).__name__ for fault in plan.faults)
    print(f"seed {seed}: {len(jobs)} jobs, faults {dict(sorted(kinds.items()))}")
    tables = Tables(
        job_by_id=pmap({job.job_id: job for job in jobs}),
        capacity_m=CAPACITY_M,
        calm_period=(0.0, 0.0),
    )
    observer = Observer(tables, folder)
    site = make_site(names, folder, observer.record)
    try:
        site.start()
        started_at = _run_plan(site, plan, jobs, observer)
        ended_by_itself = site.ended_by_itself()
    finally:
        site.fleet.kill_all()
    return Verdict(
        seed=seed,
        tables=observer.tables,
        unfinished=unfinished(observer.tables),
        ended_by_itself=ended_by_itself,
        failures=failure_lines(folder),
        picture=tuple(draw_picture(started_at, observer.processed, plan.faults)),
    )


def failure_lines(folder: pathlib.Path) -> tuple[str, ...]:
    """Return the lines in which entries say that they failed to handle something."""
    return tuple(
        f"{path.stem}: {line}"
        for path in sorted(folder.glob("entry-*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if any(f'"{kind}"' in line for kind in FAILURE_KINDS)
    )


def _run_plan(
    site: Site, plan: Plan, jobs: tuple[JobPlan, ...], observer: Observer
) -> float:
    """Execute the plan, wait for the jobs to end, and return the start time."""
    _process_for(observer, READY_WAIT_S)
    started_at = time.monotonic()
    # The first third of the calm period is left for faults to end.
    settled_at = started_at + plan.calm_from + (plan.calm_until - plan.calm_from) / 3
    calm_period = (settled_at, started_at + plan.calm_until)
    observer.tables = replace(observer.tables, calm_period=calm_period)
    stop = threading.Event()
    items: list[Fault | JobPlan] = sorted((*plan.faults, *jobs), key=lambda due: due.at)
    with ThreadPoolExecutor(MAX_CALLERS) as pool:
        context = RunContext(site=site, pool=pool, record=observer.record, stop=stop)
        for item in items:
            _process_for(observer, started_at + item.at - time.monotonic())
            start_item(item, context)
        _wait_until_finished(site, observer)
        stop.set()
    _process_for(observer, REORDER_WINDOW_S + POLL_INTERVAL_S)
    return started_at


@dataclass(frozen=True, kw_only=True, slots=True)
class RunContext:
    """The site to inject faults into, and what callers need to run."""

    site: Site
    pool: ThreadPoolExecutor
    record: Callable[[Observation], None]
    stop: threading.Event


@singledispatch
def start_item(item: Fault | JobPlan, context: RunContext) -> None:
    """Start a fault or a job that is due."""
    assert isinstance(item, Fault)
    inject_fault(item, context.site)


@start_item.register
def _(item: JobPlan, context: RunContext) -> None:
    # The number of a's in the random job id spreads the callers over the entries.
    connection = Connection(context.site.caller_urls, item.job_id.count("a"))
    caller = Caller(connection=connection, record=context.record, stop=context.stop)
    context.pool.submit(caller.run, item)


def _wait_until_finished(site: Site, observer: Observer) -> None:
    """Wait until every accepted job has ended, up to `FINISH_TIMEOUT_S`."""
    until = time.monotonic() + FINISH_TIMEOUT_S
    connection = Connection(site.caller_urls, 0)
    caller = Caller(
        connection=connection, record=observer.record, stop=threading.Event()
    )
    _process_for(observer, REORDER_WINDOW_S)
    while time.monotonic() < until:
        left = unfinished(observer.tables)
        if not left:
            return
        for job_id in left[:20]:
            caller.query_state(job_id)
        _process_for(observer, REORDER_WINDOW_S + POLL_INTERVAL_S)


def _process_for(observer: Observer, duration_s: float) -> None:
    """Process observations for a time."""
    until = time.monotonic() + duration_s
    while True:
        observer.process(time.monotonic())
        left_s = until - time.monotonic()
        if left_s <= 0.0:
            return
        threading.Event().wait(min(POLL_INTERVAL_S, left_s))


def print_verdict(verdict: Verdict, folder: pathlib.Path) -> None:
    """Print the result of a run, its verdict last."""
    tables = verdict.tables
    if FLAGS.picture:
        print("\n".join(verdict.picture))
    states = collections.Counter(tables.state_by_job.values())
    print(
        f"  {len(tables.accepted_at_by_job)} jobs accepted,"
        f" {len(tables.refused_jobs)} refused,"
        f" {len(tables.outcome_unknown_jobs)} of unknown outcome;"
        f" {tables.start_count} starts;"
        f" states {dict(sorted(states.items()))}"
    )
    for line in tables.violations:
        print(f"  VIOLATED {line}")
    for job_id in verdict.unfinished:
        print(f"  UNFINISHED {job_id}: {tables.state_by_job.get(job_id, 'no state')}")
    for name in verdict.ended_by_itself:
        print(f"  ENDED BY ITSELF {name}")
    for line in verdict.failures:
        print(f"  FAILURE {line}")
    end = "passed" if verdict.passed else f"FAILED, logs in {folder}"
    print(f"seed {verdict.seed}: {end}", flush=True)


def main(argv: list[str]) -> None:
    """Run the seeds given by the flags."""
    del argv
    seeds = [FLAGS.seed]
    if FLAGS.seed is None:
        rng = random.SystemRandom()
        seeds = [rng.randrange(1_000_000) for _ in range(FLAGS.seeds)]
    until = time.monotonic() + 60.0 * FLAGS.minutes
    failed: list[int] = []
    run_count = 0
    for seed in seeds:
        if run_count and time.monotonic() > until:
            break
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"bulrushpulley-soak-{seed}-"))
        verdict = run_seed(seed, FLAGS.seconds, folder)
        print_verdict(verdict, folder)
        run_count += 1
        if not verdict.passed:
            failed.append(seed)
    print(
        f"{run_count} runs, {len(failed)} failed{': ' if failed else ''}{failed or ''}"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", None, "Run this seed only.")
    flags.DEFINE_integer("seeds", 1, "Number of random seeds to run.")
    flags.DEFINE_float(
        "minutes", 60.0, "Minutes after which no further run is started."
    )
    flags.DEFINE_float(
        "seconds", 34.0, "Seconds during which a run injects faults and submits jobs."
    )
    flags.DEFINE_integer("entries", 2, "Number of entries.")
    flags.DEFINE_integer(
        "hosts", 4, "Number of hosts, each with an agent and a backend server."
    )
    flags.DEFINE_bool("calm", False, "Inject no faults and make no planned changes.")
    flags.DEFINE_bool(
        "picture", False, "Print a chart with a line for every two seconds."
    )
    flags.DEFINE_float("jobs_per_s", 3.0, "Jobs submitted per second.")
    app.run(main)
