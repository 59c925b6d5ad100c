"""Assembles and runs an agent on the host of a backend server of the platform."""

from __future__ import annotations

from functools import partial

from bulrushpulley.entities.address import split_address
from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT, JobAgentTables
from bulrushpulley.entities.step import Command
from bulrushpulley.logs import log_process
from bulrushpulley.platform.agent_front import AgentFront
from bulrushpulley.platform.executor import ExecutorClient
from bulrushpulley.platform.row_store import RowStoreClient
from bulrushpulley.roles import job_agent
from bulrushpulley.roles.job_agent_io import JobAgentPorts
from bulrushpulley.roles.job_links import (
    JOB_LINK_HEARTBEAT_INTERVAL_S,
    JOB_LINK_SILENCE_TIMEOUT_S,
)
from bulrushpulley.roles.runtime import Runtime
from bulrushpulley.settings import JobAgentSettings
from bulrushpulley.wire.http_server import HttpServer
from bulrushpulley.wire.link_server import LinkServer

JOB_AGENT_THREADS = 10
FRONT_THREADS = 2
LINKS_START_TIMEOUT_S = 5.0
LINK_FLUSH_TIMEOUT_S = 0.3
LINKS_CLOSE_TIMEOUT_S = 1.0


class JobAgentProcess:
    """A job agent process: its role and the servers for links and announcements."""

    def __init__(self, *, settings: JobAgentSettings, incarnation: str) -> None:
        self.runtime = Runtime(
            name=settings.name,
            incarnation=incarnation,
            region=settings.region,
            log_fd=settings.logs.file_descriptor,
        )
        self._settings = settings

    def start(self) -> None:
        """Start all parts; the owner of the shard can then connect."""
        settings = self._settings
        self.runtime.start()
        host, port = split_address(settings.links)
        self._link_server = LinkServer(
            host=host,
            port=port,
            links=self.runtime.links,
            hooks=self.runtime.hooks(
                heartbeat_interval_s=JOB_LINK_HEARTBEAT_INTERVAL_S,
                silence_timeout_s=JOB_LINK_SILENCE_TIMEOUT_S,
            ),
        )
        self._start_job_agent()
        self.runtime.run_on_loop(self._link_server.start()).result(
            LINKS_START_TIMEOUT_S
        )
        self._start_front()
        log_process(process=self.runtime.name, stage="started")

    def _start_job_agent(self) -> None:
        settings = self._settings
        tables = JobAgentTables(
            host=settings.name,
            failure_domain=settings.failure_domain,
            region=settings.region,
            address=settings.reached_at or settings.links,
            bounds=settings.bounds.within(settings.limits),
            service=settings.service,
        )
        ports = JobAgentPorts(
            **self.runtime.ports(answer=self._reject_answer),
            store=RowStoreClient(
                url=settings.store.url, connections=1, report=self.runtime.report
            ),
            executor=ExecutorClient(report=self.runtime.report),
        )
        self.runtime.start_role(
            job_agent.build(tables), ports, threads=JOB_AGENT_THREADS
        )

    def _reject_answer(self, command: Command) -> None:
        raise NotImplementedError(f"no front end for {type(command).__name__}")

    def _start_front(self) -> None:
        front = AgentFront(
            tell=partial(self.runtime.tell, JOB_AGENT),
            report=self.runtime.report,
            metrics_text=self.runtime.metrics.text,
        )
        host, port = split_address(self._settings.announcements)
        self._front_server = HttpServer(
            host=host,
            port=port,
            handler=front.handle,
            threads=FRONT_THREADS,
            report=self.runtime.report,
        )
        self._front_server.start()

    def stop(self) -> None:
        """Stop; runs continue, and the next process finds them by polling."""
        log_process(process=self.runtime.name, stage="leaving")
        closing = self.runtime.links.close(LINK_FLUSH_TIMEOUT_S)
        self.runtime.run_on_loop(closing).result(LINKS_CLOSE_TIMEOUT_S)
        self._front_server.stop(LINK_FLUSH_TIMEOUT_S)
        self.runtime.stop()
