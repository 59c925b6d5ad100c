"""Runs controllers in virtual time over a table service held in memory.

`Bench` keeps the state of a run in mutable attributes. Each submission is answered
one step later.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping
from functools import singledispatch
from typing import Any, TypeVar

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.commit import (
    Committed,
    Conflicted,
    ReadRequested,
    Submitted,
    Unsettled,
    VersionedRow,
    Withdrawn,
)
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.link import (
    Announce,
    CellSummary,
    DepartmentUse,
    Fetched,
    LinkUp,
    Send,
)
from bulrushpulley.entities.records import (
    CellRecord,
    FailureDomainRecord,
    JobRecord,
    Record,
    ServiceRecord,
    WorkerRecord,
)
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import DurableRow
from bulrushpulley.entities.step import Command, Event, Tell
from bulrushpulley.roles import controller
from bulrushpulley.roles.actor import Role
from bulrushpulley.wire.rows import decode_row, encode_row
from standins.table_core import (
    Put,
    Stored,
    TableState,
    Transaction,
    VersionCondition,
    commit,
    read,
)

T = TypeVar("T")
TIME_STEP_S = 0.1
BIG = Resources(processors_m=32_000, memory_mb=64_000)
SMALL = Resources(processors_m=1_000, memory_mb=1_000)


def versioned(row: Stored) -> VersionedRow:
    if row.value is None:
        return VersionedRow(key=row.key, version=row.version, row=None)
    decoded = decode_row(row.value)
    return VersionedRow(
        key=row.key, version=row.version, row=decoded.row, token=decoded.token
    )


class Bench:
    """Entries that share a table service; `mode` is up, down or lose_answers."""

    def __init__(self, *, entries: Iterable[str] = ("a",)) -> None:
        self.now = 0.0
        self.state = TableState.empty()
        self.mode = "up"
        self.roles: dict[str, Role[ControllerTables]] = {}
        self.tables: dict[str, ControllerTables] = {}
        self.inbox: dict[str, list[Event]] = {}
        self.sent: list[tuple[str, Command]] = []
        self.transactions = 0
        self.tick_s = 0.0
        self.paused: set[str] = set()
        for name in entries:
            self.start(name)

    def start(self, name: str, incarnation: str = "") -> None:
        role = controller.build(
            entry=name,
            incarnation=incarnation or f"{name}-1",
            host="127.0.0.1",
            port=1,
            region="ege",
        )
        self.roles[name] = role
        self.tables[name] = role.tables
        self.inbox[name] = []

    def stop(self, name: str) -> None:
        for by_name in (self.roles, self.tables, self.inbox):
            del by_name[name]

    def tell(self, name: str, *events: Event) -> None:
        self.inbox[name].extend(events)

    def tell_all(self, *events: Event) -> None:
        for name in self.roles:
            self.tell(name, *events)

    def step(self) -> None:
        self.now += TIME_STEP_S
        for name in list(self.roles):
            if name not in self.paused:
                self.tick(name)

    def tick(self, name: str) -> None:
        events, self.inbox[name] = self.inbox[name], []
        started_at = time.perf_counter()
        step = self.roles[name].tick(self.tables[name], events, self.now)
        self.tick_s += time.perf_counter() - started_at
        self.tables[name] = step.tables
        for command in step.commands:
            self.sent.append((name, command))
            serve(command, self, name)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TIME_STEP_S)):
            self.step()

    def commands_of(self, kind: type[T], name: str = "") -> list[T]:
        return [
            command
            for entry, command in self.sent
            if isinstance(command, kind) and name in ("", entry)
        ]

    def sent_items(self, kind: type[T]) -> list[T]:
        return [
            one.item for one in self.commands_of(Send) if isinstance(one.item, kind)
        ]

    def call(self, name: str, event: ops.OperatorCall, within_s: float = 15.0) -> Any:
        self.tell(name, event)
        for _ in range(round(within_s / TIME_STEP_S)):
            self.step()
            replies: list[Any] = [
                *self.commands_of(ops.Reply),
                *self.commands_of(ops.Reject),
            ]
            answers = [one for one in replies if one.call_id == event.call_id]
            if answers:
                return answers[-1]
        raise AssertionError(f"no answer to {event}")

    def rows(self, prefix: str) -> dict[str, DurableRow]:
        page = read(self.state, prefix=prefix, limit=1_000_000)
        rows = [versioned(row) for row in page.rows]
        return {row.key: row.row for row in rows if row.row is not None}

    def write(self, key: str, row: DurableRow | None) -> None:
        self.write_all({key: row})

    def write_all(self, rows: Mapping[str, DurableRow | None]) -> None:
        puts = tuple(
            Put(key=key, value=encode_row(row, "test") if row is not None else None)
            for key, row in rows.items()
        )
        transaction = Transaction(conditions=(), puts=puts)
        self.state = commit(self.state, transaction).state


@singledispatch
def serve(command: Command, bench: Bench, name: str) -> None:
    """Carry out a controller's command to the committer; ignore other commands."""


@serve.register
def _(command: Tell, bench: Bench, name: str) -> None:
    serve_event(command.event, bench, name)


@singledispatch
def serve_event(event: Event, bench: Bench, name: str) -> None:
    pass


@serve_event.register
def _(event: Submitted, bench: Bench, name: str) -> None:
    submission = event.submission
    bench.transactions += 1
    if bench.mode == "down":
        outcome: Event = Withdrawn(
            submission_id=submission.submission_id, reason="down"
        )
        bench.tell(name, outcome)
        return
    token = submission.submission_id
    transaction = Transaction(
        conditions=tuple(
            VersionCondition(key=one.key, version=one.version)
            for one in submission.conditions
        ),
        puts=tuple(
            Put(
                key=write.key,
                value=encode_row(write.row, token) if write.row else None,
            )
            for write in submission.writes
        ),
    )
    result = commit(bench.state, transaction)
    bench.state = result.state
    rows = tuple(versioned(row) for row in result.conflicting_rows)
    if bench.mode == "lose_answers":
        outcome = Unsettled(submission_id=token, reason="answer lost")
    elif result.committed:
        outcome = Committed(submission_id=token, revision=result.revision)
    elif any(row.token == token for row in rows):
        version = next(row.version for row in rows if row.token == token)
        outcome = Committed(submission_id=token, revision=version)
    else:
        outcome = Conflicted(submission_id=token, rows=rows)
    bench.tell(name, outcome)


@serve_event.register
def _(event: ReadRequested, bench: Bench, name: str) -> None:
    if bench.mode == "down":
        failed = Fetched(
            fetch_id=event.fetch_id,
            prefix=event.prefix,
            revision=0,
            rows=(),
            failed="down",
        )
        bench.tell(name, failed)
        return
    page = read(bench.state, prefix=event.prefix, since=event.since, limit=1_000_000)
    fetched = Fetched(
        fetch_id=event.fetch_id,
        prefix=event.prefix,
        revision=page.revision,
        rows=tuple(versioned(row) for row in page.rows),
    )
    bench.tell(name, fetched)


def submit_record(record: Record, call_id: str = "", author: str = "amina") -> Any:
    kinds: dict[type, str] = {
        ServiceRecord: "service",
        JobRecord: "job",
        FailureDomainRecord: "failure_domain",
        CellRecord: "cell",
    }
    kind = kinds.get(type(record), "policy")
    return ops.SubmitRecord(
        call_id=call_id or f"submit-{kind}-{record.name}",
        author=author,
        kind=kind,
        schema_version=1,
        record=record,
    )


def domain(name: str) -> FailureDomainRecord:
    return FailureDomainRecord(name=name, region="ege")


def cell(name: str, failure_domain: str, capacity: Resources = BIG) -> CellRecord:
    worker = WorkerRecord(
        worker_id=f"{name}-w", url="http://127.0.0.1:1", rack=name, capacity=capacity
    )
    return CellRecord(name=name, failure_domain=failure_domain, workers=(worker,))


def job(name: str, tasks: int = 1, **more: Any) -> JobRecord:
    fields: dict[str, Any] = {"department": "bakery", "size": SMALL, "run_s": 5.0}
    return JobRecord(name=name, tasks=tasks, **{**fields, **more})


def announce(agent: str, failure_domain: str = "izmir", applied: int = 0) -> Announce:
    return Announce(
        peer=agent,
        agent=agent,
        incarnation=agent,
        service="oven",
        region="ege",
        failure_domain=failure_domain,
        slots=8,
        running=0,
        queued=0,
        healthy=True,
        leaving=False,
        applied_revision=applied,
    )


def summary(
    name: str,
    failure_domain: str,
    peer: str = "agent-1",
    free: Resources = BIG,
    waiting: int = 0,
    running: int = 0,
    uses: tuple[DepartmentUse, ...] = (),
) -> CellSummary:
    return CellSummary(
        peer=peer,
        cell=name,
        owner=peer,
        epoch=1,
        failure_domain=failure_domain,
        region="ege",
        free=free,
        largest=free,
        waiting=waiting,
        running=running,
        uses=uses,
    )


def with_cells(
    bench: Bench, cells: dict[str, str], summarize: Callable[[str, str], CellSummary]
) -> None:
    """Configure cells by name and failure domain, and have an agent own them."""
    first = next(iter(bench.roles))
    for name in sorted(set(cells.values())):
        bench.call(first, submit_record(domain(name)))
    for name, failure_domain in cells.items():
        bench.call(first, submit_record(cell(name, failure_domain)))
    bench.run(1.0)
    for entry in bench.roles:
        bench.tell(entry, LinkUp(peer="agent-1", region="ege"), announce("agent-1"))
        bench.tell(entry, *(summarize(name, where) for name, where in cells.items()))
    bench.run(0.2)
