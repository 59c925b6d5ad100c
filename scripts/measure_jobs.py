"""Measures what the scheduler and the keeper cost by hosts and by started tasks.

Run with ``scripts/measure jobs``. Sites of the product's roles run in virtual time
(`test.jobs_world`); the processor time of each role's ticks is added up, at rest and
while jobs run. HTTP, links and encoding are not in these figures.
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
flags.DEFINE_integer("jobs", 20, "Jobs of ten tasks, for each ten hosts.")

READY_S = 4.0
REST_S = 10.0


class TimedWorld(JobsWorld):
    """A site that adds up the processor time of each role."""

    spent_s: defaultdict[str, float]

    def _tick(self, process: Process, role: str) -> None:
        began = time.process_time()
        super()._tick(process, role)
        self.spent_s[role] += time.process_time() - began


def timed(hosts: int) -> TimedWorld:
    """Return a site at rest."""
    TimedWorld.spent_s = defaultdict(float)
    world = TimedWorld(hosts=hosts)
    world.run(READY_S)
    return world


def spent(world: TimedWorld, seconds: float) -> dict[str, float]:
    """Run for a while and return what each role has spent meanwhile."""
    before = dict(world.spent_s)
    world.run(seconds)
    return {role: world.spent_s[role] - before.get(role, 0.0) for role in world.spent_s}


def measure(hosts: int, jobs: int) -> None:
    """Print the costs at one size."""
    world = timed(hosts)
    rest = spent(world, REST_S)
    for number in range(jobs):
        world.submit(number, step(10), payload="1.0")
    starts = world.starts
    loaded = spent(world, REST_S)
    started = world.starts - starts
    idle = {role: 1e3 * rest[role] / REST_S for role in rest}
    each = {role: 1e3 * (loaded[role] - rest[role]) / started for role in rest}
    print(
        f"{hosts:5} hosts: at rest scheduler {idle['scheduler']:7.2f} ms/s,"
        f" keepers {idle['keeper'] / hosts:6.3f} ms/s each; {started} starts,"
        f" {each['scheduler']:6.3f} ms of scheduler and {each['keeper']:6.3f} ms of"
        " keeper each"
    )


def main(argv: list[Any]) -> None:
    """Measure each size."""
    del argv
    for text in FLAGS.hosts:
        hosts = int(text)
        measure(hosts, max(1, FLAGS.jobs * hosts // 10))


if __name__ == "__main__":
    sys.exit(app.run(main))
