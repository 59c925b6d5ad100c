"""Runs many job agents with simulated backend servers in one process.

Each agent has the product's role and its own listener for links, so that the owner of
a shard sees as many agents as on a large site, without a process for each.
"""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
from functools import partial, singledispatchmethod
from typing import Any

from absl import app, flags

from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.executor_calls import ExecutorCommand, PollRuns
from bulrushpulley.entities.jobs.job_agent_tables import JobAgentTables
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder
from bulrushpulley.entities.jobs.store import ReadRange, StoreCommand, Transact
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem
from bulrushpulley.platform.row_store import RowStoreClient
from bulrushpulley.roles import job_agent
from bulrushpulley.roles.actor import seconds_since_boot
from bulrushpulley.roles.job_links import (
    JOB_LINK_HEARTBEAT_INTERVAL_S,
    JOB_LINK_SILENCE_TIMEOUT_S,
)
from bulrushpulley.wire.link_server import LinkServer
from bulrushpulley.wire.link_stream import LinkHooks
from bulrushpulley.wire.links import Links
from standins.executor_core import FakeExecutor

FLAGS = flags.FLAGS
HOST = "127.0.0.1"
CAPACITY = Resources(processors_m=32_000, memory_mb=125_000)
CALL_LATENCY_S = 0.001
ADVANCE_INTERVAL_S = 0.05
ANNOUNCE_INTERVAL_S = 1.1
STORE_THREADS = 4
KILL_TIME_S = 0.3


def ignore_count(count: Count) -> None:
    """Drop a count."""


def report(problem: Problem) -> None:
    """Print a problem."""
    print(problem, flush=True)


def ignore_run(kind: str, executor: FakeExecutor, run: RunOrder | RunEnd) -> None:
    """Drop an event of a backend server."""


class HerdAgent:
    """One agent and its backend server; all methods run on the event loop."""

    def __init__(
        self, *, name: str, port: int, store: RowStoreClient, pool: ThreadPoolExecutor
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._pool = pool
        self._events: list[Event] = []
        self._is_tick_due = False
        self._executor = FakeExecutor(
            host=name,
            capacity=CAPACITY,
            listener=ignore_run,
            incarnation_started_at=seconds_since_boot(),
        )
        tables = JobAgentTables(
            host=name,
            failure_domain=name.split("-")[0],
            region="ege",
            address=f"{HOST}:{port}",
            bounds=Bounds(kill_s=KILL_TIME_S),
        )
        self._role = job_agent.build(tables)
        self._tables = tables
        self._links = Links(loop=self._loop)
        hooks = LinkHooks(
            incarnation=f"{name}-1",
            region="ege",
            receive=self._receive,
            count=ignore_count,
            report=report,
            heartbeat_interval_s=JOB_LINK_HEARTBEAT_INTERVAL_S,
            silence_timeout_s=JOB_LINK_SILENCE_TIMEOUT_S,
        )
        self._server = LinkServer(host=HOST, port=port, links=self._links, hooks=hooks)

    async def run(self) -> None:
        """Serve links, and tick at the role's interval."""
        await self._server.start()
        announce_at = 0.0
        while True:
            now = seconds_since_boot()
            if now >= announce_at:
                announce_at = now + ANNOUNCE_INTERVAL_S
                self._events.append(self._executor.announcement(now))
            self._tick()
            await asyncio.sleep(self._role.tick_interval_s)

    def _receive(self, event: Event) -> None:
        self._events.append(event)
        if not self._is_tick_due and not self._role.can_wait(event):
            self._is_tick_due = True
            self._loop.call_soon(self._tick)

    def _tick(self) -> None:
        self._is_tick_due = False
        events, self._events = self._events, []
        step = self._role.tick(self._tables, events, seconds_since_boot())
        self._tables = step.tables
        for command in step.commands:
            self._carry_out(command)

    @singledispatchmethod
    def _carry_out(self, command: Command) -> None:
        """Ignore commands that nothing here depends on."""

    @_carry_out.register
    def _(self, command: Send) -> None:
        self._links.send(command)

    @_carry_out.register
    def _(self, command: StoreCommand) -> None:
        done = self._loop.run_in_executor(self._pool, partial(self._call, command))
        done.add_done_callback(lambda future: self._receive(future.result()))

    @singledispatchmethod
    def _call(self, command: StoreCommand) -> Event:
        raise NotImplementedError(type(command).__name__)

    @_call.register
    def _(self, command: Transact) -> Event:
        return self._store.transact(command)

    @_call.register
    def _(self, command: ReadRange) -> Event:
        return self._store.read_range(command)

    @_carry_out.register
    def _(self, command: ExecutorCommand) -> None:
        wait_s = command.wait_ms / 1_000 if isinstance(command, PollRuns) else 0.0
        until = seconds_since_boot() + wait_s
        self._loop.call_later(CALL_LATENCY_S, self._call_executor, command, until)

    def _call_executor(self, command: ExecutorCommand, until: float) -> None:
        now = seconds_since_boot()
        self._executor.advance(now)
        if now < until and not self._executor.ends:
            delay_s = min(ADVANCE_INTERVAL_S, until - now)
            self._loop.call_later(delay_s, self._call_executor, command, until)
            return
        self._receive(self._executor.call(command, now))


async def run_herd() -> None:
    """Run the agents on the ports given by the flags."""
    store = RowStoreClient(url=FLAGS.store, connections=STORE_THREADS, report=report)
    pool = ThreadPoolExecutor(STORE_THREADS)
    agents = [
        HerdAgent(
            name=f"z{int(port) % 6}-{port}", port=int(port), store=store, pool=pool
        )
        for port in FLAGS.ports
    ]
    await asyncio.gather(*(agent.run() for agent in agents))


def main(argv: list[Any]) -> None:
    """Run until the process is killed."""
    del argv
    asyncio.run(run_herd())


if __name__ == "__main__":
    flags.DEFINE_list("ports", [], "The port of each agent's listener.")
    flags.DEFINE_string("store", "", "The URL of the store.")
    app.run(main)
