"""Assigns waiting tasks to hosts, the most urgent jobs first.

A pass goes through the jobs with waiting tasks in the order of `job_order` and
assigns as many tasks as fit. Smaller tasks overtake larger ones that do not fit. A
task starts only after its assignment is committed.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from functools import partial

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.candidate import Candidate
from bulrushpulley.entities.jobs.exclusion import Exclusion, HeldBack
from bulrushpulley.entities.jobs.host import Host, ServerState
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.progress_commit import SendStart
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.scheduler_tables import (
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import HOLDING_STATES, Task, TaskState, step_key
from bulrushpulley.entities.observe import Observe
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.scheduling import (
    advising,
    choosing,
    edits,
    emptying,
    host_candidates,
    idle_clock,
    interference,
    job_order,
    refusals,
    setting_aside,
)
from bulrushpulley.systems.scheduling.ranking import kind_of

# Agents make contact every second; a host gets no new tasks after two missed contacts.
MAX_CONTACT_AGE_S = 2.5
# No event reports the end of a quarantine, so passes also run at this interval.
PLACEMENT_INTERVAL_S = 0.5
MAX_PLACED_PER_PASS = 400
# Reachable agents report their runs to a new owner within this time.
AGENT_SYNC_TIMEOUT_S = 0.6
# If some cannot be reached, half of them are enough after this time.
HALF_SYNCED_TIMEOUT_S = 0.2
# The line of a placement says what held a task back that has waited for longer.
MAX_UNEXPLAINED_WAIT_S = 1.0
# Bounds the time of a pass while many steps wait; the most urgent ones come first.
MAX_HELD_BACK_STEPS = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementPass:
    """The state of one pass over the waiting tasks.

    `closed` counts the hosts that are closed for all tasks, by the reason. Those in
    `quarantined` are candidates only for the steps that no other host may run, and
    those in `last_resorts`, which are closed for upkeep, for jobs that stand still.
    """

    tables: SchedulerTables
    candidate_by_host: Map[str, Candidate]
    quarantined: frozenset[str]
    last_resorts: frozenset[str]
    closed: Mapping[Exclusion, int]
    held_back_by_step: Map[str, HeldBack]
    holds_end_at: float = math.inf
    commands: tuple[Command, ...] = ()
    placed: int = 0


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Run a placement pass if something has changed or the interval has passed."""
    waiting = tables.tasks.by_index["waiting"]
    interval_ends_at = tables.last_placement_at + PLACEMENT_INTERVAL_S
    due = tables.place_due or now >= min(interval_ends_at, tables.holds_end_at)
    if not edits.is_loaded(tables) or not waiting or not due or tables.leaving:
        return Step(tables=tables)
    if _awaits_agents(tables, now):
        return Step(tables=tables)
    known = host_candidates.updated(tables)
    tables = replace(
        tables, place_due=False, last_placement_at=now, candidate_by_host=known
    )
    state = _begin_pass(tables, now)
    jobs = [
        tables.jobs.by_key[job_id]
        for job_id in waiting
        if not setting_aside.is_set_aside(tables, job_id, now)
    ]
    overdue = {job.job_id for job in jobs if job_order.is_overdue(tables, job, now)}
    jobs.sort(
        key=lambda job: (
            job.job_id not in overdue,
            job_order.placement_order(job, now),
        )
    )
    for job in jobs:
        if state.placed >= MAX_PLACED_PER_PASS:
            break
        state = _place_or_set_aside(state, job, now)
    hosts = [candidate.host for candidate in state.candidate_by_host.values()]
    # What is beyond the limit of this pass is placed in the next tick.
    is_cut_short = state.placed >= MAX_PLACED_PER_PASS
    tables = replace(
        state.tables,
        held_back_by_step=state.held_back_by_step,
        holds_end_at=state.holds_end_at,
        place_due=state.tables.place_due or is_cut_short,
    )
    asked_last = state.quarantined | state.last_resorts
    advice_step = advising.request_advice(tables, jobs, hosts, now, asked_last)
    commands: tuple[Command, ...] = (*state.commands, *advice_step.commands)
    return Step(tables=advice_step.tables, commands=commands)


def _begin_pass(tables: SchedulerTables, now: float) -> PlacementPass:
    known = tables.candidate_by_host
    closed = emptying.closed_hosts(tables)
    reason_by_host = {
        name: exclusion_of(tables, candidate.host, closed, now)
        for name, candidate in known.items()
    }
    last_resorts = frozenset(
        name
        for name in emptying.last_resorts(tables, now)
        if reason_by_host.get(name) is Exclusion.UPKEEP
    )
    candidate_by_host = Map(
        {
            name: known[name]
            for name, reason in reason_by_host.items()
            if reason in (None, Exclusion.QUARANTINED) or name in last_resorts
        }
    )
    quarantined = frozenset(
        name
        for name, candidate in candidate_by_host.items()
        if now < candidate.host.quarantined_until
    )
    return PlacementPass(
        tables=tables,
        candidate_by_host=candidate_by_host,
        quarantined=quarantined,
        last_resorts=last_resorts,
        held_back_by_step=Map(),
        closed=Counter(reason for reason in reason_by_host.values() if reason),
    )


def _awaits_agents(tables: SchedulerTables, now: float) -> bool:
    """Return whether to wait for more agents, so that the first does not get all tasks.

    Applies only shortly after a takeover.
    """
    owning = tables.leadership
    if not isinstance(owning, Owning) or now - owning.since >= AGENT_SYNC_TIMEOUT_S:
        return False
    hosts = [host for host in tables.hosts.rows() if host.address]
    synced = sum(host.synced for host in hosts)
    if now - owning.loaded_at >= HALF_SYNCED_TIMEOUT_S and 2 * synced >= len(hosts):
        return False
    return synced < len(hosts)


def exclusion_of(
    tables: SchedulerTables, host: Host, closed: Container[str], now: float
) -> Exclusion | None:
    """Return why a host accepts no new tasks of any step; None if it is open.

    `closed` are the hosts that are closed for upkeep.
    """
    if host.state is not ServerState.READY:
        return Exclusion.NOT_READY
    if not host.synced:
        return Exclusion.NOT_SYNCED
    if now - host.last_contact_at >= MAX_CONTACT_AGE_S:
        return Exclusion.CONTACT_TOO_OLD
    if host.failure_domain in tables.operator_settings.evacuated:
        return Exclusion.EVACUATED
    if host.name in closed:
        return Exclusion.UPKEEP
    return Exclusion.QUARANTINED if now < host.quarantined_until else None


def _place_or_set_aside(state: PlacementPass, job: Job, now: float) -> PlacementPass:
    try:
        return _place_job(state, job, now)
    except Exception as error:
        step = setting_aside.set_aside(state.tables, job.job_id, error, now)
        commands = (*state.commands, *step.commands)
        return replace(state, tables=step.tables, commands=commands)


def _place_job(state: PlacementPass, job: Job, now: float) -> PlacementPass:
    tasks = state.tables.tasks.rows_where("waiting", job.job_id)
    groups: dict[tuple[int, int], list[Task]] = {}
    for task in tasks:
        groups.setdefault((task.occurrence, task.step), []).append(task)
    for (occurrence, number), members in sorted(groups.items()):
        step = job.step(number)
        sibling_count_by_host = count_siblings_by_host(
            state.tables, job.job_id, occurrence, number
        )
        if step.gang:
            state = _place_gang(state, job, step, members, sibling_count_by_host, now)
        else:
            state = _place_each(state, job, step, members, sibling_count_by_host, now)
    return state


def count_siblings_by_host(
    tables: SchedulerTables, job_id: str, occurrence: int, number: int
) -> Counter[str]:
    """Count the tasks of a step by the host whose resources they hold."""
    key = step_key(job_id, occurrence, number)
    return Counter(
        task.host
        for task in tables.tasks.rows_where("open", key)
        if task.state in HOLDING_STATES
    )


def _place_each(
    state: PlacementPass,
    job: Job,
    step: StepSpec,
    members: Iterable[Task],
    sibling_count_by_host: Counter[str],
    now: float,
) -> PlacementPass:
    ranking_by_waits: dict[tuple[float, bool, bool], choosing.Ranking] = {}
    unplaceable: set[tuple[float, bool, bool]] = set()
    for task in members:
        avoids_hosts = choosing.avoids_hosts(task)
        may_fail = idle_clock.may_use_quarantined(state.tables, job, step, (task,), now)
        waits = (task.idle_since, task.may_be_idle_longer, may_fail)
        if waits in unplaceable and not avoids_hosts:
            continue
        ranking = ranking_by_waits.get(waits)
        if ranking is None or step.lasting:
            # The rank of a lasting task depends on the free resources of all hosts,
            # which change with each placement. Other tasks that have waited equally
            # long share a ranking.
            request = replace(
                placement_request(state.tables, job, step, task, now),
                quarantined=state.quarantined,
                last_resorts=state.last_resorts,
                may_use_quarantined=may_fail,
            )
            ranking = choosing.rank_candidates(request, state.candidate_by_host)
            ranking_by_waits[waits] = ranking
        candidate = choosing.choose_candidate(
            ranking, state.candidate_by_host, task, sibling_count_by_host, now
        )
        if candidate is None:
            state = _with_held_back(state, job, task, ranking, now)
            if not avoids_hosts:
                unplaceable.add(waits)
            continue
        sibling_count_by_host[candidate.host.name] += 1
        state = _assign(state, job, step, task, candidate, task.run + 1, now)
    return state


def _place_gang(
    state: PlacementPass,
    job: Job,
    step: StepSpec,
    members: list[Task],
    sibling_count_by_host: Counter[str],
    now: float,
) -> PlacementPass:
    """Place all tasks of a gang with one run number and checkpoint, or none of them."""
    if len(members) < step.count:
        return state
    run = max(task.run for task in members) + 1
    checkpoint = max(task.checkpoint for task in members)
    # A host that refused one member would refuse the others, which need the same.
    refused = refusals.merged(members)
    may_fail = idle_clock.may_use_quarantined(state.tables, job, step, members, now)
    trial = state
    for task in members:
        member = replace(task, checkpoint=checkpoint, refusals=refused)
        request = replace(
            placement_request(trial.tables, job, step, member, now),
            quarantined=trial.quarantined,
            last_resorts=trial.last_resorts,
            may_use_quarantined=may_fail,
        )
        ranking = choosing.rank_candidates(request, trial.candidate_by_host)
        candidate = choosing.choose_candidate(
            ranking, trial.candidate_by_host, member, sibling_count_by_host, now
        )
        if candidate is None:
            return _with_held_back(state, job, task, ranking, now)
        sibling_count_by_host[candidate.host.name] += 1
        trial = _assign(trial, job, step, member, candidate, run, now)
    return trial


def _with_held_back(
    state: PlacementPass, job: Job, task: Task, ranking: choosing.Ranking, now: float
) -> PlacementPass:
    """Record when holds on a task end, and what keeps a step that may wait for long."""
    is_held = state.quarantined or state.last_resorts
    if is_held or choosing.HARM in ranking.excluded:
        ends_at = idle_clock.next_change_at(job, task, now)
        state = replace(state, holds_end_at=min(ends_at, state.holds_end_at))
    known = state.held_back_by_step
    is_recent = now - task.since < MAX_UNEXPLAINED_WAIT_S - PLACEMENT_INTERVAL_S
    if is_recent or len(known) >= MAX_HELD_BACK_STEPS:
        return state
    key = step_key(task.job_id, task.occurrence, task.step)
    held_back = HeldBack(closed=state.closed, excluded=ranking.excluded)
    return replace(state, held_back_by_step=known.set(key, held_back))


def placement_request(
    tables: SchedulerTables, job: Job, step: StepSpec, task: Task, now: float
) -> choosing.PlacementRequest:
    """Return what a waiting task requires of a host."""
    key = step_key(task.job_id, task.occurrence, task.step)
    return choosing.PlacementRequest(
        step=step,
        kind=kind_of(step),
        service=edits.service_of(tables, job),
        tickets=advising.tickets(tables, job, key, now),
        harm_fraction=partial(interference.harm_fraction, tables),
        idle_s=now - task.idle_since,
        may_hold_back=idle_clock.may_hold_back(tables, job, task, now),
    )


def _assign(
    state: PlacementPass,
    job: Job,
    step: StepSpec,
    task: Task,
    candidate: Candidate,
    run: int,
    now: float,
) -> PlacementPass:
    host = candidate.host
    placed = replace(
        task,
        state=TaskState.PLACED,
        since=now,
        run=run,
        host=host.name,
        life=host.life,
        running_since=0.0,
        startup_done=False,
    )
    tables = edits.put_task(state.tables, placed)
    if job.state is JobState.QUEUED:
        current = tables.jobs.by_key[job.job_id]
        tables = edits.put_job(tables, replace(current, state=JobState.RUNNING))
    effect = SendStart(task_id=task.task_id, run=run)
    tables = edits.mark_dirty(tables, job.job_id, effect)
    reason = f"waited {now - task.since:.2f} s, load {candidate.load:.2f}"
    if now - task.since > MAX_UNEXPLAINED_WAIT_S:
        reason += _describe_held_back(state.tables, task)
    wait_observation = Observe(
        name="task_wait_seconds", seconds=now - task.since, label=job.row.queue
    )
    line = edits.log(tables, "task.place", f"{task.task_id}#{run}", host.name, reason)
    return replace(
        state,
        tables=tables,
        candidate_by_host=state.candidate_by_host.set(
            host.name, candidate.with_task(step)
        ),
        commands=(*state.commands, line, wait_observation),
        placed=state.placed + 1,
    )


def _describe_held_back(tables: SchedulerTables, task: Task) -> str:
    """Return what held the step of a task back in the pass before, as text."""
    key = step_key(task.job_id, task.occurrence, task.step)
    held_back = tables.held_back_by_step.get(key)
    return f", held back last: {held_back.describe()}" if held_back else ""
