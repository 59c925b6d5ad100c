"""Tests that holds which follow one another keep no job from its hosts for 3 s.

Each hold had a bound of its own, but several of them in a row had none: a job stood
still for up to 6.7 s beside two sound hosts with room for it (LOST). The seeds are
those of 100 that failed, and two others; `python -m test.jobs_idle_clock --seeds A-B`
plays more.
"""

from __future__ import annotations

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState
from bulrushpulley.systems.scheduling import edits, idle_clock, job_order
from bulrushpulley.systems.scheduling.idle_clock import (
    MAX_JOB_IDLE_S,
    MAX_LASTING_IDLE_S,
)
from test.jobs_idle_clock import (
    MAX_IDLE_S,
    OTHER_HOSTS,
    REFUSALS,
    SOUND_HOSTS,
    AdviceWanted,
    Combination,
    ExpectedHarm,
    FailuresElsewhere,
    Hold,
    StartsRefused,
    draw_combination,
    longest_idle_s,
)
from test.jobs_world import JobsWorld, step

FAILED_SEEDS = (3, 16, 22, 37, 38, 51, 54, 69, 73, 74)
OTHER_SEEDS = (21, 49)
UNANSWERED_SEED = 220
LONG = "90.0"


class CombinedHoldsTest(testtools.TestCase):
    def test_no_job_stands_still_beside_sound_hosts(self) -> None:
        late: list[str] = []
        for seed in (*FAILED_SEEDS, *OTHER_SEEDS):
            combination = draw_combination(seed)
            idle_s = longest_idle_s(combination)
            if idle_s >= MAX_IDLE_S:
                late.append(f"{seed}: {idle_s:.2f} s, {combination.describe()}")
        self.assertEqual([], late)

    # The first call for advice waits behind more urgent steps, and two have no answer.
    def test_advice_without_answer_beside_refused_tickets(self) -> None:
        self.assertLess(longest_idle_s(draw_combination(UNANSWERED_SEED)), MAX_IDLE_S)


class AllHostsHeldTest(testtools.TestCase):
    """The sound hosts are in quarantine, and all others refuse each start."""

    def idle_s(self, *more: Hold, after_s: float) -> list[str]:
        """Return the refusals beside which a job stands still for too long."""
        late: list[str] = []
        for trouble in REFUSALS:
            failures = FailuresElsewhere(
                hosts=(*SOUND_HOSTS, *OTHER_HOSTS[:2]), after_s=after_s
            )
            refused = StartsRefused(hosts=OTHER_HOSTS[2:], trouble=trouble)
            holds = (*more, failures, refused)
            combination = Combination(holds=holds, tasks=1, steps=1, phase_s=0.3)
            idle_s = longest_idle_s(combination)
            if idle_s >= MAX_IDLE_S:
                late.append(f"{trouble}: {idle_s:.2f} s")
        return late

    def test_a_task_that_fills(self) -> None:
        self.assertEqual([], self.idle_s(ExpectedHarm(), after_s=0.0))

    # No tickets were asked for hosts in quarantine.
    def test_a_task_that_needs_tickets(self) -> None:
        advice = AdviceWanted(others=10, valid_s=4.0)
        self.assertEqual([], self.idle_s(advice, after_s=0.0))


class MayHoldBackTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(hosts=3)
        self.world.run(2.0)

    def tables(self) -> SchedulerTables:
        """Return the tables of the owner."""
        process = self.world.process_by_name[self.world.owner()]
        tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
        return tables

    def start(self, *, lasting: bool = False) -> tuple[SchedulerTables, Job, Task]:
        """Return a job of which one task runs and another one waits from now on."""
        job_id = self.world.submit(1, step(2, lasting=lasting), payload=LONG)
        self.world.run(1.0)
        tables = self.tables()
        waiting = replace(
            tables.tasks.by_key[f"{job_id}.0.0.1"],
            state=TaskState.WAITING,
            idle_since=self.world.now,
        )
        tables = edits.put_task(tables, waiting)
        return tables, tables.jobs.by_key[job_id], waiting

    def test_a_job_that_has_another_task_running(self) -> None:
        tables, job, waiting = self.start()
        later = waiting.idle_since + 2 * MAX_JOB_IDLE_S
        self.assertTrue(idle_clock.may_hold_back(tables, job, waiting, later))

    def test_a_job_that_has_nothing_running(self) -> None:
        tables, job, waiting = self.start()
        ended_at = waiting.idle_since + 1.0
        running = tables.tasks.by_key[f"{job.job_id}.0.0.0"]
        ended = replace(running, state=TaskState.WAITING, idle_since=ended_at)
        tables = edits.put_task(tables, ended)
        job = replace(job, ran_until=ended_at)
        limit = ended_at + MAX_JOB_IDLE_S
        self.assertTrue(idle_clock.may_hold_back(tables, job, waiting, limit - 0.01))
        self.assertFalse(idle_clock.may_hold_back(tables, job, waiting, limit))

    def test_the_end_of_a_run_is_when_the_job_last_ran(self) -> None:
        job_id = self.world.submit(1, step(1), step(1, after=(0,)), payload="1.0")
        self.world.run(0.5)
        self.assertEqual(0.0, self.tables().jobs.by_key[job_id].ran_until)
        self.world.run(1.0)
        job = self.tables().jobs.by_key[job_id]
        self.assertLess(self.world.now - job.ran_until, 1.0)

    def test_a_lasting_task_whatever_else_runs(self) -> None:
        tables, job, waiting = self.start(lasting=True)
        limit = waiting.idle_since + MAX_LASTING_IDLE_S
        self.assertTrue(idle_clock.may_hold_back(tables, job, waiting, limit - 0.01))
        self.assertFalse(idle_clock.may_hold_back(tables, job, waiting, limit))

    # If all were overdue after a takeover, lasting tasks would come before urgent ones.
    def test_a_lasting_task_of_a_former_owner_is_not_overdue(self) -> None:
        tables, job, waiting = self.start(lasting=True)
        restored = replace(waiting, may_be_idle_longer=True)
        tables = edits.put_task(tables, restored)
        now = self.world.now
        self.assertFalse(idle_clock.may_hold_back(tables, job, restored, now))
        self.assertFalse(idle_clock.is_overdue_lasting(job, restored, now))
        self.assertFalse(job_order.is_overdue(tables, job, now))

    def test_a_task_of_a_former_owner_beside_one_that_runs(self) -> None:
        tables, job, waiting = self.start()
        restored = replace(waiting, may_be_idle_longer=True)
        tables = edits.put_task(tables, restored)
        now = self.world.now
        self.assertTrue(idle_clock.may_hold_back(tables, job, restored, now))
        running = tables.tasks.by_key[f"{job.job_id}.0.0.0"]
        tables = edits.put_task(tables, replace(running, state=TaskState.WAITING))
        self.assertFalse(idle_clock.may_hold_back(tables, job, restored, now))
        ended = replace(job, ran_until=now)
        self.assertTrue(idle_clock.may_hold_back(tables, ended, restored, now))

    def test_the_last_attempt_is_not_risked(self) -> None:
        _, job, waiting = self.start()
        spec, attempts = job.step(0), job.row.max_attempts
        for failures, expected in ((0, True), (attempts - 1, False)):
            failed = replace(waiting, failures=failures)
            found = idle_clock.may_risk_failure(job, spec, (failed,))
            self.assertEqual(expected, found)
        lasting = replace(spec, lasting=True)
        last = replace(waiting, failures=attempts)
        self.assertTrue(idle_clock.may_risk_failure(job, lasting, (last,)))
        gang = (waiting,) * attempts
        self.assertFalse(idle_clock.may_risk_failure(job, spec, gang))
