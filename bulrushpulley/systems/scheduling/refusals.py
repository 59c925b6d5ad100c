"""Remembers which hosts refused a task, so that it is tried on other hosts first.

A host counts until a short time after the last refusal by any host, and only in the
incarnation that refused the task: if each counted for that time by itself, a task would
return to the first hosts before it has tried the last. A host is tried again if no
other fits, after a delay that grows with each refusal, because refused starts have a
price. The memory ends with the tenure.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.candidate import Candidate
from bulrushpulley.entities.jobs.host import server_of_incarnation
from bulrushpulley.entities.jobs.refusal import Refusal
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.task import Task, step_key
from bulrushpulley.systems.scheduling import advising, quarantine

# Longer than the longest retry delay and a refused start together.
REFUSAL_MEMORY_S = 6.0
# More hosts than refuse starts at a time; beyond it, the first are forgotten.
MAX_REFUSALS = 64
MIN_REFUSED_RETRY_DELAY_S = 0.4
MAX_REFUSED_RETRY_DELAY_S = 1.6


def with_refusal(task: Task, now: float) -> Task:
    """Return a task that remembers a refusal by the host of its current run."""
    remembered = _remembered(task, now)
    count = 1
    for known in remembered:
        if (known.host, known.life) == (task.host, task.life):
            count = known.count + 1
    others = [known for known in remembered if known.host != task.host]
    refusal = Refusal(host=task.host, life=task.life, at=now, count=count)
    return replace(task, refusals=(*others, refusal)[-MAX_REFUSALS:])


def merged(tasks: Iterable[Task]) -> tuple[Refusal, ...]:
    """Return the refusals of the members of a gang, the latest of each host."""
    refusals = [refusal for task in tasks for refusal in task.refusals]
    refusals.sort(key=lambda refusal: (refusal.at, refusal.count))
    latest_by_host = {refusal.host: refusal for refusal in refusals}
    latest = sorted(latest_by_host.values(), key=lambda refusal: refusal.at)
    return tuple(latest[-MAX_REFUSALS:])


def refusing_hosts(
    task: Task, candidate_by_host: Mapping[str, Candidate], now: float
) -> tuple[frozenset[str], frozenset[str]]:
    """Return the hosts that refused a task, and those of them not to be retried yet."""
    refusing = [
        refusal
        for refusal in _remembered(task, now)
        if refusal.host in candidate_by_host
        and candidate_by_host[refusal.host].host.life == refusal.life
    ]
    delayed = [
        refusal.host for refusal in refusing if now - refusal.at < _delay_s(refusal)
    ]
    return frozenset(refusal.host for refusal in refusing), frozenset(delayed)


def _remembered(task: Task, now: float) -> tuple[Refusal, ...]:
    """Return the refusals of a task, none if the last was too long ago."""
    last_at = max((refusal.at for refusal in task.refusals), default=now)
    return task.refusals if now - last_at < REFUSAL_MEMORY_S else ()


def _delay_s(refusal: Refusal) -> float:
    delay_s = MIN_REFUSED_RETRY_DELAY_S
    for _ in range(refusal.count - 1):
        delay_s *= 2
        if delay_s >= MAX_REFUSED_RETRY_DELAY_S:
            return MAX_REFUSED_RETRY_DELAY_S
    return delay_s


def handle_reason(
    tables: SchedulerTables, task: Task, reason: str, now: float
) -> SchedulerTables:
    """Apply what a refusal for a reason says about more than the task on its host."""
    handle = HANDLER_BY_REASON.get(reason)
    return tables if handle is None else handle(tables, task, now)


def _drop_ticket(tables: SchedulerTables, task: Task, now: float) -> SchedulerTables:
    key = step_key(task.job_id, task.occurrence, task.step)
    server_id = server_of_incarnation(task.life)
    return advising.drop_refused_ticket(tables, key, server_id)


def _quarantine(tables: SchedulerTables, task: Task, now: float) -> SchedulerTables:
    return quarantine.record_refusal(tables, task.host, now)


# Other reasons concern the task on that host alone.
HANDLER_BY_REASON: Mapping[
    str, Callable[[SchedulerTables, Task, float], SchedulerTables]
] = {"ticket": _drop_ticket, "fence": _quarantine}
