"""Amounts of processors, memory and accelerators, in whole units."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Resources:
    """An amount of each resource.

    `processors_m` counts thousandths of a processor, `memory_mb` mebibytes and
    `accelerators` whole devices.
    """

    processors_m: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both amounts."""
        return Resources(
            processors_m=self.processors_m + other.processors_m,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, negative where a worker's capacity was reduced."""
        return Resources(
            processors_m=self.processors_m - other.processors_m,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits(self, free: Resources) -> bool:
        """Tell whether this amount fits into `free` in every resource."""
        return (
            self.processors_m <= free.processors_m
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )


NO_RESOURCES = Resources()
