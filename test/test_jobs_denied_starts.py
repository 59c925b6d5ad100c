"""Tests that a denied start is carried out nowhere later, whatever came before it.

A run whose start is denied may be given back to the owner without being barred only if
no other call for it can be in flight: neither an earlier one without answer, nor one of
an earlier process of the agent. Otherwise its task starts elsewhere, and the call is
carried out late (TWICE).
"""

from __future__ import annotations

import random

import testtools

from bulrushpulley.entities.jobs.rows import JobState, job_key
from test.jobs_refusals import (
    CarryOutLate,
    DenyStarts,
    LoseStarts,
    RefuseStarts,
    Trouble,
    TroubledExecutor,
)
from test.jobs_world import JobsWorld, step

ENTRIES = ("entry-0", "entry-1")
# They fail if denied starts are given back although an earlier process sent a call.
SEEDS = (16, 17, 18, 25)
JOBS = 8
TROUBLE_S = 12.0
COMPLETION_TIMEOUT_S = 60.0
DENIALS = (
    Trouble(),
    Trouble(),
    LoseStarts(),
    RefuseStarts(),
    DenyStarts(reason="room"),
    DenyStarts(reason="fence"),
    DenyStarts(reason="late"),
)


def _draw_trouble(draw: random.Random) -> Trouble:
    if draw.random() < 0.3:
        stops_too = draw.random() < 0.3
        return CarryOutLate(delay_s=draw.uniform(0.3, 8.0), stops_too=stops_too)
    return draw.choice(DENIALS)


def _restart_or_freeze(world: JobsWorld, draw: random.Random) -> None:
    drawn, host = draw.random(), draw.choice(sorted(world.executor_by_host))
    if drawn < 0.35:
        world.restart(host)
    elif drawn < 0.42:
        world.restart(world.owner() or ENTRIES[0])
    elif drawn < 0.5:
        world.freeze(host, draw.uniform(0.3, 3.0))


def _submit(world: JobsWorld, number: int, draw: random.Random) -> None:
    alive = [name for name in ENTRIES if world.process_by_name[name].alive]
    if alive:
        steps = (step(draw.randint(1, 3)), step(1, after=(0,)))
        payload = f"{draw.uniform(0.3, 3.0):.2f}"
        world.submit(number, *steps, payload=payload, entry=draw.choice(alive))


def run_series(seed: int) -> list[str]:
    """Run a series of denied, lost and late starts, and return the problems."""
    draw = random.Random(seed)
    world = JobsWorld(entries=len(ENTRIES), hosts=4)
    world.run(2.5)
    servers = [
        TroubledExecutor(world=world, host=host) for host in world.executor_by_host
    ]
    for number in range(JOBS):
        after_s = draw.uniform(0.0, TROUBLE_S / 2)
        world.at(after_s, lambda number=number: _submit(world, number, draw))  # type: ignore[misc]
    until = world.now + TROUBLE_S
    while world.now < until:
        for server in servers:
            server.trouble = _draw_trouble(draw)
        _restart_or_freeze(world, draw)
        world.run(draw.uniform(0.15, 0.9))
    for server in servers:
        server.trouble = Trouble()

    def incomplete() -> list[str]:
        return [
            job_id
            for job_id in world.spec_by_job
            if job_key(job_id) in world.store.row_by_key
            and world.state_of(job_id) is not JobState.COMPLETED
        ]

    world.run_until(lambda: not incomplete(), COMPLETION_TIMEOUT_S)
    world.run(3.0)
    waiting = [f"{job_id} is {world.state_of(job_id)}" for job_id in incomplete()]
    return [*world.violations, *waiting]


class DeniedStartsTest(testtools.TestCase):
    def test_no_task_runs_twice_or_waits_for_ever(self) -> None:
        failed = {seed: found for seed in SEEDS if (found := run_series(seed))}
        self.assertEqual({}, failed)
