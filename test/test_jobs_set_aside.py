"""Tests of jobs that a system fails to handle, and of reports that fail.

A job is stored, so an exception that it caused ended each owner of the shard in turn,
and no other job was served.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

from bulrushpulley.entities.jobs.calls import CancelCall
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.runs import RunStatus
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, job_id_of
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.scheduling import (
    agents,
    endings,
    finishing,
    idle_jobs,
    occurrences,
    placing,
    rederiving,
    setting_aside,
    unserved,
)
from test.jobs_world import QUEUE, JobsWorld, step

ODD, USUAL, LATER = 1, 2, 3
LONG = "60.0"
COMPLETES_WITHIN_S = 6.0


def job_of(*arguments: Any) -> str:
    """Return the id of the job that a function is called for, if it is."""
    for each in arguments:
        if isinstance(each, (Job, Task)):
            return each.job_id
        if isinstance(each, RunStatus):
            return job_id_of(each.task_id)
    return ""


class SetAsideTest(testtools.TestCase):
    """Functions that raise an exception for one of the jobs."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=2, hosts=3)
        self.world.may_set_aside = True
        self.counted: list[Count] = []
        self.world.hook = self.count
        self.world.run(3.0)

    def count(self, command: Command) -> None:
        if isinstance(command, Count) and "failures" in command.name:
            self.counted.append(command)

    def make_odd(self, module: Any, name: str) -> Any:
        """Have a function raise for the odd job until the patch is stopped."""
        sound: Callable[..., Any] = getattr(module, name)

        def odd(*arguments: Any, **named: Any) -> Any:
            if job_of(*arguments, *named.values()) == f"{ODD:016x}":
                raise ValueError("an odd job")
            return sound(*arguments, **named)

        patch = mock.patch.object(module, name, odd)
        patch.start()
        self.addCleanup(mock.patch.stopall)
        return patch

    def lines(self, kind: str) -> list[Decision]:
        return [each for each in self.world.decisions if each.kind == kind]

    def tables(self) -> SchedulerTables:
        process = self.world.process_by_name[self.world.owner()]
        tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
        return tables

    def assert_served(self, number: int) -> None:
        """Check that a job is served, by the owner that there was."""
        owner, epoch = self.world.owner(), self.tables().epoch
        job_id = self.world.submit(number, step(2))
        self.world.run(COMPLETES_WITHIN_S)
        self.assertEqual(JobState.COMPLETED, self.world.state_of(job_id))
        self.assertEqual((owner, epoch), (self.world.owner(), self.tables().epoch))

    def test_a_job_that_cannot_be_placed_is_left_out_for_a_while(self) -> None:
        patch = self.make_odd(placing, "_place_job")
        job_id = self.world.submit(ODD, step(2))
        self.assert_served(USUAL)
        (line,) = self.lines("job.set_aside")
        self.assertEqual(job_id, line.subject)
        self.assertIn("an odd job", line.reason)
        self.assertIn("test_jobs_set_aside.py", line.reason)
        self.assertEqual([setting_aside.FAILURE], self.counted)
        patch.stop()
        self.world.run(setting_aside.MIN_SET_ASIDE_S)
        self.assertEqual(JobState.COMPLETED, self.world.state_of(job_id))

    def test_each_failure_in_a_row_doubles_the_time(self) -> None:
        self.make_odd(placing, "_place_job")
        self.world.submit(ODD, step(2))
        self.world.run(80.0)
        spans = [line.chosen for line in self.lines("job.set_aside")]
        self.assertEqual(["for 10 s", "for 20 s", "for 40 s", "for 80 s"], spans)

    def test_a_job_that_cannot_be_added_is_read_again_later(self) -> None:
        patch = self.make_odd(occurrences, "begin_due")
        job_id = self.world.submit(ODD, step(2))
        self.assert_served(USUAL)
        self.world.run(30.0)
        self.assertNotIn(job_id, self.tables().jobs)
        # It is neither tried nor taken for missed before its time.
        self.assertEqual(len(self.lines("job.set_aside")), len(self.counted))
        self.assertLessEqual(len(self.lines("books.differ")), len(self.counted))
        patch.stop()
        self.world.run(60.0)
        self.assertEqual(JobState.COMPLETED, self.world.state_of(job_id))

    def test_an_occurrence_that_cannot_begin(self) -> None:
        due_s = self.world.now + 1.0
        self.world.submit(ODD, step(1), occurrences=3, first_due_s=due_s)
        self.world.run(0.5)
        self.make_odd(occurrences, "begin_due")
        self.world.run(1.0)
        self.assert_served(USUAL)
        self.assertEqual(1, len(self.lines("job.set_aside")))

    def test_runs_go_on_and_end_while_their_job_is_set_aside(self) -> None:
        job_id = self.world.submit(ODD, step(6), payload="3.0")
        self.world.run(1.5)
        host = self.world.executor_by_host["z0-0"]
        self.assertTrue(host.run_by_key)
        starts = self.world.starts
        self.make_odd(placing, "_place_job")
        host.crash()
        host.restart(self.world.now)
        self.world.run(8.0)
        self.assertEqual(1, len(self.lines("job.set_aside")))
        running = self.tables().tasks.rows_where("open", job_id)
        self.assertLess(len(running), 6)
        self.assertEqual(starts, self.world.starts)

    def test_a_job_that_is_set_aside_can_be_cancelled(self) -> None:
        self.make_odd(placing, "_place_job")
        job_id = self.world.submit(ODD, step(2))
        self.world.run(2.0)
        self.cancel(job_id)
        self.world.run(2.0)
        self.assertEqual(JobState.CANCELLED, self.world.state_of(job_id))

    def cancel(self, job_id: str) -> None:
        call = CancelCall(
            call_id="cancel",
            authority=QUEUE.authority,
            path=f"{QUEUE.path_prefix}{job_id}",
            within_s=3.0,
            received_at_s=self.world.now,
        )
        self.world.tell(self.world.process_by_name["entry-0"], "intake", call)

    def test_an_end_that_cannot_be_handled(self) -> None:
        patch = self.make_odd(endings, "end_run")
        self.world.submit(ODD, step(2), payload="1.0")
        self.assert_served(USUAL)
        self.assertEqual(1, len(self.lines("job.set_aside")))
        patch.stop()
        self.assert_served(LATER)
        self.assertTrue(self.world.all_complete())

    def test_a_run_that_cannot_be_noted(self) -> None:
        self.make_odd(agents, "_apply_run_status")
        self.world.submit(ODD, step(2), payload="1.0")
        self.assert_served(USUAL)
        self.assertEqual(1, len(self.lines("job.set_aside")))

    def test_a_run_whose_loss_cannot_be_handled(self) -> None:
        self.world.submit(ODD, step(6), payload=LONG)
        self.world.run(1.5)
        self.make_odd(endings, "_end_unlogged")
        host = self.world.executor_by_host["z0-0"]
        host.crash()
        host.restart(self.world.now)
        self.assert_served(USUAL)
        self.assertEqual(1, len(self.lines("job.set_aside")))

    def test_a_cancellation_that_cannot_be_handled(self) -> None:
        job_id = self.world.submit(ODD, step(2), payload=LONG)
        self.world.run(1.5)
        patch = self.make_odd(finishing, "cancel")
        self.cancel(job_id)
        self.assert_served(USUAL)
        patch.stop()
        self.world.run(40.0)
        self.assertEqual(JobState.CANCELLED, self.world.state_of(job_id))

    def test_a_report_that_fails_ends_no_owner(self) -> None:
        for number, (module, name) in enumerate(
            ((idle_jobs, "examine"), (unserved, "_report_waiting")), start=USUAL
        ):
            with mock.patch.object(module, name, side_effect=ValueError("odd")):
                self.assert_served(number)
        subjects = [line.subject for line in self.lines("report.failed")]
        self.assertEqual(["idle_jobs", "unserved"], subjects)

    def test_other_faults_still_end_the_process(self) -> None:
        """A fault without a job at hand would otherwise leave a role half alive."""
        with mock.patch.object(rederiving, "REDERIVE_INTERVAL_S", None):
            self.assertRaises(TypeError, self.world.run, 5.0)


class WorldTest(testtools.TestCase):
    """The simulated site fails tests in which a system fails to handle a job."""

    def test_a_job_that_is_set_aside_fails_the_test(self) -> None:
        world = JobsWorld(entries=2, hosts=3)
        world.run(3.0)
        with mock.patch.object(placing, "_place_job", side_effect=ValueError("odd")):
            world.submit(ODD, step(2))
            self.assertRaises(AssertionError, world.run, 2.0)
