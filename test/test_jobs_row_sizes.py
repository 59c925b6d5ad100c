"""Tests that no row grows beyond what the store accepts with what callers submit.

The store refuses the whole transaction otherwise, with the renewal of the owner row and
the progress of all jobs in it, so that all runs lapse (LOST).
"""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import testtools

from bulrushpulley.entities.interference import Harm, harm_key
from bulrushpulley.entities.jobs.calls import JobAccepted, SubmitCall
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.platform.job_front import decode_call
from bulrushpulley.systems.scheduling import interference
from bulrushpulley.wire.http_message import HttpRequest
from bulrushpulley.wire.job_rows import encode_row
from test.jobs_store import MAX_ROW_BYTES
from test.jobs_world import JobsWorld, step

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


def long_name(drawn: random.Random) -> str:
    """Return a name that does not compress to less than half of its length."""
    return drawn.randbytes(100).hex()


class SubmissionTest(testtools.TestCase):
    """The row of a job grows with its steps and their names."""

    def setUp(self) -> None:
        super().setUp()
        self.drawn = random.Random(1)

    def submitted(self, steps: int) -> SubmitCall:
        """Return the call that a submission of so many steps is decoded to."""
        body = {
            "Spec": "x",
            "Steps": [
                {"Count": 1, "Cpu": 100, "Image": long_name(self.drawn)}
                for _ in range(steps)
            ],
        }
        request = HttpRequest(
            method="POST",
            path="/push/00000000000000ab",
            query="",
            peer="127.0.0.1",
            header_by_name={"host": "push.example"},
            body=msgspec.json.encode(body),
        )
        call = decode_call(request, "call-1", 0.0)
        assert isinstance(call, SubmitCall)
        return call

    def test_a_job_that_fits_is_accepted(self) -> None:
        self.assertIsNotNone(self.submitted(400).spec)

    # The store refused it each time, and with it all jobs of the same transaction.
    def test_a_job_that_no_row_holds_is_refused_with_the_reason(self) -> None:
        call = self.submitted(1_000)
        self.assertIsNone(call.spec)
        assert call.problem is not None
        self.assertIn("bytes to store", call.problem.detail)

    # Their rows fit, but not all of them into one transaction.
    def test_many_large_jobs_at_once(self) -> None:
        world = JobsWorld(entries=1, hosts=1)
        world.run(3.0)
        for number in range(40):
            steps: list[StepSpec] = [
                step(1, needs_label=long_name(self.drawn)) for _ in range(250)
            ]
            world.submit(number + 1, *steps)
        world.run(2.0)
        self.assertEqual([], world.store.refusals)
        accepted = [each for each in world.answers if isinstance(each, JobAccepted)]
        self.assertEqual(40, len(accepted))
