"""Runs random series of lost, late and refused answers to an owner's transactions.

An attempt holds more than those before it, any of which may have been applied. If all
that was sent counted as durable then, a next owner would start tasks again whose starts
or ends it does not know of (TWICE); if what was not applied were forgotten, its tasks
would not start.
"""

from __future__ import annotations

from typing import Any
from unittest import mock

import testtools

from bulrushpulley.systems.scheduling import committing
from test.jobs_commit_faults import AttemptCounter, run_series

SEEDS = range(1, 41)
# Seeds whose series fail without a safeguard.
SAFEGUARD_SEEDS = range(1, 8)


class CommitFaultsTest(testtools.TestCase):
    def test_no_seed_runs_a_task_twice_or_leaves_a_job_waiting(self) -> None:
        counter = AttemptCounter()
        failed = {
            seed: found
            for seed in SEEDS
            if (found := run_series(seed, inspect=counter))
        }
        self.assertEqual({}, failed)
        # The series reach what they are for.
        self.assertGreater(counter.extended, len(SEEDS))

    def test_it_fails_if_an_earlier_attempt_counts_as_the_last_one(self) -> None:
        apply_batches = committing._apply_batches

        def apply_all(
            version: int, purpose: Any, tables: Any, applied: int, now: float
        ) -> Any:
            count = len(tables.commit.batches)
            return apply_batches(version, purpose, tables, count, now)

        with mock.patch.object(committing, "_apply_batches", apply_all):
            self.assertTrue(any(run_series(seed) for seed in SAFEGUARD_SEEDS))

    def test_it_fails_if_what_was_not_applied_is_forgotten(self) -> None:
        with mock.patch.object(
            committing,
            "_with_unapplied",
            lambda tables, batches: tables,
        ):
            self.assertTrue(any(run_series(seed) for seed in SAFEGUARD_SEEDS))
