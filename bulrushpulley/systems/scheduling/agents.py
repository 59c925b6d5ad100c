"""Handles the links to agents and the items that agents send."""

from __future__ import annotations

from functools import partial, singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import (
    UNLINKED,
    Host,
    ServerState,
    host_of_peer,
)
from bulrushpulley.entities.jobs.items import (
    Adopt,
    Contact,
    EndsNoted,
    HostReport,
    JobItem,
    LifeEnded,
    Measures,
    RunRefused,
    RunsReport,
)
from bulrushpulley.entities.jobs.progress_commit import AcknowledgeEnd
from bulrushpulley.entities.jobs.runs import (
    RunEnd,
    RunRef,
    RunStatus,
    Stopped,
    ending_of,
)
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.task import (
    HOLDING_STATES,
    KEPT_STATES,
    Task,
    TaskState,
    job_id_of,
)
from bulrushpulley.entities.link import LinkDown, LinkUp, Send
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import (
    advising,
    comparing,
    confirming,
    draining,
    edits,
    endings,
    interference,
    ordering,
    quarantine,
    rebirths,
    refusals,
    setting_aside,
)

# Bounds the work of a job that is lost if all hosts fail together.
CHECKPOINT_SAVE_INTERVAL_S = 1.0
# The percentage that a lasting task reports once its startup is over.
STARTUP_DONE_PERCENT = 100


def handle_link_up(event: LinkUp, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Record the agent's process; an owner adopts it at its next tick."""
    name = host_of_peer(event.peer)
    host = tables.hosts.get(name) or Host(name=name)
    linked = replace(
        host,
        peer=event.peer,
        linked_at=now,
        contact_sent_at=None,
        silent=False,
        announced_epoch=0,
        synced=False,
        redials=0,
        sent_verdicts=None,
    )
    tables = replace(tables, books=tables.books.drop(name))
    return Step(tables=edits.put_host(tables, linked))


def handle_link_down(
    event: LinkDown, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Record that an agent is no longer linked; its runs are kept."""
    commands: list[Command] = []
    for host in tables.hosts.rows_where("peer", event.peer):
        tables = edits.put_host(
            tables, replace(host, peer="", synced=False, announced_epoch=0)
        )
        commands.append(edits.log(tables, "host.unlinked", host.name, "", event.peer))
    return Step(tables=tables, commands=tuple(commands))


def adopt(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Adopt the linked agents that this tenure has not adopted yet.

    A restarted agent does not know the epoch of its owner and follows any process that
    adopts it. An agent is therefore adopted only after a transaction that was sent
    later than its link was opened: a replaced owner, whose transactions conflict, would
    acknowledge ends and stop runs that its successor has ordered. The transaction must
    also be later than the read of the shard, so that the owner row tells the next owner
    that agents may have been adopted, and from which hosts none was.
    """
    if not edits.is_loaded(tables):
        return Step(tables=tables)
    commands: list[Command] = []
    for host in unadopted_hosts(tables):
        if not _is_ownership_confirmed(tables, host):
            continue
        adopted = replace(
            host,
            announced_epoch=tables.epoch,
            announced_at=now,
            adopted_at=host.adopted_at or now,
            adoptions=host.adoptions + 1,
            synced=False,
            sent_verdicts=None,
        )
        tables = comparing.restart(edits.put_host(tables, adopted), adopted, now)
        item = Adopt(epoch=tables.epoch, adoption=adopted.adoptions)
        commands.append(Send(peer=host.peer, item=item))
    return Step(tables=tables, commands=tuple(commands))


def unadopted_hosts(tables: SchedulerTables) -> list[Host]:
    """Return the hosts whose linked agents this tenure has not adopted."""
    adopted_by = f"{tables.epoch}"
    epochs = [
        epoch
        for epoch in sorted(tables.hosts.by_index["link"])
        if epoch not in (adopted_by, UNLINKED)
    ]
    return [host for epoch in epochs for host in tables.hosts.rows_where("link", epoch)]


def is_confirmation_due(tables: SchedulerTables) -> bool:
    """Return whether an agent waits for a transaction that confirms ownership."""
    return edits.is_loaded(tables) and any(
        not _is_ownership_confirmed(tables, host) for host in unadopted_hosts(tables)
    )


def _is_ownership_confirmed(tables: SchedulerTables, host: Host) -> bool:
    """Return whether a transaction was created after the link and the read shard."""
    owning = tables.leadership
    if not isinstance(owning, Owning):
        return False
    return owning.renewed_at > max(host.linked_at, owning.loaded_at)


def handle_item(event: JobItem, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Handle an item from an agent; items for another epoch are ignored."""
    hosts = tables.hosts.rows_where("peer", event.peer)
    if event.epoch != tables.epoch or not hosts or not edits.is_loaded(tables):
        return Step(tables=tables)
    return apply_item(event, hosts[0], tables, now)


@singledispatch
def apply_item(
    event: JobItem, host: Host, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle one kind of item; items meant for agents are ignored."""
    return Step(tables=tables)


@apply_item.register
def _(event: Contact, host: Host, tables: SchedulerTables, now: float) -> SchedulerStep:
    host = replace(
        host,
        last_contact_at=now,
        contact_sent_at=event.sent_at,
        silent=False,
        resumed_at=now if host.silent else host.resumed_at,
    )
    tables = edits.put_host(tables, host)
    confirmation = confirming.confirm_contact(tables, host, now)
    step = comparing.handle_books(tables, host, event.books, now)
    return replace(step, commands=(*confirmation, *step.commands))


@apply_item.register
def _(
    event: HostReport, host: Host, tables: SchedulerTables, now: float
) -> SchedulerStep:
    known = replace(
        host,
        failure_domain=event.failure_domain,
        life=event.life or host.life,
        service=event.service or host.service,
        state=event.state,
        capacity=event.capacity if event.life else host.capacity,
        labels=event.labels if event.life else host.labels,
        leaves_in_s=event.leaves_in_s,
        last_contact_at=now,
        synced=host.synced and event.life == host.life,
    )
    tables = replace(edits.put_host(tables, known), place_due=True)
    tables = comparing.handle_report(tables, known, event.digest)
    reason = f"incarnation {event.life}, leaves in {event.leaves_in_s:g} s"
    line = edits.log(tables, "host.state", host.name, event.state.value, reason)
    commands: tuple[Command, ...] = (line,)
    if known.life != host.life:
        server_id = advising.server_of(known)
        tables = advising.drop_tickets_of_server(tables, server_id)
    if event.life or event.state is ServerState.GONE:
        step = endings.end_runs_as_lost(
            tables,
            host.name,
            now,
            rebirths.LIFE_OVER,
            keep_incarnations=rebirths.incarnations_to_keep(tables, known, event.life),
        )
        tables, commands = step.tables, (*commands, *step.commands)
    if known.state is ServerState.DRAINING and host.state is not known.state:
        step = draining.drain_host(tables, known, now)
        tables, commands = step.tables, (*commands, *step.commands)
    return Step(tables=tables, commands=commands)


@apply_item.register
def _(
    event: LifeEnded, host: Host, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if host.life == event.life:
        tables = edits.put_server_gone(tables, host)
    line = edits.log(tables, "host.life", host.name, "ended", event.life)
    commands: list[Command] = [line]
    reason = "its backend server has ended"
    keep_incarnations = frozenset({host.life}) - {event.life}
    step = endings.end_runs_as_lost(
        tables, host.name, now, reason, keep_incarnations=keep_incarnations
    )
    tables = step.tables
    commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


@apply_item.register
def _(
    event: RunRefused, host: Host, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if event.unhealthy:
        tables = quarantine.record_refusal(tables, host.name, now)
    if event.adoption and event.adoption != host.adoptions:
        # The orders of the next adoption name the run, so it is refused again or runs.
        return Step(tables=tables)
    task = current_task(tables, host, event.life, event.run.task_id, event.run.run)
    if task is None:
        return Step(tables=tables)
    tables = refusals.handle_reason(tables, task, event.reason, now)
    line = edits.log(tables, "task.refused", task.task_id, host.name, event.reason)
    step = endings.end_run(tables, task, Stopped(), now)
    return Step(tables=step.tables, commands=(line, *step.commands))


apply_item.register(Measures, interference.handle_measures)


def current_task(
    tables: SchedulerTables, host: Host, incarnation: str, task_id: str, run: int
) -> Task | None:
    """Return the task if this is its current run and may be running on the host."""
    task = tables.tasks.get(task_id)
    if task is None or task.state not in HOLDING_STATES or task.run != run:
        return None
    return task if (task.host, task.life) == (host.name, incarnation) else None


@apply_item.register
def _(
    event: RunsReport, host: Host, tables: SchedulerTables, now: float
) -> SchedulerStep:
    commands: list[Command] = []
    if event.complete:
        commands.extend(comparing.name_runs(tables, host, event))
    if event.complete and event.life == host.life:
        step = rebirths.handle_complete_list(tables, host, event, now)
        tables = step.tables
        commands.extend(step.commands)
    for status in event.runs:
        apply = partial(
            _apply_run_status, host=host, incarnation=event.life, status=status, now=now
        )
        step = setting_aside.handle_job(tables, job_id_of(status.task_id), now, apply)
        tables = step.tables
        commands.extend(step.commands)
    for end in event.ends:
        apply = partial(
            _apply_run_end, host=host, incarnation=event.life, end=end, now=now
        )
        step = setting_aside.handle_job(tables, job_id_of(end.task_id), now, apply)
        tables = step.tables
        commands.extend(step.commands)
    if event.complete and event.life == host.life:
        step = _handle_complete_report(tables, host.name, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _apply_run_status(
    tables: SchedulerTables,
    *,
    host: Host,
    incarnation: str,
    status: RunStatus,
    now: float,
) -> SchedulerStep:
    task = current_task(tables, host, incarnation, status.task_id, status.run)
    if task is None:
        return Step(tables=tables)
    job = tables.jobs.by_key[task.job_id]
    if not job.started:
        tables = edits.put_job(tables, replace(job, started=True))
    if (
        status.checkpoint != task.checkpoint
        and now - job.checkpoints_saved_at >= CHECKPOINT_SAVE_INTERVAL_S
    ):
        current = tables.jobs.by_key[task.job_id]
        tables = edits.put_job(tables, replace(current, checkpoints_saved_at=now))
        tables = edits.mark_dirty(tables, task.job_id)
    just_started = task.state is TaskState.HELD
    updated = replace(
        task,
        state=TaskState.RUNNING if just_started else task.state,
        running_since=now if just_started else task.running_since,
        checkpoint=status.checkpoint or task.checkpoint,
        startup_done=status.percent >= STARTUP_DONE_PERCENT,
    )
    if updated != task:
        tables = edits.put_task(tables, updated)
    return Step(tables=tables)


def _apply_run_end(
    tables: SchedulerTables, *, host: Host, incarnation: str, end: RunEnd, now: float
) -> SchedulerStep:
    acknowledgement = AcknowledgeEnd(
        host=host.name, life=incarnation, number=end.number
    )
    task = current_task(tables, host, incarnation, end.task_id, end.run)
    if task is not None:
        ending = ending_of(end.how, end.checkpoint)
        ended_at = endings.reported_end_at(end, now)
        return endings.end_run(
            tables, task, ending, now, acknowledgement, ended_at=ended_at
        )
    job_id = job_id_of(end.task_id)
    if edits.is_unwritten(tables, job_id):
        return Step(tables=edits.mark_dirty(tables, job_id, acknowledgement))
    if job_id not in tables.jobs and not edits.has_compared_jobs(tables):
        # The load may have missed its job. The agent reports the end again.
        return Step(tables=tables)
    noted = EndsNoted(epoch=tables.epoch, life=incarnation, numbers=(end.number,))
    return Step(tables=tables, commands=(Send(peer=host.peer, item=noted),))


def _handle_complete_report(
    tables: SchedulerTables, name: str, now: float
) -> SchedulerStep:
    """Answer a complete list with all runs that may be there; others are stopped."""
    known = tables.hosts.by_key[name]
    host = replace(known, synced=True, synced_adoption=known.adoptions)
    tables = replace(edits.put_host(tables, host), place_due=True)
    held = [
        task for task in tables.tasks.rows_where("host", name) if task.life == host.life
    ]
    stops = tuple(
        RunRef(task_id=task.task_id, run=task.run)
        for task in held
        if task.state is TaskState.STOPPING
    )
    starts = tuple(
        ordering.run_order_for(tables, task)
        for task in held
        if task.state in KEPT_STATES
    )
    reason = f"{len(starts)} runs kept, {len(stops)} stopped"
    line = edits.log(tables, "host.synced", name, host.life, reason)
    ordered = ordering.send(
        tables, host, host.life, start=starts, stop=stops, complete=True
    )
    return Step(tables=ordered.tables, commands=(line, *ordered.commands))
