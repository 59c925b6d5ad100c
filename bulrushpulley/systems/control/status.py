"""Builds the status reply from the controller's tables and the rows read for it."""

from __future__ import annotations

from collections import Counter, defaultdict

from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.outcome import indexes_of, state_of
from bulrushpulley.entities.pending import Enquiry
from bulrushpulley.entities.records import (
    FailureDomainRecord,
    JobRecord,
    ServiceRecord,
)
from bulrushpulley.entities.resources import NO_RESOURCES
from bulrushpulley.entities.rows import RecordRow, TaskState
from bulrushpulley.entities.status import (
    AgentStatus,
    CellStatus,
    DomainStatus,
    JobStatus,
    MemberStatus,
    ServiceStatus,
    Status,
)
from bulrushpulley.systems.control.explain import waiting_reason
from bulrushpulley.systems.control.members import live_entries
from bulrushpulley.systems.control.offers import SUMMARY_TIMEOUT_S
from bulrushpulley.systems.control.records import record_row

MAX_EXPLAINED_ROWS = 4


def status_of(enquiry: Enquiry, tables: ControllerTables, now: float) -> Status:
    """Return the state of the system as this entry sees it."""
    fresh_after = now - SUMMARY_TIMEOUT_S
    return Status(
        call_id=enquiry.call.call_id,
        revision=tables.revision,
        members=_members(tables),
        agents=_agents(tables),
        cells=_cells(tables, fresh_after),
        services=_services(tables),
        jobs=_jobs(enquiry.rows, tables, now),
        failure_domains=_domains(tables),
        incomplete=enquiry.failed,
    )


def _members(tables: ControllerTables) -> tuple[MemberStatus, ...]:
    live = live_entries(tables)
    return tuple(
        MemberStatus(
            name=member.row.name,
            incarnation=member.row.incarnation,
            region=member.row.region,
            live=member.row.name in live,
            applied_revision=member.row.applied_revision,
        )
        for member in tables.members.rows()
    )


def _agents(tables: ControllerTables) -> tuple[AgentStatus, ...]:
    announcements = [link.announced for link in tables.links.rows()]
    return tuple(
        AgentStatus(
            agent=announced.agent,
            incarnation=announced.incarnation,
            region=announced.region,
            failure_domain=announced.failure_domain,
            service=announced.service,
            leaving=announced.leaving,
            applied_revision=announced.applied_revision,
        )
        for announced in announcements
        if announced is not None
    )


def _cells(tables: ControllerTables, fresh_after: float) -> tuple[CellStatus, ...]:
    return tuple(
        _cell(tables, name, domain, fresh_after)
        for domain, names in sorted(tables.fleet.cells_by_domain.items())
        for name in names
    )


def _cell(
    tables: ControllerTables, name: str, domain: str, fresh_after: float
) -> CellStatus:
    view = tables.cells.get(name)
    summary = view.summary if view is not None else None
    return CellStatus(
        cell=name,
        failure_domain=domain,
        owner=summary.owner if summary else "",
        epoch=summary.epoch if summary else 0,
        fresh=view is not None
        and summary is not None
        and view.last_summary_at > fresh_after,
        free=summary.free if summary else NO_RESOURCES,
        waiting=summary.waiting if summary else 0,
        running=summary.running if summary else 0,
    )


def _rows_of_kind(tables: ControllerTables, kind: str) -> list[RecordRow]:
    rows = (record_row(row) for row in tables.records.rows_where("kind", kind))
    return [row for row in rows if row is not None]


def _waiting_task_count(tables: ControllerTables, job: str) -> int:
    return sum(row.row.count for row in tables.waiting.rows_where("job", job))


def _services(tables: ControllerTables) -> tuple[ServiceStatus, ...]:
    return tuple(
        ServiceStatus(
            name=row.record.name,
            department=row.record.department,
            schema_version=row.schema_version,
            revision=row.revision,
            replicas=row.record.replicas,
            waiting=_waiting_task_count(tables, row.record.name),
        )
        for row in _rows_of_kind(tables, "service")
        if isinstance(row.record, ServiceRecord)
    )


def _domains(tables: ControllerTables) -> tuple[DomainStatus, ...]:
    return tuple(
        DomainStatus(
            name=row.record.name,
            region=row.record.region,
            state=row.record.state,
            revision=row.revision,
            author=row.author,
        )
        for row in _rows_of_kind(tables, "failure_domain")
        if isinstance(row.record, FailureDomainRecord)
    )


def _jobs(
    rows: tuple[VersionedRow, ...], tables: ControllerTables, now: float
) -> tuple[JobStatus, ...]:
    done_by_job: dict[str, Counter[TaskState]] = defaultdict(Counter)
    for row in rows:
        if row.key.startswith("done/"):
            counts = done_by_job[row.key.split("/")[1]]
            counts[state_of(row.row)] += len(indexes_of(row.row))
    jobs = [
        existing.record for row in rows if (existing := record_row(row)) is not None
    ]
    return tuple(
        _job(tables, job, done_by_job[job.name], now)
        for job in jobs
        if isinstance(job, JobRecord)
    )


def _job(
    tables: ControllerTables, job: JobRecord, done: Counter[TaskState], now: float
) -> JobStatus:
    waiting = _waiting_task_count(tables, job.name)
    ended = sum(done.values())
    rows = tables.waiting.rows_where("job", job.name)[:MAX_EXPLAINED_ROWS]
    reasons = {waiting_reason(tables, row, now) for row in rows}
    return JobStatus(
        name=job.name,
        department=job.department,
        tasks=job.tasks,
        waiting=waiting,
        held=max(0, job.tasks - waiting - ended),
        finished=done[TaskState.FINISHED],
        failed=done[TaskState.FAILED],
        cancelled=done[TaskState.CANCELLED],
        cancelled_by_operator=job.cancelled,
        note="; ".join(sorted(reasons)),
    )
