"""Tests of jobs at the edges of the platform's schema, drawn from seeds.

A stored job for which a role raised an exception ended each owner of the shard in turn,
as the next one read it again. Other drawn jobs had always asked for memory, and had
usual times.
"""

from __future__ import annotations

from dataclasses import replace

import testtools

from bulrushpulley.entities.jobs.advice import AdviceFailed, AdviceTerms, RequestAdvice
from bulrushpulley.entities.step import Command
from bulrushpulley.errors import Problem
from bulrushpulley.platform.advice import AdviceClient
from scripts.fleet import free_ports
from test.jobs_edges import HUGE, play_seed
from test.jobs_world import QUEUE, JobsWorld

# They end a role without the guards for what needs nothing counted, for very short
# intervals and for hosts without processors.
SEEDS = (1, 12, 16, 20, 33, 38, 41, 43)


class EdgesTest(testtools.TestCase):
    """Drawn jobs beside work that fills the hosts."""

    def test_drawn_seeds(self) -> None:
        for seed in SEEDS:
            result = play_seed(seed)
            self.assertEqual((), result.problems, f"seed {seed}")
            self.assertGreater(result.accepted, 0)


class AdviceTest(testtools.TestCase):
    """Advice by terms that operators set."""

    # The socket took no such timeout, and the exception ended each owner in turn.
    def test_terms_beyond_any_timeout(self) -> None:
        terms = AdviceTerms(decide_s=HUGE, per_server_s=HUGE, valid_s=HUGE)
        queue = replace(QUEUE, advice=terms)
        world = JobsWorld(entries=2, hosts=2)
        world.configure(queue)
        requests: list[RequestAdvice] = []

        def collect(command: Command) -> None:
            if isinstance(command, RequestAdvice):
                requests.append(command)

        world.hook = collect
        world.run(2.0)
        world.submit(1, queue=queue)
        world.run(1.0)
        problems: list[Problem] = []
        client = AdviceClient(
            address=f"127.0.0.1:{free_ports(1)[0]}", report=problems.append
        )
        self.assertIsInstance(client.request_advice(requests[0]), AdviceFailed)
