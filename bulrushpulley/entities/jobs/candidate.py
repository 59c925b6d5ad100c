"""Hosts as candidates for the placement of tasks."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.resources import Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A host that is open for tasks, as it is after the placements of this pass."""

    host: Host
    free: Resources
    filling_m: int
    lasting_m: int
    target_by_image: Mapping[str, float]
    units_by_image: Mapping[str, float]

    @property
    def load(self) -> float:
        """The fraction of the processors committed, or requested by filling tasks."""
        capacity = max(1, self.host.capacity.processors_m)
        return (capacity - self.free.processors_m + self.filling_m) / capacity

    @property
    def committed_fraction(self) -> float:
        """The fraction of the processors that is committed."""
        capacity = max(1, self.host.capacity.processors_m)
        return 1.0 - self.free.processors_m / capacity

    def with_task(self, step: StepSpec) -> Candidate:
        """Return the candidate with one more task of a step."""
        filling = step.size.processors_m if step.fills else 0
        lasting = step.committed.processors_m if step.lasting else 0
        targets, units = self.target_by_image, self.units_by_image
        if step.serves:
            targets = {**targets, step.image: step.latency_target_ms}
        elif step.image:
            image_units = units.get(step.image, 0.0) + self.units_of(step)
            units = {**units, step.image: image_units}
        return replace(
            self,
            free=self.free.minus(step.committed),
            filling_m=self.filling_m + filling,
            lasting_m=self.lasting_m + lasting,
            target_by_image=targets,
            units_by_image=units,
        )

    def units_of(self, step: StepSpec) -> float:
        """Return the size of one task of a step, in tenths of the host's processors."""
        return 10 * step.size.processors_m / max(1, self.host.capacity.processors_m)
