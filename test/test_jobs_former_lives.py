"""Tests that answers of a former life, and the end of a former link, do no harm.

A backend server may be reborn with the same id, and answers to calls of its former life
may be handled after its next life is known, as after a pause of the agent's process.
"""

from __future__ import annotations

import testtools

from bulrushpulley.entities.jobs.executor_calls import (
    ExecutorEvent,
    OtherIncarnation,
    PollFailed,
    PollRuns,
    RunsListed,
)
from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT, Server
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER
from bulrushpulley.entities.link import LinkDown, LinkUp
from bulrushpulley.platform.executor import ExecutorClient
from bulrushpulley.platform.run_lists import decode_runs
from bulrushpulley.systems.scheduling import agents
from test.jobs_world import JobsWorld, step

HOST = "z0-0"
# The platform calls a job lost of which nothing runs for this long beside free room.
MAX_IDLE_S = 3.0
STALE_CLOCK_MS = 1


class FormerLifeTest(testtools.TestCase):
    """The agent handles a stale answer at different times of the new life."""

    def check(self, answer: type[ExecutorEvent]) -> None:
        for after_s in (0.0, 0.1, 0.3, 0.6, 1.0):
            for running_s in (0.0, 0.05, 0.3):
                self.check_at(answer, after_s, running_s)

    def check_at(
        self, answer: type[ExecutorEvent], after_s: float, running_s: float
    ) -> None:
        """Check the answer so long after the new life began, and after a submission."""
        world = JobsWorld(entries=1, hosts=2)
        world.run(2.0)
        former = self.server(world)
        executor = world.executor_by_host[HOST]
        executor.crash()
        executor.restart(world.now, same_id=True)
        world.run_until(lambda: self.is_reborn(world, former), 5.0)
        world.run(after_s)
        world.submit(1, step(4), payload="0.5")
        world.run(running_s)
        event = self.stale(answer, former)
        world.tell(world.process_by_name[HOST], JOB_AGENT, event)
        world.run(MAX_IDLE_S + 0.5)
        case = f"{after_s} s, {running_s} s"
        self.assertEqual([], world.violations, case)
        self.assertTrue(world.all_complete(), case)

    def server(self, world: JobsWorld) -> Server:
        server = world.process_by_name[HOST].instance_by_role[JOB_AGENT].tables.server
        assert isinstance(server, Server)
        return server

    def is_reborn(self, world: JobsWorld, former: Server) -> bool:
        tables = world.process_by_name[HOST].instance_by_role[JOB_AGENT].tables
        return tables.server is not None and tables.server.life != former.life

    def stale(self, answer: type[ExecutorEvent], former: Server) -> ExecutorEvent:
        if answer is RunsListed:
            return RunsListed(
                server_id=former.server_id,
                life=former.life,
                started_at_ms=former.started_at_ms,
                clock_ms=STALE_CLOCK_MS,
                runs=(),
                ends=(),
                first_end=0,
                ends_complete=True,
            )
        if answer is PollFailed:
            return PollFailed(
                server_id=former.server_id, life=former.life, reason="no answer"
            )
        return OtherIncarnation(server_id=former.server_id, life=former.life)

    def test_a_list(self) -> None:
        self.check(RunsListed)

    def test_a_failed_call(self) -> None:
        self.check(PollFailed)

    def test_word_of_another_incarnation(self) -> None:
        self.check(OtherIncarnation)


class CalledLifeTest(testtools.TestCase):
    """The client says which incarnation an answer is of."""

    def test_the_answers_to_polls_name_the_incarnation_that_was_called(self) -> None:
        poll = PollRuns(
            server_id="i-1",
            address="127.0.0.1:1",
            timeout_s=0.5,
            fencing_token=1,
            noted=0,
            wait_ms=0,
            life="i-1/5",
        )
        failed = ExecutorClient(report=lambda problem: None).call(poll)
        listed = decode_runs(poll, {"born": 5}, lambda problem: None)
        assert isinstance(failed, PollFailed)
        self.assertEqual(["i-1/5", "i-1/5"], [failed.life, listed.life])


class FormerPeerTest(testtools.TestCase):
    """An agent's next process is linked before its former link is known to be down."""

    def test_the_end_of_the_former_link_does_not_take_the_next_one_away(self) -> None:
        world = JobsWorld(entries=1, hosts=1)
        world.run(2.0)
        tables = world.process_by_name["entry-0"].instance_by_role[SCHEDULER].tables
        former = tables.hosts.by_key[HOST].peer
        peer = f"{HOST}-next"
        up = agents.handle_link_up(LinkUp(peer=peer, region="ege"), tables, world.now)
        down = agents.handle_link_down(LinkDown(peer=former), up.tables, world.now)
        self.assertEqual(peer, down.tables.hosts.by_key[HOST].peer)
        self.assertEqual((), down.commands)
