"""Tests of sites that lose all processes at a moment of the life of their jobs.

An end, a start or the progress of a job may then be known to one party only: a task
that is believed to run or to be done never runs again (LOST), or it runs twice (TWICE).
"""

from __future__ import annotations

import testtools

from bulrushpulley.entities.jobs.scheduler_tables import (
    CondenseJobRows,
    DropJobRows,
)
from bulrushpulley.entities.jobs.store import Transact
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.scheduling import purging
from test.jobs_all_lost import (
    HOSTS,
    JobMix,
    Loss,
    LossCase,
    LossPlay,
    Moment,
    ServersLiveOn,
    ServersLost,
    command_counts,
    draw_case,
    run_case,
)
from test.jobs_world import JobsWorld, step

SEEDS = range(1, 26)
JOBS = JobMix(checkpoints=True)
ALL_SERVERS = ServersLost(hosts=HOSTS, return_after_s=0.9, same_id=False)


def _case(moment: Moment, servers: ServersLiveOn | ServersLost) -> LossCase:
    loss = Loss(
        moment=moment,
        servers=servers,
        down_s=0.9,
        entries_after_s=0.0,
        agents_after_s=0.3,
        spread_s=0.0,
    )
    return LossCase(losses=(loss,), jobs=JOBS)


class AllLostTest(testtools.TestCase):
    def test_each_kind_of_command_is_lost_with_its_process(self) -> None:
        # Alternately the first and a later command of a kind, and with the servers.
        problems: list[str] = []
        counts = command_counts(JOBS)
        for number, kind in enumerate(sorted(counts)):
            nth = 1 if number % 2 else (counts[kind] + 1) // 2
            servers = ServersLiveOn() if number % 4 < 2 else ALL_SERVERS
            play = LossPlay(_case(Moment(kind=kind, nth=nth, delay_s=None), servers))
            found = play.run().problems
            problems += [f"{kind} {nth}: {problem}" for problem in found]
            self.assertEqual([kind], play.struck_by)
        self.assertEqual([], problems)

    def test_drawn_losses(self) -> None:
        problems = [
            f"seed {seed}: {problem}"
            for seed in SEEDS
            for problem in run_case(draw_case(seed)).problems
        ]
        self.assertEqual([], problems)


class HalfPurgedTest(testtools.TestCase):
    """A job whose progress was removed and whose row was not must not run again."""

    def test_the_store_refuses_only_the_first_transaction(self) -> None:
        self.patch(purging, "JOB_RETENTION_S", 3.0)
        world = JobsWorld()
        refused: list[str] = []

        def refuse(command: Command) -> None:
            """Turn away the short rows, and the first transaction of a purge."""
            purpose = command.purpose if isinstance(command, Transact) else None
            is_first = isinstance(purpose, DropJobRows) and not refused
            world.store_up = not is_first and not isinstance(purpose, CondenseJobRows)
            if is_first:
                refused.append("purge")

        world.hook = refuse
        world.run(2.0)
        world.submit(1, step(2), payload="0.5")
        world.run_until(lambda: bool(refused), 20.0)
        self.assertTrue(refused)
        world.run(1.0)
        for name in list(world.process_by_name):
            world.restart(name)
        world.run(5.0)
        self.assertEqual((2, []), (world.starts, world.violations))
