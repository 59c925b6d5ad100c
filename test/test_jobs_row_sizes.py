"""Tests that no row grows beyond what the store accepts with what callers submit.

The store refuses the whole transaction otherwise, with the renewal of the owner row and
the progress of all jobs in it, so that all runs lapse (LOST).
"""

from __future__ import annotations

from dataclasses import replace

import testtools

from bulrushpulley.entities.interference import Harm, harm_key
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.systems.scheduling import interference
from bulrushpulley.wire.job_rows import encode_row
from test.jobs_store import MAX_ROW_BYTES
from test.jobs_world import JobsWorld

IMAGES = 120
TARGET_MS = 80.0


def image_name(kind: str, number: int) -> str:
    """Return the name of an image; callers choose names of any length."""
    return f"registry.example/{kind}/{number:04x}@sha256:{number * 7919:064x}"


class HarmsRowTest(testtools.TestCase):
    """An owner has estimates of many pairs of images."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=1, hosts=1)
        self.world.run(3.0)
        process = self.world.process_by_name["entry-0"]
        self.tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
        harms, targets = self.tables.harms, self.tables.target_by_image
        for serving in range(IMAGES):
            name = image_name("serving", serving)
            targets = targets.set(name, TARGET_MS)
            for filling in range(IMAGES):
                harm = Harm(
                    service=name,
                    job=image_name("filling", filling),
                    estimate_ms=(serving * 37 + filling * 101) % 997 / 7,
                    variance=(serving + filling + 1) / IMAGES,
                    at=self.world.now,
                )
                harms = harms.put(harm_key(service=harm.service, job=harm.job), harm)
        self.tables = replace(self.tables, harms=harms, target_by_image=targets)
        process.instance_by_role[SCHEDULER].tables = self.tables

    # review/7: the row of 100 serving and 100 filling images was refused.
    def test_the_row_of_many_images_can_be_stored(self) -> None:
        now = self.world.now + interference.HARMS_SAVE_INTERVAL_S
        row = interference.row_to_save(self.tables, now)
        assert row is not None
        self.assertLessEqual(len(encode_row(row)), MAX_ROW_BYTES)
        # The most certain ones are kept.
        certain = image_name("serving", 0), image_name("filling", 0)
        pairs = {(each.serving, each.filling) for each in row.estimates}
        self.assertIn(certain, pairs)

    def test_the_owner_goes_on(self) -> None:
        epoch = self.tables.epoch
        self.world.run(12.0)
        self.assertEqual([], self.world.store.refusals)
        tables = self.world.process_by_name["entry-0"].instance_by_role[SCHEDULER]
        self.assertEqual(epoch, tables.tables.epoch)
