"""Runs cell owners in virtual time with an in-memory store and simulated workers.

Invariants are checked at every start and every commit; the text of each violation is
added to `violations`. Faults are switched on by the sets and hooks of `CellBench`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from bulrushpulley.entities.cell_owner_tables import CellOwnerTables
from bulrushpulley.entities.commit import (
    CommitOutcome,
    Committed,
    Conflicted,
    Submission,
    Unsettled,
    VersionedRow,
)
from bulrushpulley.entities.link import (
    Assigned,
    CellSummary,
    Configured,
    Fetch,
    Fetched,
    LinkUp,
    Offer,
    Send,
    Submit,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.owner_times import START_WINDOW_S
from bulrushpulley.entities.records import (
    CellRecord,
    DomainState,
    FailureDomainRecord,
    JobRecord,
    Record,
    ServiceRecord,
    WorkerRecord,
)
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import (
    DurableRow,
    RecordRow,
    TaskClass,
    TaskRow,
    TaskSpec,
    TaskState,
)
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.entities.worker_calls import (
    ReportUnanswered,
    RequestReport,
    RunReport,
    RunState,
    RunUsage,
    Started,
    StartNotSent,
    StartTask,
    StartUnknown,
    StopAnswered,
    StopTask,
    StopUnanswered,
    ThrottleAnswered,
    ThrottleTask,
    ThrottleUnanswered,
    WorkerReported,
)
from bulrushpulley.errors import Code, Problem
from bulrushpulley.roles import cell_owner
from bulrushpulley.wire.rows import decode_row, encode_row
from standins import table_core, worker_core
from standins.table_core import Put, TableState, Transaction, VersionCondition
from standins.worker_core import Renew, Start, WorkerState
from test.virtual_world import Path, RoleAddress, VirtualWorld

DOMAIN = "ege-izmir"
CAPACITY = Resources(processors_m=8_000, memory_mb=16_000)
SIZE = Resources(processors_m=2_000, memory_mb=1_000)
DELIVERY_DELAY_S = 0.005
PROBLEM = Problem(code=Code.UNAVAILABLE, step="fake", peer="fake", detail="fake")


def cell_owner_address(agent: str) -> RoleAddress:
    """Return the address of an agent's cell owner."""
    return RoleAddress(process=agent, role="cell_owner")


class CellBench:
    """One cell, some workers, a store, and agents that may own the cell."""

    def __init__(self, *, seed: int = 1, workers: int = 2) -> None:
        self.world = VirtualWorld(carry_out=self._carry_out, seed=seed)
        self.store = TableState.empty()
        empty = replace(WorkerState.empty(), harm_by_job={})
        self.workers = {f"w{n}": empty for n in range(workers)}
        self.latency_noise: Callable[[float], float] = lambda now: 1.0
        self.capacity = dict.fromkeys(self.workers, CAPACITY)
        self.unreachable: set[str] = set()
        self.cut_off: set[tuple[str, str]] = set()
        self.lose_worker_answers: set[str] = set()
        self.lose_start_answers = False
        self.start_delay_s = DELIVERY_DELAY_S
        self.store_delay_s = DELIVERY_DELAY_S
        self.path = Path(delay_s=0.0)
        self.failing_jobs: set[str] = set()
        self.store_up = True
        self.lose_commit: Callable[[Submission], bool] = lambda submission: False
        self.before_commit: Callable[[Submission], None] = lambda submission: None
        self.checks_deadline = True
        self.drained_at: float | None = None
        self.capacity_reduced_at: dict[str, float] = {}
        self.starts: list[StartTask] = []
        self.commands: list[tuple[float, str, Command]] = []
        self.decisions: list[Decision] = []
        self.summaries: list[CellSummary] = []
        self.violations: list[str] = []
        self.put_record("failure_domain", self._domain(DomainState.IN_SERVICE))
        self.put_record("cell", self.cell_record())

    def _domain(self, state: DomainState) -> FailureDomainRecord:
        return FailureDomainRecord(name=DOMAIN, region="ege", state=state)

    def cell_record(self) -> CellRecord:
        """Return the cell's record, with the workers listed in `capacity`."""
        workers = tuple(
            WorkerRecord(worker_id=w, url=f"http://{w}", rack="r0", capacity=size)
            for w, size in self.capacity.items()
        )
        return CellRecord(name="c0", failure_domain=DOMAIN, workers=workers)

    # Set-up and events.

    def put(self, key: str, row: DurableRow | None) -> int:
        """Write a row unconditionally."""
        value = None if row is None else encode_row(row, "bench")
        put = Put(key=key, value=value)
        result = table_core.commit(self.store, Transaction(conditions=(), puts=(put,)))
        self.store = result.state
        return result.revision

    def put_record(self, kind: str, record: Record) -> int:
        """Store a record that the agents do not know yet."""
        row = RecordRow(
            kind=kind, schema_version=1, record=record, author="op", revision=0
        )
        return self.put(f"record/{kind}/{record.name}", row)

    def distribute_records(self) -> None:
        """Send the full configuration to every agent."""
        rows = self.rows("record/")
        event = Configured(base=0, revision=self.store.revision, rows=rows)
        for owner in list(self.world.roles):
            self.world.deliver(owner, event)

    def drain(self) -> None:
        """Store the failure domain as drained; agents do not know it yet."""
        self.put_record("failure_domain", self._domain(DomainState.DRAINED))
        self.drained_at = self.world.now

    def put_capacity(self, worker: str, capacity: Resources) -> None:
        """Store a new capacity of a worker; agents do not know it yet."""
        self.capacity[worker] = capacity
        self.capacity_reduced_at[worker] = self.world.now
        self.put_record("cell", self.cell_record())

    def resize(self, worker: str, capacity: Resources) -> None:
        """Store a new capacity of a worker and distribute the record."""
        self.put_capacity(worker, capacity)
        self.distribute_records()

    def put_job(
        self, name: str, *, tasks: int = 1, run_s: float = 5.0, **more: Any
    ) -> None:
        """Store a job's record and its tasks as assigned to the cell."""
        more = {"size": SIZE, **more}
        record = JobRecord(
            name=name, department="bakery", tasks=tasks, run_s=run_s, **more
        )
        version = self.put_record("job", record)
        for index in range(tasks):
            self.put_task(name, index, version, run_s=run_s, **more)

    def assign(self, agent: str) -> None:
        """Send an owner all task rows, as the controller does."""
        event = Assigned(cell="c0", rows=self.rows("task/c0/"))
        self.world.deliver(cell_owner_address(agent), event)

    def put_service(self, name: str, replicas: int = 1) -> int:
        """Store a service's record."""
        record = ServiceRecord(
            name=name, department="ovens", replicas=replicas, size=SIZE
        )
        return self.put_record("service", record)

    def put_task(self, job: str, index: int, version: int, **more: Any) -> None:
        """Store one waiting task as assigned to the cell."""
        fields = {"task_class": TaskClass.BATCH, "kind": "job", "size": SIZE, **more}
        spec = TaskSpec(
            record_version=version,
            job=job,
            index=index,
            department="bakery",
            **fields,
        )
        row = TaskRow(spec=spec, state=TaskState.WAITING)
        self.put(f"task/c0/{job}/{index}", row)

    def start_agent(
        self, name: str, incarnation_number: int = 1, autonomy_s: float = 3600.0
    ) -> None:
        """Start and link an agent, send it the configuration and offer the cell."""
        incarnation = f"{name}#{incarnation_number}"
        role = cell_owner.build(
            agent=name, incarnation=incarnation, region="ege", autonomy_s=autonomy_s
        )
        self.world.start(name, [role])
        for entry in ("entry-1", "entry-2"):
            self.world.deliver(
                cell_owner_address(name), LinkUp(peer=entry, region="ege")
            )
        self.distribute_records()
        self.offer(name)

    def offer(self, name: str) -> None:
        """Offer the cell to an agent."""
        self.world.deliver(cell_owner_address(name), Offer(peer="entry-1", cell="c0"))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.world.run(self.world.now + seconds)

    # State that tests inspect.

    def tables(self, agent: str) -> CellOwnerTables:
        """Return an agent's tables."""
        found: CellOwnerTables = self.world.tables[cell_owner_address(agent)]
        return found

    def row(self, key: str) -> Any:
        """Return the row of a key, or None."""
        stored = self.store.rows.get(key)
        if stored is None or stored.value is None:
            return None
        return decode_row(stored.value).row

    def done(self, task_id: str) -> TaskState | None:
        """Return the outcome of a task, if it has one."""
        row = self.row(f"done/{task_id}")
        return row.state if row else None

    def running(self, task_id: str) -> list[str]:
        """Return the worker of each running run of a task."""
        self._advance()
        return [
            worker
            for worker, state in self.workers.items()
            for run in state.runs.rows()
            if run.start.task_id == task_id and run.state.value == "running"
        ]

    def kinds(self) -> set[str]:
        """Return the kinds of all logged decisions."""
        return {decision.kind for decision in self.decisions}

    # Invariant checks.

    def _check_start(self, command: StartTask) -> None:
        twice = [
            s
            for s in self.starts
            if (s.task_id, s.generation) == (command.task_id, command.generation)
        ]
        if twice:
            self.violations.append(f"sent twice: {command.task_id}")
        bound_s = START_WINDOW_S + self.start_delay_s
        if self.drained_at is not None and self.world.now > self.drained_at + bound_s:
            self.violations.append(f"started after the drain: {command.task_id}")
        self.starts.append(command)

    def _check_capacity(self, command: StartTask) -> None:
        """Check that no task starts beyond its worker's capacity.

        A start committed before the capacity was reduced may arrive within its window.
        """
        worker = command.worker_id
        load = worker_core.running_size(self.workers[worker])
        bound_s = START_WINDOW_S + self.start_delay_s
        capacity_reduced_at = self.capacity_reduced_at.get(worker, float("-inf"))
        over = not load.fits(self.capacity.get(worker, CAPACITY))
        if over and self.world.now > capacity_reduced_at + bound_s:
            self.violations.append(f"started beyond capacity: {command.task_id}")

    def check_workers(self) -> None:
        """Check that no task runs twice and that every worker's load fits."""
        self._advance()
        runs = [run for state in self.workers.values() for run in state.runs.rows()]
        names = [r.start.task_id for r in runs if r.state.value == "running"]
        for name in sorted({name for name in names if names.count(name) > 1}):
            self.violations.append(f"runs twice at {self.world.now:.2f}: {name}")
        for worker, state in self.workers.items():
            if not worker_core.running_size(state).fits(
                self.capacity.get(worker, CAPACITY)
            ):
                self.violations.append(f"over its capacity: {worker}")

    def _check_done(self, submission: Submission) -> None:
        for write in submission.writes:
            if write.key.startswith("done/") and self.row(write.key) is not None:
                self.violations.append(f"done twice: {write.key}")

    def _record_drain(self, submission: Submission) -> None:
        for write in submission.writes:
            record = write.row.record if isinstance(write.row, RecordRow) else None
            if isinstance(record, FailureDomainRecord):
                drained = record.state is DomainState.DRAINED
                self.drained_at = self.world.now if drained else None

    # The store.

    def rows(self, prefix: str, since: int = 0) -> tuple[VersionedRow, ...]:
        """Return the rows under a prefix that have changed since a revision."""
        page = table_core.read(self.store, prefix=prefix, since=since, limit=100_000)
        return tuple(self._versioned(row) for row in page.rows)

    def _versioned(self, row: table_core.Stored) -> VersionedRow:
        if row.value is None:
            return VersionedRow(key=row.key, version=row.version, row=None)
        decoded = decode_row(row.value)
        return VersionedRow(
            key=row.key, version=row.version, row=decoded.row, token=decoded.token
        )

    def commit(self, submission: Submission) -> CommitOutcome:
        """Commit a submission as a committer does.

        A conflict with a row that has the submission's own token means that an earlier
        attempt was committed.
        """
        key = submission.submission_id
        if not self.store_up:
            return Unsettled(submission_id=key, reason="down")
        self.before_commit(submission)
        puts = tuple(
            Put(key=w.key, value=encode_row(w.row, key) if w.row else None)
            for w in submission.writes
        )
        conditions = tuple(
            VersionCondition(key=c.key, version=c.version)
            for c in submission.conditions
        )
        result = table_core.commit(
            self.store, Transaction(conditions=conditions, puts=puts)
        )
        if result.committed:
            self._check_done(submission)
            self._record_drain(submission)
            self.store = result.state
            if self.lose_commit(submission):
                return Unsettled(submission_id=key, reason="answer lost")
            return Committed(submission_id=key, revision=result.revision)
        rows = tuple(self._versioned(row) for row in result.conflicting_rows)
        own = [row.version for row in rows if row.token == key]
        if own:
            return Committed(submission_id=key, revision=own[0])
        return Conflicted(submission_id=key, rows=rows)

    # Commands.

    def _carry_out(
        self, world: VirtualWorld, owner: RoleAddress, command: Command
    ) -> None:
        self.commands.append((world.now, owner.process, command))
        self._handle_command(command, owner)

    @singledispatchmethod
    def _handle_command(self, command: Command, owner: RoleAddress) -> None:
        """Ignore commands without a handler."""

    @_handle_command.register
    def _(self, command: Decision, owner: RoleAddress) -> None:
        self.decisions.append(command)

    @_handle_command.register
    def _(self, command: Send, owner: RoleAddress) -> None:
        if (owner.process, "store") not in self.cut_off:
            self._handle_item(command.item, owner)

    @singledispatchmethod
    def _handle_item(self, item: Event, owner: RoleAddress) -> None:
        """Ignore items without a handler."""

    @_handle_item.register
    def _(self, item: CellSummary, owner: RoleAddress) -> None:
        self.summaries.append(item)

    @_handle_item.register
    def _(self, item: Submit, owner: RoleAddress) -> None:
        def act() -> None:
            outcome = self.commit(item.submission)
            self._answer(owner, outcome)

        self.world.at(self.store_delay_s, act)

    @_handle_item.register
    def _(self, item: Fetch, owner: RoleAddress) -> None:
        def act() -> None:
            fetched = Fetched(
                fetch_id=item.fetch_id,
                prefix=item.prefix,
                revision=self.store.revision,
                rows=self.rows(item.prefix, item.since) if self.store_up else (),
                failed="" if self.store_up else "down",
            )
            self._answer(owner, fetched)

        self.world.at(self.store_delay_s, act)

    def _answer(self, owner: RoleAddress, event: Event) -> None:
        """Deliver an event to an owner, as from an entry."""
        self.world.at(DELIVERY_DELAY_S, lambda: self._deliver(owner, event))

    def _deliver(self, owner: RoleAddress, event: Event) -> None:
        if self.world.alive(owner.process):
            self.world.deliver(owner, event, self.path)

    # Workers.

    def _advance(self) -> None:
        for worker, state in self.workers.items():
            self.workers[worker] = worker_core.advance(state, self.world.now)

    def _is_answering(self, worker: str) -> bool:
        return worker not in self.unreachable | self.lose_worker_answers

    def _reaches(self, owner: RoleAddress, worker: str) -> bool:
        cut = (owner.process, worker) in self.cut_off
        return not cut and worker not in self.unreachable

    @_handle_command.register
    def _(self, command: StartTask, owner: RoleAddress) -> None:
        ids: dict[str, Any] = {
            "worker_id": command.worker_id,
            "task_key": command.task_key,
            "generation": command.generation,
        }
        late = self.checks_deadline and self.world.now > command.not_after
        if late or not self._reaches(owner, command.worker_id):
            self._deliver(owner, StartNotSent(problem=PROBLEM, **ids))
            return

        def act() -> None:
            self._check_start(command)
            start = Start(
                task_id=command.task_id,
                generation=command.generation,
                lease_s=command.lease_s,
                run_s=command.run_s,
                size=command.size,
                checkpoint=command.checkpoint,
                task_class=command.task_class.value,
            )
            before = self.workers[command.worker_id]
            fails = (
                before.fail_all or command.task_id.split("/")[0] in self.failing_jobs
            )
            state = worker_core.start(failing(before, fails), start, self.world.now)
            state = failing(state, before.fail_all)
            self.workers[command.worker_id] = state
            self._check_capacity(command)
            self.check_workers()
            if answers:
                self._deliver(owner, Started(**ids))

        answers = self._is_answering(command.worker_id) and not self.lose_start_answers
        self.world.at(self.start_delay_s, act)
        if not answers:
            unknown = StartUnknown(problem=PROBLEM, **ids)
            self.world.at(0.1, lambda: self._deliver(owner, unknown))

    @_handle_command.register
    def _(self, command: StopTask, owner: RoleAddress) -> None:
        worker = command.worker_id
        lost = StopUnanswered(worker_id=worker, problem=PROBLEM)
        if not self._reaches(owner, worker) or self.world.now > command.not_after:
            self._deliver(owner, lost)
            return
        self.workers[worker] = worker_core.stop(
            self.workers[worker],
            command.task_id,
            command.generation,
            command.checkpoint,
            self.world.now,
        )
        answered = StopAnswered(worker_id=worker)
        self._deliver(owner, answered if self._is_answering(worker) else lost)

    @_handle_command.register
    def _(self, command: ThrottleTask, owner: RoleAddress) -> None:
        worker = command.worker_id
        lost = ThrottleUnanswered(worker_id=worker, problem=PROBLEM)
        if not self._reaches(owner, worker) or self.world.now > command.not_after:
            self.world.deliver(owner, lost)
            return
        self.workers[worker] = worker_core.throttle(
            self.workers[worker],
            command.task_id,
            command.generation,
            command.share,
            self.world.now,
        )
        answered = ThrottleAnswered(
            worker_id=worker,
            task_key=command.task_key,
            generation=command.generation,
            share=command.share,
        )
        self.world.deliver(owner, answered if self._is_answering(worker) else lost)

    def usages_of(self, state: WorkerState) -> tuple[RunUsage, ...]:
        """Return the usages that a worker reports, delayed by the usage lag."""
        now = self.world.now
        at = now - worker_core.USAGE_LAG_S
        return tuple(
            RunUsage(
                task_id=run.start.task_id,
                generation=run.start.generation,
                processors_m=int(run.start.size.processors_m * run.share),
                memory_mb=run.start.size.memory_mb,
                latency_ms=worker_core.latency_ms(state, run, at)
                * self.latency_noise(at),
            )
            for run in worker_core.runs_with_usage(state, now)
        )

    @_handle_command.register
    def _(self, command: RequestReport, owner: RoleAddress) -> None:
        worker = command.worker_id
        unanswered = ReportUnanswered(
            worker_id=worker, requested_at=command.requested_at, problem=PROBLEM
        )
        if not self._reaches(owner, worker) or self.world.now > command.not_after:
            self._deliver(owner, unanswered)
            return
        renewals = tuple(
            Renew(task_id=r.task_id, generation=r.generation, lease_s=r.lease_s)
            for r in command.renewals
        )
        state = worker_core.renew(self.workers[worker], renewals, self.world.now)
        self.workers[worker] = state
        self.check_workers()
        reported = WorkerReported(
            worker_id=worker,
            requested_at=command.requested_at,
            runs=runs_of(state),
            usages=self.usages_of(state),
        )
        self._deliver(owner, reported if self._is_answering(worker) else unanswered)


def runs_of(state: WorkerState) -> tuple[RunReport, ...]:
    """Return the runs that a worker reports."""
    return tuple(
        RunReport(
            task_id=run.start.task_id,
            generation=run.start.generation,
            state=RunState(run.state.value),
            checkpoint=run.checkpoint,
            detail=run.detail,
        )
        for run in state.runs.rows()
    )


def failing(state: WorkerState, fails: bool) -> WorkerState:
    """Return a worker that fails all tasks it starts if `fails` is set."""
    return replace(state, fail_all=fails)
