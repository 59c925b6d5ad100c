"""Compares the owner's books of each host with those of its agent.

A contact follows all that the agent has reported, so once the agent has handled all
orders, both must name the same runs. What is in flight agrees by the next contact; a
difference that outlasts it means that a message was lost or not handled.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.books import Books, HostBooks, digest_of_runs
from bulrushpulley.entities.jobs.bounds import CONTACT_INTERVAL_S
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.progress_commit import AcknowledgeEnd, Effect
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import KEPT_STATES, Task, TaskState
from bulrushpulley.entities.observe import Observe
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.exponential_backoff import exponential_delay_s
from bulrushpulley.systems.scheduling import edits, ordering

# Less than the time between two contacts, so that the second one in a row counts.
SETTLE_TIMEOUT_S = 0.9 * CONTACT_INTERVAL_S
# An end is acknowledged once a transaction has made it durable.
END_ACKNOWLEDGEMENT_TIMEOUT_S = 1.0
MIN_REPORT_INTERVAL_S = 1.5
MAX_REPORT_INTERVAL_S = 12.0


def restart(tables: SchedulerTables, host: Host, now: float) -> SchedulerTables:
    """Begin to count orders anew for an adoption; a known difference is kept."""
    known = ordering.books_of(tables, host.name)
    fresh = replace(known, orders=0, due_orders=0, due_at=now, report=b"")
    return ordering.put_books(tables, fresh)


def handle_report(
    tables: SchedulerTables, host: Host, report: bytes
) -> SchedulerTables:
    """Record the digest of the last report of a host."""
    known = ordering.books_of(tables, host.name)
    return ordering.put_books(tables, replace(known, report=report))


def handle_books(
    tables: SchedulerTables, host: Host, theirs: Books | None, now: float
) -> SchedulerStep:
    """Compare the books that came with a contact, and report a lasting difference."""
    is_current = host.announced_epoch == tables.epoch
    if theirs is None or not is_current or theirs.adoption != host.adoptions:
        return Step(tables=tables)
    ours = ordering.books_of(tables, host.name)
    difference = find_difference(tables, host, ours, theirs, now)
    if now - ours.due_at >= SETTLE_TIMEOUT_S:
        ours = replace(ours, due_orders=ours.orders, due_at=now)
    if difference is None:
        return Step(tables=ordering.put_books(tables, ours))
    if not difference:
        return _agree(tables, ours, now)
    since = now if ours.differ_since is None else ours.differ_since
    ours = replace(ours, differ_since=since, difference=difference)
    has_settled = now - since >= SETTLE_TIMEOUT_S and now >= ours.report_at
    if not has_settled:
        return Step(tables=ordering.put_books(tables, ours))
    return _report(tables, ours, theirs, now)


def find_difference(
    tables: SchedulerTables, host: Host, ours: HostBooks, theirs: Books, now: float
) -> str | None:
    """Return what differs, or an empty text; None if messages may be in flight."""
    if theirs.misses_orders or (
        theirs.orders < ours.due_orders and now - ours.due_at >= SETTLE_TIMEOUT_S
    ):
        return "orders"
    if theirs.host != ours.report:
        return "host"
    if not host.synced or theirs.orders != ours.orders or not theirs.runs:
        return None
    if theirs.runs != runs_digest(tables, host):
        return "runs"
    is_overdue = theirs.oldest_end_s > END_ACKNOWLEDGEMENT_TIMEOUT_S
    if is_overdue and not _is_acknowledgement_due(tables, host):
        return "ends"
    return ""


def runs_digest(tables: SchedulerTables, host: Host) -> bytes:
    """Return the digest of the runs that have been ordered on a host."""
    tasks = _tasks_on(tables, host)
    return digest_of_runs(
        kept=(task.run_key for task in tasks if task.state in KEPT_STATES),
        stopped=(task.run_key for task in tasks if task.state is TaskState.STOPPING),
    )


def _tasks_on(tables: SchedulerTables, host: Host) -> list[Task]:
    tasks = tables.tasks.rows_where("host", host.name)
    return [task for task in tasks if task.life == host.life]


def _is_acknowledgement_due(tables: SchedulerTables, host: Host) -> bool:
    """Return whether a transaction has still to make an end of the host durable."""
    deferred = [*tables.effects_by_job.values()]
    if tables.commit is not None:
        for batch in tables.commit.batches:
            deferred.extend(batch.effects_by_job.values())
    return any(
        _acknowledges(effect, host) for effects in deferred for effect in effects
    )


def _acknowledges(effect: Effect, host: Host) -> bool:
    return isinstance(effect, AcknowledgeEnd) and effect.host == host.name


def _agree(tables: SchedulerTables, ours: HostBooks, now: float) -> SchedulerStep:
    commands: list[Command] = []
    if ours.differ_since is not None:
        lasted_s = now - ours.differ_since
        if ours.reports:
            reason = f"after {lasted_s:.2f} s"
            commands.append(
                edits.log(tables, "books.agree", ours.host, ours.difference, reason)
            )
        commands.append(_observation(ours, lasted_s))
    ours = replace(ours, differ_since=None, difference="", reports=0, report_at=0.0)
    return Step(tables=ordering.put_books(tables, ours), commands=tuple(commands))


def _report(
    tables: SchedulerTables, ours: HostBooks, theirs: Books, now: float
) -> SchedulerStep:
    delay_s = exponential_delay_s(
        min_delay_s=MIN_REPORT_INTERVAL_S,
        max_delay_s=MAX_REPORT_INTERVAL_S,
        doublings=ours.reports,
    )
    age_s = now - (now if ours.differ_since is None else ours.differ_since)
    reason = (
        f"for {age_s:.2f} s; the agent handled {theirs.orders} of {ours.orders} orders"
        f" of adoption {theirs.adoption}, and holds {theirs.ends} ends, the first for"
        f" {theirs.oldest_end_s:.1f} s"
    )
    line = edits.log(tables, "books.differ", ours.host, ours.difference, reason)
    observation = _observation(ours, age_s)
    ours = replace(ours, reports=ours.reports + 1, report_at=now + delay_s)
    tables = ordering.put_books(tables, ours)
    return Step(tables=tables, commands=(line, observation))


def _observation(ours: HostBooks, age_s: float) -> Observe:
    return Observe(name="books_differ_seconds", seconds=age_s, label=ours.difference)
