"""Assembles and runs an entry on the users' platform: intake and scheduler."""

from __future__ import annotations

import threading
import zlib
from functools import partial
from typing import Any

from bulrushpulley.entities.address import split_address
from bulrushpulley.entities.jobs.intake_tables import INTAKE
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.step import Command
from bulrushpulley.logs import log_process
from bulrushpulley.platform.advice import AdviceClient
from bulrushpulley.platform.job_front import JobFront
from bulrushpulley.platform.machines import MachinesClient
from bulrushpulley.platform.ready_front import ReadyFront
from bulrushpulley.platform.row_store import RowStoreClient
from bulrushpulley.roles import intake, scheduler
from bulrushpulley.roles.actor import seconds_since_boot
from bulrushpulley.roles.intake_io import IntakePorts
from bulrushpulley.roles.job_links import (
    JOB_LINK_HEARTBEAT_INTERVAL_S,
    JOB_LINK_HELLO_TIMEOUT_S,
    JOB_LINK_SILENCE_TIMEOUT_S,
)
from bulrushpulley.roles.runtime import Runtime
from bulrushpulley.roles.scheduler_io import SchedulerPorts
from bulrushpulley.settings import JobEntrySettings
from bulrushpulley.systems.scheduling import renewals
from bulrushpulley.wire.http_server import HttpServer
from bulrushpulley.wire.link_client import Dialler
from bulrushpulley.wire.pending import PendingCalls

# Writes to a slow store hold threads for long; the reads that check whether these
# writes took effect need others.
INTAKE_THREADS = 14
# In an outage each of the owner's calls holds a thread until its timeout, and the
# transaction that is sent again once the store answers needs one at once.
SCHEDULER_THREADS = 10
CALLER_THREADS = 24
READY_THREADS = 2
LINK_FLUSH_TIMEOUT_S = 0.5
LINKS_CLOSE_TIMEOUT_S = 2.0
# An entry with this many processors claims a shard without owner immediately.
AMPLE_PROCESSORS = 2.0


class JobEntryProcess:
    """A job entry process: intake, scheduler, and servers for callers and checks."""

    def __init__(self, *, settings: JobEntrySettings, incarnation: str) -> None:
        self.runtime = Runtime(
            name=settings.name,
            incarnation=incarnation,
            region=settings.region,
            log_fd=settings.logs.file_descriptor,
        )
        self._settings = settings
        self._pending = PendingCalls(incarnation=incarnation)
        self._ready = threading.Event()
        self._dialler = Dialler(
            links=self.runtime.links,
            hooks=self.runtime.hooks(
                heartbeat_interval_s=JOB_LINK_HEARTBEAT_INTERVAL_S,
                silence_timeout_s=JOB_LINK_SILENCE_TIMEOUT_S,
            ),
            hello_timeout_s=JOB_LINK_HELLO_TIMEOUT_S,
        )

    def start(self) -> None:
        """Start all parts; the listeners then accept calls."""
        self.runtime.start()
        common_ports = self.runtime.ports(answer=self._answer)
        self._start_scheduler(common_ports)
        self._start_intake(common_ports)
        self._start_fronts()
        log_process(process=self.runtime.name, stage="started")

    def _make_store_client(self, connections: int) -> RowStoreClient:
        return RowStoreClient(
            url=self._settings.store.url,
            connections=connections,
            report=self.runtime.report,
            clock=seconds_since_boot,
        )

    def _start_scheduler(self, common_ports: dict[str, Any]) -> None:
        settings = self._settings
        role = scheduler.build(
            name=settings.name,
            incarnation=self.runtime.incarnation,
            takeover_stagger=takeover_stagger(settings),
            claim_stagger=claim_stagger(settings),
            slowness=renewals.slowness(settings.processor.processors),
            bounds=settings.bounds.within(settings.limits),
        )
        ports = SchedulerPorts(
            **common_ports,
            store=self._make_store_client(SCHEDULER_THREADS),
            dial=self._dial,
            advice=(
                AdviceClient(address=settings.advice, report=self.runtime.report)
                if settings.advice
                else None
            ),
            machines=(
                MachinesClient(address=settings.machines, report=self.runtime.report)
                if settings.machines
                else None
            ),
        )
        self.runtime.start_role(role, ports, threads=SCHEDULER_THREADS)

    def _dial(self, address: str) -> None:
        self.runtime.loop.call_soon_threadsafe(self._dialler.dial, address)

    def _start_intake(self, common_ports: dict[str, Any]) -> None:
        ports = IntakePorts(
            **common_ports,
            store=self._make_store_client(INTAKE_THREADS),
            set_ready=self._set_ready,
        )
        role = intake.build(orders_within_s=self._settings.limits.orders_within_s)
        self.runtime.start_role(role, ports, threads=INTAKE_THREADS)

    def _set_ready(self, ready: bool) -> None:
        (self._ready.set if ready else self._ready.clear)()

    def _answer(self, command: Command) -> None:
        self._pending.resolve(getattr(command, "call_id"), command)  # noqa: B009

    def _start_fronts(self) -> None:
        job_front = JobFront(
            pending=self._pending, tell=partial(self.runtime.tell, INTAKE)
        )
        ready_front = ReadyFront(
            is_ready=self._ready.is_set,
            metrics_text=self.runtime.metrics.text,
            pending=self._pending,
            tell=partial(self.runtime.tell, SCHEDULER),
        )
        self._caller_server = self._make_server(
            self._settings.callers, job_front.handle, CALLER_THREADS
        )
        self._ready_server = self._make_server(
            self._settings.ready, ready_front.handle, READY_THREADS
        )
        self._caller_server.start()
        self._ready_server.start()

    def _make_server(self, address: str, handler: Any, threads: int) -> HttpServer:
        host, port = split_address(address)
        return HttpServer(
            host=host,
            port=port,
            handler=handler,
            threads=threads,
            report=self.runtime.report,
        )

    def stop(self) -> None:
        """Release the shard, finish calls in flight, then stop.

        Readiness checks fail from the start of the notice, and calls are still accepted
        during it.
        """
        stop = self._settings.stop
        log_process(process=self.runtime.name, stage="leaving")
        self.runtime.tell(SCHEDULER, Leave())
        self.runtime.tell(INTAKE, Leave())
        self.runtime.skip_notice.wait(stop.notice_s)
        self._caller_server.stop(stop.within_s)
        self._ready_server.stop(LINK_FLUSH_TIMEOUT_S)
        closing = self.runtime.links.close(LINK_FLUSH_TIMEOUT_S)
        self.runtime.run_on_loop(closing).result(LINKS_CLOSE_TIMEOUT_S)
        self.runtime.stop()


def takeover_stagger(settings: JobEntrySettings) -> float:
    """Return a number from 0 to 1, derived from the entry's name.

    Among entries equally near the store, lower numbers take over the shard earlier.
    """
    return (zlib.crc32(settings.name.encode()) % 997) / 997


def claim_stagger(settings: JobEntrySettings) -> float:
    """Return a number from 0 to 1, lower the more processor time the entry has.

    The owner of a shard needs far more processor time than other entries.
    """
    return max(0.0, 1.0 - settings.processor.processors / AMPLE_PROCESSORS)
