"""An entry's view of a cell: the owner's last summary and the reservations.

A reservation represents tasks that were assigned to the cell but that its
summaries cannot show yet. It keeps capacity from being allocated twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import reduce

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.link import CellSummary
from bulrushpulley.entities.resources import NO_RESOURCES, Resources

MAX_SUMMARY_AGE_S = 15.0
RESERVATION_RETENTION_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Tasks being assigned to a cell; `total` is the sum of their sizes.

    `committed_at` is None while the assigning transaction is in flight.
    """

    submission_id: str
    department: str
    tasks: int
    total: Resources
    committed_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class CellView:
    """The last summary of a cell, received from `peer` at `last_summary_at`.

    `free` is the free capacity of the summary minus the reservations, and
    `reserved_tasks` the number of tasks in the reservations.
    """

    cell: str
    failure_domain: str
    first_seen_at: float
    summary: CellSummary | None = None
    peer: str = ""
    last_summary_at: float = 0.0
    reservations: tuple[Reservation, ...] = ()
    free: Resources = NO_RESOURCES
    reserved_tasks: int = 0

    def is_fresh(self, now: float) -> bool:
        """Tell whether the last summary is recent enough to base placements on."""
        return (
            self.summary is not None and now - self.last_summary_at < MAX_SUMMARY_AGE_S
        )


def sum_resources(amounts: tuple[Resources, ...]) -> Resources:
    """Return the sum of amounts."""
    return reduce(Resources.plus, amounts, NO_RESOURCES)


def multiply_resources(amount: Resources, count: int) -> Resources:
    """Return `count` times an amount."""
    return Resources(
        processors_m=amount.processors_m * count,
        memory_mb=amount.memory_mb * count,
        accelerators=amount.accelerators * count,
    )


def count_fitting(size: Resources, capacity: Resources) -> int:
    """Return how many tasks of `size` fit into `capacity`.

    How the capacity is divided among workers is not considered.
    """
    pairs = (
        (size.processors_m, capacity.processors_m),
        (size.memory_mb, capacity.memory_mb),
        (size.accelerators, capacity.accelerators),
    )
    return max(0, min((have // need for need, have in pairs if need > 0), default=0))


def _recount(view: CellView) -> CellView:
    reserved = sum_resources(
        tuple(reservation.total for reservation in view.reservations)
    )
    free = view.summary.free.minus(reserved) if view.summary else NO_RESOURCES
    tasks = sum(reservation.tasks for reservation in view.reservations)
    return replace(view, free=free, reserved_tasks=tasks)


def with_summary(view: CellView, summary: CellSummary, now: float) -> CellView:
    """Apply a new summary and drop the reservations that it must already show.

    Tasks that wait in the cell use no capacity there yet, so the newest
    reservations are kept until they cover as many tasks as wait.
    """
    if not view.reservations:
        return replace(
            view,
            summary=summary,
            peer=summary.peer,
            last_summary_at=now,
            failure_domain=summary.failure_domain,
            free=summary.free,
        )
    kept: tuple[Reservation, ...] = ()
    tasks = 0
    for reservation in reversed(view.reservations):
        settled = (
            reservation.committed_at is not None
            and now >= reservation.committed_at + RESERVATION_RETENTION_S
        )
        if settled and tasks >= summary.waiting:
            continue
        kept = (reservation, *kept)
        tasks += reservation.tasks
    return _recount(
        replace(
            view,
            summary=summary,
            peer=summary.peer,
            last_summary_at=now,
            failure_domain=summary.failure_domain,
            reservations=kept,
        )
    )


def with_reservation(view: CellView, reservation: Reservation) -> CellView:
    """Reserve capacity for tasks that are being assigned."""
    return _recount(
        replace(view, reservations=(*view.reservations, reservation)),
    )


def mark_reservation_committed(
    view: CellView, submission_id: str, now: float
) -> CellView:
    """Mark the reservation of an assignment as committed at `now`."""
    marked = tuple(
        replace(reservation, committed_at=now)
        if reservation.submission_id == submission_id
        else reservation
        for reservation in view.reservations
    )
    return replace(view, reservations=marked)


def without_reservation(view: CellView, submission_id: str) -> CellView:
    """Release the capacity of an assignment that did not take effect."""
    kept = tuple(
        reservation
        for reservation in view.reservations
        if reservation.submission_id != submission_id
    )
    return _recount(replace(view, reservations=kept))


def usage_by_department(view: CellView) -> tuple[tuple[str, Resources], ...]:
    """Return what each department uses or has reserved in the cell."""
    summary = view.summary
    used = [(use.department, use.committed) for use in summary.uses] if summary else []
    reserved = [
        (reservation.department, reservation.total) for reservation in view.reservations
    ]
    return (*used, *reserved)
