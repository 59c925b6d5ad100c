"""Tests of waits that may begin anew while there is room for a task.

Each wait has a bound, but a state that is entered again and again has none. The users
count a job as lost that has nothing running for 3 s although the turn of a task has
come and there is room for it. `docs/WAITS.md` says for each state that can begin anew
what bounds the number of times.
"""

from __future__ import annotations

import itertools
from dataclasses import replace

import testtools

from bulrushpulley.entities.interference import Harm, harm_key
from bulrushpulley.entities.jobs.advice import AdviceTerms
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    PollOwner,
    RereadTable,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import ReadRange
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.scheduling import edits, placing, ranking
from test.jobs_refusals import (
    DenyStarts,
    LoseStarts,
    RefuseStarts,
    Trouble,
    TroubledExecutor,
)
from test.jobs_world import CAPACITY, QUEUE, JobsWorld, step
from test.test_jobs_refusal_memory import placements

MAX_IDLE_S = 3.0
# The deferral, the next placement pass, its transaction and the start.
MAX_DEFERRED_S = ranking.MAX_FILLING_DEFERRAL_S + placing.PLACEMENT_INTERVAL_S + 0.2
OBSERVED_S = 20.0
FAILED_REREADS = 3
MAX_TAKEOVER_S = 3.7
LAST_HOST_WITHIN_S = 90.0
LONG = "200.0"
SOUND_HOST = "z0-0"
# Expected to do harm on a host of four processors.
FILLING = Resources(processors_m=2_700, memory_mb=500)
# Many tasks of this size fit on a host.
TINY = Resources(processors_m=1, memory_mb=1)


def running_jobs(world: JobsWorld) -> frozenset[str]:
    """Return the jobs of which a task runs."""
    return frozenset(
        key.partition(".")[0]
        for executor in world.executor_by_host.values()
        for key in executor.run_by_key
    )


def wait_s(world: JobsWorld, job_id: str, within_s: float = OBSERVED_S) -> float:
    """Return after how long a task of a job runs; `within_s` if none does."""
    since, until = world.now, world.now + within_s
    while job_id not in running_jobs(world) and world.now < until:
        world.run(0.02)
    return world.now - since


def scheduler(world: JobsWorld) -> SchedulerTables:
    """Return the tables of the owner."""
    process = world.process_by_name[world.owner()]
    tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
    return tables


def set_scheduler(world: JobsWorld, tables: SchedulerTables) -> None:
    """Replace the tables of the owner."""
    process = world.process_by_name[world.owner()]
    process.instance_by_role[SCHEDULER].tables = tables


def learn_harm(world: JobsWorld, *, service: str, job: str) -> None:
    """Have the owner expect that one image harms another on each host."""
    tables = scheduler(world)
    harm = Harm(service=service, job=job, estimate_ms=60.0, variance=0.1, at=world.now)
    harms = tables.harms.put(harm_key(service=service, job=job), harm)
    targets = tables.target_by_image.set(service, 100.0)
    set_scheduler(world, replace(tables, harms=harms, target_by_image=targets))


def requeue(world: JobsWorld, task_id: str) -> None:
    """Have a task wait as if its run had just been lost."""
    tables = scheduler(world)
    task = replace(tables.tasks.by_key[task_id], since=world.now, idle_since=world.now)
    set_scheduler(world, edits.put_task(tables, task))


class AdviceTest(testtools.TestCase):
    """The service of advice takes one call at a time, for the most urgent step first.

    Steps that never get further must not keep the others from their turn.
    """

    def start_world(self, valid_s: float = 60.0) -> JobsWorld:
        """Start a site whose queue needs advice, with room on all hosts."""
        world = JobsWorld(entries=2, hosts=3)
        terms = AdviceTerms(decide_s=0.05, per_server_s=0.001, valid_s=valid_s)
        world.configure(replace(QUEUE, advice=terms))
        world.run(3.0)
        return world

    # Ten steps are examined in a pass, and each pass examined the same ten again.
    def test_steps_that_no_host_may_run_do_not_keep_others_from_asking(self) -> None:
        for count in (10, 40, 80):
            world = self.start_world()
            for number in range(1, count + 1):
                world.disallowed_job_ids.add(f"{number:016x}")
                world.submit(number, step(1, estimate_s=30.0), payload=LONG)
            world.run(8.0)
            job_id = world.submit(100, step(1, estimate_s=30.0), payload=LONG)
            self.assertLess(wait_s(world, job_id), MAX_IDLE_S, f"{count} steps wait")

    # A request without answer takes over 1 s, and the same step asked first again.
    def test_a_step_without_answer_does_not_keep_others_from_asking(self) -> None:
        for count in (1, 2):
            world = self.start_world()
            for number in range(1, count + 1):
                world.unadvised_job_ids.add(f"{number:016x}")
                world.submit(number, step(1, estimate_s=30.0), payload=LONG)
            world.run(0.5)
            job_id = world.submit(100, step(1, estimate_s=30.0), payload=LONG)
            self.assertLess(wait_s(world, job_id), MAX_IDLE_S, f"{count} unanswered")

    # Tickets expire while a step fits nowhere. The steps ask again, the most urgent
    # first, and beside a hundred of them no call is left for the others.
    def test_steps_that_fit_nowhere_do_not_keep_others_from_asking(self) -> None:
        world = self.start_world(valid_s=4.0)
        held = replace(CAPACITY, processors_m=2_000, memory_mb=100)
        large = replace(CAPACITY, processors_m=2_500, memory_mb=100)
        world.submit(1, step(3, lasting=True, size=held, per_host_limit=1))
        world.run(2.0)
        for number in range(2, 102):
            world.submit(number, step(1, size=large, estimate_s=300.0))
        world.run(3.0)
        job_id = world.submit(200, step(1, estimate_s=300.0), payload=LONG)
        self.assertLess(wait_s(world, job_id), MAX_IDLE_S)

    # A step that gave way for one lost answer would be the last of many.
    def test_a_lost_answer_does_not_put_a_step_behind_all_others(self) -> None:
        world = self.start_world()
        urgent = world.submit(1, step(1, estimate_s=30.0), payload=LONG)
        world.unadvised_job_ids.add(urgent)
        world.run(0.5)
        for number in range(2, 82):
            world.submit(number, step(1, estimate_s=40.0, size=TINY), payload=LONG)
        world.run(0.5)
        world.unadvised_job_ids.clear()
        self.assertLess(wait_s(world, urgent), MAX_IDLE_S)


class RefusingHostsTest(testtools.TestCase):
    """All hosts but one refuse each start, and are the emptiest."""

    def tried_hosts(self, refusing: int, trouble: Trouble) -> list[str]:
        """Return the hosts on which a task was placed until it ran, or for 90 s."""
        world = JobsWorld(entries=2, hosts=1)
        world.run(2.0)
        world.submit(1, step(1), payload=LONG)
        world.run(1.0)
        for number in range(1, refusing + 1):
            name = f"z1-{number}"
            world.start_host(name)
            TroubledExecutor(world=world, host=name).trouble = trouble
        world.run(2.0)
        job_id = world.submit(2, step(1), payload=LONG)
        wait_s(world, job_id, LAST_HOST_WITHIN_S)
        return placements(world, f"{job_id}.0.0.0")

    # A task forgot the first refusals before it had tried the last host, and so never
    # reached it: it remembered eight hosts, each for 6 s.
    def test_a_task_is_placed_on_each_host_once_at_most(self) -> None:
        for refusing, trouble in (
            (4, DenyStarts(reason="room")),
            (12, DenyStarts(reason="room")),
            (12, RefuseStarts()),
            (5, LoseStarts()),
        ):
            tried = self.tried_hosts(refusing, trouble)
            self.assertEqual(SOUND_HOST, tried[-1], f"{trouble}: {tried}")
            self.assertEqual(sorted({*tried}), sorted(tried), f"{trouble}")


class PassTest(testtools.TestCase):
    """More tasks come at once than a placement pass places."""

    # The next pass came 0.5 s later, though there was room for the tasks left.
    def test_tasks_beyond_the_limit_of_a_pass_are_placed_in_time(self) -> None:
        self.patch(placing, "MAX_PLACED_PER_PASS", 40)
        world = JobsWorld(entries=2, hosts=3)
        world.run(3.0)
        for number in range(1, 9):
            tasks = step(40, size=TINY, estimate_s=30.0)
            world.submit(number, tasks, payload=LONG)
        job_id = world.submit(9, step(1, size=TINY, estimate_s=30.0), payload=LONG)
        self.assertLess(wait_s(world, job_id), MAX_IDLE_S)


class ReserveTest(testtools.TestCase):
    """Lasting tasks hold 95% of a site, so that those on one host must fit twice."""

    # A task of most of a host never fits twice on one, although two hosts are empty.
    def test_a_lasting_task_runs_where_two_hosts_have_room_for_it(self) -> None:
        world = JobsWorld(entries=2, hosts=40)
        world.run(3.0)
        held = step(38, lasting=True, size=CAPACITY, per_host_limit=1)
        world.submit(1, held, payload=LONG)
        world.run(2.0)
        large = Resources(processors_m=3_700, memory_mb=5_000)
        job_id = world.submit(2, step(1, lasting=True, size=large), payload=LONG)
        self.assertLess(wait_s(world, job_id, 8.0), MAX_IDLE_S)


class StepTest(testtools.TestCase):
    """Tasks of a step that have waited for different times."""

    # The first task of a step that fits nowhere ended the search for the others.
    def test_a_task_that_waits_anew_does_not_hold_its_siblings_back(self) -> None:
        world = JobsWorld(entries=2, hosts=3)
        world.run(3.0)
        serving = step(
            3, lasting=True, image="oven", latency_target_ms=100.0, per_host_limit=1
        )
        world.submit(1, serving, payload=LONG)
        world.run(2.0)
        learn_harm(world, service="oven", job="curve")
        filling = step(4, image="curve", fills=True, size=FILLING)
        job_id = world.submit(2, filling, payload=LONG)
        began_at = world.now
        world.run(1.2)
        requeue(world, f"{job_id}.0.0.0")
        world.run_until(lambda: job_id in running_jobs(world), 10.0)
        self.assertLess(world.now - began_at, MAX_DEFERRED_S)


class TakeoverTest(testtools.TestCase):
    """A new owner gives its agents time to report before it places a task."""

    # The time begins anew with each takeover, and ends once all agents have reported.
    def test_a_task_runs_soon_after_the_last_of_several_takeovers(self) -> None:
        world = JobsWorld(entries=3, hosts=3)
        world.run(3.0)
        world.kill("z2-2")
        world.executor_by_host["z2-2"].crash()
        entry = next(
            name
            for name in world.process_by_name
            if name.startswith("entry") and name != world.owner()
        )
        job_id = world.submit(1, step(2, estimate_s=30.0), payload=LONG, entry=entry)
        for _ in range(3):
            world.restart(world.owner())
            world.run(0.2)
            world.run_until(lambda: bool(world.owner()), 6.0)
        self.assertLess(wait_s(world, job_id), MAX_IDLE_S)


class FollowerTest(testtools.TestCase):
    """Reads of the owner row fail at times while the owner is lost."""

    # Each failed read restarted the takeover timeout, so it never passed.
    def test_the_shard_is_taken_over_although_each_second_read_fails(self) -> None:
        world = JobsWorld(entries=3, hosts=3)
        world.run(3.0)
        reads = itertools.count()

        def fail_each_second(command: Command) -> None:
            is_poll = isinstance(command, ReadRange) and isinstance(
                command.purpose, PollOwner
            )
            world.reads_fail = is_poll and next(reads) // 2 % 2 == 0

        world.hook = fail_each_second
        world.kill(world.owner())
        lost_at = world.now
        self.assertTrue(world.run_until(lambda: bool(world.owner()), OBSERVED_S))
        self.assertLess(world.now - lost_at, 2 * MAX_TAKEOVER_S)

    # The time in which reads fail must not count, as the owner cannot renew then.
    def test_an_owner_keeps_the_shard_through_short_outages(self) -> None:
        for outage_s, up_s in itertools.product((0.5, 1.0, 1.9, 3.0), (1.0, 1.5, 3.0)):
            world = JobsWorld(entries=3, hosts=3)
            world.run(3.0)
            epoch = scheduler(world).epoch
            for _ in range(6):
                world.store_up = False
                world.run(outage_s)
                world.store_up = True
                world.run(up_s)
            world.run(2.0)
            self.assertEqual(epoch, scheduler(world).epoch, f"{outage_s} {up_s}")


class StoreTest(testtools.TestCase):
    """The store refuses or loses calls again and again."""

    # A transaction that is refused as busy is sent again, whatever reads say.
    def test_a_step_runs_soon_after_refused_transactions(self) -> None:
        world = JobsWorld(entries=2, hosts=3)
        world.run(3.0)
        steps = step(2), step(2, after=(0,))
        job_id = world.submit(1, *steps, payload="1.0")
        world.run(0.5)
        for part in world.part_free_at:
            world.part_free_at[part] = world.now + 5.0
        world.run(4.5)
        self.assertIn("commit.retry", [line.kind for line in world.decisions])
        self.assertNotIn(job_id, running_jobs(world))
        self.assertLess(wait_s(world, job_id), MAX_IDLE_S)

    # A watch whose history is lost reads the whole table, which may fail.
    def test_a_job_is_seen_although_rereads_of_its_table_fail(self) -> None:
        world = JobsWorld(entries=2, hosts=3)
        world.run(3.0)
        rereads: list[float] = []

        def fail_first(command: Command) -> None:
            is_reread = isinstance(command, ReadRange) and isinstance(
                command.purpose, RereadTable
            )
            rereads.extend([world.now] * is_reread)
            world.reads_fail = is_reread and len(rereads) <= FAILED_REREADS

        world.hook = fail_first
        job_id = world.submit(1, step(2, estimate_s=30.0), payload=LONG)
        world.store.compact()
        world.run(0.01)
        world.store.compact()
        self.assertLess(wait_s(world, job_id), MAX_IDLE_S)
        self.assertGreater(len(rereads), FAILED_REREADS)


class ClockTest(testtools.TestCase):
    """Wall clocks of the entries' hosts jump by seconds, and back."""

    def submit_timed(self, world: JobsWorld) -> tuple[str, float]:
        """Submit a job that is due in 3 s, and return when it is."""
        due_s = world.now + 3.0
        job_id = world.submit(1, step(1), occurrences=1, first_due_s=due_s)
        return job_id, due_s

    # The clock was read once in a tenure, so a timed job started late by all its error.
    def test_a_timed_job_is_due_by_a_clock_that_was_set_right(self) -> None:
        world = JobsWorld(entries=2, hosts=3)
        world.wall_error_s = -20.0
        world.run(1.5)
        self.assertNotEqual("", world.owner())
        world.wall_error_s = 0.0
        world.run(1.5)
        job_id, due_s = self.submit_timed(world)
        world.run(due_s - world.now)
        self.assertLess(wait_s(world, job_id, 30.0), MAX_IDLE_S)

    def test_a_jump_does_not_change_when_a_job_is_due(self) -> None:
        for error_s, takeover in ((-5.0, False), (5.0, False), (-5.0, True)):
            world = JobsWorld(entries=2, hosts=3)
            world.run(20.0)
            world.wall_error_s = error_s
            job_id, due_s = self.submit_timed(world)
            world.run(0.1)
            if takeover:
                world.kill(world.owner())
            world.run(due_s - world.now - 0.1)
            self.assertNotIn(job_id, running_jobs(world))
            world.run(0.1)
            bound_s = MAX_IDLE_S + MAX_TAKEOVER_S * takeover
            self.assertLess(wait_s(world, job_id), bound_s, f"{error_s} {takeover}")
