"""Empties the hosts of machines that are about to be taken down for upkeep.

Tasks that can resume elsewhere are stopped, as far as the disruption budgets of their
steps allow. Others may finish, until the wave would miss its time limit. Meanwhile a
job that would stand still otherwise may use the host.
"""

from __future__ import annotations

from bulrushpulley.entities.jobs.host import Host, ServerState
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import Task, TaskState, step_key
from bulrushpulley.entities.jobs.upkeep import DOWN_INDEX, Upkeep, UpkeepPhase, Wave
from bulrushpulley.entities.resources import NO_RESOURCES
from bulrushpulley.systems.scheduling import advising, edits, stopping

# The fraction of a machine's share of the wave's time in which its runs may finish.
FINISH_FRACTION = 0.5


def host_of(tables: SchedulerTables, machine_id: str) -> Host | None:
    """Return the host of a machine, if its backend server is known."""
    machine = tables.machines.machines.get(machine_id)
    if machine is None or not machine.server_id:
        return None
    for host in tables.hosts.rows():
        if advising.server_of(host) == machine.server_id:
            return host
    return None


def closed_hosts(tables: SchedulerTables) -> frozenset[str]:
    """Return the hosts that accept no new tasks because of their upkeep."""
    hosts = (
        host_of(tables, upkeep.machine_id)
        for upkeep in tables.upkeep.upkeeps.rows_where("wave", DOWN_INDEX)
    )
    return frozenset(host.name for host in hosts if host is not None)


def last_resorts(tables: SchedulerTables, now: float) -> frozenset[str]:
    """Return the closed hosts on which runs may still finish.

    They take the tasks of a job that has nothing running and fits on no open host.
    """
    hosts = (
        host_of(tables, upkeep.machine_id)
        for upkeep in tables.upkeep.upkeeps.rows_where("wave", DOWN_INDEX)
        if upkeep.phase is UpkeepPhase.EMPTYING
        and not is_overdue(tables.upkeep.waves.by_key[str(upkeep.wave)], upkeep, now)
    )
    return frozenset(host.name for host in hosts if host is not None)


def is_overdue(wave: Wave, upkeep: Upkeep, now: float) -> bool:
    """Return whether all runs on a host that is being emptied have to stop."""
    return now - upkeep.since >= finish_timeout_s(wave)


def empty_host(
    tables: SchedulerTables, wave: Wave, upkeep: Upkeep, host: Host, now: float
) -> SchedulerStep:
    """Stop the runs that can resume elsewhere, and after `finish_timeout_s` all runs.

    Disruption budgets are respected in both cases.
    """
    overdue = is_overdue(wave, upkeep, now)

    def should_stop(tables: SchedulerTables, task: Task) -> bool:
        must_leave = overdue or _can_resume_elsewhere(tables, upkeep, host, task)
        return must_leave and may_stop(tables, task)

    reason = "its machine is due for upkeep"
    return stopping.stop_selected(tables, host.name, should_stop, now, reason)


def _can_resume_elsewhere(
    tables: SchedulerTables, upkeep: Upkeep, host: Host, task: Task
) -> bool:
    """Return whether a task loses little if it is stopped and placed again.

    One that has come since the host was closed did not fit elsewhere, and would return.
    """
    step = edits.step_of(tables, task)
    if not (step.lasting or step.checkpoints):
        return False
    return task.since < upkeep.since or _has_room(tables, host.service, step)


def _has_room(tables: SchedulerTables, service: str, step: StepSpec) -> bool:
    """Return whether an open host of a service has room for a task of a step."""
    closed = closed_hosts(tables)
    return any(
        step.committed.fits(host.free)
        and (not step.needs_label or step.needs_label in host.labels)
        for host in tables.hosts.rows()
        if host.service == service
        and host.name not in closed
        and host.synced
        and host.state is ServerState.READY
    )


def leaves_open_host(tables: SchedulerTables, machine_id: str) -> bool:
    """Return whether a service keeps an open host when the one of a machine closes.

    The answer is true for the only host of a service.
    """
    leaving = host_of(tables, machine_id)
    if leaving is None:
        return True
    others = [
        host.name
        for host in tables.hosts.rows()
        if host.service == leaving.service
        and host.name != leaving.name
        and host.synced
        and host.state is ServerState.READY
    ]
    return not others or not closed_hosts(tables).issuperset(others)


def has_room_elsewhere(
    tables: SchedulerTables, machine_id: str, *, required: bool
) -> bool:
    """Return whether the tasks on a machine fit on the hosts that stay open.

    Unless the room is `required`, the answer is always true while no other machine is
    down, because otherwise a wave might never make progress.
    """
    leaving = host_of(tables, machine_id)
    if leaving is None or is_empty(tables, leaving):
        return True
    closed = closed_hosts(tables)
    if not closed and not required:
        return True
    moving, free = leaving.committed, NO_RESOURCES
    for host in tables.hosts.rows():
        if host.name in closed:
            moving = moving.plus(host.committed)
        elif host.name != leaving.name and host.state is ServerState.READY:
            free = free.plus(host.free)
    return moving.fits(free)


def finish_timeout_s(wave: Wave) -> float:
    """Return how long runs on one machine of a wave may continue before they stop."""
    order = wave.order
    rounds = max(1, -(-len(order.machine_ids) // order.at_once))
    return FINISH_FRACTION * order.within_s / rounds


def may_stop(tables: SchedulerTables, task: Task) -> bool:
    """Return whether the disruption budget of a task's step allows stopping it."""
    budget = edits.step_of(tables, task).disruption_budget
    if not budget or not task.startup_done:
        return True
    key = step_key(task.job_id, task.occurrence, task.step)
    unavailable = sum(
        not (sibling.state is TaskState.RUNNING and sibling.startup_done)
        for sibling in tables.tasks.rows_where("open", key)
    )
    return unavailable < budget


def is_empty(tables: SchedulerTables, host: Host) -> bool:
    """Return whether a host has no tasks."""
    return not tables.tasks.count_where("host", host.name)
