"""Tests of calls that were meant for the former life of a backend server.

A call without an answer may be carried out seconds later. A backend server that has
started again under its id takes it for its own: a start begins a run that the owner of
the shard has started elsewhere (TWICE), and a lease, whose end is a time on the clock
of the former life, lasts as long as the platform allows.
"""

from __future__ import annotations

from collections.abc import Callable

import testtools

from bulrushpulley.entities.jobs.executor_calls import (
    ExecutorCommand,
    PollRuns,
    StartRun,
    StopRun,
)
from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT, JobAgentTables
from bulrushpulley.entities.step import Command
from test.jobs_world import CallOutcome, JobsWorld, Process, step

HOST = "z0-0"
LONG = "30.0"
TASKS = 8
# The server crashes so long after the start of the jobs, and is back after the next.
CRASH_AFTER_S = 2.0
# The clock of the former life shows this much more than that of the next.
FORMER_LIFE_S = 40.0
DOWN_S = 1.0
# A run of the former life is on other hosts by then.
SETTLED_S = 3.0
CUT_OFF_S = 16.0


def is_start(command: Command) -> bool:
    """Return whether a command starts a run."""
    return isinstance(command, StartRun)


def is_renewal(command: Command) -> bool:
    """Return whether a command renews a lease."""
    return isinstance(command, PollRuns) and command.lease_until_ms is not None


class FormerCallsTest(testtools.TestCase):
    """A server is reborn while a call of its former life is on its way."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=2, hosts=4)
        # The platform's list would go on to name the reborn server.
        self.world.machines_up = False
        self.executor = self.world.executor_by_host[HOST]
        self.held: list[Command] = []

    def agent(self) -> JobAgentTables:
        """Return the tables of the host's agent."""
        process = self.world.process_by_name[HOST]
        tables: JobAgentTables = process.instance_by_role[JOB_AGENT].tables
        return tables

    def lose_first(self, concerns: Callable[[Command], bool]) -> None:
        """Have the first such call on the host never carried out, and keep it."""

        def outcome_of(command: Command, process: Process) -> CallOutcome | None:
            if process.name != HOST or self.held or not concerns(command):
                return None
            self.held.append(command)
            return CallOutcome(carried_out_after_s=(), answered_after_s=None)

        self.world.outcome_of = outcome_of

    def carry_out_held(self) -> None:
        """Have the server that is up carry out the call that was kept."""
        (command,) = self.held
        assert isinstance(command, ExecutorCommand)
        self.executor.call(command, self.world.now)

    def play_until_reborn(self, concerns: Callable[[Command], bool]) -> None:
        """Start long tasks, and have the server crash and start again."""
        self.world.run(FORMER_LIFE_S)
        self.lose_first(concerns)
        self.world.submit(1, step(TASKS), payload=LONG)
        self.world.run(CRASH_AFTER_S)
        self.assertEqual(1, len(self.held))
        self.executor.crash()
        self.world.run(DOWN_S)
        self.executor.restart(self.world.now, same_id=True)

    def is_known(self) -> bool:
        """Return whether the agent has made a call to the new life."""
        server = self.agent().server
        if server is None or not server.listed:
            return False
        return server.started_at_ms == self.executor.incarnation

    def runs(self) -> set[str]:
        """Return the runs on the server."""
        return set(self.executor.run_by_key)

    # review/5: run 1 began beside run 2.
    def test_a_start_after_the_first_call_to_the_new_life(self) -> None:
        self.play_until_reborn(is_start)
        self.assertTrue(self.world.run_until(self.is_known, 4.0))
        self.world.run(SETTLED_S)
        before = self.runs()
        self.carry_out_held()
        self.assertEqual(before, self.runs())
        self.world.run(SETTLED_S)
        self.assertEqual([], self.world.violations)

    # review/5: a server may take the fencing token of starts only.
    def test_a_start_that_no_fencing_token_keeps_away(self) -> None:
        self.executor.fenced_by_starts = True
        self.test_a_start_after_the_first_call_to_the_new_life()

    # The task was done before the crash, and must not run again.
    def test_a_start_of_a_run_that_has_ended(self) -> None:
        self.executor.fenced_by_starts = True
        self.world.run(FORMER_LIFE_S)
        self.lose_first(is_start)
        self.world.submit(1, step(TASKS), payload="0.5")
        self.world.run(CRASH_AFTER_S)
        self.assertTrue(self.world.all_complete())
        self.executor.crash()
        self.world.run(DOWN_S)
        self.executor.restart(self.world.now, same_id=True)
        self.assertTrue(self.world.run_until(self.is_known, 4.0))
        self.world.run(1.0)
        self.carry_out_held()
        self.assertEqual(set(), self.runs())

    # The run is no one's: it may have been started elsewhere.
    def test_a_start_before_the_first_call_is_stopped_at_once(self) -> None:
        self.play_until_reborn(is_start)
        self.carry_out_held()
        stale = self.runs()
        self.assertNotEqual(set(), stale)
        commands: list[Command] = []
        self.world.hook = commands.append
        self.assertTrue(self.world.run_until(self.is_known, 4.0))
        self.world.run(0.0)
        stopped = {each.run.key for each in commands if isinstance(each, StopRun)}
        self.assertLessEqual(stale, stopped)

    # An agent does not know of the new life before it announces itself.
    def test_a_start_while_no_life_is_known(self) -> None:
        self.world.run(3.0)
        self.lose_first(is_start)
        self.world.submit(1, step(TASKS), payload=LONG)
        self.world.run(CRASH_AFTER_S)
        self.world.unannounced_hosts.add(HOST)
        self.executor.crash()
        # The agent has given the former life up.
        self.assertTrue(self.world.run_until(lambda: not self.agent().server, 12.0))
        self.world.run(SETTLED_S)
        self.executor.restart(self.world.now, same_id=True)
        self.world.run(0.3)
        self.carry_out_held()
        self.assertEqual(set(), self.runs())

    # However long the platform lets the lease last, the runs of the new life must not
    # outlast the wait of the owner.
    def test_a_renewal_before_the_first_call(self) -> None:
        self.executor.max_lease_s = 60.0
        self.play_until_reborn(is_renewal)
        self.carry_out_held()
        self.assertTrue(self.world.run_until(self.is_known, 4.0))
        self.world.submit(2, step(TASKS // 2), payload=LONG)
        self.world.run(SETTLED_S)
        self.assertNotEqual(set(), self.runs())
        self.assertGreater(self.executor.lease_until, self.world.now + CUT_OFF_S)
        self.world.cut_off(HOST, CUT_OFF_S)
        self.world.run(CUT_OFF_S + SETTLED_S)
        self.assertEqual([], self.world.violations)


class FencingTokenTest(testtools.TestCase):
    """The time at which a life started is no higher than that of the one before."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=1, hosts=1)
        self.executor = self.world.executor_by_host[HOST]
        self.executor.incarnation = 1_000
        self.world.run(3.0)
        self.executor.crash()
        self.executor.restart(self.world.now, same_id=True)
        # The clock of the host was set back.
        self.executor.incarnation = 400
        self.assertTrue(self.world.run_until(self.is_known, 12.0))
        self.job_id = self.world.submit(1, step(4), payload="6.0")
        self.world.run(1.0)

    def agent(self) -> JobAgentTables:
        """Return the tables of the host's agent."""
        process = self.world.process_by_name[HOST]
        tables: JobAgentTables = process.instance_by_role[JOB_AGENT].tables
        return tables

    def is_known(self) -> bool:
        """Return whether the agent has made a call to the life that is up."""
        server = self.agent().server
        if server is None or not server.listed:
            return False
        return server.started_at_ms == self.executor.incarnation

    def test_the_token_rises_all_the_same(self) -> None:
        self.assertGreater(self.executor.fencing_token, 1_000)
        self.assertTrue(self.world.run_until(self.world.all_complete, 8.0))

    # The server ignores the next process of the agent until that has a higher token.
    def test_the_agent_restarts(self) -> None:
        self.world.restart(HOST)
        self.world.run(0.6)
        self.assertTrue(self.world.run_until(self.is_known, 2.0))
        self.assertTrue(self.world.run_until(self.world.all_complete, 8.0))
        self.assertEqual(4, self.world.starts)

    # One odd announcement must not keep the agent from its server for ever.
    def test_the_agent_restarts_after_a_false_announcement(self) -> None:
        false_start_ms = 2**49
        self.executor.fencing_token = false_start_ms
        self.world.restart(HOST)
        self.world.run(0.6)
        self.assertTrue(self.world.run_until(self.is_known, 9.0))
        self.assertGreater(self.agent().fencing_token, false_start_ms)


class UnnoticedRebirthTest(testtools.TestCase):
    """A server starts again so soon that its agent does not notice it at first.

    The agent has its next life start runs that it takes for those of the former one,
    whose end it reports next, so the owner started them elsewhere too (TWICE).
    """

    def play(
        self,
        *,
        submit_after_s: float,
        payload: str,
        restart_agent: bool = False,
        down_s: float = 0.0,
    ) -> None:
        """Have two servers reborn, submit a job, and check that its tasks run once."""
        world = JobsWorld(entries=2, hosts=3)
        world.run(3.0)
        # The numbers of ends begin anew with the next life.
        world.submit(3, step(24), payload="0.1")
        world.run(2.0)
        world.submit(2, step(4), payload="3.0")
        world.run(0.5)
        crashed = [world.executor_by_host[host] for host in ("z0-0", "z1-1")]
        for executor in crashed:
            executor.crash()
        world.run(down_s)
        for executor in crashed:
            executor.restart(world.now, same_id=True)
        world.run(submit_after_s)
        world.submit(1, step(TASKS), payload=payload)
        if restart_agent:
            world.run(0.15)
            world.restart(HOST)
        world.run(6.0)
        case = f"after {submit_after_s} s, {payload}, {restart_agent}, {down_s} s"
        self.assertEqual([], world.violations, case)
        if payload != LONG:
            self.assertTrue(world.all_complete(), case)

    def test_runs_that_last(self) -> None:
        for tenth in range(10):
            self.play(submit_after_s=tenth / 10, payload=LONG)

    # A run that is done on the next life must not run again.
    def test_runs_that_end_soon(self) -> None:
        for tenth in range(10):
            self.play(submit_after_s=tenth / 10, payload="0.05")

    def test_servers_that_are_down_for_a_while(self) -> None:
        for tenth in range(1, 10):
            for submit_after_s in (0.0, 0.2, 0.6):
                self.play(
                    submit_after_s=submit_after_s, payload=LONG, down_s=tenth / 10
                )

    def test_the_agent_restarts(self) -> None:
        for tenth in range(10):
            self.play(submit_after_s=tenth / 10, payload=LONG, restart_agent=True)
