"""Tests that retry delays stay at their limits after any number of failures.

A power of the number of failures that is computed before it is limited raises
OverflowError after 1,024 of them, which ends the process that retries.
"""

from __future__ import annotations

from dataclasses import replace

import testtools

from bulrushpulley.entities.jobs.calls import ShowCall
from bulrushpulley.entities.jobs.intake_tables import Inquiry, ReadJob
from bulrushpulley.entities.jobs.store import ReadFailed
from bulrushpulley.roles import intake
from bulrushpulley.systems.commit import backoff as commit_backoff
from bulrushpulley.systems.intake import inquiring
from bulrushpulley.systems.linker_events import MAX_DIAL_RETRY_DELAY_S, retry_delay_s
from test.jobs_world import QUEUE

MANY_FAILURES = 100_000


class ManyFailuresTest(testtools.TestCase):
    def test_a_lane_of_the_committer(self) -> None:
        delay_s = commit_backoff.retry_delay_s(MANY_FAILURES, "t")
        limit_s = commit_backoff.MAX_TRANSACTION_RETRY_DELAY_S
        self.assertTrue(limit_s / 2 <= delay_s <= limit_s, delay_s)

    def test_a_dial_of_the_linker(self) -> None:
        delay_s = retry_delay_s(incarnation="a", address="b", failures=MANY_FAILURES)
        limit_s = MAX_DIAL_RETRY_DELAY_S
        self.assertTrue(limit_s / 2 <= delay_s <= limit_s, delay_s)

    def test_a_call_that_waits_for_the_store_for_long(self) -> None:
        call = ShowCall(
            call_id="c",
            authority=QUEUE.authority,
            path=QUEUE.path_prefix,
            within_s=9_999.0,
            received_at_s=0.0,
        )
        inquiry = Inquiry(
            call=call, queue=QUEUE, job_id="j", due_at=9_999.0, retries=MANY_FAILURES
        )
        tables = intake.build().tables
        tables = replace(tables, inquiries=tables.inquiries.put("c", inquiry))
        failed = ReadFailed(purpose=ReadJob(call_id="c"), reason="down")
        tables = inquiring.handle_store_answer(
            ReadJob(call_id="c"), failed, tables, 1.0
        ).tables
        sent = inquiring.run(tables, 9.0).commands
        self.assertEqual(1, len(sent))
