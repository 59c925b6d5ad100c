"""Tests of announcements that are not from the backend server that runs the tasks."""

from __future__ import annotations

import threading

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    ConfirmIncarnation,
    ExecutorEvent,
    IncarnationConfirmed,
    IncarnationUnconfirmed,
    PollFailed,
    Withdrawn,
)
from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.items import HostReport, LifeEnded
from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command
from bulrushpulley.platform.executor import ExecutorClient
from bulrushpulley.systems.job_agent import confirming
from standins.executor import ExecutorServer, ServerDescription
from standins.web import HOST, make_server
from test.jobs_world import ANNOUNCE_INTERVAL_S, JobsWorld, step
from test.test_jobs_agent import CAPACITY, INCARNATION, Bench, commands_of

ODD = Announced(
    server_id="i-other-writer",
    started_at_ms=9_000,
    sequence=1,
    service="no-service-of-ours",
    address="127.0.0.1:9",
    failure_domain="z",
    is_draining=False,
    capacity=CAPACITY,
    labels=(),
)
NEXT = replace(ODD, server_id="i-2", service="ovens", address="x")
SAME = replace(NEXT, server_id="i-1", started_at_ms=5, sequence=2)


def items_of(kind: type[LifeEnded | HostReport], commands: list[Command]) -> list[str]:
    """Return the incarnations named by the items of one kind that were sent."""
    items = [command.item for command in commands if isinstance(command, Send)]
    return [item.life for item in items if isinstance(item, kind)]


def unconfirmed(event: Announced) -> IncarnationUnconfirmed:
    """Return the failure to confirm an announced incarnation."""
    return IncarnationUnconfirmed(
        server_id=event.server_id, started_at_ms=event.started_at_ms, reason="none"
    )


class SiteWithOddAnnouncementsTest(testtools.TestCase):
    def test_tasks_do_not_run_twice_beside_an_announcement_of_another_writer(
        self,
    ) -> None:
        # An announcement with a newer start ended the known incarnation, and its tasks
        # were started on other hosts while they ran on (review/3, TWICE).
        world = JobsWorld(hosts=3)
        world.run(2.0)
        world.submit(1, step(6), payload="4.0")
        world.run(1.0)
        for name in ("z0-0", "z1-1"):
            world.tell(world.process_by_name[name], JOB_AGENT, ODD)
        self.assertTrue(world.run_until(world.all_complete, 10.0))
        self.assertEqual([], world.violations)
        self.assertEqual(6, world.starts)

    def test_a_restarted_agent_does_not_take_a_former_incarnation_for_the_current(
        self,
    ) -> None:
        # A late announcement of the former incarnation may be the first that a
        # restarted agent gets. Reporting it made the owner end the tasks that run.
        world = JobsWorld(hosts=3)
        started_at = world.now
        world.run(2.0)
        late = world.executor_by_host["z0-0"].announcement(world.now)
        world.executor_by_host["z0-0"].crash()
        world.executor_by_host["z0-0"].restart(world.now)
        world.run(2.0)
        world.submit(1, step(9), payload="6.0")
        world.run(1.0)
        since_announced_s = (world.now - started_at) % ANNOUNCE_INTERVAL_S
        world.run(ANNOUNCE_INTERVAL_S - since_announced_s + 0.05)
        world.kill("z0-0")
        world.start_agent("z0-0")
        world.tell(world.process_by_name["z0-0"], JOB_AGENT, late)
        self.assertTrue(world.run_until(world.all_complete, 15.0))
        self.assertEqual([], world.violations)
        self.assertEqual(9, world.starts)


class ConfirmingTest(testtools.TestCase):
    def test_an_announcement_that_nobody_confirms_changes_nothing(self) -> None:
        bench = Bench()
        commands = bench.tell(ODD)
        self.assertEqual(1, len(commands_of(ConfirmIncarnation, commands)))
        commands += bench.tell(unconfirmed(ODD))
        self.assertEqual([], items_of(LifeEnded, commands))
        assert bench.tables.server is not None
        self.assertEqual(INCARNATION, bench.tables.server.life)

    def test_a_confirmed_incarnation_ends_the_known_one(self) -> None:
        bench = Bench()
        bench.tell(NEXT)
        commands = bench.confirm("i-2", NEXT.started_at_ms)
        self.assertEqual([INCARNATION], items_of(LifeEnded, commands))
        self.assertEqual(["i-2/9000"], items_of(HostReport, commands))

    def test_an_incarnation_that_does_not_answer_yet_is_asked_again(self) -> None:
        bench = Bench()
        bench.tell(NEXT)
        self.assertEqual([], commands_of(ConfirmIncarnation, bench.tell()))
        bench.tell(unconfirmed(NEXT))
        bench.now += confirming.CONFIRM_RETRY_DELAY_S
        self.assertEqual(1, len(commands_of(ConfirmIncarnation, bench.tell())))

    def test_candidates_are_bounded_and_expire(self) -> None:
        bench = Bench()
        for number in range(confirming.MAX_UNCONFIRMED_SERVERS + 4):
            bench.tell(replace(ODD, server_id=f"i-{number}-odd"))
        self.assertEqual(
            confirming.MAX_UNCONFIRMED_SERVERS, len(bench.tables.unconfirmed)
        )
        in_flight = [row for row in bench.tables.unconfirmed.rows() if row.in_flight]
        self.assertLessEqual(len(in_flight), confirming.MAX_CONFIRMATIONS_IN_FLIGHT)
        bench.now += confirming.UNCONFIRMED_TIMEOUT_S + 1.0
        bench.tell()
        self.assertEqual(0, len(bench.tables.unconfirmed))

    def test_an_incarnation_keeps_its_address(self) -> None:
        # Calls to another address are refused, which would end the incarnation.
        bench = Bench()
        bench.tell(replace(SAME, address="127.0.0.1:9"))
        assert bench.tables.server is not None
        self.assertEqual("x", bench.tables.server.address)

    # Its number was above those of the server, whose own announcements were ignored.
    def test_an_incarnation_keeps_its_service(self) -> None:
        bench = Bench()
        odd = replace(SAME, service="no-service-of-ours", sequence=1_000)
        bench.tell(odd)
        bench.tell(replace(SAME, is_draining=True))
        assert bench.tables.server is not None
        self.assertTrue(bench.tables.server.draining)


class WithdrawalTest(testtools.TestCase):
    """The withdrawal of an earlier incarnation with the same id may arrive late."""

    def test_an_incarnation_that_still_answers_is_kept(self) -> None:
        bench = Bench()
        commands = bench.tell(Withdrawn(server_id="i-1"))
        commands += bench.list_runs()
        self.assertEqual([], items_of(LifeEnded, commands))
        self.assertIs(ServerState.DRAINING, bench.tables.server_state)
        bench.tell(SAME)
        self.assertIs(ServerState.READY, bench.tables.server_state)

    def test_an_incarnation_ends_once_nothing_listens(self) -> None:
        bench = Bench()
        bench.tell(Withdrawn(server_id="i-1"))
        refused = PollFailed(server_id="i-1", reason="", connection_refused=True)
        commands = bench.tell(refused)
        self.assertEqual([INCARNATION], items_of(LifeEnded, commands))


class ConfirmationCallTest(testtools.TestCase):
    """The call over HTTP, against the stand-in of a backend server."""

    def setUp(self) -> None:
        super().setUp()
        description = ServerDescription(
            host="h",
            service="ovens",
            failure_domain="z",
            rack="r",
            port=0,
            capacity=Resources(processors_m=1_000, memory_mb=1_000),
        )
        self.server = ExecutorServer(
            description=description, report=lambda fields: None
        )
        web_server = make_server(handle=self.server.handle, port=0)
        thread = threading.Thread(target=web_server.serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(web_server.stop)
        self.address = f"{HOST}:{web_server.bind_addr[1]}"

    def confirm(self, server_id: str, started_at_ms: int) -> ExecutorEvent:
        """Ask the stand-in to confirm an incarnation."""
        call = ConfirmIncarnation(
            server_id=server_id,
            address=self.address,
            timeout_s=2.0,
            fencing_token=1,
            started_at_ms=started_at_ms,
        )
        return ExecutorClient(report=lambda problem: None).call(call)

    def test_only_the_incarnation_that_answers_is_confirmed(self) -> None:
        server_id = self.server.server_id
        started_at_ms = self.server.incarnation_started_at_ms
        confirmed = self.confirm(server_id, started_at_ms)
        self.assertIsInstance(confirmed, IncarnationConfirmed)
        for odd_id, odd_start in (
            ("i-other-writer", started_at_ms),
            (server_id, started_at_ms + 1),
        ):
            event = self.confirm(odd_id, odd_start)
            self.assertIsInstance(event, IncarnationUnconfirmed)

    def test_an_address_at_which_nothing_listens_confirms_nothing(self) -> None:
        self.address = "127.0.0.1:9"
        self.assertIsInstance(self.confirm("i", 1), IncarnationUnconfirmed)
