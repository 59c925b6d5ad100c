"""Assembles and runs an agent process."""

from __future__ import annotations

from functools import partial
from typing import Any

from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.step import Command
from bulrushpulley.logs import log_process
from bulrushpulley.platform.backend_server import BackendServerClient
from bulrushpulley.platform.worker import WorkerClient
from bulrushpulley.roles import cell_owner, guard, linker
from bulrushpulley.roles.cell_owner_io import CellOwnerPorts
from bulrushpulley.roles.guard_io import GuardPorts
from bulrushpulley.roles.linker_io import LinkerPorts
from bulrushpulley.roles.routing import CELL_OWNER, GUARD, LINKER
from bulrushpulley.roles.runtime import Runtime
from bulrushpulley.settings import AgentSettings
from bulrushpulley.wire.http_server import HttpServer
from bulrushpulley.wire.link_client import Dialler
from bulrushpulley.wire.operator_front import HealthFront
from bulrushpulley.wire.tls import client_context

LINKS_CLOSE_TIMEOUT_S = 10.0
LINK_FLUSH_TIMEOUT_S = 2.0
BACKEND_CHECK_THREADS = 2
WORKER_THREADS = 16


class AgentProcess:
    """An agent process: links, guard, cell owner and the server for health checks."""

    def __init__(self, *, settings: AgentSettings, incarnation: str) -> None:
        self.runtime = Runtime(
            name=settings.name,
            incarnation=incarnation,
            region=settings.region,
            log_fd=settings.logs.file_descriptor,
        )
        self._settings = settings
        tls = client_context(settings.tls) if settings.tls else None
        self._dialler = Dialler(
            links=self.runtime.links, hooks=self.runtime.hooks(), tls=tls
        )

    def start(self) -> None:
        """Start all parts; the linker then connects to the entries."""
        self.runtime.start()
        self._start_roles()
        self._start_front()
        log_process(
            process=self.runtime.name,
            stage="started",
            detail=f"health={self._health_server.port}",
        )

    def _start_roles(self) -> None:
        common_ports = self.runtime.ports(answer=self._reject_answer)
        self._start_guard(common_ports)
        self._start_cell_owner(common_ports)
        role = linker.build(
            incarnation=self.runtime.incarnation, seeds=self._settings.seeds
        )
        self.runtime.start_role(role, LinkerPorts(**common_ports, dial=self._dial))

    def _start_guard(self, common_ports: dict[str, Any]) -> None:
        settings = self._settings
        backend = settings.backend_server
        role = guard.build(
            agent=settings.name,
            incarnation=self.runtime.incarnation,
            service=backend.service,
            region=settings.region,
            failure_domain=settings.failure_domain,
            slots=backend.slots,
            queue_limit=backend.queue_limit,
        )
        ports = GuardPorts(
            **common_ports,
            backend_server=BackendServerClient(
                url=backend.url, connections=backend.connections
            ),
            done=partial(self.runtime.role_done, GUARD),
        )
        self.runtime.start_role(
            role, ports, threads=backend.slots + BACKEND_CHECK_THREADS
        )

    def _start_cell_owner(self, common_ports: dict[str, Any]) -> None:
        settings = self._settings
        role = cell_owner.build(
            agent=settings.name,
            incarnation=self.runtime.incarnation,
            region=settings.region,
            autonomy_s=settings.cells.autonomy_s,
        )
        ports = CellOwnerPorts(
            **common_ports,
            workers=WorkerClient(),
            done=partial(self.runtime.role_done, CELL_OWNER),
        )
        self.runtime.start_role(role, ports, threads=WORKER_THREADS)

    def _dial(self, address: str) -> None:
        self.runtime.loop.call_soon_threadsafe(self._dialler.dial, address)

    def _reject_answer(self, command: Command) -> None:
        raise NotImplementedError(f"no front end for {type(command).__name__}")

    def _start_front(self) -> None:
        health_front = HealthFront(
            is_leaving=self.runtime.stopping.is_set,
            metrics_text=self.runtime.metrics.text,
        )
        self._health_server = HttpServer(
            host=self._settings.health.host,
            port=self._settings.health.port,
            handler=health_front.handle,
            threads=self._settings.health.threads,
            report=self.runtime.report,
        )
        self._health_server.start()

    def stop(self) -> None:
        """Finish the requests in flight, release the cells, then stop."""
        stop = self._settings.stop
        log_process(process=self.runtime.name, stage="leaving")
        self.runtime.leave(Leave(), (GUARD, CELL_OWNER), stop.within_s)
        self.runtime.tell(LINKER, Leave())
        closing = self.runtime.links.close(LINK_FLUSH_TIMEOUT_S)
        self.runtime.run_on_loop(closing).result(LINKS_CLOSE_TIMEOUT_S)
        self._health_server.stop(LINK_FLUSH_TIMEOUT_S)
        self.runtime.stop()
