"""Dispatches the scheduler's events to its systems."""

from __future__ import annotations

from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.advice import AdviceFailed, AdviceReceived
from bulrushpulley.entities.jobs.explanation import ExplainJob
from bulrushpulley.entities.jobs.items import (
    Contact,
    JobItem,
    Measures,
    RunsReport,
)
from bulrushpulley.entities.jobs.machines import (
    ListMachinesFailed,
    MachinesListed,
)
from bulrushpulley.entities.jobs.rows import JOBS
from bulrushpulley.entities.jobs.scheduler_tables import (
    ClaimShard,
    CommitProgress,
    CompareTable,
    ConfirmMissedJobs,
    DropJobRows,
    LoadTable,
    LoadWaves,
    OperatorSettingsChanged,
    PollOwner,
    ProbeStore,
    ProbeWrites,
    ReadMissedProgress,
    RecheckTable,
    RereadTable,
    SchedulerStep,
    SchedulerTables,
    TenurePurpose,
    WallClock,
    WatchTable,
    WriteWaveStatus,
)
from bulrushpulley.entities.jobs.store import (
    Conflicted,
    HistoryLost,
    Purpose,
    RangeRead,
    RowsChanged,
    StoreEvent,
    Transacted,
    TransactOutcomeUnknown,
    TransactRefused,
)
from bulrushpulley.entities.jobs.upkeep import (
    UpkeepOrderAccepted,
    UpkeepOrderFailed,
)
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.link import LinkDown, LinkUp
from bulrushpulley.entities.linker_tables import DialEnded
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.systems.scheduling import (
    advising,
    agents,
    committing,
    dialling,
    explaining,
    following,
    loading,
    machine_list,
    ownership,
    probing,
    purging,
    rechecking,
    rereading,
    upkeep,
    upkeep_refusals,
    wall_clock,
    watching,
    waves,
)


@singledispatch
def can_wait(event: Event) -> bool:
    """Return whether an event may wait for the next tick instead of causing one.

    Most items of agents may. With hundreds of agents, a tick for each of them would
    take most of the owner's processor time.
    """
    return False


@can_wait.register(Contact)
@can_wait.register(Measures)
def _(event: JobItem) -> bool:
    return True


@can_wait.register
def _(event: RunsReport) -> bool:
    return not event.ends and not event.complete


@singledispatch
def apply(event: Event, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Handle one event; kinds that do not concern the role are ignored."""
    return Step(tables=tables)


apply.register(LinkUp, agents.handle_link_up)
apply.register(LinkDown, agents.handle_link_down)
apply.register(JobItem, agents.handle_item)
apply.register(DialEnded, dialling.handle_dial_ended)
apply.register(AdviceReceived, advising.handle_advice_received)
apply.register(AdviceFailed, advising.handle_advice_failed)
apply.register(ExplainJob, explaining.handle_explain_job)
apply.register(MachinesListed, machine_list.handle_machines_listed)
apply.register(ListMachinesFailed, machine_list.handle_list_failed)
apply.register(UpkeepOrderAccepted, upkeep.handle_order_accepted)
apply.register(UpkeepOrderFailed, upkeep_refusals.handle_order_failed)


@apply.register
def _(
    event: OperatorSettingsChanged, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return Step(
        tables=replace(
            tables, operator_settings=event.operator_settings, place_due=True
        )
    )


@apply.register
def _(event: WallClock, tables: SchedulerTables, now: float) -> SchedulerStep:
    return Step(tables=wall_clock.handle_reading(tables, event.wall_s, now))


@apply.register
def _(event: Leave, tables: SchedulerTables, now: float) -> SchedulerStep:
    return Step(tables=replace(tables, leaving=True))


@apply.register
def _(event: StoreEvent, tables: SchedulerTables, now: float) -> SchedulerStep:
    if not _is_current(event.purpose, tables):
        return Step(tables=tables)
    return handle_store_event(event.purpose, event, tables, now)


@singledispatch
def _is_current(purpose: Purpose, tables: SchedulerTables) -> bool:
    """Return whether an answer to a call may still be used; by default it may."""
    return True


@_is_current.register
def _(purpose: TenurePurpose, tables: SchedulerTables) -> bool:
    return purpose.epoch == tables.epoch


@_is_current.register
def _(purpose: CommitProgress, tables: SchedulerTables) -> bool:
    # An attempt that was given up may still be answered after a later one was sent.
    commit = tables.commit
    return commit is not None and (
        purpose.epoch == tables.epoch
        and any(purpose.sequence == batch.row.sequence for batch in commit.batches)
    )


@singledispatch
def handle_store_event(
    purpose: Purpose, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle an answer of the store by the purpose of the call."""
    return Step(tables=tables)


@handle_store_event.register
def _(
    purpose: PollOwner, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return following.handle_owner_read(event, tables, now)
    return following.handle_owner_read_failed(tables, now)


@handle_store_event.register
def _(
    purpose: ProbeStore, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return probing.handle_answered(purpose, tables, now)
    return probing.handle_failed(purpose, tables)


@handle_store_event.register
def _(
    purpose: ProbeWrites, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, (Transacted, Conflicted)):
        return following.handle_write_probe_answered(purpose, tables, now)
    return following.handle_write_probe_failed(purpose, tables)


@handle_store_event.register
def _(
    purpose: LoadTable, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return loading.handle_table_loaded(event, purpose.table, tables, now)
    return loading.handle_read_failed(purpose, tables, now)


@handle_store_event.register
def _(
    purpose: RereadTable, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return watching.handle_table_rows(
            event.rows, event.version, purpose.table, tables, now
        )
    # The watch continues and gets `HistoryLost` again, which starts another read.
    return watching.handle_watch_failed(purpose.table, tables, now)


@handle_store_event.register
def _(
    purpose: WatchTable, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return handle_watch_answer(event, purpose.table, tables, now)


@singledispatch
def handle_watch_answer(
    event: StoreEvent, table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle the answer to a watch; by default the call failed."""
    return watching.handle_watch_failed(table, tables, now)


@handle_watch_answer.register
def _(
    event: RowsChanged, table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return watching.handle_table_rows(event.rows, event.version, table, tables, now)


@handle_watch_answer.register
def _(
    event: HistoryLost, table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return watching.handle_history_lost(table, tables)


@handle_store_event.register
def _(
    purpose: RecheckTable, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return handle_recheck_answer(event, purpose, tables, now)


@singledispatch
def handle_recheck_answer(
    event: StoreEvent, purpose: RecheckTable, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle the answer to a second read; by default the call failed."""
    return rechecking.handle_failed(purpose.table, tables)


@handle_recheck_answer.register
def _(
    event: RowsChanged, purpose: RecheckTable, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return rechecking.handle_changes(event, purpose, tables, now)


@handle_recheck_answer.register
def _(
    event: HistoryLost, purpose: RecheckTable, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return rechecking.handle_history_lost(purpose.table, tables)


@handle_store_event.register
def _(
    purpose: CompareTable, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return rereading.handle_rows(purpose, event, tables, now)
    return rereading.handle_failed(purpose.table, tables)


@handle_store_event.register(ReadMissedProgress)
@handle_store_event.register(ConfirmMissedJobs)
def _(
    purpose: ReadMissedProgress | ConfirmMissedJobs,
    event: StoreEvent,
    tables: SchedulerTables,
    now: float,
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return rereading.handle_rows(purpose, event, tables, now)
    return rereading.handle_failed(JOBS, tables)


@handle_store_event.register
def _(
    purpose: LoadWaves, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return waves.handle_waves_loaded(event, tables, now)
    return waves.handle_load_failed(tables, now)


@handle_store_event.register
def _(
    purpose: WriteWaveStatus, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    # On a conflict a former owner has already written a state of the wave.
    is_written = isinstance(event, (Transacted, Conflicted))
    return waves.handle_status_write_ended(purpose, is_written, tables, now)


@handle_store_event.register
def _(
    purpose: DropJobRows, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if not isinstance(event, Transacted):
        return Step(tables=tables)
    return purging.handle_rows_dropped(purpose, tables, now)


@handle_store_event.register
def _(
    purpose: ClaimShard, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return handle_claim_answer(event, tables, now)


@singledispatch
def handle_claim_answer(
    event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle the answer to a claim; by default its outcome is unknown."""
    return ownership.handle_claim_failed(tables, now)


@handle_claim_answer.register
def _(event: TransactRefused, tables: SchedulerTables, now: float) -> SchedulerStep:
    return ownership.handle_claim_failed(
        tables, now, ownership.REFUSED_CLAIM_RETRY_DELAY_S
    )


@handle_claim_answer.register
def _(event: Transacted, tables: SchedulerTables, now: float) -> SchedulerStep:
    return ownership.handle_claimed(event.version, tables, now)


@handle_claim_answer.register
def _(event: Conflicted, tables: SchedulerTables, now: float) -> SchedulerStep:
    return ownership.handle_claim_conflicted(event, tables, now)


@handle_store_event.register
def _(
    purpose: CommitProgress, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return handle_commit_answer(event, purpose, tables, now)


@singledispatch
def handle_commit_answer(
    event: StoreEvent, purpose: CommitProgress, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle the answer to an attempt of the transaction in flight."""
    return Step(tables=tables)


@handle_commit_answer.register
def _(
    event: Transacted, purpose: CommitProgress, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return committing.handle_committed(event.version, purpose, tables, now)


@handle_commit_answer.register
def _(
    event: Conflicted, purpose: CommitProgress, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return committing.handle_conflicted(event, purpose, tables, now)


@handle_commit_answer.register
def _(
    event: TransactOutcomeUnknown,
    purpose: CommitProgress,
    tables: SchedulerTables,
    now: float,
) -> SchedulerStep:
    return committing.handle_outcome_unknown(purpose, tables, now, event.reason)


@handle_commit_answer.register
def _(
    event: TransactRefused, purpose: CommitProgress, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if event.rejected:
        return committing.handle_rejected(purpose, tables, now, event.reason)
    return committing.handle_refused(purpose, tables, now, event.reason)
