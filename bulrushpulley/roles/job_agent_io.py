"""Carries out the commands of the job agent."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from bulrushpulley.entities.jobs.executor_calls import ExecutorCommand
from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT
from bulrushpulley.platform.executor import ExecutorClient
from bulrushpulley.roles.carry_out import carry_out
from bulrushpulley.roles.store_io import StorePorts


@dataclass(frozen=True, kw_only=True, slots=True)
class JobAgentPorts(StorePorts):
    """The ports of the job agent."""

    executor: ExecutorClient


@carry_out.register
def _(command: ExecutorCommand, ports: JobAgentPorts) -> None:
    ports.run(role=JOB_AGENT, work=partial(ports.executor.call, command))
