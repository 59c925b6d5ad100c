"""Tests that retry delays stay at their limits after any number of failures.

A power of the number of failures that is computed before it is limited raises
OverflowError after 1,024 of them, which ends the process that retries.
"""

from __future__ import annotations

import testtools

from bulrushpulley.systems.commit import backoff as commit_backoff
from bulrushpulley.systems.linker_events import MAX_DIAL_RETRY_DELAY_S, retry_delay_s

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
