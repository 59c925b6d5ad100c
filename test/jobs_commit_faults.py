"""Answers of the store that are lost, late or refused, in random series.

A transaction is sent again with more in it before it is known what became of the
earlier attempts, and each of them may be applied at any later time. Whatever is, no
task may run twice, and all that was sent and not applied has to be written again.
`python -m test.jobs_commit_faults --seeds A-B` runs many seeds.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable

from bulrushpulley.entities.jobs.rows import JobState, job_key
from bulrushpulley.entities.jobs.scheduler_tables import CommitProgress
from bulrushpulley.entities.jobs.store import Transact
from bulrushpulley.entities.step import Command
from test.jobs_world import JobsWorld, step

ENTRIES = ("entry-0", "entry-1", "entry-2")
HOSTS = 4
JOBS = 6
STARTUP_S = 2.5
TROUBLE_S = 12.0
COMPLETION_TIMEOUT_S = 60.0


def _answer_none(world: JobsWorld, draw: random.Random) -> None:
    world.cut_off_from_store.update(ENTRIES)


def _answer_owner_none(world: JobsWorld, draw: random.Random) -> None:
    world.cut_off_from_store.add(world.owner() or ENTRIES[0])


def _write_late(world: JobsWorld, draw: random.Random) -> None:
    world.late_writes_s = draw.uniform(0.3, 6.0)


def _lose_answers(world: JobsWorld, draw: random.Random) -> None:
    world.lose_answers = True


def _refuse(world: JobsWorld, draw: random.Random) -> None:
    world.store_up = False


def _slow_down(world: JobsWorld, draw: random.Random) -> None:
    world.store_slowdown_factor = draw.choice((20.0, 60.0, 100.0))


def _keep_on(world: JobsWorld, draw: random.Random) -> None:
    """Let the store answer."""


MODES = (
    _answer_none,
    _answer_owner_none,
    _write_late,
    _write_late,
    _lose_answers,
    _lose_answers,
    _refuse,
    _slow_down,
    _keep_on,
)


def _end_mode(world: JobsWorld) -> None:
    world.cut_off_from_store.clear()
    world.late_writes_s = 0.0
    world.lose_answers = False
    world.store_up = True
    world.store_slowdown_factor = 1.0


def _restart_owner(world: JobsWorld, draw: random.Random) -> None:
    world.restart(world.owner() or ENTRIES[0])


def _freeze_owner(world: JobsWorld, draw: random.Random) -> None:
    world.freeze(world.owner() or ENTRIES[0], draw.uniform(0.5, 6.0))


def _restart_agent(world: JobsWorld, draw: random.Random) -> None:
    world.restart(draw.choice(sorted(world.executor_by_host)))


OTHER_FAULTS = (_restart_owner, _restart_owner, _freeze_owner, _restart_agent)


def run_series(
    seed: int, *, inspect: Callable[[Command], None] | None = None
) -> list[str]:
    """Run a series and return the problems; `inspect` is called with each command."""
    draw = random.Random(seed)
    world = JobsWorld(entries=len(ENTRIES), hosts=HOSTS)
    world.hook = inspect
    world.run(STARTUP_S)
    for number in range(JOBS):
        world.at(
            draw.uniform(0.0, TROUBLE_S / 2),
            lambda number=number: _submit(world, number, draw),  # type: ignore[misc]
        )
    world.run(0.5)
    until = world.now + TROUBLE_S
    for _ in range(draw.choice((0, 1, 1, 2))):
        fault = draw.choice(OTHER_FAULTS)
        world.at(
            draw.uniform(0.0, TROUBLE_S),
            lambda fault=fault: fault(world, draw),  # type: ignore[misc]
        )
    while world.now < until:
        draw.choice(MODES)(world, draw)
        world.run(draw.uniform(0.1, 2.5))
        _end_mode(world)
        world.run(draw.choice((0.0, 0.02, 0.3, 1.0)))
    # What is written late has been applied.
    world.run(8.0)

    def accepted() -> list[str]:
        return [
            job_id for job_id in world.spec_by_job if job_key(job_id) in stored_keys
        ]

    stored_keys = world.store.row_by_key
    world.run_until(
        lambda: all(_is_complete(world, job_id) for job_id in accepted()),
        COMPLETION_TIMEOUT_S,
    )
    world.run(2.0)
    problems = list(world.violations)
    problems += [
        f"{job_id} is {world.state_of(job_id)}"
        for job_id in accepted()
        if not _is_complete(world, job_id)
    ]
    return problems


def _submit(world: JobsWorld, number: int, draw: random.Random) -> None:
    chain = (
        step(draw.randint(1, 4)),
        step(draw.randint(1, 3), after=(0,)),
        step(1, after=(1,)),
    )
    payload = f"{draw.uniform(0.2, 1.5):.2f}"
    entry = draw.choice(
        [name for name in ENTRIES if world.process_by_name[name].alive] or list(ENTRIES)
    )
    world.submit(number, *chain, payload=payload, entry=entry)


def _is_complete(world: JobsWorld, job_id: str) -> bool:
    return world.state_of(job_id) is JobState.COMPLETED


class AttemptCounter:
    """Counts the transactions of owners that held more than the attempt before."""

    def __init__(self) -> None:
        self.extended = 0
        self._last: tuple[int, int] = (0, 0)

    def __call__(self, command: Command) -> None:
        """Count a command."""
        if not isinstance(command, Transact):
            return
        purpose = command.purpose
        if not isinstance(purpose, CommitProgress):
            return
        epoch, sequence = self._last
        is_later = purpose.epoch == epoch and purpose.sequence > sequence
        if purpose.attempt > 1 and is_later:
            self.extended += 1
        self._last = (purpose.epoch, purpose.sequence)


def main() -> None:
    """Run many seeds and print those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", required=True)
    first, _, last = parser.parse_args().seeds.partition("-")
    failed, counter = 0, AttemptCounter()
    for seed in range(int(first), int(last) + 1):
        problems = run_series(seed, inspect=counter)
        if problems:
            failed += 1
            print(seed, problems[:4], flush=True)
    print(f"{failed} failed, {counter.extended} extended attempts")


if __name__ == "__main__":
    main()
