"""Table-driven placement tests; test-data/jobs/placing.txt has input and outcome."""

from __future__ import annotations

import pathlib
from dataclasses import dataclass, replace
from typing import Any

import testtools

from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.resources import Resources
from test.jobs_world import JobsWorld

CASES = pathlib.Path(__file__).resolve().parent.parent / "test-data/jobs/placing.txt"
MEMORY_MB = 8_000
STARTUP_S = 2.0
PLACEMENT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """A named case and its lines, split into words."""

    name: str
    lines: tuple[tuple[str, ...], ...]


def read_cases() -> list[Case]:
    """Read the case file."""
    cases: list[Case] = []
    for line in CASES.read_text().splitlines():
        if line.startswith("["):
            cases.append(Case(name=line.strip("[]"), lines=()))
        elif line and not line.startswith("#"):
            last = cases.pop()
            cases.append(replace(last, lines=(*last.lines, tuple(line.split()))))
    return cases


def options(words: tuple[str, ...]) -> dict[str, str]:
    """Parse words of the form name=value."""
    return dict(word.split("=", 1) for word in words)


def step_of(given: dict[str, str]) -> StepSpec:
    """Return the step that a line describes."""
    size = Resources(
        processors_m=int(given["cpu"]), memory_mb=int(given.get("mem", "100"))
    )
    return StepSpec(
        count=int(given["count"]),
        size=size,
        needs_label=given.get("needs", ""),
        near_rack=given.get("near", ""),
        one_rack="one_rack" in given,
        per_host_limit=int(given.get("per_host", "0")),
        gang="gang" in given,
        fills="fills" in given,
        image=given.get("image", ""),
        latency_target_ms=float(given.get("target", "0")),
        lasting="lasting" in given,
    )


class PlacingTest(testtools.TestCase):
    def test_every_case(self) -> None:
        for case in read_cases():
            with self.subTest(case.name):
                self._run_case(case)

    def _run_case(self, case: Case) -> None:
        world = JobsWorld(hosts=0)
        steps = 0
        for kind, *words in case.lines:
            given = tuple(words)
            if kind == "host":
                self._add_host(world, given[0], options(given[1:]))
            elif kind == "then":
                world.run(PLACEMENT_S)
            elif kind == "step":
                steps += 1
                if steps == 1:
                    world.run(STARTUP_S)
                world.submit(steps, step_of(options(given)), payload="99.0")
            else:
                world.run(PLACEMENT_S)
                self.assertEqual(options(given), self._running(world))
        self.assertEqual([], world.violations)

    def _add_host(self, world: JobsWorld, name: str, given: dict[str, str]) -> None:
        world.start_host(name)
        executor = world.executor_by_host[name]
        capacity = Resources(processors_m=int(given["cpu"]), memory_mb=MEMORY_MB)
        executor.capacity = capacity
        executor.labels = (given.get("labels", f"rack-{name}"),)

    def _running(self, world: JobsWorld) -> dict[str, Any]:
        return {
            name: str(len(executor.run_by_key))
            for name, executor in world.executor_by_host.items()
            if executor.run_by_key
        }
