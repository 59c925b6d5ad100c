"""Decides what an operator's call changes, given the current record.

`plan` is pure: it returns the row to write with the conditions and writes that must
commit with it, or that the record is already in force, or a refusal.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.backlog import CLOSING_MARKER, backlog_key
from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.commit import Condition, VersionedRow, Write
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.records import (
    FailureDomainRecord,
    JobRecord,
    Record,
    ServiceRecord,
)
from bulrushpulley.entities.rows import BacklogRow, RecordRow, TaskClass, TaskSpec
from bulrushpulley.errors import Code, Problem
from bulrushpulley.systems.control.records import record_key, record_row

CHANGE_STEP = "controller.change"
CHECK_STEP = "records.check"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedChange:
    """A row to commit under the conditions, together with further writes."""

    row: RecordRow
    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class AlreadyInForce:
    """The requested record is already in force."""

    row: RecordRow


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """The call cannot be carried out."""

    problem: Problem


Plan = PlannedChange | AlreadyInForce | Refusal


def problem(
    detail: str, code: Code, field: str = "", step: str = CHANGE_STEP
) -> Problem:
    """Describe why a call is not carried out."""
    return Problem(code=code, step=step, peer="self", detail=detail, field=field)


def conflict(row: RecordRow) -> Problem:
    """Describe the existing record that a call conflicts with."""
    detail = (
        f"{row.kind}/{row.record.name} stands at revision {row.revision}, "
        f"written by {row.author}"
    )
    return problem(detail, Code.CONFLICT)


def key_of(call: ops.OperatorCall) -> str:
    """Return the key of the record that a call changes."""
    return _key_of(call)


@singledispatch
def _key_of(call: ops.OperatorCall) -> str:
    raise NotImplementedError(type(call).__name__)


@_key_of.register(ops.SubmitRecord)
@_key_of.register(ops.AmendRecord)
def _(call: ops.SubmitRecord | ops.AmendRecord) -> str:
    return record_key(call.kind, call.record.name)


@_key_of.register
def _(call: ops.CancelJob) -> str:
    return record_key("job", call.job)


@_key_of.register
def _(call: ops.ChangeDomain) -> str:
    return record_key("failure_domain", call.failure_domain)


@singledispatch
def plan(
    call: ops.OperatorCall, current: VersionedRow | None, tables: ControllerTables
) -> Plan:
    """Plan a call against the current record row, if there is one."""
    raise NotImplementedError(type(call).__name__)


@plan.register
def _(
    call: ops.SubmitRecord, current: VersionedRow | None, tables: ControllerTables
) -> Plan:
    existing = record_row(current)
    if existing is not None and _is_same(existing, call):
        return AlreadyInForce(row=existing)
    if existing is not None:
        return Refusal(problem=conflict(existing))
    return _refuse_if_too_large(call, call.record, tables) or _plan_new(
        call.record, _new_row(call, tables)
    )


@plan.register
def _(
    call: ops.AmendRecord, current: VersionedRow | None, tables: ControllerTables
) -> Plan:
    existing = record_row(current)
    if existing is None:
        return _not_found(key_of(call))
    if call.kind == "job":
        detail = "a job is not amended; cancel it and submit another"
        return Refusal(problem=problem(detail, Code.INVALID, "kind"))
    if _is_same(existing, call):
        return AlreadyInForce(row=existing)
    if call.expected_revision not in (0, existing.revision):
        return Refusal(problem=conflict(existing))
    if call.schema_version < existing.schema_version:
        detail = (
            f"the record stands in schema version {existing.schema_version}; "
            f"version {call.schema_version} would drop its newer keys"
        )
        refused = problem(detail, Code.SCHEMA_VERSION, "schema_version")
        return Refusal(problem=refused)
    refusal = _refuse_if_too_large(call, call.record, tables)
    return refusal or _plan_amended(
        call.record, existing.record, _new_row(call, tables)
    )


@plan.register
def _(
    call: ops.CancelJob, current: VersionedRow | None, tables: ControllerTables
) -> Plan:
    existing = record_row(current)
    if existing is None or not isinstance(existing.record, JobRecord):
        return _not_found(key_of(call))
    if existing.record.cancelled:
        return AlreadyInForce(row=existing)
    job = replace(existing.record, cancelled=True)
    row = replace(existing, record=job, author=call.author)
    marker = backlog_key(job.name, CLOSING_MARKER)
    closing = BacklogRow(spec=job_spec(job), count=job.tasks)
    return PlannedChange(
        row=row,
        conditions=(Condition(key=marker, version=0),),
        writes=(Write(key=marker, row=closing),),
    )


@plan.register
def _(
    call: ops.ChangeDomain, current: VersionedRow | None, tables: ControllerTables
) -> Plan:
    existing = record_row(current)
    if existing is None or not isinstance(existing.record, FailureDomainRecord):
        return _not_found(key_of(call))
    if existing.record.state is call.state:
        return AlreadyInForce(row=existing)
    if call.expected_revision not in (0, existing.revision):
        return Refusal(problem=conflict(existing))
    record = replace(existing.record, state=call.state)
    revision = tables.last_revision + 1
    row = replace(existing, record=record, author=call.author, revision=revision)
    return PlannedChange(row=row)


def _is_same(existing: RecordRow, call: ops.SubmitRecord | ops.AmendRecord) -> bool:
    return (existing.record, existing.schema_version) == (
        call.record,
        call.schema_version,
    )


def _not_found(key: str) -> Refusal:
    return Refusal(problem=problem(f"there is no {key}", Code.NOT_FOUND))


def _new_row(
    call: ops.SubmitRecord | ops.AmendRecord, tables: ControllerTables
) -> RecordRow:
    increment = 0 if call.kind == "job" else 1
    return RecordRow(
        kind=call.kind,
        schema_version=call.schema_version,
        record=call.record,
        author=call.author,
        revision=tables.last_revision + increment,
    )


def _refuse_if_too_large(
    call: ops.OperatorCall, record: Record, tables: ControllerTables
) -> Refusal | None:
    sized = _sized_record(record)
    if sized is None or not tables.fleet.capacities_by_cell:
        return None
    if tables.fleet.could_hold(sized.size, sized.failure_domains):
        return None
    detail = "no allowed worker of the known cells could ever hold it"
    return Refusal(problem=problem(detail, Code.INVALID, "size", CHECK_STEP))


@singledispatch
def _sized_record(record: Record) -> JobRecord | ServiceRecord | None:
    return None


@_sized_record.register(JobRecord)
@_sized_record.register(ServiceRecord)
def _(record: JobRecord | ServiceRecord) -> JobRecord | ServiceRecord:
    return record


def job_spec(job: JobRecord) -> TaskSpec:
    """Return the spec of a job's first task.

    The version of the record is not known before it commits, so it is 0 here;
    `current_spec` sets it.
    """
    return TaskSpec(
        kind="job",
        record_version=0,
        job=job.name,
        index=0,
        department=job.department,
        task_class=TaskClass.BATCH,
        size=job.size,
        run_s=job.run_s,
        priority=job.priority,
        urgent=job.urgent,
        max_attempts=job.max_attempts,
        failure_domains=job.failure_domains,
    )


def service_spec(service: ServiceRecord, index: int) -> TaskSpec:
    """Return the spec of the replica at `index`; for its version see `job_spec`."""
    return TaskSpec(
        kind="service",
        record_version=0,
        job=service.name,
        index=index,
        department=service.department,
        task_class=TaskClass.LATENCY_CRITICAL,
        size=service.size,
        run_s=0.0,
        failure_domains=service.failure_domains,
    )


@singledispatch
def _plan_new(record: Record, row: RecordRow) -> PlannedChange:
    return PlannedChange(row=row)


@_plan_new.register
def _(record: JobRecord, row: RecordRow) -> PlannedChange:
    backlog = BacklogRow(spec=job_spec(record), count=record.tasks)
    return _with_tasks(row, record_key("service", record.name), backlog)


@_plan_new.register
def _(record: ServiceRecord, row: RecordRow) -> PlannedChange:
    backlog = BacklogRow(spec=service_spec(record, 0), count=record.replicas)
    return _with_tasks(row, record_key("job", record.name), backlog)


def _with_tasks(
    row: RecordRow, other_kind_key: str, backlog: BacklogRow
) -> PlannedChange:
    """Plan a new record with its tasks; no record of the other kind may share its name.

    Jobs and services use the same keys for their tasks.
    """
    key = backlog_key(backlog.spec.job, backlog.spec.index)
    no_closing = no_closing_conditions(backlog.spec.job)
    absence_conditions = (Condition(key=other_kind_key, version=0), *no_closing)
    if backlog.count == 0:
        return PlannedChange(row=row, conditions=absence_conditions)
    return PlannedChange(
        row=row,
        conditions=(*absence_conditions, Condition(key=key, version=0)),
        writes=(Write(key=key, row=backlog),),
    )


@singledispatch
def _plan_amended(record: Record, before: Record, row: RecordRow) -> PlannedChange:
    return PlannedChange(row=row)


@_plan_amended.register
def _(record: ServiceRecord, before: ServiceRecord, row: RecordRow) -> PlannedChange:
    """Add the missing replicas, or start closing the surplus ones.

    Both require that all replicas closed by an earlier reduction have ended, so that
    an index never runs twice.
    """
    if record.replicas == before.replicas:
        return PlannedChange(row=row)
    marker = backlog_key(record.name, CLOSING_MARKER)
    no_closing = no_closing_conditions(record.name)
    first, last = sorted((record.replicas, before.replicas))
    backlog = BacklogRow(spec=service_spec(record, first), count=last - first)
    if record.replicas < before.replicas:
        return PlannedChange(
            row=row,
            conditions=no_closing,
            writes=(Write(key=marker, row=backlog),),
        )
    key = backlog_key(record.name, first)
    return PlannedChange(
        row=row,
        conditions=(*no_closing, Condition(key=key, version=0)),
        writes=(Write(key=key, row=backlog),),
    )


def no_closing_conditions(name: str) -> tuple[Condition, ...]:
    """Require that no tasks of an earlier record of the name are still ending."""
    return (Condition(key=backlog_key(name, CLOSING_MARKER), version=0),)
