"""Measures placement and relief within a cell against simple baselines.

Run with ``scripts/measure policy [--seeds 3]``. It drives one owner of a rack of three
workers in virtual time at the sizes of both deployments. Batch jobs fill the rack; some
of them slow down the service on the same worker. After a steady phase the failure
domain is drained and returned to service. Both baselines place by first fit; when a
service is degraded, one evicts the newest batch task on its worker, and the other does
nothing. For the baselines and the product's policies it prints each measure and its
ratio to that of the first baseline.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from absl import app, flags
from hdrh.histogram import HdrHistogram

from bulrushpulley.entities.records import DomainState, PolicyRecord
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import BacklogRow, TaskClass, TaskRow, TaskState
from bulrushpulley.systems.cell import interference as cell_interference
from bulrushpulley.systems.cell import place as cell_place
from bulrushpulley.systems.cell.placement_policy import FirstFit, PlacementPolicy
from bulrushpulley.systems.cell.relief import (
    EvictNewest,
    NoRelief,
    ReliefPolicy,
    ThrottleFirst,
)
from bulrushpulley.systems.cell.spread_and_pack import SpreadAndPack
from standins import worker_core
from standins.worker_core import RunState
from test.cell_bench import CellBench

FLAGS = flags.FLAGS
SERVICE = "front"
WORKER_COUNT = 3
STEADY_PHASE_S = 600
DRAIN_PHASE_S = 60
SIMULATION_DURATION_S = 900
TIME_STEP_S = 1.0
JOB_INTERVAL_S = 30
JOB_COUNT = 20
TASKS_PER_JOB = 8
TASK_RUN_S = (60.0, 180.0)
HARMFUL_JOB_FRACTION = 0.3
HARM_MS = (40.0, 90.0)
MAX_LATENCY_US = 10_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """The sizes and policy weights of one deployment."""

    name: str
    capacity: Resources
    service_size: Resources
    task_processors_m: tuple[int, ...]
    latency_weight: float
    eviction_weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Variant:
    """A combination of policies to measure."""

    name: str
    placement: PlacementPolicy
    relief: ReliefPolicy


@dataclass(frozen=True, kw_only=True, slots=True)
class Measurement:
    """The results of one run.

    Work is in processor seconds. `work_across_drain` is the work from the drain to the
    end, and `violations` are those of the whole run; the rest is of the steady phase.
    """

    p99_ms: float
    work: float
    evictions: float
    work_across_drain: float
    violations: int


DEPLOYMENTS = (
    Deployment(
        name="Firinzeka",
        capacity=Resources(processors_m=32_000, memory_mb=125_000),
        service_size=Resources(processors_m=4_000, memory_mb=8_000),
        task_processors_m=(2_000, 4_000, 8_000),
        latency_weight=4.0,
        eviction_weight=1.0,
    ),
    Deployment(
        name="Kalamu",
        capacity=Resources(processors_m=16_000, memory_mb=60_000),
        service_size=Resources(processors_m=2_000, memory_mb=4_000),
        task_processors_m=(1_000, 2_000, 4_000),
        latency_weight=1.0,
        eviction_weight=4.0,
    ),
)
VARIANTS = (
    Variant(name="evict newest", placement=FirstFit(), relief=EvictNewest()),
    Variant(name="no relief", placement=FirstFit(), relief=NoRelief()),
    Variant(name="product", placement=SpreadAndPack(), relief=ThrottleFirst()),
)


class Rack:
    """A rack, its jobs drawn from a seed, and the measured latencies."""

    def __init__(self, *, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.latencies = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.bench = bench = CellBench(seed=seed, workers=WORKER_COUNT)
        bench.capacity = dict.fromkeys(bench.workers, deployment.capacity)
        bench.put_record("cell", bench.cell_record())
        weights = PolicyRecord(
            name="weights",
            department="bakery",
            latency_weight=deployment.latency_weight,
            eviction_weight=deployment.eviction_weight,
        )
        bench.put_record("policy", weights)
        self.harm_by_job: dict[str, float] = {}
        bench.latency_noise = self.latency_factor
        version = bench.put_service(SERVICE, replicas=WORKER_COUNT)
        bench.start_agent("a")
        bench.run(2.0)
        for index in range(WORKER_COUNT):
            bench.put_task(
                SERVICE,
                index,
                version,
                kind="service",
                task_class=TaskClass.LATENCY_CRITICAL,
                size=deployment.service_size,
                run_s=0.0,
            )
        bench.assign("a")

    def latency_factor(self, now: float) -> float:
        """Return the random factor of latencies at a time."""
        return 0.9 + 0.2 * random.Random(int(now)).random()

    def add_job(self, number: int) -> None:
        """Submit the next job."""
        name = f"job{number:02d}"
        if self.rng.random() < HARMFUL_JOB_FRACTION:
            self.harm_by_job[name] = self.rng.uniform(*HARM_MS)
        for worker, state in self.bench.workers.items():
            harms = dict(self.harm_by_job)
            self.bench.workers[worker] = replace(state, harm_by_job=harms)
        processors_m = self.rng.choice(self.deployment.task_processors_m)
        size = Resources(processors_m=processors_m, memory_mb=processors_m)
        run_s = self.rng.uniform(*TASK_RUN_S)
        self.bench.put_job(name, tasks=TASKS_PER_JOB, run_s=run_s, size=size)

    def reassign(self) -> None:
        """Assign tasks in the backlog to the cell again, as a controller does."""
        for stored in self.bench.rows("backlog/"):
            row = stored.row
            if isinstance(row, BacklogRow):
                spec = row.spec
                task = TaskRow(
                    spec=spec,
                    state=TaskState.WAITING,
                    generation=row.generation,
                    checkpoint=row.checkpoint,
                    attempts=row.attempts,
                )
                self.bench.put(stored.key, None)
                self.bench.put(f"task/c0/{spec.task_id}", task)
        self.bench.assign("a")

    def sample(self) -> None:
        """Record the current latency of every replica of the service."""
        now = self.bench.world.now
        for state in self.bench.workers.values():
            for run in state.runs.rows():
                service = run.start.task_class != "batch"
                if service and run.state is RunState.RUNNING:
                    latency_ms = worker_core.latency_ms(state, run, now)
                    self.latencies.record_value(
                        int(1000 * latency_ms * self.latency_factor(now))
                    )

    def run(self, until: float, *, drained: bool = False) -> None:
        """Advance the time; submit jobs, reassign tasks and sample latencies."""
        while self.bench.world.now < until:
            self.bench.run(TIME_STEP_S)
            second = round(self.bench.world.now)
            if second % JOB_INTERVAL_S == 0 and second // JOB_INTERVAL_S <= JOB_COUNT:
                self.add_job(second // JOB_INTERVAL_S)
            if second % 5 == 0 and not drained:
                self.reassign()
            self.sample()

    def set_domain_state(self, state: DomainState) -> None:
        """Drain the failure domain or return it to service."""
        self.bench.drain()
        if state is DomainState.IN_SERVICE:
            self.bench.put_record("failure_domain", self.bench._domain(state))
            self.bench.drained_at = None
        self.bench.distribute_records()

    def rows_of(self, prefix: str) -> list[Any]:
        """Return the rows under a prefix."""
        return [self.bench.row(stored.key) for stored in self.bench.rows(prefix)]

    def batch_work(self) -> float:
        """Return the batch work done and not lost, in processor seconds.

        Of a task that does not run, it is the work up to its checkpoint.
        """
        done: float = sum(
            row.spec.size.processors_m * row.spec.run_s / 1000
            for row in self.rows_of("done/")
        )
        running_by_id = {
            run.start.task_id: run.done_s
            for state in self.bench.workers.values()
            for run in state.runs.rows()
            if run.state is RunState.RUNNING
        }
        for row in (*self.rows_of("task/"), *self.rows_of("backlog/")):
            if row.spec.task_class is TaskClass.BATCH:
                saved = float(row.checkpoint or 0.0)
                kept = running_by_id.get(row.spec.task_id, saved)
                done += row.spec.size.processors_m * kept / 1000
        return done


def measure(deployment: Deployment, variant: Variant, seed: int) -> Measurement:
    """Run one rack with the policies of a variant."""
    placing = mock.patch.object(cell_place, "PLACEMENT_POLICY", variant.placement)
    relieving = mock.patch.object(cell_interference, "RELIEF_POLICY", variant.relief)
    with placing, relieving:
        rack = Rack(deployment=deployment, seed=seed)
        rack.run(STEADY_PHASE_S)
        p99_ms = rack.latencies.get_value_at_percentile(99.0) / 1000
        steady_work = rack.batch_work()
        evictions = sum(1 for d in rack.bench.decisions if d.kind == "task.evict")
        rack.set_domain_state(DomainState.DRAINED)
        rack.run(STEADY_PHASE_S + DRAIN_PHASE_S, drained=True)
        rack.set_domain_state(DomainState.IN_SERVICE)
        rack.run(SIMULATION_DURATION_S)
    return Measurement(
        p99_ms=p99_ms,
        work=steady_work,
        evictions=evictions,
        work_across_drain=rack.batch_work() - steady_work,
        violations=len(rack.bench.violations),
    )


def mean(measurements: Iterable[Measurement]) -> Measurement:
    """Return the mean over seeds, and the sum of the violations."""
    runs = list(measurements)
    return Measurement(
        p99_ms=sum(m.p99_ms for m in runs) / len(runs),
        work=sum(m.work for m in runs) / len(runs),
        evictions=sum(m.evictions for m in runs) / len(runs),
        work_across_drain=sum(m.work_across_drain for m in runs) / len(runs),
        violations=sum(m.violations for m in runs),
    )


def report(name: str, measurement: Measurement, baseline: Measurement) -> None:
    """Print the results of a variant and their ratios to the baseline."""
    evictions = (
        measurement.evictions / baseline.evictions
        if baseline.evictions
        else float("nan")
    )
    print(
        f"  {name:13} p99 {measurement.p99_ms:6.0f} ms"
        f" ({measurement.p99_ms / baseline.p99_ms:.2f})"
        f"  work {measurement.work:7.0f} ({measurement.work / baseline.work:.2f})"
        f"  evictions {measurement.evictions:5.1f} ({evictions:.2f})"
        f"  across drain {measurement.work_across_drain:7.0f}"
        f" ({measurement.work_across_drain / baseline.work_across_drain:.2f})"
        f"  violations {measurement.violations}",
        flush=True,
    )


def main(argv: list[str]) -> None:
    """Measure the variants for both deployments."""
    del argv
    for deployment in DEPLOYMENTS:
        if FLAGS.only not in ("", deployment.name):
            continue
        print(f"{deployment.name}, {FLAGS.seeds} seeds, ratios to the first line")
        baseline: Measurement | None = None
        for variant in VARIANTS:
            seeds = range(1, FLAGS.seeds + 1)
            measurement = mean(measure(deployment, variant, seed) for seed in seeds)
            baseline = baseline or measurement
            report(variant.name, measurement, baseline)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 3, "Number of seeds to run, starting from 1.")
    flags.DEFINE_string("only", "", "Name of the only deployment to measure.")
    app.run(main)
