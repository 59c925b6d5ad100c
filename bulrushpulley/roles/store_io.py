"""Carries out calls to the platform's store for the roles that have its client."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from bulrushpulley.entities.jobs.store import ReadRange, Transact, Watch
from bulrushpulley.platform.row_store import RowStoreClient
from bulrushpulley.roles.carry_out import Ports, carry_out


@dataclass(frozen=True, kw_only=True, slots=True)
class StorePorts(Ports):
    """The ports of a role that calls the store."""

    store: RowStoreClient


@carry_out.register
def _(command: Transact, ports: StorePorts) -> None:
    ports.run(role=command.role, work=partial(ports.store.transact, command))


@carry_out.register
def _(command: ReadRange, ports: StorePorts) -> None:
    ports.run(role=command.role, work=partial(ports.store.read_range, command))


@carry_out.register
def _(command: Watch, ports: StorePorts) -> None:
    ports.run(role=command.role, work=partial(ports.store.watch, command))
