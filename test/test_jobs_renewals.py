"""Tests of how soon a follower replaces an owner that does not renew its row.

A job that ends a step while the shard has no owner stands still until the next owner
has read the shard, twice as long if that one is lost as well. But an owner that is only
slow, or whose store is, must keep the shard: with each change of owner, agents list
their runs again, and nothing starts meanwhile.
"""

from __future__ import annotations

from functools import partial

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.rows import OWNER_KEY, OwnerRow
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    Claiming,
    ClaimShard,
    CommitProgress,
    Following,
    Owning,
    PollOwner,
    ProbeWrites,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import (
    RangeRead,
    ReadRange,
    StoredRow,
    Transact,
)
from bulrushpulley.entities.step import Command
from bulrushpulley.roles import scheduler
from bulrushpulley.systems.scheduling import following, renewals, write_probes
from test.jobs_world import CallOutcome, JobsWorld, Process

LATENCY_S = 0.01
CHANGED_AT = 10.0
VERSION = 7
# From the loss of an owner to the load of the shard by the next one.
TAKEOVER_AIM_S = 1.2
MAX_TAKEOVER_S = 1.5


def owner_row(
    renews_within_s: float | None = renewals.MIN_RENEWS_WITHIN_S,
    *,
    loading: bool = False,
) -> OwnerRow:
    """Return the row of another entry."""
    return OwnerRow(
        holder="other",
        incarnation="other-1",
        epoch=3,
        sequence=9,
        renewals_for_s=6.0,
        renews_within_s=renews_within_s,
        loading=loading,
    )


class Follower:
    """A follower that has seen the row of an owner change at `CHANGED_AT`."""

    def __init__(self, row: OwnerRow) -> None:
        self.row = row
        role = scheduler.build(
            name="e",
            incarnation="e-1",
            takeover_stagger=0.0,
            bounds=Bounds(kill_s=0.3),
        )
        self.tables: SchedulerTables = role.tables
        self.commands: list[Command] = []
        self.read(CHANGED_AT)

    def read(self, at: float, version: int = VERSION) -> None:
        """Read the row, without a change unless the version is another one."""
        self._poll(at - LATENCY_S)
        stored = StoredRow(key=OWNER_KEY, version=version, row=self.row)
        event = RangeRead(purpose=PollOwner(), rows=(stored,), version=version)
        self._keep(following.handle_owner_read(event, self.tables, at))

    def fail_read(self, at: float) -> None:
        self._poll(at - LATENCY_S)
        self._keep(following.handle_owner_read_failed(self.tables, at))

    def _poll(self, at: float) -> None:
        polled = replace(self.following, polled_at=at)
        self.tables = replace(self.tables, leadership=polled)

    def answer_probe(self, took_s: float) -> None:
        sent_at = self.following.write_probe.sent_at
        probe = ProbeWrites(sent_at=sent_at)
        self._keep(
            following.handle_write_probe_answered(probe, self.tables, sent_at + took_s)
        )

    def fail_probe(self) -> None:
        probe = ProbeWrites(sent_at=self.following.write_probe.sent_at)
        self._keep(following.handle_write_probe_failed(probe, self.tables))

    def _keep(self, step: SchedulerStep) -> None:
        self.tables = step.tables
        self.commands.extend(step.commands)

    @property
    def following(self) -> Following:
        assert isinstance(self.tables.leadership, Following)
        return self.tables.leadership

    @property
    def has_claimed(self) -> bool:
        return isinstance(self.tables.leadership, Claiming)

    @property
    def probes(self) -> int:
        return sum(
            isinstance(command, Transact) and isinstance(command.purpose, ProbeWrites)
            for command in self.commands
        )

    def claims_after_s(self, *, write_took_s: float = LATENCY_S) -> float:
        """Read the row each 50 ms, and return after what time the follower claims."""
        at = CHANGED_AT
        while not self.has_claimed and at < CHANGED_AT + 10.0:
            at += 0.05
            self.read(at)
            if self.has_claimed:
                break
            probe = self.following.write_probe
            if probe.in_flight and at >= probe.sent_at + write_took_s:
                self.answer_probe(at - probe.sent_at)
        return at - CHANGED_AT


def slow_commits(
    slower_by_s: float, command: Command, process: Process
) -> CallOutcome | None:
    """Delay the transactions of owners, but for their claims."""
    is_commit = isinstance(command, Transact) and isinstance(
        command.purpose, CommitProgress
    )
    if not is_commit:
        return None
    return CallOutcome(carried_out_after_s=(slower_by_s,), answered_after_s=slower_by_s)


def latest_owner(world: JobsWorld) -> Process | None:
    """Return the process of the highest epoch that has read the shard, if any."""
    owners = {
        process.instance_by_role[SCHEDULER].tables.epoch: process
        for process in world.process_by_name.values()
        if process.alive and SCHEDULER in process.instance_by_role
    }
    epoch = max(owners)
    leadership = owners[epoch].instance_by_role[SCHEDULER].tables.leadership
    is_loaded = isinstance(leadership, Owning) and not leadership.loading
    return owners[epoch] if is_loaded else None


def freeze_each_owner(world: JobsWorld, *, after_s: float, duration_s: float) -> None:
    """Freeze each owner once, `after_s` after it has read the shard."""
    frozen_epochs: set[int] = set()

    def look() -> None:
        owner = latest_owner(world)
        if owner is not None and not owner.frozen:
            epoch = owner.instance_by_role[SCHEDULER].tables.epoch
            if epoch not in frozen_epochs:
                frozen_epochs.add(epoch)
                world.at(after_s, lambda: world.freeze(owner.name, duration_s))
        world.at(0.01, look)

    look()


class TakeoverTimeoutTest(testtools.TestCase):
    # The takeover of any owner took over 2 s, so two in a row left jobs for 5 s.
    def test_an_owner_that_renewed_quickly_is_replaced_soon(self) -> None:
        self.assertLess(Follower(owner_row()).claims_after_s(), 0.8)

    # A busy owner on a small host renews late, and would lose the shard each time.
    def test_an_owner_that_renews_slowly_has_more_time(self) -> None:
        after_s = Follower(owner_row(1.0)).claims_after_s()
        self.assertGreater(after_s, 1.5)

    def test_an_owner_of_an_earlier_version_has_two_seconds(self) -> None:
        self.assertGreaterEqual(Follower(owner_row(None)).claims_after_s(), 2.0)

    def test_a_row_with_a_very_long_interval_is_replaced_all_the_same(self) -> None:
        self.assertLess(Follower(owner_row(1e9)).claims_after_s(), 3.5)

    # A store that is slow for transactions delays renewals, not reads.
    def test_an_owner_beside_slow_transactions_has_more_time(self) -> None:
        after_s = Follower(owner_row()).claims_after_s(write_took_s=0.8)
        self.assertGreater(after_s, 2.0)

    def test_no_claim_while_the_store_refuses_transactions(self) -> None:
        follower = Follower(owner_row())
        for number in range(1, 60):
            follower.read(CHANGED_AT + 0.1 * number)
            if follower.following.write_probe.in_flight:
                follower.fail_probe()
        self.assertFalse(follower.has_claimed)
        self.assertLess(follower.probes, 6)

    def test_a_probe_sent_before_the_last_change_does_not_count(self) -> None:
        follower = Follower(owner_row())
        follower.read(CHANGED_AT + 0.7)
        self.assertEqual(1, follower.probes)
        follower.read(CHANGED_AT + 0.75, version=VERSION + 1)
        follower.answer_probe(0.1)
        follower.read(CHANGED_AT + 1.3, version=VERSION + 1)
        self.assertFalse(follower.has_claimed)
        follower.read(CHANGED_AT + 1.45, version=VERSION + 1)
        self.assertEqual(2, follower.probes)

    # Answers to an entry that is short of processor time would all come too late.
    def test_probes_answered_late_are_given_more_time(self) -> None:
        self.assertLess(Follower(owner_row()).claims_after_s(write_took_s=1.0), 6.0)

    # A follower that stood still took the store for slow until the row changed.
    def test_a_probe_answered_after_its_timeout_is_repeated(self) -> None:
        follower = Follower(owner_row())
        follower.read(CHANGED_AT + 0.7)
        follower.answer_probe(3.0)
        self.assertFalse(follower.has_claimed)
        follower.read(CHANGED_AT + 3.8)
        self.assertEqual(2, follower.probes)
        follower.answer_probe(LATENCY_S)
        self.assertTrue(follower.has_claimed)

    # The owner cannot renew during an outage, and renews first once it is over.
    def test_reads_that_fail_in_a_row_restart_the_timeout(self) -> None:
        follower = Follower(owner_row())
        for at in (0.4, 0.6, 0.8):
            follower.fail_read(CHANGED_AT + at)
        follower.read(CHANGED_AT + 1.2)
        self.assertEqual(0, follower.probes)
        follower.read(CHANGED_AT + 1.5)
        self.assertEqual(1, follower.probes)


class ClaimIntervalTest(testtools.TestCase):
    def claim_of(self, row: OwnerRow) -> OwnerRow:
        follower = Follower(row)
        follower.claims_after_s()
        assert isinstance(follower.tables.leadership, Claiming)
        return follower.tables.leadership.row

    def test_a_claim_says_that_the_shard_is_not_read_yet(self) -> None:
        row = self.claim_of(owner_row())
        self.assertTrue(row.loading)
        self.assertEqual(renewals.CLAIM_RENEWS_WITHIN_S, row.renews_within_s)

    # A shard that takes longer to read than a new owner has would never be read.
    def test_the_time_to_read_grows_after_an_owner_lost_while_it_read(self) -> None:
        row = self.claim_of(owner_row(renewals.CLAIM_RENEWS_WITHIN_S, loading=True))
        expected_s = renewals.CLAIM_GROWTH_FACTOR * renewals.CLAIM_RENEWS_WITHIN_S
        self.assertEqual(expected_s, row.renews_within_s)


class IntervalTest(testtools.TestCase):
    def test_the_longest_of_the_latest_intervals_is_expected(self) -> None:
        self.assertEqual(0.9, renewals.next_renews_within_s(0.3, 0.9))
        expected_s = 0.9
        for _ in range(100):
            expected_s = renewals.next_renews_within_s(expected_s, 0.25)
        self.assertEqual(renewals.MIN_RENEWS_WITHIN_S, expected_s)

    # Entries with an eighth of a processor took the shard from one another.
    def test_an_entry_with_little_processor_time_says_so(self) -> None:
        self.assertEqual(1.0, renewals.slowness(1.0))
        slowness = renewals.slowness(0.12)
        expected_s = renewals.expected_s(0.0, 0.01, slowness)
        row = owner_row(expected_s)
        self.assertAlmostEqual(2.0, renewals.takeover_timeout_s(row, 0.0))
        claimed_s = renewals.claim_renews_within_s(None, slowness)
        self.assertGreater(claimed_s, expected_s)
        self.assertEqual(
            renewals.MAX_RENEW_INTERVAL_S, renewals.renew_interval_s(0.01, slowness)
        )

    # Renewals take their turn with all other transactions of their part.
    def test_a_slow_store_is_given_fewer_renewals(self) -> None:
        self.assertEqual(
            renewals.MIN_RENEW_INTERVAL_S, renewals.renew_interval_s(0.006)
        )
        self.assertEqual(renewals.MAX_RENEW_INTERVAL_S, renewals.renew_interval_s(0.84))


class OwnerTest(testtools.TestCase):
    """Sites in virtual time, whose owner is lost or slow."""

    def takeover_s(self, world: JobsWorld) -> float:
        """Kill the owner, and return how long the next one takes to read the shard."""
        world.kill(world.owner())
        lost_at = world.now
        self.assertTrue(world.run_until(lambda: bool(world.owner()), 6.0))
        return world.now - lost_at

    def takeovers(self, world: JobsWorld) -> int:
        return sum(each.kind == "shard.own" for each in world.decisions) - 1

    def test_a_killed_owner_is_replaced_in_time(self) -> None:
        for phase_s in (0.0, 0.07, 0.14, 0.21):
            world = JobsWorld(entries=3, hosts=3)
            world.run(3.0 + phase_s)
            self.assertLessEqual(self.takeover_s(world), TAKEOVER_AIM_S)

    # A claim without answer was repeated after 1.7 s.
    def test_a_claim_whose_answer_is_lost_is_repeated_soon(self) -> None:
        world = JobsWorld(entries=3, hosts=3)
        world.run(3.0)
        lost: list[Command] = []

        def lose_first_claim(command: Command, process: Process) -> CallOutcome | None:
            is_claim = isinstance(command, Transact) and isinstance(
                command.purpose, ClaimShard
            )
            if not is_claim or lost:
                return None
            lost.append(command)
            return CallOutcome(answered_after_s=None)

        world.outcome_of = lose_first_claim
        self.assertLess(self.takeover_s(world), MAX_TAKEOVER_S)
        self.assertEqual(1, len(lost))

    # A probe without answer was repeated only after twice its timeout, so one lost
    # answer made a takeover last 2.3 s, and two in a row 4.9 s.
    def test_a_probe_whose_answer_is_lost_is_repeated_soon(self) -> None:
        world = JobsWorld(entries=2, hosts=3)
        world.run(3.0)
        lost: list[Command] = []

        def lose_first_probe(command: Command, process: Process) -> CallOutcome | None:
            is_probe = isinstance(command, Transact) and isinstance(
                command.purpose, ProbeWrites
            )
            if not is_probe or lost:
                return None
            lost.append(command)
            return CallOutcome(answered_after_s=None)

        world.outcome_of = lose_first_probe
        limit_s = TAKEOVER_AIM_S + write_probes.FIRST_TIMEOUT_S
        self.assertLess(self.takeover_s(world), limit_s)
        self.assertEqual(1, len(lost))

    # A read of the owner row without answer held the follower up for 1.5 s.
    def test_a_read_of_the_row_whose_answer_is_lost_costs_little(self) -> None:
        world = JobsWorld(entries=2, hosts=3)
        world.run(3.0)
        lost_at = world.now
        lost: list[Command] = []

        def lose_a_read(command: Command, process: Process) -> CallOutcome | None:
            is_poll = isinstance(command, ReadRange) and isinstance(
                command.purpose, PollOwner
            )
            if not is_poll or lost or world.now < lost_at + 0.3:
                return None
            lost.append(command)
            return CallOutcome(answered_after_s=None)

        world.outcome_of = lose_a_read
        self.assertLess(self.takeover_s(world), MAX_TAKEOVER_S + 0.5)
        self.assertEqual(1, len(lost))

    # A new owner beside a slow store renews late, and must not be replaced for that.
    def test_the_shard_keeps_its_owner_beside_a_slow_store(self) -> None:
        for factor in (30.0, 60.0, 100.0):
            world = JobsWorld(entries=3, hosts=3)
            world.run(3.0)
            world.store_slowdown_factor = factor
            world.run(20.0)
            claims = [each for each in world.decisions if each.kind == "shard.own"]
            self.assertLessEqual(len(claims), 1, f"slowdown {factor:g}")

    # An owner that had stood still took its store for slow: it renewed each 0.8 s, and
    # followers waited for up to 3 s when it was lost next.
    def test_an_owner_that_stood_still_does_not_take_its_store_for_slow(self) -> None:
        world = JobsWorld(entries=1, hosts=3)
        world.run(3.0)
        process = world.process_by_name[world.owner()]
        frozen: list[float] = []

        def freeze_at_a_commit(command: Command) -> None:
            if isinstance(command, Transact) and not frozen:
                frozen.append(world.now)
                world.freeze(process.name, 3.0)

        world.hook = freeze_at_a_commit
        world.run(5.0)
        tables = process.instance_by_role[SCHEDULER].tables
        self.assertLess(tables.store_latency_s, 0.2)

    # A probe is small, and what an owner writes may take longer. Each new owner wrote
    # that it renews quickly before it had renewed at all, and was replaced for that.
    def test_the_shard_settles_beside_slow_transactions_of_owners(self) -> None:
        for slower_by_s in (0.8, 1.0, 1.3):
            world = JobsWorld(entries=3, hosts=3)
            world.run(3.0)
            world.outcome_of = partial(slow_commits, slower_by_s)
            world.run(15.0)
            self.assertLessEqual(self.takeovers(world), 5)
            before = self.takeovers(world)
            world.run(15.0)
            self.assertEqual(before, self.takeovers(world))

    # What one owner has measured of itself is lost with it, so the next one is given as
    # little time, if all of them are short of processors. No wave gets its turn then.
    def test_the_shard_settles_while_each_owner_stands_still_once(self) -> None:
        world = JobsWorld(entries=3, hosts=3)
        world.run(3.0)
        world.order_wave(4, "m-z0-0", "m-z1-1", "m-z2-2")
        freeze_each_owner(world, after_s=0.5, duration_s=1.2)
        world.run(15.0)
        before = self.takeovers(world)
        world.run(15.0)
        self.assertEqual(before, self.takeovers(world))
        self.assertNotEqual([], world.machines.taken_down)

    def test_the_owner_says_how_slowly_it_renews(self) -> None:
        world = JobsWorld(entries=3, hosts=3)
        world.run(3.0)
        process = world.process_by_name[world.owner()]
        world.freeze(process.name, 0.5)
        world.run(1.2)
        leadership = process.instance_by_role[SCHEDULER].tables.leadership
        assert isinstance(leadership, Owning)
        self.assertGreater(leadership.renews_within_s, 0.5)
        stored = world.store.row_by_key[OWNER_KEY].row
        assert isinstance(stored, OwnerRow)
        self.assertGreater(stored.renews_within_s or 0.0, 0.5)
