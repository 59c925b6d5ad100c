"""Mutants that lose a message or a row, or mistake a state, now and then."""

from __future__ import annotations

from scripts.mutant import JOB_AGENT, SCHEDULING, Mutant, Replacement

MESSAGE_MUTANTS = (
    Mutant(
        name="end-missed",
        fault="the owner misses the report of one end in 60, once",
        path=f"{SCHEDULING}/agents.py",
        replacements=(
            Replacement(
                old="from functools import partial, singledispatch\n",
                new="import zlib\nfrom functools import partial, singledispatch\n",
            ),
            Replacement(
                old="STARTUP_DONE_PERCENT = 100\n",
                new="STARTUP_DONE_PERCENT = 100\nMISSED: set[str] = set()\n",
            ),
            Replacement(
                old="""\
    acknowledgement = AcknowledgeEnd(
""",
                new="""\
    if zlib.crc32(end.key.encode()) % 60 == 0 and end.key not in MISSED:
        MISSED.add(end.key)
        return Step(tables=tables)
    acknowledgement = AcknowledgeEnd(
""",
            ),
        ),
    ),
    Mutant(
        name="order-missed",
        fault="the agent misses one order to start in 60, once",
        path=f"{JOB_AGENT}/owner_orders.py",
        replacements=(
            Replacement(
                old="from bulrushpulley.entities.changing import replace\n",
                new="""\
import zlib

from bulrushpulley.entities.changing import replace
""",
            ),
            Replacement(
                old="NEVER_CONTACTED_AT_S = -60.0\n",
                new="NEVER_CONTACTED_AT_S = -60.0\nMISSED: set[str] = set()\n",
            ),
            Replacement(
                old="""\
    ref = RunRef(task_id=order.task_id, run=order.run)
""",
                new="""\
    if zlib.crc32(order.key.encode()) % 60 == 0 and order.key not in MISSED:
        MISSED.add(order.key)
        return tables
    ref = RunRef(task_id=order.task_id, run=order.run)
""",
            ),
        ),
    ),
    Mutant(
        name="job-missed",
        fault="the owner misses one accepted job in 40, once, when it watches",
        path=f"{SCHEDULING}/accepting.py",
        replacements=(
            Replacement(
                old="from functools import singledispatch\n",
                new="import zlib\nfrom functools import singledispatch\n",
            ),
            Replacement(
                old="MAX_JOB_AGE_S = 120.0\n",
                new="MAX_JOB_AGE_S = 120.0\nMISSED: set[str] = set()\n",
            ),
            Replacement(
                old="""\
    age_s = max(0.0, now + tables.wall_offset_s - row.accepted_at_s)
""",
                new="""\
    chosen = zlib.crc32(row.job_id.encode()) % 40 == 0
    if chosen and "jobs" in tables.watch_by_table and row.job_id not in MISSED:
        MISSED.add(row.job_id)
        return Step(tables=tables)
    age_s = max(0.0, now + tables.wall_offset_s - row.accepted_at_s)
""",
            ),
        ),
    ),
    Mutant(
        name="job-unloaded",
        fault="a new owner misses one accepted job in 40, when it loads the shard",
        path=f"{SCHEDULING}/accepting.py",
        replacements=(
            Replacement(
                old="from functools import singledispatch\n",
                new="import zlib\nfrom functools import singledispatch\n",
            ),
            Replacement(
                old="""\
    age_s = max(0.0, now + tables.wall_offset_s - row.accepted_at_s)
""",
                new="""\
    chosen = zlib.crc32(row.job_id.encode()) % 40 == 0
    if chosen and "jobs" not in tables.watch_by_table:
        return Step(tables=tables)
    age_s = max(0.0, now + tables.wall_offset_s - row.accepted_at_s)
""",
            ),
        ),
    ),
    Mutant(
        name="end-unacknowledged",
        fault="the owner never acknowledges one end in 60",
        path=f"{SCHEDULING}/agents.py",
        replacements=(
            Replacement(
                old="from functools import partial, singledispatch\n",
                new="import zlib\nfrom functools import partial, singledispatch\n",
            ),
            Replacement(
                old="""\
        return endings.end_run(
            tables, task, ending, now, acknowledgement, ended_at=ended_at
        )
    job_id = job_id_of(end.task_id)
""",
                new="""\
        if zlib.crc32(end.key.encode()) % 60 == 0:
            return endings.end_run(tables, task, ending, now, ended_at=ended_at)
        return endings.end_run(
            tables, task, ending, now, acknowledgement, ended_at=ended_at
        )
    if zlib.crc32(end.key.encode()) % 60 == 0:
        return Step(tables=tables)
    job_id = job_id_of(end.task_id)
""",
            ),
        ),
    ),
    Mutant(
        name="state-mistaken",
        fault="a new owner takes one done task in 20 for one that runs, once",
        path=f"{SCHEDULING}/restoring.py",
        replacements=(
            Replacement(
                old="from collections import Counter\n",
                new="import zlib\nfrom collections import Counter\n",
            ),
            Replacement(
                old="MAX_STEPS_PER_LINE = 8\n",
                new="""\
MAX_STEPS_PER_LINE = 8
MISTAKEN: set[str] = set()
LAST_HOLDERS: list[TaskProgress] = []
""",
            ),
            Replacement(
                old="""\
    return replace(
        task,
        state=_restored_state(stored, task.state),
""",
                new="""\
    if stored.host:
        LAST_HOLDERS[:] = [stored]
    chosen = stored.done and zlib.crc32(task.task_id.encode()) % 20 == 0
    if chosen and LAST_HOLDERS and task.task_id not in MISTAKEN:
        MISTAKEN.add(task.task_id)
        return replace(
            task,
            state=TaskState.RUNNING,
            run=stored.run,
            failures=stored.failures,
            host=LAST_HOLDERS[0].host,
            life=LAST_HOLDERS[0].life,
        )
    return replace(
        task,
        state=_restored_state(stored, task.state),
""",
            ),
        ),
    ),
    Mutant(
        name="watch-late",
        fault="the owner's watch goes on one version too late after one answer in 20",
        path=f"{SCHEDULING}/watching.py",
        replacements=(
            Replacement(
                old="from bulrushpulley.systems import store_watch\n",
                new="""\
from bulrushpulley.systems import store_watch

ANSWERS: set[tuple[str, int]] = set()
""",
            ),
            Replacement(
                old="""\
    tables = _put(tables, table, store_watch.with_changes_read(state, version))
""",
                new="""\
    read = version
    if rows:
        ANSWERS.add((table, version))
        read += len(ANSWERS) % 20 == 0
    tables = _put(tables, table, store_watch.with_changes_read(state, read))
""",
            ),
        ),
    ),
)
