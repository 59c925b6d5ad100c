"""Reports changes to the owner of the shard, and the full state to a new owner."""

from __future__ import annotations

from collections.abc import Iterator

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.books import Books, digest_of_runs
from bulrushpulley.entities.jobs.bounds import CONTACT_INTERVAL_S
from bulrushpulley.entities.jobs.items import (
    Contact,
    FillingMeasure,
    HostReport,
    Measures,
    RunsReport,
    ServingMeasure,
)
from bulrushpulley.entities.jobs.job_agent_tables import (
    Asked,
    JobAgentStep,
    JobAgentTables,
    Run,
    RunPhase,
)
from bulrushpulley.entities.jobs.runs import RunStatus
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.resources import NO_RESOURCES
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import edits

# Checkpoints are needed only when the host is lost, so slightly old ones suffice.
CHECKPOINT_REPORT_INTERVAL_S = 1.0
# Only bounds how often an owner hears of runs that began; it need not know at once.
BEGUN_REPORT_INTERVAL_S = 0.4
# Latencies are measured over half a second.
MEASURE_INTERVAL_S = 0.5


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Send the state of the host, changed runs and ends, measures, and contacts.

    The owner compares its books with those of a contact, so contacts come last.
    """
    if not tables.owner:
        return Step(tables=tables)
    commands: list[Command] = []
    for send_due in (_report_host, _report_runs, _send_measures, _send_contact):
        step = send_due(tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _send_contact(tables: JobAgentTables, now: float) -> JobAgentStep:
    if now - tables.contact_sent_at < CONTACT_INTERVAL_S:
        return Step(tables=tables)
    contact = Contact(epoch=tables.epoch, sent_at=now, books=_books(tables, now))
    tables = replace(tables, contact_sent_at=now)
    return Step(tables=tables, commands=(Send(peer=tables.owner, item=contact),))


def _books(tables: JobAgentTables, now: float) -> Books:
    server, report = tables.server, tables.last_host_report
    runs = b""
    if server is not None and server.listed and tables.orders_complete:
        runs = digest_of_runs(
            kept=_keys_asked(tables, Asked.KEEP),
            stopped=_keys_asked(tables, Asked.STOP),
        )
    first_end = min(tables.ends, default=0)
    oldest_end_s = now - tables.end_listed_at.get(first_end, now)
    return Books(
        adoption=tables.adoption,
        orders=tables.orders,
        misses_orders=tables.misses_orders,
        runs=runs,
        host=report.digest if report is not None else b"",
        ends=len(tables.ends),
        oldest_end_s=oldest_end_s,
        first_end=first_end,
        verdicts=tables.verdicts,
    )


def _keys_asked(tables: JobAgentTables, asked: Asked) -> Iterator[str]:
    return (run_.key for run_ in tables.runs.rows() if run_.asked is asked)


def _report_host(tables: JobAgentTables, now: float) -> JobAgentStep:
    report = host_report(tables)
    before = tables.last_host_report
    if before is not None and replace(before, leaves_in_s=0.0) == replace(
        report, leaves_in_s=0.0
    ):
        return Step(tables=tables)
    tables = replace(tables, last_host_report=report)
    return Step(tables=tables, commands=(Send(peer=tables.owner, item=report),))


def host_report(tables: JobAgentTables) -> HostReport:
    """Return the known state of the host and its backend server."""
    server = tables.server
    return HostReport(
        epoch=tables.epoch,
        host=tables.host,
        failure_domain=tables.failure_domain,
        life=server.life if server else "",
        service=server.service if server else "",
        state=tables.server_state,
        capacity=server.capacity if server else NO_RESOURCES,
        labels=server.labels if server else (),
        leaves_in_s=server.leaves_in_s if server else 0.0,
    )


def _report_runs(tables: JobAgentTables, now: float) -> JobAgentStep:
    server = tables.server
    if server is None or not server.listed:
        return Step(tables=tables)
    complete = not tables.synced
    if complete and any(_is_barred(run_) for run_ in tables.runs.rows()):
        # The list has to show whether one has begun on this incarnation after all.
        return Step(tables=tables)
    # Runs that only began share a report, or that of an end.
    is_report_due = now - tables.runs_reported_at >= BEGUN_REPORT_INTERVAL_S
    reports_begun = complete or is_report_due or _has_new_end(tables)
    statuses: list[RunStatus] = []
    for run_ in tables.runs.rows():
        if run_.reported is None and not reports_begun:
            continue
        if run_.status is not None and (complete or _is_report_due(run_, now)):
            statuses.append(run_.status)
            reported = replace(run_, reported=run_.status, reported_at=now)
            tables = edits.put_run(tables, reported)
    sent = 0 if complete else tables.last_end_sent
    ends = tuple(
        edits.with_age(tables, tables.ends[number], now)
        for number in sorted(tables.ends)
        if number > sent
    )
    if not statuses and not ends and not complete:
        return Step(tables=tables)
    item = RunsReport(
        epoch=tables.epoch,
        life=server.life,
        runs=tuple(statuses),
        ends=ends,
        complete=complete,
    )
    last = ends[-1].number if ends else tables.last_end_sent
    tables = replace(
        tables,
        synced=True,
        last_end_sent=max(last, tables.last_end_sent),
        runs_reported_at=now,
    )
    return Step(tables=tables, commands=(Send(peer=tables.owner, item=item),))


def _is_barred(run_: Run) -> bool:
    """Return whether a run of a former incarnation is kept from starting here."""
    return run_.order is None and run_.phase in (RunPhase.STARTING, RunPhase.BARRED)


def _has_new_end(tables: JobAgentTables) -> bool:
    return any(number > tables.last_end_sent for number in tables.ends)


def _send_measures(tables: JobAgentTables, now: float) -> JobAgentStep:
    server = tables.server
    if server is None or now - tables.measures_sent_at < MEASURE_INTERVAL_S:
        return Step(tables=tables)
    runs = tables.runs.rows_where("phase", RunPhase.RUNNING.value)
    serving: list[ServingMeasure] = []
    units_by_image: dict[str, float] = {}
    unit_m = max(1.0, server.capacity.processors_m / 10)
    for run_ in runs:
        if run_.order is None or run_.status is None:
            continue
        order, measure = run_.order, run_.status.measure
        if order.target_ms > 0.0:
            serving.append(
                ServingMeasure(
                    image=order.image, latency_ms=measure, target_ms=order.target_ms
                )
            )
        elif order.disturbs:
            units = units_by_image.get(order.image, 0.0) + measure / unit_m
            units_by_image[order.image] = units
    tables = replace(tables, measures_sent_at=now)
    if not serving:
        return Step(tables=tables)
    filling = tuple(
        FillingMeasure(image=image, units=round(units, 2))
        for image, units in units_by_image.items()
    )
    item = Measures(epoch=tables.epoch, serving=tuple(serving), filling=filling)
    return Step(tables=tables, commands=(Send(peer=tables.owner, item=item),))


def _is_report_due(run_: Run, now: float) -> bool:
    if run_.reported is None or run_.status is None:
        return True
    if (run_.reported.percent < 100) != (run_.status.percent < 100):
        return True
    if run_.reported.checkpoint == run_.status.checkpoint:
        return False
    return now - run_.reported_at >= CHECKPOINT_REPORT_INTERVAL_S
