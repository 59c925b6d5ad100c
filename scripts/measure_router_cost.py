"""Measures the router's processor time and memory by servers and waiting calls.

Run with ``scripts/measure router_cost``. One call at a time is accepted,
dispatched and answered while others wait. Only the router's ticks are measured.
"""

from __future__ import annotations

import time
import tracemalloc
from typing import Any

from absl import app

from bulrushpulley.entities.calls import CallReceived
from bulrushpulley.entities.link import Announce, Answered, Dispatch, LinkUp, Send
from bulrushpulley.entities.step import Command
from bulrushpulley.roles import router

SERVICE = "oven-conductor"
SLOTS = 8
CALL_COUNT = 400
CALL_INTERVAL_S = 0.001
# Pairs of the numbers of servers and of waiting calls.
SIZES = ((10, 0), (40, 0), (160, 0), (10, 500), (10, 2_000))


def announce(name: str, running: int) -> Announce:
    """Return an agent's announcement."""
    return Announce(
        peer=name,
        agent=name,
        incarnation=name,
        service=SERVICE,
        region="ege",
        failure_domain="ege-izmir",
        slots=SLOTS,
        running=running,
        queued=0,
        healthy=True,
        leaving=False,
        applied_revision=1,
    )


def call(name: str) -> CallReceived:
    """Return a repeatable call."""
    return CallReceived(
        call_id=name,
        service=SERVICE,
        request_id="",
        repeatable=True,
        within_s=50.0,
        body=b"x" * 200,
    )


def dispatches_in(commands: tuple[Command, ...]) -> list[tuple[str, Dispatch]]:
    """Return the dispatches among commands with their receivers."""
    sends = [item for item in commands if type(item) is Send]
    return [(send.peer, send.item) for send in sends if type(send.item) is Dispatch]


def answers_to(commands: tuple[Command, ...]) -> list[Answered]:
    """Return an answer to every dispatch among commands."""
    return [
        Answered(
            peer=peer, attempt_id=item.attempt_id, status=200, body=b"", took_s=0.02
        )
        for peer, item in dispatches_in(commands)
    ]


def build_router(servers: int, waiting: int) -> Any:
    """Return a router and its tables; servers are full if calls are to wait."""
    role = router.build(incarnation="e1", region="ege")
    names = [f"a{number}" for number in range(servers)]
    running = 2 * SLOTS if waiting else 0
    events: list[Any] = [LinkUp(peer=name, region="ege") for name in names]
    events += [announce(name, running) for name in names]
    events += [call(f"w{number}") for number in range(waiting)]
    return role, role.tick(role.tables, events, 0.0).tables


def measure(servers: int, waiting: int) -> str:
    """Return a line with the costs of a router of one size."""
    tracemalloc.start()
    role, tables = build_router(servers, waiting)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    now = 0.0
    started_at = time.process_time()
    for number in range(CALL_COUNT):
        now += CALL_INTERVAL_S
        step = role.tick(tables, [call(f"c{number}")], now)
        tables = role.tick(step.tables, answers_to(step.commands), now).tables
    processor_us = (time.process_time() - started_at) / CALL_COUNT * 1e6
    return (
        f"{servers:4} servers, {waiting:5} calls waiting:"
        f" {processor_us:7.0f} us a call, {memory_kb:7.0f} KB in tables"
    )


def main(argv: list[str]) -> None:
    """Measure every size."""
    del argv
    for servers, waiting in SIZES:
        print(measure(servers, waiting), flush=True)


if __name__ == "__main__":
    app.run(main)
