"""Tests of the committer's actor against the table service's stand-in over HTTP."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

import pykka
import testtools
import urllib3

from bulrushpulley.entities.commit import (
    Committed,
    Condition,
    ReportTo,
    Submission,
    Submitted,
    Withdrawn,
    Write,
)
from bulrushpulley.entities.rows import RevisionRow
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.platform.table_service import TableServiceClient
from bulrushpulley.roles import committer
from bulrushpulley.roles.actor import RoleActor, TickDue
from bulrushpulley.roles.carry_out import carry_out
from bulrushpulley.roles.committer_io import CommitterPorts
from standins.table_service import TableService
from standins.web import make_server

OUTCOME_TIMEOUT_S = 15.0
TICK_INTERVAL_S = 0.05


def ignore_command(command: Command) -> None:
    """Ignore a command that these tests do not check."""


class CommitterHttpTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        server = make_server(handle=TableService().handle, port=0)
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{server.bind_addr[1]}"
        self.pool = ThreadPoolExecutor(max_workers=4)
        self.addCleanup(self.pool.shutdown)
        self.changed = threading.Condition()
        self.outcomes: list[Event] = []
        self.actor = self.start_actor()

    def start_actor(self) -> pykka.ActorRef[Any]:
        ports = CommitterPorts(
            send=ignore_command,
            tell=lambda role, event: None,
            answer=ignore_command,
            decide=ignore_command,
            count=ignore_command,
            observe=ignore_command,
            run=self.run_work,
            table=TableServiceClient(url=self.url, connections=4),
            report_to=self.record_outcome,
        )
        role = committer.build(name="e1", incarnation="e1-1")
        actor = RoleActor.start(role=role, carry_out=partial(carry_out, ports=ports))
        self.addCleanup(actor.stop)
        stop = threading.Event()
        ticks = threading.Thread(target=self.tick, args=(actor, stop))
        ticks.start()
        self.addCleanup(ticks.join)
        self.addCleanup(stop.set)
        return actor

    def tick(self, actor: pykka.ActorRef[Any], stop: threading.Event) -> None:
        while not stop.wait(TICK_INTERVAL_S):
            actor.tell(TickDue())

    def run_work(self, *, role: str, work: Callable[[], Event]) -> None:
        self.pool.submit(lambda: self.actor.tell(work()))

    def record_outcome(self, command: ReportTo) -> None:
        with self.changed:
            self.outcomes.append(command.outcome)
            self.changed.notify_all()

    def switch_mode(self, body: str) -> None:
        urllib3.request("POST", f"{self.url}/switch", body=body.encode())

    def submit(self, count: int, prefix: str, within_s: float = 10.0) -> None:
        for number in range(count):
            key = f"{prefix}/{number}"
            submission = Submission(
                submission_id=key,
                conditions=(Condition(key=key, version=0),),
                writes=(Write(key=key, row=RevisionRow(revision=number)),),
                give_up_after_s=within_s,
            )
            self.actor.tell(Submitted(origin="test", submission=submission))

    def wait_for(self, count: int) -> list[type[Event]]:
        with self.changed:
            self.changed.wait_for(
                lambda: len(self.outcomes) >= count, OUTCOME_TIMEOUT_S
            )
            return [type(outcome) for outcome in self.outcomes]

    def test_every_submission_commits_although_answers_are_lost(self) -> None:
        self.switch_mode('{"mode":"lose_answers","seconds":0.5}')
        self.submit(400, "task")
        self.assertEqual([Committed] * 400, self.wait_for(400))

    def test_claims_are_withdrawn_soon_while_the_store_is_down(self) -> None:
        self.switch_mode('{"mode":"down"}')
        self.submit(20, "claim", within_s=1.0)
        self.assertEqual([Withdrawn] * 20, self.wait_for(20))
        self.switch_mode('{"mode":"up"}')
        self.submit(20, "task")
        self.assertEqual([Committed] * 20, self.wait_for(40)[20:])
