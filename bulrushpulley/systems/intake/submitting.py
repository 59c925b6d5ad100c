"""Stores submitted jobs; those that wait are batched into a conditional transaction.

A job is accepted once its row is stored, no matter by which call, since the same id
means the same job. While a transaction with a job has no answer, the job is neither
accepted nor refused; it is sent again until its caller's deadline.
"""

from __future__ import annotations

from pyrsistent import pset

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.calls import (
    BadCall,
    CallAnswer,
    JobAccepted,
    OutcomeUnknown,
    SubmitCall,
    TryLater,
)
from bulrushpulley.entities.jobs.configuration import Queue
from bulrushpulley.entities.jobs.intake_tables import (
    INTAKE,
    Batch,
    IntakeStep,
    IntakeTables,
    StoreJobs,
    Submission,
)
from bulrushpulley.entities.jobs.rows import JobRow, job_key
from bulrushpulley.entities.jobs.store import (
    Condition,
    Conflicted,
    Transact,
    TransactRefused,
)
from bulrushpulley.entities.observe import Decision, Observe
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.errors import Code, Problem
from bulrushpulley.systems import store_timeouts, store_watch
from bulrushpulley.systems.fitting import fitting

# The store accepts 100 rows and 1 MB in a transaction. Values are sent as base64, and
# beside its spec a row has the settings of its queue.
MAX_BATCH_JOBS = 45
MAX_BATCH_BYTES = 700_000
ROW_OVERHEAD_BYTES = 1_000
# A submission that the store refused is retried for this long before its caller gets a
# refusal; a quarter of the shortest latency objective.
REFUSED_TIMEOUT_S = 0.1
REFUSED_RETRY_DELAY_S = 0.05
# The same for an overloaded store: its queue is a second long, and this is less than
# half of the time that callers allow.
BUSY_TIMEOUT_S = 1.4
BUSY_RETRY_DELAY_S = 0.25
# Outages of the store last seconds, and callers that retry sooner fail again. Callers
# retry four times, which should bridge 6 s and cost little in a short outage.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 2.0
# The answer must reach the caller before its deadline; a tick is 0.2 s.
CALL_ANSWER_MARGIN_S = 0.3
MAX_REMEMBERED_JOBS = 4_000


def submit(
    call: SubmitCall, queue: Queue, job_id: str, tables: IntakeTables, now: float
) -> IntakeStep:
    """Queue a job for storing, or answer without delay if the outcome is known."""
    if call.spec is None:
        problem = call.problem or _invalid(call, "the job makes no sense")
        return _answer(tables, BadCall(call_id=call.call_id, problem=problem))
    if is_accepted(tables, job_id):
        return _answer(tables, JobAccepted(call_id=call.call_id))
    known = tables.submissions.get(job_id)
    unanswered_s = now - tables.store_answered_at
    if known is None and unanswered_s > store_watch.STORE_UNREACHABLE_TIMEOUT_S:
        reason = f"the store has not answered for {unanswered_s:.1f} s"
        later = TryLater(
            call_id=call.call_id,
            reason=reason,
            retry_after_s=retry_after_s(unanswered_s),
        )
        line = Decision(
            kind="job.refuse", subject=job_id, chosen=queue.name, reason=reason
        )
        return Step(tables=tables, commands=(line, later))
    if known is not None:
        joined = replace(known, call_ids=(*known.call_ids, call.call_id))
        submissions = tables.submissions.put(job_id, joined)
        return Step(tables=replace(tables, submissions=submissions))
    submission = Submission(
        job_id=job_id,
        row=_row(call, queue, job_id),
        call_ids=(call.call_id,),
        received_at=now,
        due_at=now + max(0.0, call.within_s - CALL_ANSWER_MARGIN_S),
        spec_bytes=call.spec_bytes,
    )
    submissions = tables.submissions.put(job_id, submission)
    return Step(tables=replace(tables, submissions=submissions))


def retry_after_s(unanswered_s: float) -> float:
    """Return the retry delay for callers: the length of the outage, within limits."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, unanswered_s))


def _row(call: SubmitCall, queue: Queue, job_id: str) -> JobRow:
    assert call.spec is not None
    return JobRow(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        latency_factor=queue.latency_factor,
        target_latency_s=queue.target_latency_s,
        accepted_at_s=call.received_at_s,
        spec=call.spec,
    )


def _invalid(call: SubmitCall, detail: str) -> Problem:
    return Problem(
        code=Code.INVALID, step="job.submit", peer=call.call_id, detail=detail
    )


def _answer(tables: IntakeTables, answer: CallAnswer) -> IntakeStep:
    return Step(tables=tables, commands=(answer,))


def is_accepted(tables: IntakeTables, job_id: str) -> bool:
    """Return whether a job is known to be stored."""
    return job_id in tables.accepted or job_id in tables.older_accepted


def run(tables: IntakeTables, now: float) -> IntakeStep:
    """Answer the submissions that expired and send those that wait."""
    step = _expire(tables, now)
    tables = step.tables
    if tables.batch is not None or now < tables.batch_retry_at:
        return step
    waiting = sorted(
        tables.submissions.rows(), key=lambda submission: submission.received_at
    )
    suspects = tuple(submission for submission in waiting if submission.suspect)
    fits = fitting(waiting, _row_bytes, MAX_BATCH_BYTES)
    chosen = suspects[:1] or fits[:MAX_BATCH_JOBS]
    if not chosen:
        return step
    number = tables.batch_count + 1
    transact = Transact(
        role=INTAKE,
        purpose=StoreJobs(number=number),
        timeout_s=store_timeouts.MAX_STORE_TIMEOUT_S,
        conditions=tuple(
            Condition(key=job_key(submission.job_id), version=0)
            for submission in chosen
        ),
        puts=tuple(submission.row for submission in chosen),
    )
    job_ids = tuple(submission.job_id for submission in chosen)
    batch = Batch(
        number=number,
        transact=transact,
        job_ids=job_ids,
        sent_at=now,
        check_at=now + store_timeouts.timeout_s(tables.store_latency_s),
    )
    submissions = tables.submissions
    for submission in chosen:
        submissions = submissions.put(
            submission.job_id, replace(submission, in_flight=True)
        )
    tables = replace(tables, batch=batch, batch_count=number, submissions=submissions)
    return Step(tables=tables, commands=(*step.commands, transact))


def _row_bytes(submission: Submission) -> int:
    return submission.spec_bytes + ROW_OVERHEAD_BYTES


def _expire(tables: IntakeTables, now: float) -> IntakeStep:
    commands: list[Command] = []
    for submission in tables.submissions.rows():
        if submission.in_flight and now < submission.due_at:
            continue
        outcome_unknown = submission.outcome_unknown or submission.in_flight
        retry_timeout_s = BUSY_TIMEOUT_S if submission.busy else REFUSED_TIMEOUT_S
        refused = (
            submission.refused_at is not None
            and now - submission.refused_at >= retry_timeout_s
        )
        if now < submission.due_at and (outcome_unknown or not refused):
            continue
        tables = replace(tables, submissions=tables.submissions.drop(submission.job_id))
        retry_s = retry_after_s(now - tables.store_answered_at)
        reason = (
            "the store did not answer" if outcome_unknown else "the store takes nothing"
        )
        commands.extend(_give_up(submission, outcome_unknown, retry_s, reason))
    return Step(tables=tables, commands=tuple(commands))


def _give_up(
    submission: Submission, outcome_unknown: bool, retry_s: float, reason: str
) -> list[Command]:
    line = Decision(
        kind="job.unsure" if outcome_unknown else "job.refuse",
        subject=submission.job_id,
        chosen=submission.row.queue,
        reason=reason,
    )
    if outcome_unknown:
        return [
            line,
            *(
                OutcomeUnknown(call_id=call, reason=reason)
                for call in submission.call_ids
            ),
        ]
    return [
        line,
        *(
            TryLater(call_id=call, reason=reason, retry_after_s=retry_s)
            for call in submission.call_ids
        ),
    ]


def handle_committed(tables: IntakeTables, now: float) -> IntakeStep:
    """Accept the jobs of a batch that was stored."""
    batch = tables.batch
    if batch is None:
        return Step(tables=tables)
    store_latency_s = store_timeouts.smoothed_latency_s(
        tables.store_latency_s, now - batch.sent_at
    )
    tables = replace(tables, batch=None, store_latency_s=store_latency_s)
    return accept_jobs(tables, batch.job_ids, now)


def accept_jobs(
    tables: IntakeTables, job_ids: tuple[str, ...], now: float
) -> IntakeStep:
    """Answer the callers of jobs that are known to be stored."""
    commands: list[Command] = []
    for job_id in job_ids:
        submission = tables.submissions.get(job_id)
        tables = _record_accepted(tables, job_id)
        if submission is None:
            continue
        tables = replace(tables, submissions=tables.submissions.drop(job_id))
        line = Decision(
            kind="job.store",
            subject=job_id,
            chosen=submission.row.queue,
            reason=f"after {now - submission.received_at:.3f} s",
            revision=tables.operator_settings.revision,
        )
        commands.append(line)
        commands.append(
            Observe(name="job_store_seconds", seconds=now - submission.received_at)
        )
        commands.extend(JobAccepted(call_id=call) for call in submission.call_ids)
    return Step(tables=tables, commands=tuple(commands))


def _record_accepted(tables: IntakeTables, job_id: str) -> IntakeTables:
    accepted = tables.accepted.add(job_id)
    if len(accepted) <= MAX_REMEMBERED_JOBS:
        return replace(tables, accepted=accepted)
    return replace(tables, accepted=pset(), older_accepted=accepted)


def handle_conflicted(
    event: Conflicted, tables: IntakeTables, now: float
) -> IntakeStep:
    """Accept the jobs of a batch that are already stored; the others are sent again.

    A job is refused if another writer's row stands where its own would.
    """
    batch = tables.batch
    if batch is None:
        return Step(tables=tables)
    row_by_key = {stored.key.key: stored for stored in event.rows if stored.version}
    row_by_job = {
        job_id: row_by_key[job_key(job_id).key]
        for job_id in batch.job_ids
        if job_key(job_id).key in row_by_key
    }
    blocked = tuple(job_id for job_id, row in row_by_job.items() if row.unreadable)
    stored = tuple(job_id for job_id, row in row_by_job.items() if not row.unreadable)
    refusal = _refuse(
        requeue_batch(tables, outcome_unknown=False),
        blocked,
        now,
        "the row at its key cannot be read",
    )
    step = accept_jobs(refusal.tables, stored, now)
    return Step(tables=step.tables, commands=(*refusal.commands, *step.commands))


def _refuse(
    tables: IntakeTables, job_ids: tuple[str, ...], now: float, reason: str
) -> IntakeStep:
    commands: list[Command] = []
    retry_s = retry_after_s(now - tables.store_answered_at)
    for job_id in job_ids:
        submission = tables.submissions.get(job_id)
        if submission is None:
            continue
        tables = replace(tables, submissions=tables.submissions.drop(job_id))
        # An earlier attempt may have stored it before the row was overwritten.
        unknown = submission.outcome_unknown
        commands.extend(_give_up(submission, unknown, retry_s, reason))
    return Step(tables=tables, commands=tuple(commands))


def handle_outcome_unknown(tables: IntakeTables, now: float) -> IntakeStep:
    """Requeue a batch without answer, to be sent again without delay."""
    batch = tables.batch
    if batch is None:
        return Step(tables=tables)
    return Step(tables=requeue_batch(tables, outcome_unknown=True))


def handle_refused(
    event: TransactRefused, tables: IntakeTables, now: float
) -> IntakeStep:
    """Requeue a batch that was refused, to be sent after a delay.

    All waiting submissions count as refused, also those that were not in the batch.
    """
    batch = tables.batch
    tables = requeue_batch(tables, outcome_unknown=False)
    if event.rejected and batch is not None:
        return _separate(tables, batch, now)
    submissions = tables.submissions
    for submission in submissions.rows():
        since = now if submission.refused_at is None else submission.refused_at
        refused = replace(submission, refused_at=since, busy=event.busy)
        submissions = submissions.put(submission.job_id, refused)
    delay_s = BUSY_RETRY_DELAY_S if event.busy else REFUSED_RETRY_DELAY_S
    tables = replace(tables, submissions=submissions, batch_retry_at=now + delay_s)
    return Step(tables=tables)


def _separate(tables: IntakeTables, batch: Batch, now: float) -> IntakeStep:
    """Have the jobs of a rejected transaction sent alone; refuse one that was."""
    if len(batch.job_ids) == 1:
        return _refuse(tables, batch.job_ids, now, "the store takes no such row")
    submissions = tables.submissions
    for job_id in batch.job_ids:
        submission = submissions.get(job_id)
        if submission is not None:
            submissions = submissions.put(job_id, replace(submission, suspect=True))
    return Step(tables=replace(tables, submissions=submissions))


def requeue_batch(tables: IntakeTables, *, outcome_unknown: bool) -> IntakeTables:
    """Move the jobs of the batch back to those that wait for the next one."""
    submissions = tables.submissions
    for job_id in tables.batch.job_ids if tables.batch else ():
        submission = submissions.get(job_id)
        if submission is not None:
            requeued = replace(
                submission,
                in_flight=False,
                outcome_unknown=submission.outcome_unknown or outcome_unknown,
            )
            submissions = submissions.put(job_id, requeued)
    return replace(tables, batch=None, submissions=submissions)
