"""Measures the cost of the scheduler and job agents by hosts and started tasks.

Run with ``scripts/measure jobs``. The product's roles run in a simulated site in
virtual time (`test.jobs_world`). The processor time of each role's ticks is added up,
first while the site is idle, then while jobs run. The figures do not include HTTP,
links and encoding.
"""

from __future__ import annotations

import sys
import time
from collections import defaultdict
from typing import Any

from absl import app, flags

from test.jobs_world import JobsWorld, Process, step

FLAGS = flags.FLAGS
flags.DEFINE_list("hosts", ["10", "30", "100"], "Numbers of hosts to measure.")
flags.DEFINE_integer("jobs", 20, "Number of jobs of ten tasks for every ten hosts.")

STARTUP_S = 4.0
MEASUREMENT_S = 10.0


class TimedWorld(JobsWorld):
    """A site that adds up the processor time of each role."""

    processor_s: defaultdict[str, float]

    def _tick(self, process: Process, role: str) -> None:
        started_at = time.process_time()
        super()._tick(process, role)
        self.processor_s[role] += time.process_time() - started_at


def idle_world(hosts: int) -> TimedWorld:
    """Return a site that has started and runs no jobs."""
    TimedWorld.processor_s = defaultdict(float)
    world = TimedWorld(hosts=hosts)
    world.run(STARTUP_S)
    return world


def processor_s_by_role(world: TimedWorld, seconds: float) -> dict[str, float]:
    """Run for some seconds and return the processor time of each role."""
    before = dict(world.processor_s)
    world.run(seconds)
    return {
        role: world.processor_s[role] - before.get(role, 0.0)
        for role in world.processor_s
    }


def measure(hosts: int, jobs: int) -> None:
    """Print the costs at one size."""
    world = idle_world(hosts)
    idle_s = processor_s_by_role(world, MEASUREMENT_S)
    for number in range(jobs):
        world.submit(number, step(10), payload="1.0")
    starts_before = world.starts
    loaded_s = processor_s_by_role(world, MEASUREMENT_S)
    started = world.starts - starts_before
    idle_ms_per_s = {role: 1e3 * idle_s[role] / MEASUREMENT_S for role in idle_s}
    ms_per_start = {
        role: 1e3 * (loaded_s[role] - idle_s[role]) / started for role in idle_s
    }
    print(
        f"{hosts:5} hosts: idle scheduler {idle_ms_per_s['scheduler']:7.2f} ms/s,"
        f" job agents {idle_ms_per_s['keeper'] / hosts:6.3f} ms/s each;"
        f" {started} starts, {ms_per_start['scheduler']:6.3f} ms of scheduler and"
        f" {ms_per_start['keeper']:6.3f} ms of job agent each"
    )


def main(argv: list[Any]) -> None:
    """Measure each size."""
    del argv
    for text in FLAGS.hosts:
        hosts = int(text)
        measure(hosts, max(1, FLAGS.jobs * hosts // 10))


if __name__ == "__main__":
    sys.exit(app.run(main))
