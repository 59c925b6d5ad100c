"""Drains backend servers that are leaving, while tasks can still save their state."""

from __future__ import annotations

from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.systems.scheduling import edits, stopping


def drain_host(tables: SchedulerTables, host: Host, now: float) -> SchedulerStep:
    """Stop tasks that can resume elsewhere or cannot finish before the host leaves."""

    def should_stop(tables: SchedulerTables, task: Task) -> bool:
        spec = edits.step_of(tables, task)
        if spec.lasting or spec.checkpoints:
            return True
        started_at = task.running_since or now
        return spec.estimate_s - (now - started_at) > host.leaves_in_s

    reason = "its backend server is leaving"
    return stopping.stop_selected(tables, host.name, should_stop, now, reason)
