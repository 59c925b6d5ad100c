"""Compares the owner's books of each host with those of its agent.

A contact follows all that the agent has reported, and says which orders it has handled,
so but for the others both must name the same runs. What else is in flight agrees by the
next contact; a difference that outlasts it means that a message was lost or not
handled. The agent is then adopted again, which has both sides send all that they hold.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.books import (
    Books,
    HostBooks,
    SentOrders,
    digest_of_runs,
)
from bulrushpulley.entities.jobs.bounds import CONTACT_INTERVAL_S
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.items import RunsReport
from bulrushpulley.entities.jobs.progress_commit import AcknowledgeEnd, Effect
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import KEPT_STATES, Task, TaskState
from bulrushpulley.entities.observe import Observe
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.exponential_backoff import exponential_delay_s
from bulrushpulley.systems.scheduling import edits, ordering

# Less than the time between two contacts, so that the second one in a row counts.
SETTLE_TIMEOUT_S = 0.9 * CONTACT_INTERVAL_S
# An end is acknowledged once a transaction has made it durable.
END_ACKNOWLEDGEMENT_TIMEOUT_S = 1.0
ORDERS = "orders"
ENDS = "ends"
MIN_ADOPTION_INTERVAL_S = 1.5
MAX_ADOPTION_INTERVAL_S = 3.0
# Keeps a line below 4 KB, so that it can share a write with others.
MAX_RUNS_PER_LINE = 60


def restart(tables: SchedulerTables, host: Host, now: float) -> SchedulerTables:
    """Begin to count orders anew for an adoption; a known difference is kept."""
    known = ordering.books_of(tables, host.name)
    fresh = replace(
        known,
        orders=0,
        due_orders=0,
        due_at=now,
        unhandled=(),
        report=b"",
        verdicts=0,
    )
    return ordering.put_books(tables, fresh)


def handle_report(
    tables: SchedulerTables, host: Host, report: bytes
) -> SchedulerTables:
    """Record the digest of the last report of a host."""
    known = ordering.books_of(tables, host.name)
    return ordering.put_books(tables, replace(known, report=report))


def handle_books(
    tables: SchedulerTables, host: Host, theirs: Books | None, now: float
) -> SchedulerStep:
    """Compare the books that came with a contact, and mend a lasting difference."""
    is_current = host.announced_epoch == tables.epoch
    known = ordering.books_of(tables, host.name)
    if theirs is None:
        # An agent of an earlier version never says which orders it has handled.
        return Step(tables=ordering.put_books(tables, replace(known, unhandled=())))
    if not is_current or theirs.adoption != host.adoptions:
        return Step(tables=tables)
    ours = _without_handled(known, theirs)
    if ours is not known:
        tables = ordering.put_books(tables, ours)
    if (
        theirs.verdicts != ours.verdicts
        and now - ours.verdicts_sent_at >= SETTLE_TIMEOUT_S
    ):
        host = replace(host, sent_verdicts=None)
        tables = edits.put_host(tables, host)
    difference = find_difference(tables, host, ours, theirs, now)
    if ours.orders != ours.due_orders and now - ours.due_at >= SETTLE_TIMEOUT_S:
        ours = replace(ours, due_orders=ours.orders, due_at=now)
        tables = ordering.put_books(tables, ours)
    if difference is None:
        return Step(tables=tables)
    if not difference:
        return _agree(tables, ours, now)
    if difference != ours.difference:
        # Another message is missing, which need not wait for the interval of the first.
        ours = replace(ours, differ_since=None, adoptions=0, adopt_at=0.0)
    # The acknowledgement of another end may be in flight each time.
    is_other_end = difference == ENDS and theirs.first_end != ours.first_end
    since = now if ours.differ_since is None or is_other_end else ours.differ_since
    ours = replace(
        ours,
        differ_since=since,
        difference=difference,
        first_end=theirs.first_end if difference == ENDS else 0,
    )
    # Orders count as missing only once they have settled.
    has_settled = difference == ORDERS or now - since >= SETTLE_TIMEOUT_S
    if not has_settled or now < ours.adopt_at:
        return Step(tables=ordering.put_books(tables, ours))
    return _adopt_again(tables, host, ours, theirs, now)


def _without_handled(ours: HostBooks, theirs: Books) -> HostBooks:
    if not ours.unhandled or ours.unhandled[0].number > theirs.orders:
        return ours
    unhandled = tuple(sent for sent in ours.unhandled if sent.number > theirs.orders)
    return replace(ours, unhandled=unhandled)


def find_difference(
    tables: SchedulerTables, host: Host, ours: HostBooks, theirs: Books, now: float
) -> str | None:
    """Return what differs, or an empty text; None if messages may be in flight."""
    if theirs.misses_orders or (
        theirs.orders < ours.due_orders and now - ours.due_at >= SETTLE_TIMEOUT_S
    ):
        return ORDERS
    if theirs.host != ours.report:
        return "host"
    if not host.synced or theirs.orders > ours.orders or not theirs.runs:
        return None
    if any(sent.complete for sent in ours.unhandled):
        return None
    if theirs.runs != runs_digest(tables, host, ours.unhandled):
        return "runs"
    is_overdue = theirs.oldest_end_s > END_ACKNOWLEDGEMENT_TIMEOUT_S
    if is_overdue and not _is_acknowledgement_due(tables, host, theirs.first_end):
        return ENDS
    return ""


def runs_digest(
    tables: SchedulerTables, host: Host, unhandled: tuple[SentOrders, ...]
) -> bytes:
    """Return the digest of the runs that have been ordered on a host.

    It is as before the orders that the agent has not handled: on a busy host there may
    be some with each contact.
    """
    tasks = _tasks_on(tables, host)
    kept = {task.run_key for task in tasks if task.state in KEPT_STATES}
    stopped = {task.run_key for task in tasks if task.state is TaskState.STOPPING}
    for sent in reversed(unhandled):
        unstopped = stopped.intersection(sent.stopped)
        stopped -= unstopped
        kept = (kept | unstopped).difference(sent.started)
    return digest_of_runs(kept=kept, stopped=stopped)


def _tasks_on(tables: SchedulerTables, host: Host) -> list[Task]:
    tasks = tables.tasks.rows_where("host", host.name)
    return [task for task in tasks if task.life == host.life]


def _is_acknowledgement_due(tables: SchedulerTables, host: Host, number: int) -> bool:
    """Return whether a transaction has still to make an end of a host durable."""
    deferred = [*tables.effects_by_job.values()]
    if tables.commit is not None:
        for batch in tables.commit.batches:
            deferred.extend(batch.effects_by_job.values())
    return any(
        _acknowledges(effect, host, number)
        for effects in deferred
        for effect in effects
    )


def _acknowledges(effect: Effect, host: Host, number: int) -> bool:
    return (
        isinstance(effect, AcknowledgeEnd)
        and (effect.host, effect.life) == (host.name, host.life)
        and effect.number == number
    )


def _agree(tables: SchedulerTables, ours: HostBooks, now: float) -> SchedulerStep:
    if ours.differ_since is None:
        return Step(tables=tables)
    lasted_s = now - ours.differ_since
    commands: list[Command] = [_observation(ours, lasted_s)]
    if ours.adoptions:
        reason = f"after {lasted_s:.2f} s"
        commands.append(
            edits.log(tables, "books.agree", ours.host, ours.difference, reason)
        )
    ours = replace(ours, differ_since=None, difference="", adoptions=0, adopt_at=0.0)
    return Step(tables=ordering.put_books(tables, ours), commands=tuple(commands))


def _adopt_again(
    tables: SchedulerTables, host: Host, ours: HostBooks, theirs: Books, now: float
) -> SchedulerStep:
    """Mark the agent as not adopted, which makes it send its full state."""
    delay_s = exponential_delay_s(
        min_delay_s=MIN_ADOPTION_INTERVAL_S,
        max_delay_s=MAX_ADOPTION_INTERVAL_S,
        doublings=ours.adoptions,
    )
    age_s = now - ours.differ_since if ours.differ_since is not None else 0.0
    reason = (
        f"for {age_s:.2f} s; the agent handled {theirs.orders} of {ours.orders} orders"
        f" of adoption {theirs.adoption}, and holds {theirs.ends} ends, the first for"
        f" {theirs.oldest_end_s:.1f} s"
    )
    line = edits.log(tables, "books.differ", ours.host, ours.difference, reason)
    observation = _observation(ours, age_s)
    ours = replace(ours, adoptions=ours.adoptions + 1, adopt_at=now + delay_s)
    tables = ordering.put_books(tables, ours)
    tables = edits.put_host(tables, replace(host, announced_epoch=0, synced=False))
    return Step(tables=tables, commands=(line, observation))


def name_runs(
    tables: SchedulerTables, host: Host, report: RunsReport
) -> tuple[Command, ...]:
    """Return the line that names the runs on which the books differ, if they do.

    It is to be called before the complete report of the agent is handled.
    """
    if ordering.books_of(tables, host.name).differ_since is None:
        return ()
    held = {
        task.run_key
        for task in _tasks_on(tables, host)
        if task.state is not TaskState.PLACED
    }
    listed = {status.key for status in report.runs}
    ended = {end.key for end in report.ends}
    run_keys_by_kind = {
        "ended there": sorted(held & ended),
        "not listed there": sorted(held - listed - ended),
        "not known here": sorted(listed - held),
        "ended there and not known here": sorted(ended - held),
    }
    parts = [_named(kind, keys) for kind, keys in run_keys_by_kind.items() if keys]
    reason = "; ".join(parts) or "the same runs on both sides"
    return (edits.log(tables, "books.differ", host.name, "named", reason),)


def _named(kind: str, run_keys: list[str]) -> str:
    text = f"{kind}: {' '.join(run_keys[:MAX_RUNS_PER_LINE])}"
    left_out = len(run_keys) - MAX_RUNS_PER_LINE
    return f"{text} and {left_out} more" if left_out > 0 else text


def _observation(ours: HostBooks, age_s: float) -> Observe:
    return Observe(name="books_differ_seconds", seconds=age_s, label=ours.difference)
