"""Tests of the row store's client against the stand-in over HTTP on loopback."""

from __future__ import annotations

import threading
from dataclasses import replace

import urllib3

from bulrushpulley.entities.jobs.rows import (
    OWNED_PART,
    OWNER_KEY,
    OWNERS,
    CancelRow,
    OwnerRow,
    cancel_key,
)
from bulrushpulley.entities.jobs.store import (
    Condition,
    Conflicted,
    HistoryLost,
    Purpose,
    RangeRead,
    ReadFailed,
    ReadRange,
    RowsChanged,
    Transact,
    Transacted,
    TransactOutcomeUnknown,
    TransactRefused,
    Watch,
)
from bulrushpulley.errors import Problem
from bulrushpulley.platform.row_store import RowStoreClient
from standins.row_store import RowStoreServer
from test.test_table_service import ServedTest

ROW = OwnerRow(holder="entry-1", incarnation="entry-1-aa", epoch=1, sequence=0)
PURPOSE = Purpose()


def transact_command(
    *rows: OwnerRow | CancelRow, version: int | None = None
) -> Transact:
    """Return a transaction, conditional on a version of the owner row if given."""
    conditions = () if version is None else (Condition(key=OWNER_KEY, version=version),)
    return Transact(
        role="scheduler",
        purpose=PURPOSE,
        timeout_s=1.0,
        conditions=conditions,
        puts=rows,
    )


class RowStoreTest(ServedTest):
    def setUp(self) -> None:
        super().setUp()
        self.url = self.serve(RowStoreServer().handle)
        self.problems: list[Problem] = []
        self.client = RowStoreClient(
            url=self.url, connections=4, report=self.problems.append
        )

    def _read_command(self) -> ReadRange:
        return ReadRange(
            role="scheduler",
            purpose=PURPOSE,
            timeout_s=1.0,
            table=OWNERS,
            part=OWNED_PART,
        )

    def _watch_command(self, after: int, wait_s: float = 0.5) -> Watch:
        return Watch(
            role="scheduler",
            purpose=PURPOSE,
            timeout_s=2.0,
            table=OWNERS,
            after=after,
            wait_s=wait_s,
        )

    def test_a_row_is_written_and_read_with_its_version(self) -> None:
        written = self.client.transact(transact_command(ROW, version=0))
        assert isinstance(written, Transacted)
        read = self.client.read_range(self._read_command())
        assert isinstance(read, RangeRead)
        self.assertEqual([ROW], [stored.row for stored in read.rows])
        self.assertEqual(written.version, read.rows[0].version)

    def test_a_failed_condition_returns_the_conflicting_row(self) -> None:
        self.client.transact(transact_command(ROW, version=0))
        event = self.client.transact(transact_command(ROW, version=0))
        assert isinstance(event, Conflicted)
        self.assertEqual([ROW], [stored.row for stored in event.rows])

    def test_a_watch_returns_as_soon_as_a_row_changes(self) -> None:
        first = self.client.transact(transact_command(ROW))
        assert isinstance(first, Transacted)
        timer = threading.Timer(0.2, self.client.transact, (transact_command(ROW),))
        timer.start()
        self.addCleanup(timer.join)
        event = self.client.watch(self._watch_command(first.version, wait_s=5.0))
        assert isinstance(event, RowsChanged)
        self.assertEqual([ROW], [stored.row for stored in event.rows])
        self.assertGreater(event.version, first.version)

    def test_a_watch_from_the_beginning_returns_the_first_commit(self) -> None:
        first = self.client.transact(transact_command(ROW))
        assert isinstance(first, Transacted)
        event = self.client.watch(self._watch_command(0))
        assert isinstance(event, RowsChanged)
        self.assertEqual([ROW], [stored.row for stored in event.rows])

    def test_a_watch_returns_each_version_of_a_row(self) -> None:
        # As the platform's feed does: a follower that falls behind reads all of them.
        first = self.client.transact(transact_command(ROW))
        assert isinstance(first, Transacted)
        later = [replace(ROW, sequence=sequence) for sequence in (1, 2, 3)]
        for row in later:
            self.client.transact(transact_command(row))
        event = self.client.watch(self._watch_command(first.version))
        assert isinstance(event, RowsChanged)
        self.assertEqual(later, [stored.row for stored in event.rows])

    def test_a_read_tells_how_its_answer_arrived(self) -> None:
        self.client.transact(transact_command(ROW))
        event = self.client.watch(self._watch_command(0))
        assert isinstance(event, RowsChanged)
        receipt = event.receipt
        assert receipt is not None
        self.assertGreater(receipt.size_bytes, 100)
        self.assertGreater(receipt.waited_s, 0.0)
        took_s = receipt.decoded_at - receipt.started_at
        self.assertAlmostEqual(
            took_s, receipt.waited_s + receipt.transferred_s + receipt.decoding_s
        )

    def test_a_watch_after_compaction_reports_lost_history(self) -> None:
        first = self.client.transact(transact_command(ROW))
        assert isinstance(first, Transacted)
        self.client.transact(transact_command(ROW))
        urllib3.request("POST", f"{self.url}/compact")
        event = self.client.watch(self._watch_command(first.version))
        self.assertIsInstance(event, HistoryLost)

    def test_a_deleted_row_is_absent_for_conditions(self) -> None:
        row = CancelRow(job_id="5c0e7a21d94b36f8")
        self.client.transact(transact_command(row))
        key = cancel_key(row.job_id)
        deletion = Transact(
            role="scheduler",
            purpose=PURPOSE,
            timeout_s=1.0,
            conditions=(),
            deletes=(key,),
        )
        self.assertIsInstance(self.client.transact(deletion), Transacted)
        put_if_absent = Transact(
            role="scheduler",
            purpose=PURPOSE,
            timeout_s=1.0,
            conditions=(Condition(key=key, version=0),),
            puts=(row,),
        )
        self.assertIsInstance(self.client.transact(put_if_absent), Transacted)

    def test_faults_of_the_store_are_distinguished(self) -> None:
        self.switch(self.url, '{"mode":"down","seconds":30,"delay_s":0}')
        refused = self.client.transact(transact_command(ROW))
        assert isinstance(refused, TransactRefused)
        self.assertFalse(refused.busy)
        self.assertIsInstance(self.client.read_range(self._read_command()), ReadFailed)
        self.switch(self.url, '{"mode":"lose_answers","seconds":5,"delay_s":0}')
        self.assertIsInstance(
            self.client.transact(transact_command(ROW)), TransactOutcomeUnknown
        )
        self.switch(self.url, '{"mode":"up","seconds":0,"delay_s":0}')
        read = self.client.read_range(self._read_command())
        assert isinstance(read, RangeRead)
        self.assertEqual([ROW], [stored.row for stored in read.rows])
        self.assertEqual([], self.problems)
