"""Dispatches the scheduler's events to its systems."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatch

from bulrushpulley.entities.jobs.advice import AdviceFailed, AdviceReceived
from bulrushpulley.entities.jobs.explanation import ExplainJob
from bulrushpulley.entities.jobs.items import JobItem
from bulrushpulley.entities.jobs.scheduler_tables import (
    ClaimShard,
    CommitProgress,
    LoadTable,
    LoadWaves,
    OperatorSettingsChanged,
    PollOwner,
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
    ListMachinesFailed,
    MachinesListed,
    UpkeepOrderAccepted,
    UpkeepOrderFailed,
)
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.link import LinkDown, LinkUp
from bulrushpulley.entities.linker_tables import DialEnded
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.systems.scheduling import (
    accepting,
    advising,
    agents,
    committing,
    dialling,
    explaining,
    loading,
    ownership,
    upkeep,
    watching,
    waves,
)


@singledispatch
def apply(event: Event, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Handle one event; kinds that do not concern the role are ignored."""
    return Step(tables=tables)


apply.register(LinkUp, agents.on_link_up)
apply.register(LinkDown, agents.on_link_down)
apply.register(JobItem, agents.on_item)
apply.register(DialEnded, dialling.on_dial_ended)
apply.register(AdviceReceived, advising.handle_advice)
apply.register(AdviceFailed, advising.handle_advice_failed)
apply.register(ExplainJob, explaining.on_explain)
apply.register(MachinesListed, waves.handle_machines_listed)
apply.register(ListMachinesFailed, waves.handle_list_failed)
apply.register(UpkeepOrderAccepted, upkeep.handle_order_accepted)
apply.register(UpkeepOrderFailed, upkeep.handle_order_failed)


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
    return Step(tables=accepting.set_wall_offset(tables, event.wall_s, now))


@apply.register
def _(event: Leave, tables: SchedulerTables, now: float) -> SchedulerStep:
    return Step(tables=replace(tables, leaving=True))


@apply.register
def _(event: StoreEvent, tables: SchedulerTables, now: float) -> SchedulerStep:
    if not _is_current(event.purpose, tables):
        return Step(tables=tables)
    return on_store(event.purpose, event, tables, now)


@singledispatch
def _is_current(purpose: Purpose, tables: SchedulerTables) -> bool:
    """Tell whether a call was made by the current tenure, if that matters."""
    return True


@_is_current.register
def _(purpose: TenurePurpose, tables: SchedulerTables) -> bool:
    return purpose.epoch == tables.epoch


@singledispatch
def on_store(
    purpose: Purpose, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle an answer of the store by the purpose of the call."""
    return Step(tables=tables)


@on_store.register
def _(
    purpose: PollOwner, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return ownership.on_owner_read(event, tables, now)
    return ownership.on_owner_read_failed(tables, now)


@on_store.register
def _(
    purpose: LoadTable, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return loading.on_loaded(event, purpose.table, tables, now)
    return loading.on_read_failed(purpose.table, tables, now)


@on_store.register
def _(
    purpose: RereadTable, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return watching.on_rows(event.rows, event.version, purpose.table, tables, now)
    # The watch continues and gets `HistoryLost` again, which starts another read.
    return watching.on_failed(purpose.table, tables, now)


@on_store.register
def _(
    purpose: WatchTable, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return on_watched(event, purpose.table, tables, now)


@singledispatch
def on_watched(
    event: StoreEvent, table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Handle the answer to a watch; by default the call failed."""
    return watching.on_failed(table, tables, now)


@on_watched.register
def _(
    event: RowsChanged, table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return watching.on_rows(event.rows, event.version, table, tables, now)


@on_watched.register
def _(
    event: HistoryLost, table: str, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return watching.on_history_lost(table, tables)


@on_store.register
def _(
    purpose: LoadWaves, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    if isinstance(event, RangeRead):
        return waves.handle_waves_loaded(event, tables, now)
    return waves.handle_load_failed(tables, now)


@on_store.register
def _(
    purpose: WriteWaveStatus, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    done = isinstance(event, (Transacted, Conflicted))
    return waves.handle_state_reported(purpose, done, tables, now)


@on_store.register
def _(
    purpose: ClaimShard, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return on_claim(event, tables, now)


@singledispatch
def on_claim(event: StoreEvent, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Handle the answer to a claim; by default its outcome is unknown."""
    return ownership.on_claim_failed(tables, now)


@on_claim.register
def _(event: Transacted, tables: SchedulerTables, now: float) -> SchedulerStep:
    return ownership.on_claimed(event.version, tables, now)


@on_claim.register
def _(event: Conflicted, tables: SchedulerTables, now: float) -> SchedulerStep:
    return ownership.on_claim_conflict(event, tables, now)


@on_store.register
def _(
    purpose: CommitProgress, event: StoreEvent, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return on_commit(event, tables, now)


@singledispatch
def on_commit(event: StoreEvent, tables: SchedulerTables, now: float) -> SchedulerStep:
    """Handle the answer to the transaction in flight."""
    return Step(tables=tables)


@on_commit.register
def _(event: Transacted, tables: SchedulerTables, now: float) -> SchedulerStep:
    return committing.on_committed(event.version, tables, now)


@on_commit.register
def _(event: Conflicted, tables: SchedulerTables, now: float) -> SchedulerStep:
    return committing.on_conflict(event, tables, now)


@on_commit.register
def _(
    event: TransactOutcomeUnknown, tables: SchedulerTables, now: float
) -> SchedulerStep:
    return committing.on_outcome_unknown(tables, now, event.reason)


@on_commit.register
def _(event: TransactRefused, tables: SchedulerTables, now: float) -> SchedulerStep:
    return committing.on_refused(tables, now, event.reason)
