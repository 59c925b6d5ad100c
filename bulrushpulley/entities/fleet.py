"""The configured cells and workers, indexed for placement."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bulrushpulley.entities.cell_view import sum_resources
from bulrushpulley.entities.records import CellRecord
from bulrushpulley.entities.resources import NO_RESOURCES, Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class Fleet:
    """The cells and worker capacities, and the total capacity of all workers.

    Equal worker capacities are listed once for each failure domain, but once for each
    worker of a cell.
    """

    cells_by_domain: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    capacities_by_domain: Mapping[str, tuple[Resources, ...]] = field(
        default_factory=dict
    )
    capacities_by_cell: Mapping[str, tuple[Resources, ...]] = field(
        default_factory=dict
    )
    capacity: Resources = NO_RESOURCES

    def could_hold(self, size: Resources, failure_domains: tuple[str, ...]) -> bool:
        """Tell whether some worker of the allowed failure domains is large enough.

        An empty `failure_domains` allows all.
        """
        allowed = failure_domains or tuple(self.capacities_by_domain)
        return any(
            size.fits(capacity)
            for name in allowed
            for capacity in self.capacities_by_domain.get(name, ())
        )


def fleet_of(records: Iterable[CellRecord]) -> Fleet:
    """Index cell records for placement."""
    cells: dict[str, list[str]] = {}
    by_domain: dict[str, set[Resources]] = {}
    by_cell: dict[str, tuple[Resources, ...]] = {}
    for record in records:
        capacities = tuple(worker.capacity for worker in record.workers)
        cells.setdefault(record.failure_domain, []).append(record.name)
        by_domain.setdefault(record.failure_domain, set()).update(capacities)
        by_cell[record.name] = capacities
    return Fleet(
        cells_by_domain={name: tuple(sorted(found)) for name, found in cells.items()},
        capacities_by_domain={name: tuple(found) for name, found in by_domain.items()},
        capacities_by_cell=by_cell,
        capacity=sum_resources(
            tuple(one for found in by_cell.values() for one in found)
        ),
    )
