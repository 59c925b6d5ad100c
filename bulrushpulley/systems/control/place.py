"""Chooses cells for waiting tasks, based on the views of the cells.

Batch tasks go to the cells with the most free capacity. Replicas of a service are
spread: each index starts at another failure domain and, within it, at another
cell. Urgent and latency-critical tasks that fit into no cell are given to a cell
that could free capacity by evicting batch tasks.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from zlib import crc32

from bulrushpulley.entities.backlog import Rank, WaitingRow, WaitReason
from bulrushpulley.entities.cell_view import CellView, count_fitting
from bulrushpulley.entities.controller_tables import ControllerTables
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.rows import TaskClass, TaskSpec
from bulrushpulley.systems.control.cells import used_by
from bulrushpulley.systems.control.records import in_service

MAX_TASKS_PER_TRANSACTION = 64
CELL_SAMPLE_SIZE = 8
MIN_CELLS_PER_MOVE = 4
MAX_DISPLACING_TASKS = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The cell of each task in the order of the indexes, or why there is none.

    `displacing` is set if batch tasks have to be evicted for them.
    """

    cells: tuple[str, ...] = ()
    wait_reason: WaitReason = WaitReason.QUEUED
    displacing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A cell that may be chosen and the number of tasks that fit into it."""

    view: CellView
    free_slots: int

    @property
    def name(self) -> str:
        """The name of the cell."""
        return self.view.cell


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementCache:
    """The task shapes that one pass has already found to fit into no cell."""

    wait_reason_by_shape: dict[tuple[Resources, tuple[str, ...]], WaitReason] = field(
        default_factory=dict
    )


def tasks_within_quota(tables: ControllerTables, spec: TaskSpec) -> int:
    """Return how many more tasks the department's quota allows."""
    quota = tables.quotas.get(spec.department, NO_RESOURCES)
    remaining = quota.minus(used_by(tables, spec.department))
    limits = (
        (quota.processors_m, spec.size.processors_m, remaining.processors_m),
        (quota.memory_mb, spec.size.memory_mb, remaining.memory_mb),
        (quota.accelerators, spec.size.accelerators, remaining.accelerators),
    )
    counts = [
        max(0, available // needed)
        for limit, needed, available in limits
        if limit > 0 and needed > 0
    ]
    return min(counts, default=MAX_TASKS_PER_TRANSACTION)


def choose_cells(
    tables: ControllerTables,
    waiting: WaitingRow,
    spec: TaskSpec,
    max_tasks: int,
    now: float,
    cache: PlacementCache,
) -> Choice:
    """Choose cells for up to `max_tasks` tasks like `spec`, as many as fit.

    `waiting` is the first row of their lane.
    """
    allowed = spec.failure_domains or tuple(sorted(tables.fleet.cells_by_domain))
    reason = _reason_to_wait(tables, spec, allowed)
    if reason is not None:
        return Choice(wait_reason=reason)
    count = min(max_tasks, MAX_TASKS_PER_TRANSACTION, tasks_within_quota(tables, spec))
    if count == 0:
        return Choice(wait_reason=WaitReason.QUOTA)
    domains_in_service = tuple(name for name in allowed if in_service(tables, name))
    shape = (spec.size, domains_in_service)
    if waiting.lane.rank is Rank.BATCH and shape in cache.wait_reason_by_shape:
        return Choice(wait_reason=cache.wait_reason_by_shape[shape])
    names = _cell_names(tables, domains_in_service)
    if waiting.lane.rank is Rank.LATENCY_CRITICAL:
        choice = _spread_replicas(tables, spec, domains_in_service, count, now)
    else:
        choice = _choose_most_free(tables, waiting, spec, names, count, now)
    if choice.cells:
        return choice
    if waiting.lane.rank is not Rank.BATCH:
        return _choose_to_displace(tables, waiting, spec, names, count, now)
    cache.wait_reason_by_shape[shape] = choice.wait_reason
    return choice


def _reason_to_wait(
    tables: ControllerTables, spec: TaskSpec, allowed: tuple[str, ...]
) -> WaitReason | None:
    if not any(tables.fleet.cells_by_domain.get(name) for name in allowed):
        return WaitReason.NO_CELL
    if not tables.fleet.could_hold(spec.size, allowed):
        return WaitReason.NEVER_FITS
    if not any(in_service(tables, name) for name in allowed):
        return WaitReason.DOMAIN_OUT
    return None


def _cell_names(tables: ControllerTables, domains: Iterable[str]) -> tuple[str, ...]:
    by_domain = tables.fleet.cells_by_domain
    return tuple(cell for name in domains for cell in by_domain.get(name, ()))


def _reachable(
    tables: ControllerTables, names: Iterable[str], now: float
) -> list[CellView]:
    views = (tables.cells.get(name) for name in names)
    return [
        view
        for view in views
        if view is not None and view.is_fresh(now) and view.peer in tables.links
    ]


def _candidates(
    tables: ControllerTables, names: Iterable[str], spec: TaskSpec, now: float
) -> list[Candidate]:
    candidates = [
        Candidate(view=view, free_slots=_free_slots(view, spec))
        for view in _reachable(tables, names, now)
    ]
    return [candidate for candidate in candidates if candidate.free_slots > 0]


def _free_slots(view: CellView, spec: TaskSpec) -> int:
    """Return how many tasks fit into a cell.

    Batch tasks do not fit if more tasks wait there than this entry has reserved.
    """
    summary = view.summary
    if summary is None or not spec.size.fits(summary.largest):
        return 0
    if spec.task_class is TaskClass.BATCH and summary.waiting > view.reserved_tasks:
        return 0
    return count_fitting(spec.size, view.free)


def _sample(names: tuple[str, ...], seed: str) -> tuple[str, ...]:
    """Return evenly spaced names, from a start that depends on the seed."""
    if len(names) <= CELL_SAMPLE_SIZE:
        return names
    start = crc32(seed.encode())
    stride = len(names) // CELL_SAMPLE_SIZE
    return tuple(
        names[(start + number * stride) % len(names)]
        for number in range(CELL_SAMPLE_SIZE)
    )


def _choose_most_free(
    tables: ControllerTables,
    waiting: WaitingRow,
    spec: TaskSpec,
    names: tuple[str, ...],
    count: int,
    now: float,
) -> Choice:
    """Choose the freest cells of a sample, or of all if it has too few free slots."""
    seed = f"{waiting.key}|{tables.last_number}"
    candidates = _candidates(tables, _sample(names, seed), spec, now)
    if sum(candidate.free_slots for candidate in candidates) < count:
        candidates = _candidates(tables, names, spec, now)
    if not candidates:
        reachable = _reachable(tables, names, now)
        return Choice(
            wait_reason=WaitReason.NO_ROOM if reachable else WaitReason.NO_CELL
        )
    candidates.sort(key=lambda one: (-one.free_slots, one.name))
    return Choice(cells=_distribute_tasks(candidates, count))


def _sufficient_candidates(candidates: list[Candidate], count: int) -> list[Candidate]:
    """Return enough first candidates for `count` tasks, and at least a few."""
    free_slots = 0
    for position, candidate in enumerate(candidates):
        free_slots += candidate.free_slots
        if free_slots >= count and position + 1 >= min(count, MIN_CELLS_PER_MOVE):
            return candidates[: position + 1]
    return candidates


def _distribute_tasks(candidates: list[Candidate], count: int) -> tuple[str, ...]:
    """Distribute tasks evenly over the candidates, the rest in their order."""
    cells: list[str] = []
    candidates = _sufficient_candidates(candidates, count)
    for position, candidate in enumerate(candidates):
        remaining = count - len(cells)
        cell_share = -(-remaining // (len(candidates) - position))
        cells.extend(
            [candidate.name] * min(cell_share, candidate.free_slots, remaining)
        )
    for candidate in candidates:
        assigned = cells.count(candidate.name)
        extra = min(count - len(cells), candidate.free_slots - assigned)
        cells.extend([candidate.name] * extra)
    return tuple(cells)


def _spread_replicas(
    tables: ControllerTables,
    spec: TaskSpec,
    domains: tuple[str, ...],
    count: int,
    now: float,
) -> Choice:
    ordered = {name: _ordered_candidates(tables, spec, name, now) for name in domains}
    free_slots = {
        candidate.name: candidate.free_slots
        for candidates in ordered.values()
        for candidate in candidates
    }
    cells: list[str] = []
    for index in range(spec.index, spec.index + count):
        cell = _next_cell(ordered, domains, index, free_slots)
        if cell is None:
            break
        free_slots[cell] -= 1
        cells.append(cell)
    return Choice(cells=tuple(cells), wait_reason=WaitReason.NO_ROOM)


def _ordered_candidates(
    tables: ControllerTables, spec: TaskSpec, domain: str, now: float
) -> list[Candidate]:
    found = _candidates(tables, _cell_names(tables, (domain,)), spec, now)
    return sorted(found, key=lambda one: crc32(f"{spec.job}|{one.name}".encode()))


def _next_cell(
    ordered: Mapping[str, list[Candidate]],
    domains: tuple[str, ...],
    index: int,
    free_slots: Mapping[str, int],
) -> str | None:
    """Return a cell with a free slot, starting from the one at `index`."""
    for domain_offset in range(len(domains)):
        candidates = ordered[domains[(index + domain_offset) % len(domains)]]
        for cell_offset in range(len(candidates)):
            position = (index // len(domains) + cell_offset) % len(candidates)
            if free_slots[candidates[position].name] > 0:
                return candidates[position].name
    return None


def _choose_to_displace(
    tables: ControllerTables,
    waiting: WaitingRow,
    spec: TaskSpec,
    names: tuple[str, ...],
    count: int,
    now: float,
) -> Choice:
    eligible = [
        view
        for view in _reachable(tables, names, now)
        if _could_free_capacity(tables, view, spec)
    ]
    if not eligible:
        return Choice(wait_reason=WaitReason.NO_ROOM)
    seed = f"{waiting.key}|{waiting.version}"
    eligible.sort(
        key=lambda one: (_expected_waiting(one), crc32(f"{seed}|{one.cell}".encode())),
    )
    cells = tuple(view.cell for view in eligible[:count])
    return Choice(cells=cells, displacing=True)


def _could_free_capacity(
    tables: ControllerTables, view: CellView, spec: TaskSpec
) -> bool:
    """Tell whether evicting running tasks of a cell could let a task start there."""
    if view.summary is None or view.summary.running == 0:
        return False
    capacities = tables.fleet.capacities_by_cell.get(view.cell, ())
    has_worker = any(spec.size.fits(capacity) for capacity in capacities)
    return has_worker and _expected_waiting(view) < MAX_DISPLACING_TASKS


def _expected_waiting(view: CellView) -> int:
    """Return how many tasks wait in a cell, counting those not yet in its summary."""
    waiting = view.summary.waiting if view.summary is not None else 0
    return max(waiting, view.reserved_tasks)
