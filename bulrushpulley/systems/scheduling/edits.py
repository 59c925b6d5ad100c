"""Changes to and reads of the scheduler's tables that several systems make.

Every change of a task goes through `put_task`, which also updates the committed
capacity of its host, so that no system can forget to reserve or release it.
"""

from __future__ import annotations

from collections.abc import Mapping
from itertools import chain

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import HeldImage, Host, ServerState
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.progress_commit import Effect
from bulrushpulley.entities.jobs.rows import JOBS
from bulrushpulley.entities.jobs.scheduler_tables import Owning, SchedulerTables
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import HOLDING_STATES, Task, TaskState
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.table import Table


def is_loaded(tables: SchedulerTables) -> bool:
    """Return whether this process owns the shard and has read all its rows."""
    leadership = tables.leadership
    return isinstance(leadership, Owning) and not leadership.loading


def has_compared_jobs(tables: SchedulerTables) -> bool:
    """Return whether all jobs have been compared with the store since the load."""
    state = tables.reread_by_table.get(JOBS)
    return state is not None and state.page >= 0


def step_of(tables: SchedulerTables, task: Task) -> StepSpec:
    """Return the step that a task belongs to."""
    return tables.jobs.by_key[task.job_id].step(task.step)


def service_of(tables: SchedulerTables, job: Job) -> str:
    """Return the service of the job's queue.

    If the queue no longer exists, it is the service at the time of acceptance.
    """
    queue = tables.operator_settings.queue(job.row.queue)
    return queue.service if queue is not None else job.row.service


def put_task(tables: SchedulerTables, task: Task) -> SchedulerTables:
    """Store a task and update the committed capacity of the hosts concerned."""
    before = tables.tasks.get(task.task_id)
    spec = step_of(tables, task)
    hosts = tables.hosts
    moved = before is None or before.host != task.host
    held = before is not None and before.state in HOLDING_STATES
    holds = task.state in HOLDING_STATES
    if before is not None and held and (moved or not holds):
        hosts = _with_committed(hosts, before.host, spec, -1)
    if holds and (moved or not held):
        hosts = _with_committed(hosts, task.host, spec, 1)
    freed = held and not holds
    return replace(
        tables,
        tasks=tables.tasks.put(task.task_id, task),
        hosts=hosts,
        place_due=tables.place_due or freed or task.state is TaskState.WAITING,
    )


def _with_committed(
    hosts: Table[Host], name: str, spec: StepSpec, sign: int
) -> Table[Host]:
    host = hosts.get(name) or Host(name=name)
    amount = spec.committed
    committed = (
        host.committed.plus(amount) if sign > 0 else host.committed.minus(amount)
    )
    filling_m = spec.size.processors_m if spec.fills else 0
    lasting_m = amount.processors_m if spec.lasting else 0
    filling_mb = amount.memory_mb if spec.fills else 0
    lasting_mb = amount.memory_mb if spec.lasting else 0
    return hosts.put(
        name,
        replace(
            host,
            committed=committed,
            filling_m=host.filling_m + sign * filling_m,
            lasting_m=host.lasting_m + sign * lasting_m,
            filling_mb=host.filling_mb + sign * filling_mb,
            lasting_mb=host.lasting_mb + sign * lasting_mb,
            images=_with_image(host.images, spec, sign) if spec.image else host.images,
        ),
    )


def _with_image(
    images: Mapping[str, HeldImage], spec: StepSpec, sign: int
) -> Mapping[str, HeldImage]:
    held = images.get(spec.image)
    count = (held.count if held else 0) + sign
    processors_m = (held.processors_m if held else 0) + sign * spec.size.processors_m
    if not count:
        return {image: other for image, other in images.items() if image != spec.image}
    updated = HeldImage(
        count=count, processors_m=processors_m, target_ms=spec.latency_target_ms
    )
    return {**images, spec.image: updated}


def with_counted_room(tables: SchedulerTables, host: Host) -> Host:
    """Return a host with what its tasks hold, counted anew."""
    empty = replace(
        host,
        committed=NO_RESOURCES,
        filling_m=0,
        lasting_m=0,
        filling_mb=0,
        lasting_mb=0,
        images={},
    )
    counted: Table[Host] = Table.empty()
    counted = counted.put(host.name, empty)
    for task_id in tables.tasks.keys_where("host", host.name):
        spec = step_of(tables, tables.tasks.by_key[task_id])
        counted = _with_committed(counted, host.name, spec, 1)
    return counted.by_key[host.name]


def counted_committed(tables: SchedulerTables, host: str) -> Resources:
    """Return the resources that the tasks on a host hold, counted anew."""
    processors_m = memory_mb = accelerators = 0
    for task_id in tables.tasks.keys_where("host", host):
        amount = step_of(tables, tables.tasks.by_key[task_id]).committed
        processors_m += amount.processors_m
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return Resources(
        processors_m=processors_m, memory_mb=memory_mb, accelerators=accelerators
    )


def put_job(tables: SchedulerTables, job: Job) -> SchedulerTables:
    """Store a job."""
    return replace(tables, jobs=tables.jobs.put(job.job_id, job))


def put_host(tables: SchedulerTables, host: Host) -> SchedulerTables:
    """Store a host."""
    return replace(tables, hosts=tables.hosts.put(host.name, host))


def put_server_gone(tables: SchedulerTables, host: Host) -> SchedulerTables:
    """Record that the backend server of a host has ended."""
    gone = replace(host, state=ServerState.GONE, life="", synced=False)
    return put_host(tables, gone)


def mark_dirty(
    tables: SchedulerTables, job_id: str, *effects: Effect
) -> SchedulerTables:
    """Schedule a write of a job's progress, and the effects to apply after it.

    A job keeps its turn until it is written, however often it changes.
    """
    waiting = (*tables.effects_by_job.get(job_id, ()), *effects)
    effects_by_job = tables.effects_by_job.set(job_id, waiting)
    if job_id in tables.turn_by_job:
        return replace(tables, effects_by_job=effects_by_job)
    turn = tables.turns + 1
    return replace(
        tables,
        effects_by_job=effects_by_job,
        turn_by_job=tables.turn_by_job.set(job_id, turn),
        turns=turn,
    )


def deferred_effects(tables: SchedulerTables, job_id: str) -> tuple[Effect, ...]:
    """Return the effects of a job that are to be applied once it is written."""
    batches = tables.commit.batches if tables.commit is not None else ()
    submitted = (batch.effects_by_job.get(job_id, ()) for batch in batches)
    return (*chain.from_iterable(submitted), *tables.effects_by_job.get(job_id, ()))


def is_unwritten(tables: SchedulerTables, job_id: str) -> bool:
    """Return whether a job has changes that are not durable yet."""
    in_flight = tables.commit is not None and job_id in tables.commit.job_ids
    return in_flight or job_id in tables.effects_by_job


def is_settled(tables: SchedulerTables, job: Job) -> bool:
    """Return whether a job's end is durable and none of its tasks can still run."""
    return (
        job.is_final
        and not is_unwritten(tables, job.job_id)
        and not tables.tasks.count_where("job", job.job_id)
    )


def log(
    tables: SchedulerTables, kind: str, subject: str, chosen: str, reason: str
) -> Decision:
    """Return the log line of a decision, with the epoch and revision it is based on."""
    return Decision(
        kind=kind,
        subject=subject,
        chosen=chosen,
        reason=reason,
        revision=tables.operator_settings.revision,
        epoch=tables.epoch,
    )
