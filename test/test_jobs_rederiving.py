"""Tests that what the owner derives from its tables is put right if it is wrong.

A task is unblocked, started or its job ended by the one event that makes it due. If
that event is handled without it, for whatever reason, nothing comes back to it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import testtools
from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.books import Slice
from bulrushpulley.entities.jobs.progress_commit import SendStart
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.task import TaskState
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import finishing, rederiving, unblocking
from test.jobs_trouble_series import draw_plan, run_plan
from test.jobs_world import JobsWorld, RoleInstance, step

HOST = "z0-0"
# The platform calls a job lost of which nothing runs for this long beside free room.
MAX_IDLE_S = 3.0
RUN_S = 0.5
SERIES_SEEDS = range(101, 105)
# Less than the time of a transaction.
SAMPLE_INTERVAL_S = 0.001


class RederivingTest(testtools.TestCase):
    """One derived state is lost once, while all messages arrive."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=1, hosts=1)
        self.world.run(2.0)

    @property
    def owner(self) -> RoleInstance:
        process = self.world.process_by_name[self.world.owner()]
        return process.instance_by_role[SCHEDULER]

    def derived_lines(self) -> list[Decision]:
        return [
            line
            for line in self.world.decisions
            if (line.kind, line.chosen) == ("books.differ", "derived")
        ]

    def check_heals(self, subject: str, runs: int) -> None:
        """Check that a job whose steps take `RUN_S` each is complete in time."""
        self.world.run_until(self.world.all_complete, runs * RUN_S + MAX_IDLE_S)
        self.assertTrue(self.world.all_complete())
        self.assertEqual([subject], [line.subject for line in self.derived_lines()])
        self.assertEqual([], self.world.violations)

    def lose_first_call(self, module: Any, name: str) -> None:
        """Have the first call of a function that changes tables change nothing."""
        original = getattr(module, name)
        lost: list[str] = []

        def call(tables: SchedulerTables, *args: Any, **more: Any) -> Any:
            if lost:
                return original(tables, *args, **more)
            lost.append(name)
            return Step(tables=tables) if module is finishing else tables

        self.patch(module, name, call)

    def test_a_placed_task_whose_start_is_not_due_any_more(self) -> None:
        self.world.submit(1, step(1), payload=f"{RUN_S}")
        until = self.world.now + 1.0
        while not self.placed() and self.world.now < until:
            self.world.run(SAMPLE_INTERVAL_S)
        (task_id,) = self.placed()
        tables: SchedulerTables = self.owner.tables
        commit = tables.commit
        assert commit is not None
        batches = tuple(
            replace(batch, effects_by_job=_without_starts(batch.effects_by_job))
            for batch in commit.batches
        )
        self.owner.tables = replace(tables, commit=replace(commit, batches=batches))
        self.check_heals(task_id, runs=1)

    def placed(self) -> list[str]:
        tasks = self.owner.tables.tasks.rows()
        return [task.task_id for task in tasks if task.state is TaskState.PLACED]

    def test_a_blocked_task_whose_earlier_steps_are_complete(self) -> None:
        job_id = self.world.submit(1, step(1), step(1, after=(0,)), payload=f"{RUN_S}")
        self.world.run(0.3)
        self.lose_first_call(unblocking, "unblock")
        self.check_heals(job_id, runs=2)

    def test_a_job_without_open_tasks_that_has_not_ended(self) -> None:
        job_id = self.world.submit(1, step(1), payload=f"{RUN_S}")
        self.world.run(0.3)
        self.lose_first_call(finishing, "complete")
        self.check_heals(job_id, runs=1)

    def test_a_host_that_counts_as_full(self) -> None:
        tables: SchedulerTables = self.owner.tables
        host = tables.hosts.by_key[HOST]
        full = replace(host, committed=Resources(processors_m=4_000, memory_mb=8_000))
        self.owner.tables = replace(tables, hosts=tables.hosts.put(HOST, full))
        self.world.submit(1, step(1), payload=f"{RUN_S}")
        self.check_heals(HOST, runs=1)

    def test_nothing_is_found_while_nothing_is_lost(self) -> None:
        self.world = JobsWorld(entries=2, hosts=3)
        self.world.run(2.0)
        self.world.at(4.0, lambda: self.world.restart(self.world.owner()))
        self.world.at(9.0, lambda: self.world.cut_off("z1-1", 4.0))
        self.world.at(12.0, self.world.executor_by_host["z2-2"].crash)
        for number in range(1, 60):
            self.world.submit(
                number,
                step(3),
                step(2, after=(0,), gang=True),
                step(1, after=(1,)),
                payload="0.7",
                entry="entry-1" if number % 2 else "entry-0",
                occurrences=2 if number % 5 == 0 else 0,
                first_due_s=self.world.now + 2.0 if number % 5 == 0 else 0.0,
            )
            self.world.run(0.4)
        self.world.run(20.0)
        self.assertEqual([], self.derived_lines())

    def test_nothing_is_found_in_series_of_troubles(self) -> None:
        found: list[str] = []

        def record(
            tables: SchedulerTables, subjects: Sequence[str], reason: str
        ) -> tuple[Decision, ...]:
            found.extend(f"{subject} {reason}" for subject in subjects)
            return ()

        self.patch(rederiving, "_lines", record)
        for seed in SERIES_SEEDS:
            run_plan(draw_plan(seed))
        self.assertEqual([], found)


class SliceTest(testtools.TestCase):
    """Each key is checked in its turn, however many there are."""

    def slices(self, keys: list[str], tasks: int, count: int) -> list[int]:
        """Return how many keys each of the first slices has."""
        before, sizes = Slice(), []
        for _ in range(count):
            before = rederiving.next_slice(keys, before, lambda key: tasks)
            sizes.append(len(before.keys))
        return sizes

    def test_rows_are_bounded(self) -> None:
        keys = [f"{number:05}" for number in range(4_500)]
        self.assertEqual([2_000, 2_000, 500, 2_000], self.slices(keys, 0, 4))

    def test_tasks_are_bounded_and_one_key_is_always_taken(self) -> None:
        keys = ["a", "b", "c"]
        self.assertEqual([2, 1, 2], self.slices(keys, 2_500, 3))
        self.assertEqual([1, 1, 1, 1], self.slices(keys, 9_000, 4))

    def test_a_table_that_became_empty(self) -> None:
        before = Slice(keys=("a",), is_last=False)
        after = rederiving.next_slice([], before, lambda key: 0)
        self.assertEqual(Slice(), after)
        self.assertEqual(("a",), rederiving.next_slice(["a"], after, len).keys)


def _without_starts(effects_by_job: Map[str, Any]) -> Map[str, Any]:
    return Map(
        {
            job_id: tuple(each for each in effects if not isinstance(each, SendStart))
            for job_id, effects in effects_by_job.items()
        }
    )
