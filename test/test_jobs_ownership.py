"""Which of the entries claims a shard that has no owner."""

from __future__ import annotations

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.rows import OWNED_PART, OWNERS, RowKey
from bulrushpulley.entities.jobs.scheduler_tables import (
    Claiming,
    Following,
    PollOwner,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import RangeRead, StoredRow
from bulrushpulley.roles import scheduler
from bulrushpulley.systems.scheduling import following

READ_AT = 10.0
READ_LATENCY_S = 0.01


def tables_after_poll(*, claim_stagger: float, took_s: float) -> SchedulerTables:
    """Return the tables of an entry that reads an empty table of owners."""
    role = scheduler.build(
        name="e",
        incarnation="e-1",
        takeover_stagger=0.5,
        claim_stagger=claim_stagger,
        bounds=Bounds(kill_s=0.3),
    )
    polled = Following(unchanged_since=READ_AT, polled_at=READ_AT - took_s)
    tables = replace(role.tables, leadership=polled)
    event = RangeRead(purpose=PollOwner(), rows=(), version=5)
    return following.handle_owner_read(event, tables, READ_AT).tables


class ClaimTest(testtools.TestCase):
    def test_a_large_entry_near_the_store_claims_at_its_first_read(self) -> None:
        """The owner of 195 hosts needs more processor time than most entries have."""
        tables = tables_after_poll(claim_stagger=0.0, took_s=READ_LATENCY_S)
        self.assertIsInstance(tables.leadership, Claiming)

    def test_smaller_and_farther_entries_wait(self) -> None:
        for claim_stagger, took_s in ((0.5, READ_LATENCY_S), (0.0, 0.1)):
            tables = tables_after_poll(claim_stagger=claim_stagger, took_s=took_s)
            self.assertIsInstance(tables.leadership, Following)

    def test_a_row_of_another_writer_is_not_taken_for_the_owner_row(self) -> None:
        odd = StoredRow(
            key=RowKey(table=OWNERS, part=OWNED_PART, key="a"), version=9, row=None
        )
        tables = tables_after_poll(claim_stagger=0.0, took_s=READ_LATENCY_S)
        polled = replace(tables, leadership=Following(polled_at=READ_AT))
        event = RangeRead(purpose=PollOwner(), rows=(odd,), version=9)
        step = following.handle_owner_read(event, polled, READ_AT)
        claiming = step.tables.leadership
        assert isinstance(claiming, Claiming)
        self.assertEqual(0, claiming.version)
