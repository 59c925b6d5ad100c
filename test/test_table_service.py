"""Tests of the platform clients against the stand-ins over HTTP on loopback."""

from __future__ import annotations

import threading
from collections.abc import Callable

import testtools
import urllib3

from bulrushpulley.entities.commit import Condition
from bulrushpulley.entities.rows import RevisionRow
from bulrushpulley.entities.step import Event
from bulrushpulley.entities.transactions import (
    Fence,
    ReadFailed,
    ReadRows,
    RowsRead,
    TokenWrite,
    Transact,
    TransactionCommitted,
    TransactionConflicted,
    TransactionLost,
    TransactionRefused,
    TransactionRejected,
)
from bulrushpulley.platform.object_store import ObjectStoreClient
from bulrushpulley.platform.table_service import TableServiceClient
from bulrushpulley.roles.committer_io import read_rows, transact
from standins.faults import MAX_QUEUE_WAIT_S, Faults, Mode, RateLimiter, Switch
from standins.object_store import ObjectStore
from standins.table_service import TableService
from standins.web import Handler, make_server

STORE_TIMEOUT_S = 0.5
FENCE_KEY = "fence/e1/bulk"


class ServedTest(testtools.TestCase):
    """Serves stand-ins over HTTP and sets their fault modes."""

    def serve(self, handle: Handler) -> str:
        server = make_server(handle=handle, port=0)
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.stop)
        return f"http://127.0.0.1:{server.bind_addr[1]}"

    def switch(self, url: str, body: str) -> None:
        urllib3.request("POST", f"{url}/switch", body=body.encode())


def transact_command(
    key: str, version: int, fence_version: int, token: str = "a"
) -> Transact:
    return Transact(
        lane="bulk",
        transaction_id=f"e1-1/bulk/{token}",
        conditions=(Condition(key=key, version=version),),
        writes=(TokenWrite(key=key, row=RevisionRow(revision=7), token=token),),
        fence=Fence(key=FENCE_KEY, version=fence_version),
        timeout_s=STORE_TIMEOUT_S,
    )


class TableServiceTest(ServedTest):
    def setUp(self) -> None:
        super().setUp()
        self.url = self.serve(TableService().handle)
        self.table = TableServiceClient(url=self.url, connections=2)

    def read(self, since: int = 0) -> Event:
        read_command = ReadRows(
            read_id="r", prefix="k/", since=since, timeout_s=STORE_TIMEOUT_S
        )
        return read_rows(read_command, self.table)

    def test_commit_conflict_and_reading_back(self) -> None:
        first = transact(transact_command("k/1", 0, 0), self.table)
        self.assertIsInstance(first, TransactionCommitted)
        second = transact(transact_command("k/1", 0, 1, token="b"), self.table)
        assert isinstance(second, TransactionConflicted)
        self.assertEqual(
            [("k/1", 1, "a")], [key_version_token(row) for row in second.rows]
        )
        self.assertIsNone(second.fence)
        fenced = transact(transact_command("k/2", 0, 0, token="c"), self.table)
        assert isinstance(fenced, TransactionConflicted)
        fence = Fence(key=FENCE_KEY, version=1, token="e1-1/bulk/a")
        self.assertEqual(fence, fenced.fence)
        rows = self.read()
        assert isinstance(rows, RowsRead)
        self.assertEqual(
            [("k/1", 1, "a")], [key_version_token(row) for row in rows.rows]
        )

    def test_lost_answer_and_refusal_are_distinguished(self) -> None:
        self.switch(self.url, '{"mode":"lose_answers"}')
        lost = transact(transact_command("k/1", 0, 0), self.table)
        self.assertIsInstance(lost, TransactionLost)
        self.switch(self.url, '{"mode":"down"}')
        refused = transact(transact_command("k/2", 0, 1), self.table)
        self.assertIsInstance(refused, TransactionRefused)
        self.assertIsInstance(self.read(), ReadFailed)
        self.switch(self.url, '{"mode":"up"}')
        rows = self.read()
        assert isinstance(rows, RowsRead)
        self.assertEqual(["k/1"], [row.key for row in rows.rows])

    def test_slow_answer_is_lost_and_takes_effect_later(self) -> None:
        self.switch(self.url, '{"mode":"slow","seconds":0.7,"delay_s":0.8}')
        lost = transact(transact_command("k/1", 0, 0), self.table)
        self.assertIsInstance(lost, TransactionLost)
        outcome = self.eventually(
            lambda: transact(transact_command("k/1", 0, 0), self.table)
        )
        assert isinstance(outcome, TransactionConflicted)
        assert outcome.fence is not None
        self.assertEqual("e1-1/bulk/a", outcome.fence.token)

    def eventually(self, attempt: Callable[[], Event]) -> Event:
        """Repeat an attempt until it gets an answer, at most ten times."""
        for _ in range(10):
            outcome = attempt()
            if not isinstance(outcome, TransactionLost):
                return outcome
        return outcome

    def test_transaction_that_is_too_large_is_rejected(self) -> None:
        large = transact_command("k/1", 0, 0, token="x" * 5_000_000)
        self.assertIsInstance(transact(large, self.table), TransactionRejected)

    def test_closed_port_is_a_refusal(self) -> None:
        table = TableServiceClient(url="http://127.0.0.1:1", connections=1)
        refused = transact(transact_command("k/1", 0, 0), table)
        self.assertIsInstance(refused, TransactionRefused)

    def test_a_read_joins_all_pages(self) -> None:
        for number in range(1, 4):
            writes = tuple(
                TokenWrite(
                    key=f"k/{number}/{n}", row=RevisionRow(revision=n), token="t"
                )
                for n in range(700)
            )
            many = Transact(
                lane="bulk",
                transaction_id=f"t{number}",
                conditions=(),
                writes=writes,
                fence=Fence(key=FENCE_KEY, version=number - 1),
                timeout_s=5.0,
            )
            self.assertIsInstance(transact(many, self.table), TransactionCommitted)
        rows = self.read()
        assert isinstance(rows, RowsRead)
        self.assertEqual((3, 2100), (rows.revision, len(rows.rows)))
        later = self.read(since=2)
        assert isinstance(later, RowsRead)
        self.assertEqual(700, len(later.rows))


def key_version_token(row: object) -> tuple[object, ...]:
    return tuple(getattr(row, name) for name in ("key", "version", "token"))


class ObjectStoreTest(ServedTest):
    def test_put_get_delete(self) -> None:
        url = self.serve(ObjectStore().handle)
        store = ObjectStoreClient(url=url)
        self.assertIsNone(store.get("c/1", timeout_s=STORE_TIMEOUT_S))
        store.put("c/1", b"state", timeout_s=STORE_TIMEOUT_S)
        self.assertEqual(b"state", store.get("c/1", timeout_s=STORE_TIMEOUT_S))
        store.delete("c/1", timeout_s=STORE_TIMEOUT_S)
        self.assertIsNone(store.get("c/1", timeout_s=STORE_TIMEOUT_S))


class FaultsTest(testtools.TestCase):
    def test_switch_ends_by_itself(self) -> None:
        down = Faults().switched(Switch(mode=Mode.DOWN, seconds=5.0), now=10.0)
        self.assertEqual(Mode.DOWN, down.mode_at(14.9))
        self.assertEqual(Mode.UP, down.mode_at(15.0))

    def test_limiter_bounds_the_rate_and_the_queue(self) -> None:
        limiter = RateLimiter(per_s=100.0)
        accepted = 0
        while limiter.accepts(0.0):
            limiter = limiter.reserved(0.0)
            accepted += 1
        self.assertAlmostEqual(100 * MAX_QUEUE_WAIT_S, accepted, delta=2)
        self.assertTrue(limiter.accepts(1.0))
