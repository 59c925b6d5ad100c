"""Tests of how long a job stands still although closed hosts have room for it.

The platform counts a job as lost that has nothing running for 3 s although the turn of
a task has come and there is room for it twice, whether or not the scheduler has closed
the hosts with that room.
"""

from __future__ import annotations

from functools import partial

import testtools

from bulrushpulley.entities.resources import Resources
from standins.executor_core import POISON_PAYLOAD
from test.jobs_world import JobsWorld, step
from test.test_jobs_held_back import MAX_IDLE_S, longest_idle_s

LONG = "600.0"
HOSTS = 4
FULL, FAILING = "full", "failing"
# Two hosts hold one such task each, of 8,000 MB, and have no room for a waiting one.
LONG_SIZE = Resources(processors_m=1_000, memory_mb=5_000)
WAITING_SIZE = Resources(processors_m=1_000, memory_mb=4_000)
JOB = 2


class QuarantineBesideFullHostsTest(testtools.TestCase):
    """Half of the hosts are full for a task; the others are free and in quarantine.

    Hosts in quarantine are used only for steps that no open host may run, whether it
    has room or not, so a step that fits on none of the open hosts waits for the end of
    the quarantine.
    """

    def start_world(self) -> JobsWorld:
        """Start a site of which a third of the memory is in use, on the open hosts."""
        world = JobsWorld(entries=2, hosts=HOSTS)
        for number, executor in enumerate(world.executor_by_host.values()):
            label = FULL if number < HOSTS // 2 else FAILING
            executor.labels = (label, f"rack-{executor.host}")
        world.run(3.0)
        long = step(HOSTS // 2, needs_label=FULL, per_host_limit=1, size=LONG_SIZE)
        world.spec_by_job.pop(world.submit(1, long, payload=LONG))
        world.run(1.0)
        self.fail_tasks(world, 10)
        world.run(0.6)
        return world

    def fail_tasks(self, world: JobsWorld, first: int) -> None:
        """Have a task of each of several jobs fail on the hosts that are free."""
        for number in range(first, first + HOSTS):
            failing = step(1, needs_label=FAILING)
            job_id = world.submit(number, failing, payload=POISON_PAYLOAD)
            world.spec_by_job.pop(job_id)

    def idle_s(self, world: JobsWorld) -> float:
        """Return for how long a job of one task that fits on free hosts is idle."""
        job_id = world.submit(JOB, step(1, size=WAITING_SIZE), payload="0.5")
        return longest_idle_s(world, job_id, 20.0)

    def test_a_step_does_not_wait_for_the_end_of_a_quarantine(self) -> None:
        self.assertLess(self.idle_s(self.start_world()), MAX_IDLE_S)

    # Tasks that only these hosts may run go on failing, which closes them anew.
    def test_a_quarantine_that_begins_anew_does_not_prolong_the_wait(self) -> None:
        world = self.start_world()
        for number, after_s in enumerate((1.0, 2.0, 3.0, 3.5), start=2):
            world.at(after_s, partial(self.fail_tasks, world, 10 * number))
        self.assertLess(self.idle_s(world), MAX_IDLE_S)
