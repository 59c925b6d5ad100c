"""The faults of the fault matrix, each injected into a site at a step."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from bulrushpulley.entities.operations import ChangeDomain
from bulrushpulley.entities.records import DomainState
from standins.worker_core import WorkerState
from test.site import AGENTS, DOMAINS, ENTRIES, STORE_DELAY_S, WORKERS, Site
from test.virtual_world import Path, RoleAddress

RESTART_DELAY_S = 5.0
PAUSE_DURATION_S = 45.0
CUT_DURATION_S = 8.0
MESSAGE_DELAY_S = 2.5
SLOW_STORE_DELAY_S = 1.5
STORE_FAULT_DURATION_S = 20.0
PATH_FAULT_DURATION_S = 20.0
WORKER_DOWN_DURATION_S = 30.0
WORKER_FAILING_DURATION_S = 40.0

InjectFault = Callable[[Site, RoleAddress, Any], None]


def peers_of(process: str) -> tuple[str, ...]:
    """Return the processes to which a process has links."""
    return AGENTS if process in ENTRIES else ENTRIES


def kill(site: Site, address: RoleAddress, command: Any) -> None:
    """Kill the process and restart it under the same name after a delay."""
    site.kill(address.process)
    site.world.at(RESTART_DELAY_S, lambda: site.start(address.process))


def lose_host(site: Site, address: RoleAddress, command: Any) -> None:
    """Kill the process and never restart it."""
    site.kill(address.process)
    site.lost_processes.add(address.process)


def pause(site: Site, address: RoleAddress, command: Any) -> None:
    """Pause the process right before the command, until every lease has expired."""
    site.pause(address.process, PAUSE_DURATION_S)


def cut_outgoing(site: Site, address: RoleAddress, command: Any) -> None:
    """Lose all items that the process sends."""
    site.cut_off(
        {(address.process, peer) for peer in peers_of(address.process)}, CUT_DURATION_S
    )


def cut_incoming(site: Site, address: RoleAddress, command: Any) -> None:
    """Lose all items that are sent to the process."""
    site.cut_off(
        {(peer, address.process) for peer in peers_of(address.process)}, CUT_DURATION_S
    )


def change_path(site: Site, path: Path) -> None:
    """Use `path` for the messages of all links for a limited time."""
    site.path = path

    def restore() -> None:
        site.path = Path()

    site.world.at(PATH_FAULT_DURATION_S, restore)


def delay(site: Site, address: RoleAddress, command: Any) -> None:
    """Delay every message."""
    change_path(site, Path(delay_s=MESSAGE_DELAY_S))


def repeat(site: Site, address: RoleAddress, command: Any) -> None:
    """Repeat every message."""
    change_path(site, Path(repeat_percent=100, jitter_s=0.2))


def reorder(site: Site, address: RoleAddress, command: Any) -> None:
    """Deliver messages out of order."""
    change_path(site, Path(jitter_s=0.8))


def change_store(site: Site, mode: str, delay_s: float) -> None:
    """Set the mode and the delay of the store for a limited time."""
    site.store_mode, site.store_delay_s = mode, delay_s

    def restore() -> None:
        site.store_mode, site.store_delay_s = "up", STORE_DELAY_S

    site.world.at(STORE_FAULT_DURATION_S, restore)


def store_down(site: Site, address: RoleAddress, command: Any) -> None:
    """Make the store refuse all requests."""
    change_store(site, "down", STORE_DELAY_S)


def store_slow(site: Site, address: RoleAddress, command: Any) -> None:
    """Make the store slow."""
    change_store(site, "up", SLOW_STORE_DELAY_S)


def lose_answers(site: Site, address: RoleAddress, command: Any) -> None:
    """Lose the store's answers after the writes were applied."""
    change_store(site, "lose_answers", STORE_DELAY_S)


def worker_of(command: Any) -> str:
    """Return the worker that a command concerns, or the first worker."""
    name: str = getattr(command, "worker_id", next(iter(WORKERS)))
    return name


def worker_dies(site: Site, address: RoleAddress, command: Any) -> None:
    """Stop the worker, which loses all its runs, and start it again later."""
    worker = worker_of(command)
    site.advance()
    site.dead_workers.add(worker)
    site.workers[worker] = WorkerState.empty()
    site.world.at(WORKER_DOWN_DURATION_S, lambda: site.dead_workers.discard(worker))


def worker_loses_answers(site: Site, address: RoleAddress, command: Any) -> None:
    """Lose the worker's answers."""
    worker = worker_of(command)
    site.lossy_workers.add(worker)
    site.world.at(WORKER_DOWN_DURATION_S, lambda: site.lossy_workers.discard(worker))


def worker_fails_all(site: Site, address: RoleAddress, command: Any) -> None:
    """Make the worker fail all tasks that it starts."""
    worker = worker_of(command)
    site.fail_all(worker, True)
    site.world.at(WORKER_FAILING_DURATION_S, lambda: site.fail_all(worker, False))


def change_domain(site: Site, entry: str, domain: str, state: DomainState) -> None:
    """Change the state of a failure domain through an entry, as an operator does."""
    call_id = f"op-{domain}-{state.value}-{entry}-{site.world.now:.3f}"
    site.send_operator_call(
        entry,
        ChangeDomain(
            call_id=call_id,
            author=entry,
            failure_domain=domain,
            state=state,
            expected_revision=0,
        ),
    )


def operators_race(site: Site, address: RoleAddress, command: Any) -> None:
    """Drain the second failure domain and return it through two entries at once."""
    first, second = ENTRIES
    change_domain(site, first, DOMAINS[1], DomainState.DRAINED)
    change_domain(site, second, DOMAINS[1], DomainState.IN_SERVICE)
    site.world.at(
        5.0, lambda: change_domain(site, first, DOMAINS[1], DomainState.IN_SERVICE)
    )


def domain_drained(site: Site, address: RoleAddress, command: Any) -> None:
    """Drain the second failure domain for a limited time."""
    change_domain(site, ENTRIES[1], DOMAINS[1], DomainState.DRAINED)
    site.world.at(
        20.0,
        lambda: change_domain(site, ENTRIES[0], DOMAINS[1], DomainState.IN_SERVICE),
    )


FAULT_BY_NAME: Mapping[str, InjectFault] = {
    "process killed": kill,
    "host lost": lose_host,
    "process paused": pause,
    "cut outward": cut_outgoing,
    "cut inward": cut_incoming,
    "message delayed": delay,
    "message repeated": repeat,
    "out of order": reorder,
    "store down": store_down,
    "store slow": store_slow,
    "answer lost": lose_answers,
    "worker dies": worker_dies,
    "worker loses answers": worker_loses_answers,
    "worker fails all": worker_fails_all,
    "operators race": operators_race,
    "domain drained": domain_drained,
}
