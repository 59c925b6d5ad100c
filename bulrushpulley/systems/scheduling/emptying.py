"""Emptying the hosts of machines that are about to be taken down.

What can go on elsewhere is stopped, as far as the budgets of lasting steps allow; the
rest may finish until the wave would be late.
"""

from __future__ import annotations

from bulrushpulley.entities.jobs.host import Host, ServerState
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, TaskState, step_key
from bulrushpulley.entities.jobs.upkeep import DOWN_INDEX, Upkeep, Wave
from bulrushpulley.entities.resources import NO_RESOURCES
from bulrushpulley.systems.scheduling import advising, edits, stopping

# The part of a machine's share of the wave's time in which its runs may finish.
FINISH_FRACTION = 0.5


def host_of(tables: SchedulerTables, machine_id: str) -> Host | None:
    """Return the host of a machine, if its backend server is known."""
    machine = tables.upkeep.machines.get(machine_id)
    if machine is None or not machine.server_id:
        return None
    for host in tables.hosts.rows():
        if advising.server_of(host) == machine.server_id:
            return host
    return None


def closed_hosts(tables: SchedulerTables) -> frozenset[str]:
    """Return the hosts that take nothing new because of their upkeep."""
    hosts = (
        host_of(tables, upkeep.machine_id)
        for upkeep in tables.upkeep.upkeeps.rows_where("wave", DOWN_INDEX)
    )
    return frozenset(host.name for host in hosts if host is not None)


def empty_host(
    tables: SchedulerTables, wave: Wave, upkeep: Upkeep, host: Host, now: float
) -> SchedulerStep:
    """Stop the runs on a host that should not, or need not, finish there."""
    overdue = now - upkeep.since >= finish_timeout_s(wave)

    def should_stop(tables: SchedulerTables, task: Task) -> bool:
        spec = edits.step_of(tables, task)
        must_leave = spec.lasting or spec.checkpoints or overdue
        return must_leave and may_stop(tables, task)

    reason = "its machine is due for upkeep"
    return stopping.stop_selected(tables, host.name, should_stop, now, reason)


def has_room_elsewhere(tables: SchedulerTables, machine_id: str) -> bool:
    """Tell whether what runs on a machine finds room on hosts that stay open.

    Without that the first machine is emptied nonetheless, or no wave would get on.
    """
    leaving = host_of(tables, machine_id)
    closed = closed_hosts(tables)
    if leaving is None or is_empty(tables, leaving) or not closed:
        return True
    moving, free = leaving.committed, NO_RESOURCES
    for host in tables.hosts.rows():
        if host.name in closed:
            moving = moving.plus(host.committed)
        elif host.name != leaving.name and host.state is ServerState.READY:
            free = free.plus(host.free)
    return moving.fits(free)


def finish_timeout_s(wave: Wave) -> float:
    """Return how long runs on one machine of a wave may go on."""
    order = wave.order
    rounds = max(1, -(-len(order.machine_ids) // order.at_once))
    return FINISH_FRACTION * order.within_s / rounds


def may_stop(tables: SchedulerTables, task: Task) -> bool:
    """Tell whether the budget of a task's step allows that it goes away."""
    budget = edits.step_of(tables, task).disruption_budget
    if not budget or not task.startup_done:
        return True
    key = step_key(task.job_id, task.occurrence, task.step)
    away = sum(
        not (sibling.state is TaskState.RUNNING and sibling.startup_done)
        for sibling in tables.tasks.rows_where("open", key)
    )
    return away < budget


def is_empty(tables: SchedulerTables, host: Host) -> bool:
    """Tell whether nothing runs on a host."""
    return not tables.tasks.count_where("host", host.name)
