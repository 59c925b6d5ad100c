"""Tests the cell owner as an actor with its real I/O, against an HTTP worker."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka
import testtools

from bulrushpulley.entities.cell_owner_tables import CellOwnerDone
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.link import (
    Configured,
    Fetch,
    Fetched,
    LinkUp,
    Offer,
    Send,
    Submit,
)
from bulrushpulley.entities.records import CellRecord, WorkerRecord
from bulrushpulley.entities.rows import TaskState
from bulrushpulley.entities.step import Event
from bulrushpulley.platform.worker import WorkerClient
from bulrushpulley.roles import cell_owner
from bulrushpulley.roles.actor import RoleActor, TickDue
from bulrushpulley.roles.carry_out import carry_out
from bulrushpulley.roles.cell_owner_io import CellOwnerPorts
from standins.web import make_server
from standins.worker import Workers
from test.cell_bench import CAPACITY, DOMAIN, CellBench

DONE_TIMEOUT_S = 20.0
TICK_INTERVAL_S = 0.05


class Entry:
    """An entry that commits to the bench's store and answers immediately."""

    def __init__(self, *, tell: Callable[[Event], None], bench: CellBench) -> None:
        self._tell = tell
        self._bench = bench
        self._lock = threading.Lock()
        self.done = threading.Event()

    def send(self, command: Send) -> None:
        """Answer a submission or a read."""
        with self._lock:
            if isinstance(command.item, Submit):
                self._tell(self._bench.commit(command.item.submission))
            if isinstance(command.item, Fetch):
                self._tell(self._fetched(command.item))
            if self._bench.done("curves/0") is TaskState.FINISHED:
                self.done.set()

    def _fetched(self, item: Fetch) -> Fetched:
        return Fetched(
            fetch_id=item.fetch_id,
            prefix=item.prefix,
            revision=self._bench.store.revision,
            rows=self._bench.rows(item.prefix, item.since),
        )


class ActorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        server = make_server(handle=Workers(capacity=CAPACITY).handle, port=0)
        thread = threading.Thread(target=server.serve)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{server.bind_addr[1]}/w/w0"
        self.stopped = threading.Event()

    def _ports(self, entry: Entry, pool: ThreadPoolExecutor) -> CellOwnerPorts:
        def run(*, role: str, work: Callable[[], Event]) -> None:
            pool.submit(lambda: self.ref.tell(work()))

        def ignore(*_: Any) -> None:
            pass

        return CellOwnerPorts(
            send=entry.send,
            tell=ignore,
            answer=ignore,
            decide=ignore,
            count=ignore,
            observe=ignore,
            run=run,
            workers=WorkerClient(),
            done=self.stopped.set,
        )

    def _tick(self, until: threading.Event) -> bool:
        """Have the actor tick until an event is set, for at most `DONE_TIMEOUT_S`."""
        for _ in range(round(DONE_TIMEOUT_S / TICK_INTERVAL_S)):
            self.ref.tell(TickDue())
            if until.wait(TICK_INTERVAL_S):
                return True
        return False

    def test_a_task_is_run_over_http_and_the_cell_released(self) -> None:
        bench = CellBench(workers=1)
        worker = WorkerRecord(
            worker_id="w0", url=self.url, rack="r0", capacity=CAPACITY
        )
        record = CellRecord(name="c0", failure_domain=DOMAIN, workers=(worker,))
        bench.put_record("cell", record)
        bench.put_job("curves", run_s=0.5)
        role = cell_owner.build(agent="a", incarnation="a#1", region="ege")
        entry = Entry(tell=lambda event: self.ref.tell(event), bench=bench)
        with ThreadPoolExecutor(8) as pool:
            ports = self._ports(entry, pool)
            self.ref: pykka.ActorRef[Any] = RoleActor.start(
                role=role, carry_out=lambda command: carry_out(command, ports)
            )
            self.addCleanup(self.ref.stop)
            self.ref.tell(LinkUp(peer="entry-1", region="ege"))
            rows = bench.rows("record/")
            self.ref.tell(Configured(base=0, revision=1, rows=rows))
            self.ref.tell(Offer(peer="entry-1", cell="c0"))
            self.assertTrue(self._tick(entry.done))
            self.ref.tell(Leave())
            self.assertTrue(self._tick(self.stopped))
        self.assertEqual("", bench.row("lease/c0").owner)
        self.assertIsNone(carry_out(CellOwnerDone(), ports))
