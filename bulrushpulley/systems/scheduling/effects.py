"""Effects that are applied once the progress they depend on is durable."""

from __future__ import annotations

from collections import defaultdict
from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host, ServerState
from bulrushpulley.entities.jobs.items import EndsNoted
from bulrushpulley.entities.jobs.progress_commit import (
    AcknowledgeEnd,
    Commit,
    Effect,
    SendStart,
)
from bulrushpulley.entities.jobs.runs import Lost, RunOrder, Stopped
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import edits, endings, ordering


def apply_effects(
    effects: tuple[Effect, ...], tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Apply effects in order; the orders to one host are sent in one item."""
    commands: list[Command] = []
    orders_by_host: dict[str, list[RunOrder]] = defaultdict(list)
    end_numbers_by_incarnation: dict[tuple[str, str], list[int]] = defaultdict(list)
    for effect in effects:
        step = apply_effect(effect, tables, now)
        tables = step.tables
        for command in step.commands:
            commands.append(command)
        _collect_messages(effect, tables, orders_by_host, end_numbers_by_incarnation)
    for name, orders in orders_by_host.items():
        host = tables.hosts.by_key[name]
        ordered = ordering.send(tables, host, host.life, start=tuple(orders))
        tables = ordered.tables
        commands.extend(ordered.commands)
    for (name, incarnation), numbers in end_numbers_by_incarnation.items():
        peer = tables.hosts.by_key[name].peer
        noted = EndsNoted(epoch=tables.epoch, life=incarnation, numbers=tuple(numbers))
        if peer:
            commands.append(Send(peer=peer, item=noted))
    return Step(tables=tables, commands=tuple(commands))


@singledispatch
def apply_effect(effect: Effect, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Apply one effect to the tables; by default they do not change."""
    return Step(tables=tables)


@apply_effect.register
def _(effect: SendStart, tables: SchedulerTables, now: float) -> SchedulerStep:
    task = tables.tasks.get(effect.task_id)
    if task is None or task.run != effect.run or task.state is not TaskState.PLACED:
        return Step(tables=tables)
    host = tables.hosts.by_key[task.host]
    if tables.jobs.by_key[task.job_id].is_final:
        return endings.end_run(tables, task, Stopped(), now)
    if not may_start(tables, host, task):
        ending = Lost(reason="its host became unavailable before the order was sent")
        return endings.end_run(tables, task, ending, now)
    held = replace(task, state=TaskState.HELD, since=now)
    return Step(tables=edits.put_task(tables, held))


def may_start(tables: SchedulerTables, host: Host, task: Task) -> bool:
    """Return whether a placed task may start; its host may have changed meanwhile.

    No order can be sent to a host that is not synced, and none has been.
    """
    return (
        host.life == task.life
        and host.synced
        and host.state is ServerState.READY
        and host.failure_domain not in tables.operator_settings.evacuated
    )


@singledispatch
def _collect_messages(
    effect: Effect,
    tables: SchedulerTables,
    orders_by_host: dict[str, list[RunOrder]],
    end_numbers_by_incarnation: dict[tuple[str, str], list[int]],
) -> None:
    """Collect the messages that an effect has to send; none by default."""


@_collect_messages.register
def _(
    effect: SendStart,
    tables: SchedulerTables,
    orders_by_host: dict[str, list[RunOrder]],
    end_numbers_by_incarnation: dict[tuple[str, str], list[int]],
) -> None:
    task = tables.tasks.get(effect.task_id)
    if task is None or task.run != effect.run or task.state is not TaskState.HELD:
        return
    host = tables.hosts.by_key[task.host]
    if host.peer and host.synced:
        orders_by_host[host.name].append(ordering.run_order_for(tables, task))


@_collect_messages.register
def _(
    effect: AcknowledgeEnd,
    tables: SchedulerTables,
    orders_by_host: dict[str, list[RunOrder]],
    end_numbers_by_incarnation: dict[tuple[str, str], list[int]],
) -> None:
    end_numbers_by_incarnation[(effect.host, effect.life)].append(effect.number)


def log_retry(tables: SchedulerTables, commit: Commit, reason: str) -> Decision:
    """Return the log line of a transaction that is retried."""
    subject = f"sequence {commit.row.sequence}"
    return edits.log(
        tables, "commit.retry", subject, f"attempt {commit.attempts}", reason
    )
