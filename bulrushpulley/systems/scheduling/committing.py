"""Writes progress, one transaction at a time, each of which renews the owner row.

Effects of a job, such as sending a start order, are deferred until the transaction
with its progress has succeeded. Each transaction sets a sequence number of its own in
the owner row. After a lost answer it is sent again, on the same condition and with all
that has come to be written since, under a new sequence number. So one attempt at most
is applied, and if it was an earlier one, the retry conflicts with the owner row that
this one wrote; what only later attempts held is then written by the next transaction.
"""

from __future__ import annotations

from collections.abc import Iterable

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.progress_commit import Batch, Commit, Effect
from bulrushpulley.entities.jobs.rows import (
    OWNER_KEY,
    BacklogRow,
    OwnerRow,
    ProgressRow,
    Row,
)
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    CommitProgress,
    Owning,
    SchedulerStep,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import Condition, Conflicted, Transact
from bulrushpulley.entities.observe import Observe
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems import store_timeouts
from bulrushpulley.systems.exponential_backoff import exponential_delay_s
from bulrushpulley.systems.scheduling import (
    confirming,
    effects,
    interference,
    isolating,
    owner_rows,
    ownership,
    progress,
    renewals,
    waves,
)

# Between attempts that end without an answer long before their timeout.
MIN_UNANSWERED_INTERVAL_S = 0.05
MAX_UNANSWERED_INTERVAL_S = 0.4
PROGRESS_COMMIT_RETRY_DELAY_S = 0.15
# Precedes the turns that `edits.mark_dirty` counts.
FIRST_TURN = 0
MAX_PROGRESS_COMMIT_RETRY_DELAY_S = 0.6
# Differs from each row that may be due, so that one is written.
UNKNOWN_BACKLOG = BacklogRow(waiting=(("", 0),))


def run(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Retry the current transaction when due, or send the next one if needed."""
    if not isinstance(tables.leadership, Owning):
        return Step(tables=tables)
    commit = tables.commit
    if commit is None:
        return _start_commit(tables, tables.leadership, now)
    if commit.in_flight or now < commit.retry_at:
        return Step(tables=tables)
    timeout_s = store_timeouts.next_timeout_s(commit.transact.timeout_s)
    return _send_again(tables, commit, timeout_s, now)


def _send_again(
    tables: SchedulerTables, commit: Commit, timeout_s: float, now: float
) -> SchedulerStep:
    tables, commit = _with_later_progress(tables, commit, now)
    attempt = commit.attempts + 1
    transact = replace(
        commit.transact,
        purpose=_purpose(tables, commit.row, attempt, now),
        timeout_s=timeout_s,
    )
    retried = replace(
        commit, transact=transact, in_flight=True, sent_at=now, attempts=attempt
    )
    tables = replace(tables, commit=retried)
    return Step(tables=tables, commands=(transact,))


def _with_later_progress(
    tables: SchedulerTables, commit: Commit, now: float
) -> tuple[SchedulerTables, Commit]:
    """Add the progress that has come to be written since the last attempt."""
    owning = tables.leadership
    if not isolating.may_extend(tables):
        return tables, commit
    due = progress.due_job_ids(tables, commit.job_ids)
    if not due or not isinstance(owning, Owning):
        return tables, commit
    row = owner_rows.next_row(tables, owning, now)
    tables, batch = _take_batch(tables, row, due, now)
    job_ids = commit.job_ids.union(due)
    others = (
        put
        for put in commit.transact.puts
        if not isinstance(put, (OwnerRow, ProgressRow))
    )
    written = [
        page for job_id in sorted(job_ids) for page in progress.rows_of(tables, job_id)
    ]
    tables = progress.with_stored_pages(tables, written)
    transact = replace(commit.transact, puts=(row, *others, *written))
    extended = replace(
        commit, transact=transact, batches=(*commit.batches, batch), job_ids=job_ids
    )
    return tables, extended


def _take_batch(
    tables: SchedulerTables, row: OwnerRow, job_ids: Iterable[str], now: float
) -> tuple[SchedulerTables, Batch]:
    """Return a batch with the deferred effects of jobs, and the tables without them.

    The sequence number of its row is used up, whether or not the row is ever written.
    """
    taken: dict[str, tuple[Effect, ...]] = {}
    remaining, turn_by_job = tables.effects_by_job, tables.turn_by_job
    for job_id in job_ids:
        taken[job_id] = remaining[job_id]
        remaining = remaining.delete(job_id)
        turn_by_job = turn_by_job.delete(job_id)
    leadership = tables.leadership
    if isinstance(leadership, Owning):
        leadership = replace(leadership, sequence=row.sequence)
    tables = replace(
        tables,
        effects_by_job=remaining,
        turn_by_job=turn_by_job,
        leadership=leadership,
    )
    batch = Batch(row=row, effects_by_job=Map(taken), first_sent_at=now)
    return tables, batch


def _purpose(
    tables: SchedulerTables, row: OwnerRow, attempt: int, now: float
) -> CommitProgress:
    return CommitProgress(
        epoch=tables.epoch, sequence=row.sequence, attempt=attempt, sent_at=now
    )


def _start_commit(tables: SchedulerTables, owning: Owning, now: float) -> SchedulerStep:
    content = isolating.next_content(tables, now)
    due = content.job_ids
    if not due and not owner_rows.is_renewal_due(tables, owning, now):
        return Step(tables=tables)
    row = owner_rows.next_row(tables, owning, now)
    written = [page for job_id in due for page in progress.rows_of(tables, job_id)]
    tables = progress.with_stored_pages(tables, written)
    unwritten = waves.unwritten_rows(tables) if content.others else ()
    others: list[Row] = [*unwritten]
    if content.others and not owning.loading:
        if tables.backlog != tables.backlog_written:
            others.append(tables.backlog)
            tables = replace(tables, backlog_written=tables.backlog)
        harms = interference.row_to_save(tables, now)
        if harms is not None:
            others.append(harms)
            tables = replace(tables, harms_saved_at=now)
    transact = Transact(
        role=SCHEDULER,
        purpose=_purpose(tables, row, 1, now),
        timeout_s=store_timeouts.timeout_s(tables.store_latency_s),
        conditions=(Condition(key=OWNER_KEY, version=owning.version),),
        puts=(row, *written, *others),
    )
    tables, batch = _take_batch(tables, row, due, now)
    commit = Commit(
        transact=transact,
        batches=(batch,),
        job_ids=frozenset(due),
        waves=tuple(row.number for row in unwritten),
        sent_at=now,
        has_others=bool(others),
    )
    tables = replace(waves.mark_submitted(tables, unwritten), commit=commit)
    return Step(tables=tables, commands=(transact,))


def handle_committed(
    version: int, purpose: CommitProgress, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Record that all that an attempt held is durable."""
    commit = tables.commit
    if commit is None:
        return Step(tables=tables)
    for applied, batch in enumerate(commit.batches, start=1):
        if batch.row.sequence == purpose.sequence:
            return _apply_batches(version, purpose, tables, applied, now)
    return Step(tables=tables)


def _apply_batches(
    version: int,
    purpose: CommitProgress,
    tables: SchedulerTables,
    applied: int,
    now: float,
) -> SchedulerStep:
    """Record the renewal and apply the effects of the first `applied` batches.

    The others are to be written again. `purpose` is that of the attempt which was
    answered.
    """
    commit = tables.commit
    if commit is None:
        return Step(tables=tables)
    owning = tables.leadership
    if not isinstance(owning, Owning):
        return Step(tables=tables)
    last = commit.batches[applied - 1]
    if tables.leaving and not last.row.holder:
        return ownership.become_follower(tables, now, "the process is stopping")
    # An answer that comes after its timeout has waited for this process, not the store.
    took_s = min(now - purpose.sent_at, commit.transact.timeout_s)
    renewed = replace(
        _with_interval(owning, commit, took_s, now),
        version=version,
        renewed_at=last.first_sent_at,
        written_at=now,
    )
    store_latency_s = store_timeouts.smoothed_latency_s(tables.store_latency_s, took_s)
    tables = isolating.handle_accepted(tables, commit, now)
    tables = waves.mark_durable(tables, commit.waves)
    tables = replace(
        tables,
        leadership=renewed,
        commit=None,
        store_latency_s=store_latency_s,
    )
    tables = _with_unapplied(tables, commit.batches[applied:])
    first_sent_at = commit.batches[0].first_sent_at
    observation = Observe(name="commit_seconds", seconds=now - first_sent_at)
    deferred = _deferred_effects(commit.batches[:applied])
    confirmations = confirming.confirm_contacts(tables, owning.renewed_at, now)
    step = _apply_effects(deferred, tables, now)
    commands = (observation, *confirmations, *step.commands)
    return Step(tables=step.tables, commands=commands)


def _deferred_effects(batches: tuple[Batch, ...]) -> tuple[Effect, ...]:
    return tuple(
        effect
        for batch in batches
        for effects_of_job in batch.effects_by_job.values()
        for effect in effects_of_job
    )


def _with_interval(owning: Owning, commit: Commit, took_s: float, now: float) -> Owning:
    """Update the expected interval.

    After attempts that the store has refused or lost, only the one that was answered
    in `took_s` counts.
    """
    interval_s = now - owning.written_at
    if commit.attempts > 1:
        interval_s = renewals.renew_interval_s(took_s) + took_s
    # The time that the claim asked for does not count any more after the first answer.
    remembered_s = 0.0 if owner_rows.is_unproven(owning) else owning.renews_within_s
    within_s = renewals.next_renews_within_s(remembered_s, interval_s)
    if owning.loading:
        within_s = max(owning.renews_within_s, within_s)
    return replace(owning, renews_within_s=within_s)


def _with_unapplied(
    tables: SchedulerTables, batches: tuple[Batch, ...]
) -> SchedulerTables:
    """Put the effects of batches before those that were deferred later.

    Their jobs are the next to be written.
    """
    effects_by_job, turn_by_job = tables.effects_by_job, tables.turn_by_job
    for batch in reversed(batches):
        for job_id, earlier in batch.effects_by_job.items():
            later = effects_by_job.get(job_id, ())
            effects_by_job = effects_by_job.set(job_id, (*earlier, *later))
            turn_by_job = turn_by_job.set(job_id, FIRST_TURN)
    return replace(tables, effects_by_job=effects_by_job, turn_by_job=turn_by_job)


def _apply_effects(
    deferred: tuple[Effect, ...], tables: SchedulerTables, now: float
) -> SchedulerStep:
    step = effects.apply_effects(deferred, tables, now)
    following = run(step.tables, now)
    commands: tuple[Command, ...] = (*step.commands, *following.commands)
    return Step(tables=following.tables, commands=commands)


def handle_conflicted(
    event: Conflicted, purpose: CommitProgress, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Distinguish an earlier attempt that was applied from the loss of the shard."""
    commit = tables.commit
    if commit is None:
        return Step(tables=tables)
    for stored in event.rows:
        if stored.key != OWNER_KEY:
            continue
        for applied, batch in enumerate(commit.batches, start=1):
            if stored.row == batch.row:
                return _apply_batches(stored.version, purpose, tables, applied, now)
    return ownership.become_follower(tables, now, "another entry took the shard over")


def handle_outcome_unknown(
    purpose: CommitProgress, tables: SchedulerTables, now: float, reason: str
) -> SchedulerStep:
    """Retry the transaction, immediately if its timeout has passed.

    A store that resets connections ends each attempt within milliseconds, so these
    attempts begin at growing intervals. The first one is repeated almost at once, as a
    connection may have ended while it was idle.
    """
    commit = tables.commit
    if commit is None:
        return Step(tables=tables)
    interval_s = exponential_delay_s(
        min_delay_s=MIN_UNANSWERED_INTERVAL_S,
        max_delay_s=MAX_UNANSWERED_INTERVAL_S,
        doublings=commit.attempts - 1,
    )
    retry_delay_s = max(0.0, commit.sent_at + interval_s - now)
    return _retry(purpose, tables, now, retry_delay_s, reason)


def handle_store_back(
    tables: SchedulerTables, read_sent_at: float, now: float
) -> SchedulerStep:
    """Send the transaction again if a read that was sent later is answered.

    The store did not answer before, so the transaction was lost or refused as well. Its
    timeout may be seconds away. If another read was answered in between, the store is
    slow or refuses some calls, and may still answer the attempt in flight.
    """
    commit, probe = tables.commit, tables.probe
    if commit is None or commit.sent_at >= read_sent_at:
        return Step(tables=tables)
    if probe.answered_at >= commit.sent_at:
        return Step(tables=tables)
    tables = replace(tables, probe=replace(probe, answered_at=now))
    line = effects.log_retry(tables, commit, "the store answers again")
    usual_s = store_timeouts.timeout_s(tables.store_latency_s)
    step = _send_again(tables, commit, max(commit.transact.timeout_s, usual_s), now)
    return Step(tables=step.tables, commands=(line, *step.commands))


def handle_refused(
    purpose: CommitProgress, tables: SchedulerTables, now: float, reason: str
) -> SchedulerStep:
    """Retry the transaction with exponential backoff."""
    attempts = tables.commit.attempts if tables.commit else 1
    retry_delay_s = exponential_delay_s(
        min_delay_s=PROGRESS_COMMIT_RETRY_DELAY_S,
        max_delay_s=MAX_PROGRESS_COMMIT_RETRY_DELAY_S,
        doublings=attempts,
    )
    return _retry(purpose, tables, now, retry_delay_s, reason)


def handle_rejected(
    purpose: CommitProgress, tables: SchedulerTables, now: float, reason: str
) -> SchedulerStep:
    """Write separately what a transaction held that the store would reject again."""
    commit = tables.commit
    if commit is None or purpose != commit.transact.purpose:
        return Step(tables=tables)
    if not isolating.is_divisible(commit):
        return handle_refused(purpose, tables, now, reason)
    tables = waves.mark_unsubmitted(tables, commit.waves)
    tables = replace(tables, commit=None, backlog_written=UNKNOWN_BACKLOG)
    tables = _with_unapplied(tables, commit.batches)
    tables, line = isolating.handle_rejected(tables, commit, reason, now)
    return Step(tables=tables, commands=(line,))


def _retry(
    purpose: CommitProgress,
    tables: SchedulerTables,
    now: float,
    retry_delay_s: float,
    reason: str,
) -> SchedulerStep:
    """Have the transaction sent again unless a later attempt is in flight."""
    commit = tables.commit
    if commit is None or purpose != commit.transact.purpose:
        return Step(tables=tables)
    waiting = replace(commit, in_flight=False, retry_at=now + retry_delay_s)
    line = effects.log_retry(tables, commit, reason)
    return Step(tables=replace(tables, commit=waiting), commands=(line,))
