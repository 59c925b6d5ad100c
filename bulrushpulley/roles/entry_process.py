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
        self._bind_links()
        self._start_roles()
        self.runtime.run_on_loop(self._links.start()).result(LINKS_TIMEOUT_S)
        self._start_fronts()
        ports = (
            f"links={self._links.port} callers={self._callers.port}"
            f" operators={self._operators.port}"
        )
        log_process(process=self.runtime.name, stage="started", detail=ports)

    def _bind_links(self) -> None:
        settings = self._settings
        self._links = LinkServer(
            host=settings.links.host,
            port=settings.links.port,
            links=self.runtime.links,
            hooks=self.runtime.hooks(),
            tls=server_context(settings.tls) if settings.tls else None,
        )

    def _start_roles(self) -> None:
        base = self.runtime.ports(answer=self._answer)
        self._start_committer(base)
        self._start_controller(base)
        role = router.build(
            incarnation=self.runtime.incarnation, region=self.runtime.region
        )
        done = partial(self.runtime.role_done, ROUTER)
        self.runtime.start_role(role, RouterPorts(**base, done=done))

    def _start_committer(self, base: dict[str, Any]) -> None:
        role = committer.build(
            name=self._settings.name, incarnation=self.runtime.incarnation
        )
        table = TableServiceClient(
            url=self._settings.table_service.url, connections=COMMITTER_THREADS
        )
        ports = CommitterPorts(**base, table=table, report=self.runtime.report_to)
        self.runtime.start_role(role, ports, threads=COMMITTER_THREADS)

    def _start_controller(self, base: dict[str, Any]) -> None:
        links = self._settings.links
        role = controller.build(
            entry=self._settings.name,
            incarnation=self.runtime.incarnation,
            host=links.advertised_host or links.host,
            port=self._links.port,
            region=self._settings.region,
        )
        self.runtime.start_role(role, Ports(**base))

    def _start_fronts(self) -> None:
        settings = self._settings
        callers = CallerFront(pending=self._pending, tell=self._tell_router)
        health = HealthFront(
            is_leaving=self.runtime.stopping.is_set,
            metrics_text=self.runtime.metrics.text,
        )
        operators = OperatorFront(
            health=health, pending=self._pending, tell=self._tell_controller
        )
        self._callers = HttpServer(
            host=settings.callers.host,
            port=settings.callers.port,
            handler=callers.handle,
            threads=settings.callers.threads,
            report=self.runtime.report,
        )
        self._operators = HttpServer(
            host=settings.operators.host,
            port=settings.operators.port,
            handler=operators.handle,
            threads=settings.operators.threads,
            report=self.runtime.report,
        )
        self._callers.start()
        self._operators.start()

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
        self._callers.stop(stop.within_s)
        self._operators.stop(LINK_FLUSH_TIMEOUT_S)
        self.runtime.run_on_loop(self._close_links()).result(LINKS_TIMEOUT_S)
        self.runtime.stop()

    async def _close_links(self) -> None:
        await self.runtime.links.close(LINK_FLUSH_TIMEOUT_S)
        await self._links.close()
