"""Tests that an agent learns which images do harm although one message is lost."""

from __future__ import annotations

from collections.abc import Iterable

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.interference import Harm, harm_key
from bulrushpulley.entities.jobs.items import HarmVerdicts
from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER
from bulrushpulley.entities.step import Event
from test.jobs_world import JobsWorld, Process, step

HOST = "z0-0"
TARGET_MS = 100.0
# A serving task may miss its target for this long.
MAX_UNKNOWN_S = 4.0


class LostVerdictsTest(testtools.TestCase):
    """The verdicts on the images of a host change once, while runs go on there."""

    def check_learned(self, *, is_lost: bool) -> None:
        world = JobsWorld(entries=1, hosts=1)
        world.run(2.0)
        serving = step(1, lasting=True, image="serve", latency_target_ms=TARGET_MS)
        world.submit(1, serving, payload="60")
        world.submit(2, step(1, image="fill"), payload="60")
        world.run(2.0)
        lost: list[Event] = []

        def delays_of(
            item: Event, sender: Process, receiver: Process
        ) -> Iterable[float]:
            if not is_lost or lost or not isinstance(item, HarmVerdicts):
                return (0.0,)
            lost.append(item)
            return ()

        world.delays_of = delays_of
        owner = world.process_by_name[world.owner()].instance_by_role[SCHEDULER]
        harm = Harm(
            service="serve", job="fill", estimate_ms=90.0, variance=0.1, at=world.now
        )
        key = harm_key(service="serve", job="fill")
        owner.tables = replace(
            owner.tables,
            harms=owner.tables.harms.put(key, harm),
            target_by_image=owner.tables.target_by_image.set("serve", TARGET_MS),
        )
        world.run(MAX_UNKNOWN_S)
        self.assertEqual(is_lost, bool(lost))
        agent = world.process_by_name[HOST].instance_by_role[JOB_AGENT].tables
        self.assertEqual({("serve", "fill")}, set(agent.pacing.harmful))

    def test_verdicts_that_arrive(self) -> None:
        self.check_learned(is_lost=False)

    def test_verdicts_that_are_lost_once(self) -> None:
        self.check_learned(is_lost=True)
