"""Assembles and runs an entry process."""

from __future__ import annotations

from functools import partial
from typing import Any

from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.logs import log_process
from bulrushpulley.platform.table_service import TableServiceClient
from bulrushpulley.roles import committer, controller, router
from bulrushpulley.roles.carry_out import Ports
from bulrushpulley.roles.committer_io import CommitterPorts
from bulrushpulley.roles.router_io import RouterPorts
from bulrushpulley.roles.routing import CONTROLLER, ROUTER
from bulrushpulley.roles.runtime import Runtime
from bulrushpulley.settings import EntrySettings
from bulrushpulley.wire.caller_http import CallerFront
from bulrushpulley.wire.http_server import HttpServer
from bulrushpulley.wire.link_server import LinkServer
from bulrushpulley.wire.operator_front import HealthFront, OperatorFront
from bulrushpulley.wire.pending import PendingCalls
from bulrushpulley.wire.tls import server_context

LINKS_TIMEOUT_S = 10.0
LINK_FLUSH_TIMEOUT_S = 2.0
COMMITTER_THREADS = 8


class EntryProcess:
    """An entry process: links, roles, and the servers for callers and operators."""

    def __init__(self, *, settings: EntrySettings, incarnation: str) -> None:
        self.runtime = Runtime(
            name=settings.name,
            incarnation=incarnation,
            region=settings.region,
            log_fd=settings.logs.file_descriptor,
        )
        self._settings = settings
        self._pending = PendingCalls(incarnation=incarnation)

    def start(self) -> None:
        """Start all parts; the listeners then accept calls."""
        self.runtime.start()
        self._bind_link_server()
        self._start_roles()
        self.runtime.run_on_loop(self._link_server.start()).result(LINKS_TIMEOUT_S)
        self._start_fronts()
        detail = (
            f"links={self._link_server.port} callers={self._caller_server.port}"
            f" operators={self._operator_server.port}"
        )
        log_process(process=self.runtime.name, stage="started", detail=detail)

    def _bind_link_server(self) -> None:
        settings = self._settings
        self._link_server = LinkServer(
            host=settings.links.host,
            port=settings.links.port,
            links=self.runtime.links,
            hooks=self.runtime.hooks(),
            tls=server_context(settings.tls) if settings.tls else None,
        )

    def _start_roles(self) -> None:
        common_ports = self.runtime.ports(answer=self._answer)
        self._start_committer(common_ports)
        self._start_controller(common_ports)
        role = router.build(
            incarnation=self.runtime.incarnation, region=self.runtime.region
        )
        done = partial(self.runtime.role_done, ROUTER)
        self.runtime.start_role(role, RouterPorts(**common_ports, done=done))

    def _start_committer(self, common_ports: dict[str, Any]) -> None:
        role = committer.build(
            name=self._settings.name, incarnation=self.runtime.incarnation
        )
        table = TableServiceClient(
            url=self._settings.table_service.url, connections=COMMITTER_THREADS
        )
        ports = CommitterPorts(
            **common_ports, table=table, report_to=self.runtime.report_to
        )
        self.runtime.start_role(role, ports, threads=COMMITTER_THREADS)

    def _start_controller(self, common_ports: dict[str, Any]) -> None:
        links = self._settings.links
        role = controller.build(
            entry=self._settings.name,
            incarnation=self.runtime.incarnation,
            host=links.advertised_host or links.host,
            port=self._link_server.port,
            region=self._settings.region,
        )
        self.runtime.start_role(role, Ports(**common_ports))

    def _start_fronts(self) -> None:
        settings = self._settings
        caller_front = CallerFront(pending=self._pending, tell=self._tell_router)
        health_front = HealthFront(
            is_leaving=self.runtime.stopping.is_set,
            metrics_text=self.runtime.metrics.text,
        )
        operator_front = OperatorFront(
            health=health_front, pending=self._pending, tell=self._tell_controller
        )
        self._caller_server = HttpServer(
            host=settings.callers.host,
            port=settings.callers.port,
            handler=caller_front.handle,
            threads=settings.callers.threads,
            report=self.runtime.report,
        )
        self._operator_server = HttpServer(
            host=settings.operators.host,
            port=settings.operators.port,
            handler=operator_front.handle,
            threads=settings.operators.threads,
            report=self.runtime.report,
        )
        self._caller_server.start()
        self._operator_server.start()

    def _tell_router(self, event: Event) -> None:
        self.runtime.tell(ROUTER, event)

    def _tell_controller(self, event: Event) -> None:
        self.runtime.tell(CONTROLLER, event)

    def _answer(self, command: Command) -> None:
        self._pending.resolve(getattr(command, "call_id"), command)  # noqa: B009

    def stop(self) -> None:
        """Fail health checks during the notice, finish calls in flight, then stop."""
        stop = self._settings.stop
        log_process(process=self.runtime.name, stage="leaving")
        self.runtime.skip_notice.wait(stop.notice_s)
        self.runtime.tell(CONTROLLER, Leave())
        self.runtime.leave(Leave(), (ROUTER,), stop.within_s)
        self._caller_server.stop(stop.within_s)
        self._operator_server.stop(LINK_FLUSH_TIMEOUT_S)
        self.runtime.run_on_loop(self._close_links()).result(LINKS_TIMEOUT_S)
        self.runtime.stop()

    async def _close_links(self) -> None:
        await self.runtime.links.close(LINK_FLUSH_TIMEOUT_S)
        await self._link_server.close()
