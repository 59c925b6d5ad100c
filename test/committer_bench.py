"""Runs committers in virtual time against the core of the table service's stand-in.

Each request to commit gets the next fate of a list. Afterwards every reported outcome
is compared with the commits of the store.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatch, singledispatchmethod
from typing import Any

from bulrushpulley.entities.commit import (
    CommitOutcome,
    Committed,
    Conflicted,
    ReportTo,
    Submission,
    Submitted,
    Unsettled,
    VersionedRow,
    Withdrawn,
)
from bulrushpulley.entities.rows import DurableRow
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.entities.transactions import (
    Fence,
    ReadRows,
    RowsRead,
    Transact,
    TransactionCommitted,
    TransactionConflicted,
    TransactionLost,
    TransactionRefused,
    TransactionRejected,
)
from bulrushpulley.roles.committer import build
from bulrushpulley.wire.rows import decode_row, encode_row
from standins import table_core
from standins.table_core import Put, Stored, TableState, VersionCondition

TICK_INTERVAL_S = 0.2
ANSWER_DELAY_S = 0.004
NAME_BY_PROCESS = {"e1": "e1", "e1b": "e1", "e2": "e2"}
REJECTED_PREFIX = "rejected/"


@dataclass(frozen=True, kw_only=True, slots=True)
class Fate:
    """When a request takes effect (None: never) and what its sender learns."""

    effect_after_s: float | None = ANSWER_DELAY_S
    answered: bool = True
    refusal_class: type[TransactionRefused | TransactionRejected] = TransactionRefused


OK = Fate()
REFUSED = Fate(effect_after_s=None)
REJECTED = Fate(effect_after_s=None, refusal_class=TransactionRejected)
NEVER_SENT = Fate(effect_after_s=None, answered=False)
LOST = Fate(answered=False)


def late(seconds: float) -> Fate:
    return Fate(effect_after_s=seconds, answered=False)


@dataclass(frozen=True, kw_only=True, slots=True)
class Delivery(Event):
    """An event to deliver to a process."""

    process: str
    event: Event


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitAgain(Event):
    """A submission that is repeated if its last outcome was `Unsettled`."""

    process: str
    submission: Submission


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestArrival(Event):
    """A request reaching the store; `answered` tells if the sender gets the answer."""

    process: str
    command: Transact
    answered: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ForeignWrite(Event):
    """An unconditional write by another client."""

    put: Put


@dataclass(frozen=True, kw_only=True, slots=True)
class Reported:
    """An outcome and the process that reported it."""

    process: str
    outcome: CommitOutcome


@dataclass(frozen=True, kw_only=True, order=True)
class ScheduledEvent:
    at: float
    number: int
    event: Event = field(compare=False)


def encode_put(key: str, row: DurableRow | None, token: str) -> Put:
    return Put(key=key, value=None if row is None else encode_row(row, token))


def versioned(row: Stored) -> VersionedRow:
    if row.value is None:
        return VersionedRow(key=row.key, version=0, row=None)
    decoded = decode_row(row.value)
    return VersionedRow(
        key=row.key, version=row.version, row=decoded.row, token=decoded.token
    )


class Bench:
    """Some committers, the store and the clock."""

    def __init__(self, *, fates: Iterable[Fate] = ()) -> None:
        self.now = 0.0
        self.store = TableState.empty()
        self.commits_of: dict[str, list[int]] = defaultdict(list)
        self.reports_of: dict[str, list[Reported]] = defaultdict(list)
        self.submission_by_id: dict[str, Submission] = {}
        self.fetched: list[Event] = []
        self.sent: list[Transact] = []
        self.key_conflicts: list[str] = []
        self.reads: list[ReadRows] = []
        self._fates = list(fates)
        self._due: list[ScheduledEvent] = []
        self._number = 0
        self._roles = {
            process: build(name=name, incarnation=f"{process}-1")
            for process, name in NAME_BY_PROCESS.items()
        }
        self._tables: dict[str, Any] = {
            name: role.tables for name, role in self._roles.items()
        }

    def at(self, when: float, event: Event) -> None:
        self._number += 1
        heapq.heappush(
            self._due, ScheduledEvent(at=when, number=self._number, event=event)
        )

    def submit(self, when: float, process: str, submission: Submission) -> None:
        self.submission_by_id[submission.submission_id] = submission
        event = Submitted(origin="tester", submission=submission)
        self.at(when, Delivery(process=process, event=event))

    def run_until(self, end: float) -> None:
        tick_at = self.now
        while self.now < end:
            at = min([tick_at, end, *(due.at for due in self._due[:1])])
            self.now = max(self.now, at)
            events: dict[str, list[Event]] = defaultdict(list)
            while self._due and self._due[0].at <= self.now:
                self._handle_event(heapq.heappop(self._due).event, events)
            if tick_at <= self.now:
                tick_at = self.now + TICK_INTERVAL_S
                for name in self._roles:
                    events[name].extend([])
            for name, tick_events in events.items():
                self._tick(name, tick_events)

    def _tick(self, name: str, events: list[Event]) -> None:
        step = self._roles[name].tick(self._tables[name], events, self.now)
        self._tables[name] = step.tables
        for command in step.commands:
            self._carry_out(command, name)

    @singledispatchmethod
    def _carry_out(self, command: Command, process: str) -> None:
        """Ignore counts and durations."""

    @_carry_out.register
    def _(self, command: ReportTo, process: str) -> None:
        self._record_outcome(command.outcome, process)

    @_carry_out.register
    def _(self, command: ReadRows, process: str) -> None:
        self.reads.append(command)
        page = table_core.read(
            self.store, prefix=command.prefix, since=command.since, limit=10**6
        )
        event = RowsRead(
            read_id=command.read_id,
            revision=page.revision,
            rows=tuple(versioned(row) for row in page.rows),
        )
        self.at(self.now + ANSWER_DELAY_S, Delivery(process=process, event=event))

    @_carry_out.register
    def _(self, command: Transact, process: str) -> None:
        self.sent.append(command)
        fate = self._fates.pop(0) if self._fates else OK
        if any(write.key.startswith(REJECTED_PREFIX) for write in command.writes):
            fate = REJECTED
        base = {"lane": command.lane, "transaction_id": command.transaction_id}
        if fate.effect_after_s is not None:
            arrival = RequestArrival(
                process=process, command=command, answered=fate.answered
            )
            self.at(self.now + fate.effect_after_s, arrival)
        if not fate.answered:
            lost = TransactionLost(**base, reason="timeout")
            self.at(self.now + command.timeout_s, Delivery(process=process, event=lost))
        elif fate.effect_after_s is None:
            refused = fate.refusal_class(**base, reason="refused by the store")
            self.at(self.now + ANSWER_DELAY_S, Delivery(process=process, event=refused))

    @singledispatchmethod
    def _record_outcome(self, outcome: Event, process: str) -> None:
        self.fetched.append(outcome)

    @_record_outcome.register
    def _(self, outcome: CommitOutcome, process: str) -> None:
        reported = Reported(process=process, outcome=outcome)
        self.reports_of[outcome.submission_id].append(reported)

    @singledispatchmethod
    def _handle_event(self, event: Event, events: dict[str, list[Event]]) -> None:
        raise NotImplementedError(type(event))

    @_handle_event.register
    def _(self, event: Delivery, events: dict[str, list[Event]]) -> None:
        events[event.process].append(event.event)

    @_handle_event.register
    def _(self, event: SubmitAgain, events: dict[str, list[Event]]) -> None:
        reports = self.reports_of[event.submission.submission_id]
        if reports and is_unsettled(reports[-1].outcome):
            resubmitted = Submitted(origin="tester", submission=event.submission)
            events[event.process].append(resubmitted)

    @_handle_event.register
    def _(self, event: ForeignWrite, events: dict[str, list[Event]]) -> None:
        transaction = table_core.Transaction(conditions=(), puts=(event.put,))
        self.store = table_core.commit(self.store, transaction).state

    @_handle_event.register
    def _(self, event: RequestArrival, events: dict[str, list[Event]]) -> None:
        answer = self._commit(event.command)
        if event.answered:
            events[event.process].append(answer)

    def _commit(self, command: Transact) -> Event:
        fence = command.fence
        fence_put = Put(key=fence.key, value=command.transaction_id.encode())
        puts = [encode_put(put.key, put.row, put.token) for put in command.writes]
        conditions = [
            VersionCondition(key=condition.key, version=condition.version)
            for condition in command.conditions
        ]
        result = table_core.commit(
            self.store,
            table_core.Transaction(
                conditions=(
                    VersionCondition(key=fence.key, version=fence.version),
                    *conditions,
                ),
                puts=(fence_put, *puts),
            ),
        )
        self.store = result.state
        if not result.committed:
            return conflict(command, result.conflicting_rows)
        self._check_key_conflicts(command)
        for token in dict.fromkeys(put.token for put in command.writes):
            self.commits_of[token].append(result.revision)
        return TransactionCommitted(
            lane=command.lane,
            transaction_id=command.transaction_id,
            revision=result.revision,
        )

    def _check_key_conflicts(self, command: Transact) -> None:
        """Find submissions of one commit that require a key another one writes."""
        writer_by_key = {put.key: put.token for put in command.writes}
        for token in set(writer_by_key.values()):
            for condition in self.submission_by_id[token].conditions:
                if writer_by_key.get(condition.key, token) != token:
                    self.key_conflicts.append(
                        f"{token} shares {condition.key} with another"
                    )


def conflict(command: Transact, failed: Iterable[Stored]) -> TransactionConflicted:
    fence = None
    rows = []
    for row in failed:
        if row.key == command.fence.key:
            token = (row.value or b"").decode()
            fence = Fence(key=row.key, version=row.version, token=token)
        else:
            rows.append(versioned(row))
    return TransactionConflicted(
        lane=command.lane,
        transaction_id=command.transaction_id,
        rows=tuple(rows),
        fence=fence,
    )


@singledispatch
def is_unsettled(outcome: CommitOutcome) -> bool:
    return False


@is_unsettled.register
def _(outcome: Unsettled) -> bool:
    return True


@singledispatch
def mismatch_of(outcome: CommitOutcome, commits: list[int]) -> str:
    """Describe how an outcome differs from the commits; `Unsettled` fits any."""
    return ""


@mismatch_of.register
def _(outcome: Committed, commits: list[int]) -> str:
    if commits[:1] == [outcome.revision]:
        return ""
    return f"committed at {outcome.revision}, but the store has {commits}"


@mismatch_of.register
def _(outcome: Conflicted, commits: list[int]) -> str:
    return f"conflicted, but the store has {commits}" if commits else ""


@mismatch_of.register
def _(outcome: Withdrawn, commits: list[int]) -> str:
    return f"withdrawn, but the store has {commits}" if commits else ""


def mismatches_of(bench: Bench) -> list[str]:
    """Compare every outcome with the commits of the store and list the mismatches.

    A process reports only on its own requests: after `Unsettled` by another one,
    `Withdrawn` and a conflict with a later writer do not exclude that the other
    process's request took effect.
    """
    mismatches = list(bench.key_conflicts)
    for submission_id in bench.submission_by_id:
        commits = bench.commits_of[submission_id]
        if len(commits) > 1:
            mismatches.append(f"{submission_id} committed {len(commits)} times")
        reports = bench.reports_of[submission_id]
        if not reports:
            mismatches.append(f"{submission_id} has no outcome")
        for position, reported in enumerate(reports):
            others = [r for r in reports[:position] if r.process != reported.process]
            mismatch = mismatch_of(reported.outcome, commits)
            if mismatch and not others:
                mismatches.append(f"{submission_id} {mismatch}")
    return mismatches
