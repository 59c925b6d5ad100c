"""Tests of the log lines about tasks that wait, and runs, hosts and ends unsettled.

A job waited with most of the room free until its day was over (LOST), and no line said
whether its task waited, was held without running, or had ended unacknowledged.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from typing import Any

import testtools

from bulrushpulley.entities.jobs.advice import AdviceTerms
from bulrushpulley.entities.jobs.exclusion import Exclusion
from bulrushpulley.entities.jobs.executor_calls import PollFailed, RunsListed
from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.items import Adopt, EndsNoted
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.runs import RunEnd
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.task import TaskState, task_id_of
from bulrushpulley.entities.link import LinkDown
from bulrushpulley.entities.observe import Decision, Observe
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.lasting_states import (
    FIRST_REPORT_AGE_S,
    MAX_LINES_PER_REPORT,
    MAX_OBSERVED_PER_REPORT,
    REPORT_INTERVAL_S,
    is_report_due,
)
from bulrushpulley.systems.scheduling import (
    choosing,
    edits,
    excluding,
    host_candidates,
    placing,
    unserved,
)
from bulrushpulley.systems.scheduling.ranking import kind_of
from test.jobs_world import QUEUE, JobsWorld, step
from test.test_jobs_agent import INCARNATION, OWNER, Bench

HUGE = Resources(processors_m=99_000, memory_mb=100)
LONG = "60.0"
KINDS = {
    "task.wait",
    "task.unsettled",
    "job.idle",
    "host.unsettled",
    "run.unsettled",
    "ends.unacknowledged",
    "owner.none",
    "server.none",
}
# A state is logged at the first report after it has lasted long enough.
LATEST_S = FIRST_REPORT_AGE_S + REPORT_INTERVAL_S + 0.3


def lines(commands: list[Command], kind: str) -> list[Decision]:
    """Return the log lines of a kind."""
    decisions = [command for command in commands if isinstance(command, Decision)]
    return [decision for decision in decisions if decision.kind == kind]


def logged(world: JobsWorld, kind: str) -> list[Decision]:
    """Return the log lines of a kind in a simulated site."""
    return lines(list(world.decisions), kind)


def tables_of_owner(world: JobsWorld) -> SchedulerTables:
    """Return the tables of the scheduler that owns the shard."""
    process = world.process_by_name[world.owner()]
    tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
    return tables


class AgesTest(testtools.TestCase):
    def test_a_state_is_due_once_at_each_doubling_of_its_age(self) -> None:
        due = [
            float(at)
            for at in range(1, 60)
            if is_report_due(0.0, at - REPORT_INTERVAL_S, float(at))
        ]
        self.assertEqual([3.0, 6.0, 12.0, 24.0, 48.0], due)

    def test_a_state_older_than_the_first_report_is_due_then(self) -> None:
        self.assertTrue(is_report_due(50.0, 0.0, 90.0))
        self.assertFalse(is_report_due(88.0, 0.0, 90.0))


class SiteTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld()
        self.world.run(5.0)
        self.world.decisions.clear()

    def run_for(self, seconds: float, kind: str) -> list[Decision]:
        self.world.run(seconds)
        return logged(self.world, kind)


class ServedSiteTest(SiteTest):
    def test_a_site_that_serves_its_jobs_has_no_such_line(self) -> None:
        self.world.submit(1, step(3), step(3, after=(0,)), payload="4.0")
        self.world.submit(2, step(2, lasting=True), payload="6.0")
        self.world.run(20.0)
        kinds = {decision.kind for decision in self.world.decisions}
        self.assertEqual(set(), kinds & KINDS)

    def test_a_job_that_is_not_due_is_not_idle(self) -> None:
        due_s = self.world.now + 15.0
        job = self.world.submit(1, step(1), occurrences=2, first_due_s=due_s)
        self.assertEqual([], self.run_for(10.0, "job.idle"))
        # Its tasks are added once they are due.
        self.assertEqual([], tables_of_owner(self.world).tasks.rows_where("job", job))
        self.assertEqual([], self.run_for(6.5, "job.idle"))
        self.assertEqual(JobState.RUNNING, self.world.state_of(job))
        self.assertEqual([], self.run_for(3.0, "job.idle"))
        self.assertEqual(JobState.COMPLETED, self.world.state_of(job))


class WaitingTest(SiteTest):
    def test_a_step_that_waits_is_logged_once_at_each_age(self) -> None:
        job = self.world.submit(1, replace(step(10), size=HUGE))
        self.assertEqual([], self.run_for(FIRST_REPORT_AGE_S - 0.1, "task.wait"))
        (line,) = self.run_for(LATEST_S - FIRST_REPORT_AGE_S + 0.1, "task.wait")
        self.assertEqual(f"{job}.0.0.0", line.subject)
        self.assertIn("with 10 of its step", line.reason)
        self.assertIn("needs 99000, 100, 0", line.reason)
        self.assertIn("0 of 3 hosts would take it: no room 3", line.reason)
        self.assertEqual(2, len(self.run_for(FIRST_REPORT_AGE_S, "task.wait")))
        self.assertEqual(2, len(self.run_for(3.5, "task.wait")))

    def test_each_step_has_a_line_of_its_own(self) -> None:
        self.world.submit(
            1, replace(step(2), size=HUGE), replace(step(3), needs_label="none")
        )
        first, second = self.run_for(LATEST_S, "task.wait")
        self.assertIn("with 2 of its step", first.reason)
        self.assertIn("no room 3", first.reason)
        self.assertIn("with 3 of its step", second.reason)
        self.assertIn("no label 3", second.reason)

    def test_a_report_has_few_lines_and_counts_the_others(self) -> None:
        for number in range(1, 31):
            self.world.submit(number, replace(step(1), size=HUGE))
        found = self.run_for(LATEST_S, "task.wait")
        self.assertEqual(MAX_LINES_PER_REPORT, len(found))
        left_out = 30 - MAX_LINES_PER_REPORT
        self.assertIn(f"; {left_out} more are not logged", found[-1].reason)
        self.assertNotIn("not logged", found[0].reason)

    def test_a_report_examines_a_bounded_number_of_steps(self) -> None:
        job_id = self.world.submit(1, replace(step(1), size=HUGE))
        self.world.run(0.5)
        tables, now = tables_of_owner(self.world), self.world.now
        (task,) = tables.tasks.rows_where("job", job_id)
        for occurrence in range(1, unserved.MAX_EXAMINED_STEPS + 3):
            key = task_id_of(job_id, occurrence, 0, 0)
            more = replace(task, task_id=key, occurrence=occurrence)
            tables = edits.put_task(tables, more)
        tables = replace(tables, unserved_reported_at=now)
        found = lines(list(unserved.run(tables, now + 3.0).commands), "task.wait")
        self.assertEqual(MAX_LINES_PER_REPORT, len(found))
        left_out = unserved.MAX_EXAMINED_STEPS - MAX_LINES_PER_REPORT
        self.assertIn(
            f"; {left_out} more are not logged; 3 more are not examined",
            found[-1].reason,
        )

    def test_the_per_host_limit_is_named(self) -> None:
        self.world.submit(1, step(4, per_host_limit=1), payload=LONG)
        (line,) = self.run_for(LATEST_S, "task.wait")
        self.assertIn("0 of 3 hosts would take it: per-host limit 3", line.reason)

    def test_missing_tickets_are_named(self) -> None:
        terms = AdviceTerms(decide_s=0.01, per_server_s=0.001, valid_s=2.0)
        self.world.configure(replace(QUEUE, advice=terms))
        servers = [host.server_id for host in self.world.executor_by_host.values()]
        self.world.disallowed_server_ids = set(servers)
        self.world.run(1.0)
        self.world.submit(1, step(1))
        (line,) = self.run_for(LATEST_S, "task.wait")
        self.assertIn("0 of 3 hosts would take it: no ticket 3", line.reason)
        self.assertIn("0 tickets of 3 servers asked about", line.reason)

    def test_how_long_steps_wait_is_observed_within_bounds(self) -> None:
        count = MAX_OBSERVED_PER_REPORT + 20
        for number in range(1, count + 1):
            self.world.submit(number, replace(step(1), size=HUGE))
        self.world.run(2.0)
        tables = tables_of_owner(self.world)
        tables = replace(tables, unserved_reported_at=self.world.now)
        commands = unserved.run(tables, self.world.now + 2.0).commands
        observed = [command for command in commands if isinstance(command, Observe)]
        self.assertEqual(MAX_OBSERVED_PER_REPORT, len(observed))
        self.assertEqual({"step_waiting_seconds"}, {seen.name for seen in observed})
        self.assertEqual({QUEUE.name}, {seen.label for seen in observed})


class ExclusionTest(SiteTest):
    """Each reason for which a host takes no task, by changing one of three hosts."""

    def setUp(self) -> None:
        super().setUp()
        self.job_id = self.world.submit(1, replace(step(1), size=HUGE))
        self.world.run(0.5)
        self.tables = tables_of_owner(self.world)
        self.job = self.tables.jobs.by_key[self.job_id]
        (self.task,) = self.tables.tasks.rows_where("job", self.job_id)

    def counts_with(self, **changes: object) -> str:
        host = self.tables.hosts.by_key["z0-0"]
        tables = edits.put_host(self.tables, replace(host, **changes))  # type: ignore[arg-type]
        return self.counts(tables)

    def counts(self, tables: SchedulerTables) -> str:
        now = self.world.now
        hosts = excluding.open_hosts(tables, now)
        return excluding.count_hosts(tables, hosts, self.job, self.task, now).describe()

    def test_hosts_that_are_not_open(self) -> None:
        for reason, changes in (
            ("not ready", {"state": ServerState.STALLED}),
            ("not synced", {"synced": False}),
            ("contact too old", {"last_contact_at": self.world.now - 2.6}),
            ("quarantined", {"quarantined_until": self.world.now + 1.0}),
            ("other service", {"service": "mills"}),
        ):
            self.assertEqual(
                {f"{reason} 1", "no room 2"},
                set(self.counts_with(**changes).split(", ")),
            )

    def test_an_evacuated_domain(self) -> None:
        self.world.evacuate("z1")
        self.world.run(1.0)
        counts = self.counts(tables_of_owner(self.world))
        self.assertEqual("evacuated 1, no room 2", counts)

    def test_a_host_that_is_closed_for_upkeep(self) -> None:
        # Its machine goes down once these tasks have had their time to finish.
        self.world.submit(2, step(12), payload=LONG)
        self.world.run(1.0)
        self.world.order_wave(1, "m-z0-0")
        self.world.run(3.0)
        counts = self.counts(tables_of_owner(self.world))
        self.assertEqual("closed for upkeep 1, no room 2", counts)

    def test_a_task_that_is_held_back_for_harm(self) -> None:
        filling = step(1, image="tune", fills=True)
        candidate = replace(
            host_candidates.candidate_of(self.tables.hosts.by_key["z0-0"]),
            target_by_image={"oven": 10.0},
        )
        request = choosing.PlacementRequest(
            step=filling,
            kind=kind_of(filling),
            service="ovens",
            tickets=None,
            harm_fraction=lambda serving, filling, target_ms: 1.0,
            idle_s=0.0,
        )
        for idle_s, expected in ((0.0, Exclusion.HARM), (3.0, None)):
            found = choosing.exclusion_of(
                replace(request, idle_s=idle_s), candidate, False, Counter()
            )
            self.assertEqual(expected, found)

    def test_the_hosts_that_would_take_a_task_are_those_that_are_ranked(self) -> None:
        draw = random.Random(7)
        now = self.world.now
        small = replace(self.job.row.spec.steps[0], size=Resources(processors_m=2_000))
        spec = replace(self.job.row.spec, steps=(small,))
        job = replace(self.job, row=replace(self.job.row, spec=spec))
        for _ in range(200):
            tables = self.tables
            for name, host in tables.hosts.by_key.items():
                changed = replace(
                    host,
                    state=draw.choice([ServerState.READY, ServerState.SILENT]),
                    synced=draw.random() < 0.8,
                    last_contact_at=now - draw.choice([0.5, 3.0]),
                    service=draw.choice(["ovens", "ovens", "mills"]),
                    committed=Resources(processors_m=draw.choice([0, 3_000])),
                )
                self.assertEqual(name, changed.name)
                tables = edits.put_host(tables, changed)
            hosts = excluding.open_hosts(tables, now)
            counts = excluding.count_hosts(tables, hosts, job, self.task, now)
            request = placing.placement_request(tables, job, small, self.task, now)
            ranking = choosing.rank_candidates(request, hosts.candidate_by_host)
            self.assertEqual(len(ranking.heap), counts.taking)
            self.assertEqual(len(tables.hosts), counts.total)


class UnsettledTaskTest(SiteTest):
    def test_a_held_task_whose_start_has_no_answer_is_logged(self) -> None:
        self.world.call_delay_s = 10.0
        job = self.world.submit(1, step(1), payload=LONG)
        self.assertEqual([], self.run_for(FIRST_REPORT_AGE_S, "task.unsettled"))
        self.assertEqual([], logged(self.world, "run.unsettled"))
        (line,) = self.run_for(LATEST_S - FIRST_REPORT_AGE_S, "task.unsettled")
        self.assertEqual(f"{job}.0.0.0#1", line.subject)
        self.assertIn("held for", line.reason)
        self.assertIn("host ready, linked True, synced True", line.reason)
        self.assertIn("incarnation same", line.reason)
        (run,) = logged(self.world, "run.unsettled")
        self.assertIn("starting for", run.reason)
        self.assertIn("wanted False", run.reason)
        self.assertIn("denied unsettled", run.reason)
        self.assertIn("server ready, listed True", run.reason)

    def test_a_linked_host_without_contact_is_logged(self) -> None:
        job = self.world.submit(1, step(1), payload=LONG)
        self.world.run(1.0)
        tables = tables_of_owner(self.world)
        (task,) = tables.tasks.rows_where("job", job)
        self.world.freeze(task.host, 7.0)
        self.world.evacuate(task.host.split("-")[0])
        self.assertEqual([], self.run_for(FIRST_REPORT_AGE_S - 1.0, "host.unsettled"))
        (line,) = self.run_for(LATEST_S - 2.0, "host.unsettled")
        self.assertEqual(task.host, line.subject)
        self.assertIn("linked True, synced True", line.reason)
        self.assertIn("1 tasks held", line.reason)

    def test_a_stopping_task_of_another_incarnation_is_logged(self) -> None:
        job = self.world.submit(1, step(1), payload=LONG)
        self.world.run(1.0)
        tables = tables_of_owner(self.world)
        (task,) = tables.tasks.rows_where("job", job)
        now = self.world.now
        stopping = replace(task, state=TaskState.STOPPING, since=now, life="i-0/0")
        tables = edits.put_task(tables, stopping)
        tables = replace(tables, unserved_reported_at=now)
        (line,) = lines(
            list(unserved.run(tables, now + 3.0).commands), "task.unsettled"
        )
        self.assertIn("stopping for 3.0 s", line.reason)
        self.assertIn("incarnation another", line.reason)
        early = unserved.run(tables, now + 2.9).commands
        self.assertEqual([], lines(list(early), "task.unsettled"))

    def test_a_report_has_few_lines_and_counts_the_others(self) -> None:
        self.world.call_delay_s = 10.0
        self.world.submit(1, step(12), payload=LONG)
        found = self.run_for(LATEST_S, "task.unsettled")
        self.assertEqual(MAX_LINES_PER_REPORT, len(found))
        left_out = 12 - MAX_LINES_PER_REPORT
        self.assertIn(f"; {left_out} more are not logged", found[-1].reason)


class LostHostTest(SiteTest):
    def test_a_host_that_is_lost_with_running_tasks_is_logged(self) -> None:
        # Nothing was logged between the end of its link and the lapse of its leases.
        self.world.machines_up = False
        self.world.submit(1, step(9), payload=LONG)
        self.world.run(2.0)
        self.world.executor_by_host["z0-0"].crash()
        self.world.kill("z0-0")
        (line,) = self.run_for(LATEST_S, "host.unsettled")
        self.assertEqual("z0-0", line.subject)
        self.assertIn("linked False", line.reason)
        self.assertIn("3 tasks held, given up in 7.", line.reason)


class UnsyncedHostTest(SiteTest):
    def test_a_linked_host_that_stays_unsynced_is_logged(self) -> None:
        tables, now = tables_of_owner(self.world), self.world.now
        host = replace(tables.hosts.by_key["z0-0"], synced=False)
        tables = edits.put_host(tables, host)
        found: list[tuple[float, Decision]] = []
        for second in range(1, 9):
            at = now + second
            contact = replace(tables.hosts.by_key["z0-0"], last_contact_at=at)
            tables = edits.put_host(tables, contact)
            step_ = unserved.run(tables, at)
            tables = step_.tables
            for line in lines(list(step_.commands), "host.unsettled"):
                if line.subject == "z0-0":
                    found.append((at - now, line))
        self.assertEqual([4.0, 7.0], [after_s for after_s, _ in found])
        self.assertIn("linked True, synced False", found[0][1].reason)


class IdleJobTest(SiteTest):
    def test_a_job_whose_next_step_stays_blocked_is_logged(self) -> None:
        job = self.world.submit(1, step(2), step(2, after=(0,)), payload=LONG)
        self.world.run(1.0)
        tables, now = tables_of_owner(self.world), self.world.now
        for task in tables.tasks.rows_where("job", job):
            if task.step == 0:
                done = replace(task, state=TaskState.DONE, host="", life="", since=now)
                tables = edits.put_task(tables, done)
        tables = replace(tables, unserved_reported_at=now)
        early = unserved.run(tables, now + 2.9).commands
        self.assertEqual([], lines(list(early), "job.idle"))
        (line,) = lines(list(unserved.run(tables, now + 3.0).commands), "job.idle")
        self.assertEqual(job, line.subject)
        self.assertIn("nothing held or waiting for 3.0 s; 2 tasks blocked", line.reason)


class AgentTest(testtools.TestCase):
    """The lines of the agent alone."""

    def setUp(self) -> None:
        super().setUp()
        self.bench = Bench()

    def idle(self, seconds: float) -> list[Command]:
        """Tick without events, and return all commands since the last call."""
        until = self.bench.now + seconds
        found: list[Command] = []
        while self.bench.now < until:
            found.extend(self.bench.tell())
        return found

    def test_no_owner(self) -> None:
        self.bench.tell(LinkDown(peer=OWNER))
        self.assertEqual([], lines(self.idle(2.8), "owner.none"))
        (line,) = lines(self.idle(LATEST_S - 2.8), "owner.none")
        self.assertIn("leases permitted for", line.reason)

    def test_no_server(self) -> None:
        refused = PollFailed(server_id="i-1", reason="no", connection_refused=True)
        self.bench.tell(refused)
        self.idle(0.4)
        self.bench.tell(refused)
        self.assertIsNone(self.bench.tables.server)
        self.assertEqual([], lines(self.idle(2.8), "server.none"))
        (line,) = lines(self.idle(LATEST_S - 2.8), "server.none")
        self.assertIn("server gone, not known, 0 announced", line.reason)

    def list_ends(self, *numbers: int) -> None:
        ends = tuple(
            RunEnd(task_id=f"t{number}", run=1, how="done", number=number)
            for number in numbers
        )
        listed = RunsListed(
            server_id="i-1",
            started_at_ms=5,
            clock_ms=int(self.bench.now * 1000),
            runs=(),
            ends=ends,
        )
        self.bench.tell(listed)

    def test_ends_that_are_not_acknowledged(self) -> None:
        self.list_ends(1, 2)
        self.assertEqual([], lines(self.idle(2.8), "ends.unacknowledged"))
        (line,) = lines(self.idle(LATEST_S - 2.8), "ends.unacknowledged")
        self.assertIn("2 ends, the first 1, the last sent to the owner 2", line.reason)

    def test_ends_that_are_acknowledged_one_after_the_other_have_no_line(self) -> None:
        self.list_ends(1, 2, 3)
        for number in (1, 2, 3):
            self.assertEqual([], lines(self.idle(2.0), "ends.unacknowledged"))
            noted = EndsNoted(peer=OWNER, epoch=1, life=INCARNATION, numbers=(number,))
            self.bench.tell(noted)

    def test_an_ordered_run_that_cannot_start(self) -> None:
        self.bench.tell(PollFailed(server_id="i-1", reason="no answer"))
        self.bench.order("t")
        self.assertEqual([], lines(self.idle(2.7), "run.unsettled"))
        (line,) = lines(self.idle(LATEST_S - 2.7), "run.unsettled")
        self.assertEqual("t#1", line.subject)
        self.assertIn("ordered for", line.reason)
        self.assertIn("wanted False, in flight True", line.reason)
        self.assertIn("server silent, listed True, polls failing for", line.reason)
        self.assertIn("free 4000, 8000, 0", line.reason)

    def test_an_owner_that_is_lost_again_begins_a_new_lack(self) -> None:
        for _ in range(4):
            self.bench.tell(LinkDown(peer=OWNER))
            self.assertEqual([], lines(self.idle(1.9), "owner.none"))
            self.bench.tell(Adopt(peer=OWNER, epoch=1))

    def test_starting_runs_are_logged_within_bounds(self) -> None:
        for number in range(6):
            self.bench.order(f"t{number}")
        ordered = self.bench.tables.runs.rows_where("phase", "starting")
        self.assertEqual(4, len(ordered))
        self.assertEqual([], lines(self.idle(2.5), "run.unsettled"))
        found = lines(self.idle(LATEST_S - 2.5), "run.unsettled")
        self.assertLessEqual(len(found), 2 * MAX_LINES_PER_REPORT)
        self.assertEqual(
            {f"t{number}#1" for number in range(4)}, {line.subject for line in found}
        )
        self.assertIn("in flight True", found[0].reason)


class PlacedAfterWaitTest(testtools.TestCase):
    """A wait of less than 3 s has no line of its own."""

    def _reasons(self, world: JobsWorld, job: str) -> list[str]:
        return [
            line.reason
            for line in world.decisions
            if line.kind == "task.place" and line.subject.startswith(job)
        ]

    def _world(self, wait_s: float, **more: Any) -> tuple[JobsWorld, str]:
        """Submit a job that has to wait until another one has ended."""
        world = JobsWorld(hosts=2)
        world.run(2.0)
        whole_host = step(2, size=Resources(processors_m=4_000, memory_mb=100), **more)
        world.submit(1, whole_host, payload=f"{wait_s}")
        world.run(0.5)
        job = world.submit(2, whole_host)
        self.assertTrue(world.run_until(world.all_complete, 9.0))
        return world, job

    def test_the_line_of_a_placement_says_what_held_the_task_back(self) -> None:
        for gang in (False, True):
            world, job = self._world(2.5, gang=gang)
            reasons = self._reasons(world, job)
            self.assertEqual(2, len(reasons))
            for reason in reasons:
                self.assertIn(", held back last: no room 2", reason)

    def test_hosts_that_are_closed_for_all_tasks_are_counted(self) -> None:
        world = JobsWorld(hosts=2)
        world.run(2.0)
        world.evacuate("z0")
        world.evacuate("z1")
        world.run(0.5)
        job = world.submit(1, step(1))
        world.run(2.0)
        world.evacuate("z0", withdraw=True)
        world.evacuate("z1", withdraw=True)
        self.assertTrue(world.run_until(world.all_complete, 5.0))
        [reason] = self._reasons(world, job)
        self.assertIn(", held back last: evacuated 2", reason)

    def test_nothing_is_added_after_a_short_wait(self) -> None:
        world, job = self._world(0.7)
        for reason in self._reasons(world, job):
            self.assertNotIn("held back", reason)
