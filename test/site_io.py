"""Carries out the commands of a `Site` over the cores of the stand-ins."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from bulrushpulley.entities.calls import AnswerCall, RefuseCall
from bulrushpulley.entities.cell_owner_tables import CellOwnerDone
from bulrushpulley.entities.commit import ReportTo
from bulrushpulley.entities.execution import (
    BackendAnswered,
    CheckBackend,
    HealthChecked,
    RunOnBackend,
)
from bulrushpulley.entities.guard_tables import GuardDone
from bulrushpulley.entities.link import LinkEvent, Send
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.operations import Reject, Reply
from bulrushpulley.entities.router_tables import RouterDone
from bulrushpulley.entities.step import Command, Tell
from bulrushpulley.entities.transactions import (
    Fence,
    ReadFailed,
    ReadRows,
    RowsRead,
    Transact,
    TransactionCommitted,
    TransactionConflicted,
    TransactionLost,
    TransactionRefused,
)
from bulrushpulley.entities.worker_calls import (
    ReportUnanswered,
    RequestReport,
    Started,
    StartNotSent,
    StartTask,
    StartUnknown,
    StopAnswered,
    StopTask,
    StopUnanswered,
    WorkerReported,
)
from bulrushpulley.errors import Code, Problem
from bulrushpulley.wire.rows import encode_row
from standins import table_core, worker_core
from standins.table_core import Put, Stored, Transaction, VersionCondition
from standins.worker_core import Renew, Start
from test.cell_bench import runs_of
from test.control_bench import versioned
from test.site import CAPACITY, MAX_START_AFTER_DRAIN_S, WORKERS, Site, describe_answer
from test.virtual_world import Path, RoleAddress

PROBLEM = Problem(code=Code.UNAVAILABLE, step="fake", peer="fake", detail="fake")
BACKEND_DELAY_S = 0.05
WORKER_DELAY_S = 0.002
LOST_ANSWER_TIMEOUT_S = 1.0
STORE_ANSWER_DELAY_S = 0.001


@singledispatch
def carry_out(command: Command, site: Site, address: RoleAddress) -> None:
    """Carry out a command; commands without a handler, such as counts, are ignored."""


@carry_out.register
def _(command: Decision, site: Site, address: RoleAddress) -> None:
    site.decisions[command.kind] += 1


@carry_out.register
def _(command: Send, site: Site, address: RoleAddress) -> None:
    item: Any = command.item
    site.send(address.process, command.peer, item)


@carry_out.register
def _(command: Tell, site: Site, address: RoleAddress) -> None:
    target = RoleAddress(process=address.process, role=command.role)
    site.world.deliver(target, command.event)


@carry_out.register
def _(command: ReportTo, site: Site, address: RoleAddress) -> None:
    target = RoleAddress(process=address.process, role=command.origin)
    if target in site.world.roles:
        site.world.deliver(target, command.outcome)
        return
    outcome: Any = command.outcome
    send_outcome(site, address.process, command.origin, outcome)


def send_outcome(site: Site, source: str, peer: str, outcome: Any) -> None:
    """Send an outcome over a link; only link items have a field for the peer."""
    if isinstance(outcome, LinkEvent):
        site.send(source, peer, outcome)
        return
    target = site.process_by_incarnation.get(peer, "")
    number = site.links.get((source, target))
    if number is None or (source, target) in site.cut_links:
        return
    for delay_s in site.world.delays(site.path):
        site.world.at(
            delay_s,
            lambda: (
                site.deliver_to_process(target, outcome)
                if site.links.get((source, target)) == number
                else None
            ),
        )


# Answers to callers and operators, and roles that have finished.


@carry_out.register(AnswerCall)
@carry_out.register(RefuseCall)
def _(command: AnswerCall | RefuseCall, site: Site, address: RoleAddress) -> None:
    answers = site.answers.setdefault(command.call_id, [])
    answers.append(command)
    if len(answers) > 1:
        site.record_violation(f"call {command.call_id} was answered twice")
    request_id = site.calls[command.call_id].request_id
    outcome = describe_answer(command)
    if outcome.startswith("answered") and outcome != f"answered done {request_id}":
        site.record_violation(
            f"call {command.call_id} got another call's answer: {outcome}"
        )


@carry_out.register(Reply)
@carry_out.register(Reject)
def _(command: Reply | Reject, site: Site, address: RoleAddress) -> None:
    site.replies[command.call_id] = command


@carry_out.register(GuardDone)
@carry_out.register(RouterDone)
@carry_out.register(CellOwnerDone)
def _(command: Command, site: Site, address: RoleAddress) -> None:
    site.finished_roles.add((address.process, address.role))


# Backend servers.


@carry_out.register
def _(command: RunOnBackend, site: Site, address: RoleAddress) -> None:
    site.runs[command.request_id] += 1
    if site.runs[command.request_id] > 1:
        site.record_violation(f"request {command.request_id} ran twice")
    event = BackendAnswered(
        execution_id=command.execution_id, status=200, body=b"done " + command.body
    )
    site.world.deliver(address, event, Path(delay_s=BACKEND_DELAY_S))


@carry_out.register
def _(command: CheckBackend, site: Site, address: RoleAddress) -> None:
    site.world.deliver(address, HealthChecked(healthy=True), Path(delay_s=0.001))


# The table service.


@carry_out.register
def _(command: Transact, site: Site, address: RoleAddress) -> None:
    ids: dict[str, Any] = {
        "lane": command.lane,
        "transaction_id": command.transaction_id,
    }
    if site.store_mode == "down":
        refused = TransactionRefused(**ids, reason="down")
        site.world.deliver(address, refused, Path(delay_s=STORE_ANSWER_DELAY_S))
        return
    answers_lost = site.store_mode == "lose_answers"
    store_delay_s = site.store_delay_s
    lost = TransactionLost(**ids, reason="no answer")
    if answers_lost or store_delay_s >= command.timeout_s:
        site.world.deliver(address, lost, Path(delay_s=command.timeout_s))

    def arrive() -> None:
        event = commit(command, site)
        if not answers_lost and store_delay_s < command.timeout_s:
            site.world.deliver(address, event, Path(delay_s=STORE_ANSWER_DELAY_S))

    site.world.at(store_delay_s, arrive)


def commit(command: Transact, site: Site) -> Any:
    """Commit a transaction in the store and return the outcome for its sender."""
    ids: dict[str, Any] = {
        "lane": command.lane,
        "transaction_id": command.transaction_id,
    }
    fence = command.fence
    conditions = [
        VersionCondition(key=c.key, version=c.version) for c in command.conditions
    ]
    conditions.append(VersionCondition(key=fence.key, version=fence.version))
    puts = [Put(key=fence.key, value=command.transaction_id.encode())]
    for write in command.writes:
        value = None if write.row is None else encode_row(write.row, write.token)
        puts.append(Put(key=write.key, value=value))
    transaction = Transaction(conditions=tuple(conditions), puts=tuple(puts))
    result = table_core.commit(site.store, transaction)
    if result.committed:
        check_commit(command, site)
        site.store = result.state
        return TransactionCommitted(**ids, revision=result.revision)
    rows = [row for row in result.conflicting_rows if row.key != fence.key]
    fence_rows = [row for row in result.conflicting_rows if row.key == fence.key]
    return TransactionConflicted(
        **ids,
        rows=tuple(versioned(row) for row in rows),
        fence=fence_of(fence_rows[0]) if fence_rows else None,
    )


def fence_of(row: Stored) -> Fence:
    """Return the fence that a row of the store holds."""
    token = (row.value or b"").decode()
    return Fence(key=row.key, version=row.version, token=token)


def check_commit(command: Transact, site: Site) -> None:
    """Check that no task outcome is overwritten; note the times of committed drains."""
    for write in command.writes:
        if write.key.startswith("done/") and site.row(write.key) is not None:
            site.record_violation(f"task outcome written twice: {write.key}")
        if write.key.startswith("record/failure_domain/"):
            row: Any = write.row
            name = row.record.name
            site.drained_at.pop(name, None)
            if row.record.state.value == "drained":
                site.drained_at[name] = site.world.now


@carry_out.register
def _(command: ReadRows, site: Site, address: RoleAddress) -> None:
    failed = ReadFailed(read_id=command.read_id, reason="store")
    if site.store_mode == "down":
        site.world.deliver(address, failed, Path(delay_s=STORE_ANSWER_DELAY_S))
        return
    if site.store_delay_s >= command.timeout_s:
        site.world.deliver(address, failed, Path(delay_s=command.timeout_s))
        return

    def arrive() -> None:
        page = table_core.read(
            site.store, prefix=command.prefix, since=command.since, limit=10**6
        )
        rows = tuple(versioned(row) for row in page.rows)
        event = RowsRead(read_id=command.read_id, revision=page.revision, rows=rows)
        site.world.deliver(address, event, Path(delay_s=STORE_ANSWER_DELAY_S))

    site.world.at(site.store_delay_s, arrive)


# Workers.


def check_workers(site: Site) -> None:
    """Check that no two runs of a task overlap and no worker exceeds its capacity."""
    site.advance()
    running_tasks: list[str] = []
    for name, state in site.workers.items():
        if not worker_core.running_size(state).fits(CAPACITY):
            site.record_violation(f"{name} is over its capacity")
        running_tasks += [
            run.start.task_id
            for run in state.runs.rows()
            if run.state is worker_core.RunState.RUNNING
            and name not in site.dead_workers
        ]
    for task in sorted(
        {task for task in running_tasks if running_tasks.count(task) > 1}
    ):
        site.record_violation(f"{task} runs twice at once")


@carry_out.register
def _(command: StartTask, site: Site, address: RoleAddress) -> None:
    worker = command.worker_id
    ids: dict[str, Any] = {
        "worker_id": worker,
        "task_key": command.task_key,
        "generation": command.generation,
    }
    if site.world.now > command.not_after or worker in site.dead_workers:
        site.world.deliver(address, StartNotSent(problem=PROBLEM, **ids))
        return
    start = Start(
        task_id=command.task_id,
        generation=command.generation,
        lease_s=command.lease_s,
        run_s=command.run_s,
        size=command.size,
        checkpoint=command.checkpoint,
    )

    def arrive() -> None:
        if worker in site.dead_workers:
            return
        drained_at = site.drained_at.get(WORKERS[worker])
        if (
            drained_at is not None
            and site.world.now > drained_at + MAX_START_AFTER_DRAIN_S
        ):
            site.record_violation(
                f"{command.task_id} started in a drained failure domain"
            )
        if site.row(f"done/{command.task_id}") is not None:
            site.record_violation(f"{command.task_id} started again after its outcome")
        state = site.workers[worker]
        site.workers[worker] = worker_core.start(state, start, site.world.now)
        check_workers(site)
        deliver_answer(site, address, worker, Started(**ids))

    site.world.at(WORKER_DELAY_S, arrive)
    lost = StartUnknown(problem=PROBLEM, **ids)
    report_lost_answer(site, address, worker, lost)


@carry_out.register
def _(command: StopTask, site: Site, address: RoleAddress) -> None:
    worker = command.worker_id
    unanswered = StopUnanswered(worker_id=worker, problem=PROBLEM)
    if site.world.now > command.not_after or worker in site.dead_workers:
        site.world.deliver(address, unanswered, Path(delay_s=WORKER_DELAY_S))
        return
    site.advance()
    site.workers[worker] = worker_core.stop(
        site.workers[worker],
        command.task_id,
        command.generation,
        command.checkpoint,
        site.world.now,
    )
    deliver_answer(site, address, worker, StopAnswered(worker_id=worker))
    report_lost_answer(site, address, worker, unanswered)


@carry_out.register
def _(command: RequestReport, site: Site, address: RoleAddress) -> None:
    worker = command.worker_id
    unanswered = ReportUnanswered(
        worker_id=worker, requested_at=command.requested_at, problem=PROBLEM
    )
    if site.world.now > command.not_after or worker in site.dead_workers:
        site.world.deliver(address, unanswered, Path(delay_s=WORKER_DELAY_S))
        return
    site.advance()
    renewals = tuple(
        Renew(task_id=r.task_id, generation=r.generation, lease_s=r.lease_s)
        for r in command.renewals
    )
    state = worker_core.renew(site.workers[worker], renewals, site.world.now)
    site.workers[worker] = state
    check_workers(site)
    reported = WorkerReported(
        worker_id=worker, requested_at=command.requested_at, runs=runs_of(state)
    )
    deliver_answer(site, address, worker, reported)
    report_lost_answer(site, address, worker, unanswered)


def deliver_answer(site: Site, address: RoleAddress, worker: str, event: Any) -> None:
    """Deliver a worker's answer to the owner, unless the worker's answers are lost."""
    if worker not in site.lossy_workers:
        site.world.deliver(address, event, Path(delay_s=WORKER_DELAY_S))


def report_lost_answer(
    site: Site, address: RoleAddress, worker: str, event: Any
) -> None:
    """Report a timeout to the owner if the worker's answers are lost."""
    if worker in site.lossy_workers:
        site.world.deliver(address, event, Path(delay_s=LOST_ANSWER_TIMEOUT_S))
