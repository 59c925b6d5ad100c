"""Tests of jobs at the edges of the platform's schema, drawn from seeds.

A stored job for which a role raised an exception ended each owner of the shard in turn,
as the next one read it again. Other drawn jobs had always asked for memory, and had
usual times.
"""

from __future__ import annotations

import testtools

from test.jobs_edges import play_seed

# The first ones end an owner without room for what needs nothing counted, and without
# a bound on the occurrences of a job.
SEEDS = (12, 16, 20, 38, 41, 43, 46, 50)


class EdgesTest(testtools.TestCase):
    """Drawn jobs beside work that fills the hosts."""

    def test_drawn_seeds(self) -> None:
        for seed in SEEDS:
            result = play_seed(seed)
            self.assertEqual((), result.problems, f"seed {seed}")
            self.assertGreater(result.accepted, 0)
