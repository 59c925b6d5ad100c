"""Tests of an entry that still acts as the owner after another one has taken over."""

from __future__ import annotations

from unittest import mock

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.items import Adopt, ContactAck
from bulrushpulley.entities.jobs.rows import OWNED_PART, OWNER_KEY, OWNERS, OwnerRow
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    Following,
    PollOwner,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import (
    RangeRead,
    ReadRange,
    Transact,
    Transacted,
)
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.scheduling import agents, confirming, following, ownership
from test.jobs_store import JobsStore
from test.jobs_world import JobsWorld, step

ZONE_HOST = "z0-0"
# Long enough for the owner row to list the agent, and no link ends in it.
SILENCE_S = 2.2
# A renewal and its answer, and less than the interval of contacts.
MAX_CONFIRMATION_WAIT_S = 0.5


class FormerOwnerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.start()

    def start(self) -> None:
        """Start a site with one owner and one other entry."""
        self.world = JobsWorld(entries=2, hosts=2)
        self.world.run(2.0)
        self.former = self.world.owner()
        self.successor = next(
            name for name in ("entry-0", "entry-1") if name != self.former
        )

    def take_over(self) -> None:
        """Cut the owner off from the store until the other entry owns the shard."""
        self.world.cut_off_from_store.add(self.former)
        process = self.world.process_by_name[self.successor]
        self.assertTrue(self.world.run_until(lambda: self.owns(process.name), 6.0))
        self.world.run(0.7)

    def owns(self, name: str) -> bool:
        """Return whether an entry believes that it owns the shard."""
        scheduler = self.world.process_by_name[name].instance_by_role["scheduler"]
        return bool(scheduler.tables.epoch)

    def test_ends_that_a_former_owner_hears_of_do_not_make_tasks_run_again(
        self,
    ) -> None:
        # A restarted agent forgets its owner's epoch and follows whoever adopts it. A
        # former owner that did not yet know of its successor acknowledged the ends of
        # the successor's tasks, which then started again (review/2, TWICE).
        self.take_over()
        self.world.submit(1, step(8), payload="2.0", entry=self.successor)
        self.world.run(0.6)
        self.world.cut_pair(self.successor, ZONE_HOST)
        self.world.restart(ZONE_HOST)
        self.world.run(3.5)
        self.world.cut_off_from_store.clear()
        self.world.run(1.0)
        self.world.cut_pairs.clear()
        self.assertTrue(self.world.run_until(self.world.all_complete, 20.0))
        self.assertEqual([], self.world.violations)
        self.assertEqual(8, self.world.starts)

    def test_without_the_condition_on_the_owner_row_two_owners_write(self) -> None:
        # Epochs alone keep two owners apart at all agents that know the newer one, but
        # not at one that was restarted and that only the former owner reaches.
        self.assertEqual([], self.violations_of_a_former_owner_that_writes_again())
        self.start()
        with mock.patch.object(JobsStore, "has_conflict", lambda self, call: False):
            violations = self.violations_of_a_former_owner_that_writes_again()
        self.assertNotEqual([], violations)

    def violations_of_a_former_owner_that_writes_again(self) -> list[str]:
        """Let a former owner reach the store and a restarted agent for 3 s."""
        self.take_over()
        self.world.submit(1, step(8), payload="2.0", entry=self.successor)
        self.world.run(0.6)
        self.world.cut_pair(self.successor, ZONE_HOST)
        self.world.restart(ZONE_HOST)
        self.world.run(1.0)
        self.world.cut_off_from_store.clear()
        self.world.run(3.0)
        self.world.cut_pairs.clear()
        self.assertTrue(self.world.run_until(self.world.all_complete, 30.0))
        return self.world.violations

    def test_an_agent_is_not_adopted_while_ownership_cannot_be_confirmed(self) -> None:
        # Adoption alone lets a former owner stop the runs of its successor and renew
        # leases for longer than the successor waits for them.
        adopted: list[str] = []

        def record(command: Command) -> None:
            if isinstance(command, Send) and isinstance(command.item, Adopt):
                adopted.append(command.peer.rpartition("-")[0])

        self.world.cut_off_from_store.update(("entry-0", "entry-1"))
        self.world.run(0.1)
        self.world.hook = record
        self.world.restart(ZONE_HOST)
        self.world.run(3.0)
        self.assertEqual([], adopted)
        self.world.cut_off_from_store.clear()
        self.world.run(4.0)
        self.assertIn(ZONE_HOST, adopted)

    def test_an_agent_that_was_silent_renews_no_leases_by_a_former_owner(self) -> None:
        # The row of the former owner lists the agent as silent, so the next one waits
        # from the contact before. A later one that the former owner confirmed would
        # let the runs go on for longer than that (TWICE).
        self.assertEqual([], self.violations_beside_an_agent_that_was_silent())
        self.start()
        with mock.patch.object(confirming, "may_be_listed", lambda owning, host: False):
            violations = self.violations_beside_an_agent_that_was_silent()
        self.assertNotEqual([], violations)

    def violations_beside_an_agent_that_was_silent(self) -> list[str]:
        """Replace the owner, which an agent reaches again after a silence."""
        self.world.submit(1, step(4), payload="60.0")
        self.world.run(1.0)
        self.assertNotEqual({}, self.world.executor_by_host[ZONE_HOST].run_by_key)
        self.world.silence(ZONE_HOST, self.former, SILENCE_S)
        self.world.run(SILENCE_S)
        self.assertEqual([ZONE_HOST], self.listed_hosts())
        self.world.cut_off_from_store.add(self.former)
        self.world.cut_pair(self.successor, ZONE_HOST)
        self.world.run(30.0)
        self.assertTrue(self.owns(self.successor))
        return self.world.violations

    def listed_hosts(self) -> list[str]:
        """Return the hosts that the owner row lists."""
        row = self.world.store.row_by_key[OWNER_KEY].row
        assert isinstance(row, OwnerRow)
        return [listed.host for listed in row.unlinked_hosts]

    def test_an_agent_that_was_silent_is_confirmed_with_the_next_renewal(self) -> None:
        # Without a confirmation it starts nothing once its permission has ended.
        self.world.submit(1, step(4), payload="60.0")
        self.world.run(1.0)
        self.world.silence(ZONE_HOST, self.former, SILENCE_S)
        self.world.run(SILENCE_S)
        self.assertEqual([ZONE_HOST], self.listed_hosts())
        confirmed: list[float] = []

        def record(command: Command) -> None:
            if (
                isinstance(command, Send)
                and isinstance(command.item, ContactAck)
                and command.peer.startswith(ZONE_HOST)
            ):
                confirmed.append(self.world.now)

        self.world.hook = record
        self.world.run(1.5)
        self.assertEqual([], self.listed_hosts())
        scheduler = self.world.process_by_name[self.former].instance_by_role[SCHEDULER]
        resumed_at = scheduler.tables.hosts.by_key[ZONE_HOST].resumed_at
        self.assertLess(0.0, resumed_at)
        self.assertLess(confirmed[0] - resumed_at, MAX_CONFIRMATION_WAIT_S)

    def test_an_agent_is_adopted_soon_after_its_restart(self) -> None:
        # An owner with nothing to write renews its row only each 0.8 s.
        self.world.kill(ZONE_HOST)
        self.world.run(0.5)
        self.world.start_agent(ZONE_HOST)
        host_by_key = self.world.process_by_name[self.former].instance_by_role
        scheduler = host_by_key["scheduler"]

        def is_synced() -> bool:
            return bool(scheduler.tables.hosts.by_key[ZONE_HOST].synced)

        self.assertTrue(self.world.run_until(lambda: not is_synced(), 1.0))
        self.assertTrue(self.world.run_until(is_synced, 2.0))

    def test_runs_go_on_elsewhere_only_after_their_leases_if_the_row_was_removed(
        self,
    ) -> None:
        # A shard without owner row was taken for one that never had an owner, whose
        # agents need not be waited for (TWICE). The agent renews leases on.
        self.world.submit(1, step(6), payload="60.0")
        self.world.run(1.0)
        self.assertNotEqual({}, self.world.executor_by_host[ZONE_HOST].run_by_key)
        for entry in (self.former, self.successor):
            self.world.cut_pair(entry, ZONE_HOST)
        self.world.store.put(key=OWNER_KEY, order=None)
        self.world.run(30.0)
        self.assertEqual([], self.world.violations)
        running = [
            len(executor.run_by_key)
            for name, executor in self.world.executor_by_host.items()
            if name != ZONE_HOST
        ]
        self.assertEqual([4], running)

    def test_an_epoch_is_not_used_twice_if_the_row_is_removed_twice(self) -> None:
        # Two entries read that the row is absent. The first claims the shard and loses
        # its row, so the condition of the second one's claim holds, too.
        process = self.world.process_by_name[self.successor]
        tables: SchedulerTables = process.instance_by_role["scheduler"].tables
        self.world.store.put(key=OWNER_KEY, order=None)
        polled = ReadRange(
            role="scheduler",
            purpose=PollOwner(),
            timeout_s=1.0,
            table=OWNERS,
            part=OWNED_PART,
        )
        read = self.world.store.read_range(polled)
        assert isinstance(read, RangeRead)
        epochs = []
        for _ in range(2):
            seen = Following(polled_at=self.world.now, unchanged_since=-60.0)
            follower = replace(tables, leadership=replace(seen, version=0))
            claiming = following.handle_owner_read(read, follower, self.world.now)
            sent = ownership.run(claiming.tables, self.world.now)
            (claim,) = sent.commands
            assert isinstance(claim, Transact)
            done = self.world.store.transact(claim)
            assert isinstance(done, Transacted)
            owner = ownership.handle_claimed(
                done.version, sent.tables, self.world.now
            ).tables
            epochs.append(owner.epoch)
            self.world.store.put(key=OWNER_KEY, order=None)
        self.assertTrue(epochs[0] < epochs[1], epochs)

    def test_no_agent_is_adopted_before_the_owner_row_permits_renewals(self) -> None:
        # The row that is written while the shard is read permits no renewals of this
        # owner's agents. If it adopted one then and was lost, the next owner would
        # start the agent's tasks elsewhere while they run on.
        process = self.world.process_by_name[self.former]
        tables = process.instance_by_role["scheduler"].tables
        now = self.world.now
        host = replace(tables.hosts.by_key[ZONE_HOST], announced_epoch=0)
        hosts = tables.hosts.put(ZONE_HOST, host)
        owning = replace(tables.leadership, renewed_at=now - 0.2, loaded_at=now - 0.1)
        unconfirmed = replace(tables, hosts=hosts, leadership=owning)
        self.assertEqual((), agents.adopt(unconfirmed, now).commands)
        self.assertTrue(agents.is_confirmation_due(unconfirmed))
        owning = replace(owning, renewed_at=now)
        confirmed = replace(unconfirmed, leadership=owning)
        adopt = Send(
            peer=host.peer, item=Adopt(epoch=tables.epoch, adoption=host.adoptions + 1)
        )
        self.assertEqual((adopt,), agents.adopt(confirmed, now).commands)
