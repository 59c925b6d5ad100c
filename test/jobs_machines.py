"""A fake of the platform's machine service in virtual time, for `JobsWorld`.

It records violations of the upkeep rules: more machines down than a wave allows, orders
with a lower token after a higher one, two holders with the same token, and orders of
two holders within the handover delay. The world adds machines that go down with runs.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bulrushpulley.entities.jobs.machines import (
    Machine,
    MachinesListed,
    MachineState,
)
from bulrushpulley.entities.jobs.upkeep import (
    OrderUpkeep,
    UpkeepEvent,
    UpkeepOrderAccepted,
    UpkeepOrderFailed,
    UpkeepRefusal,
)

UPKEEP_DURATION_S = 2.0
MIN_HANDOVER_DELAY_S = 3.0


@dataclass(kw_only=True, slots=True)
class FakeMachine:
    """A machine; `completed_waves` includes the wave it is down for at present."""

    host: str
    up_at: float = 0.0
    last_wave: int = 0
    completed_waves: set[int] = field(default_factory=set)


@dataclass(kw_only=True, slots=True)
class FakeMachines:
    """All machines; the id of a machine is ``m-`` and the name of its host.

    Orders for the machines of `refusal_by_id` fail for that reason, and are not carried
    out. Its lists are in several pages unless `one_page` is set.
    """

    machine_by_id: dict[str, FakeMachine] = field(default_factory=dict)
    limit_by_wave: dict[int, int] = field(default_factory=dict)
    orders: list[OrderUpkeep] = field(default_factory=list)
    ordered_at: list[float] = field(default_factory=list)
    taken_down: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    refusal_by_id: dict[str, UpkeepRefusal] = field(default_factory=dict)
    upkeep_duration_s: float = UPKEEP_DURATION_S
    one_page: bool = False

    def add(self, host: str) -> None:
        """Add the machine of a host."""
        self.machine_by_id.setdefault(f"m-{host}", FakeMachine(host=host))

    def listed(
        self, server_by_host: dict[str, str], now: float, *, requested_at: float
    ) -> MachinesListed:
        """List all machines with the backend servers on them."""
        machines = tuple(
            Machine(
                machine_id=machine_id,
                pool="ovens",
                state=_state_of(machine, server_by_host, now),
                server_id=server_by_host.get(machine.host, ""),
            )
            for machine_id, machine in self.machine_by_id.items()
        )
        return MachinesListed(
            requested_at=requested_at,
            machines=machines,
            running_server_ids=frozenset(server_by_host.values()),
            one_page=self.one_page,
        )

    def order(self, command: OrderUpkeep, now: float) -> tuple[UpkeepEvent, bool]:
        """Answer an order, and return whether the machine goes down now."""
        self._check_order(command, now)
        self.orders.append(command)
        self.ordered_at.append(now)
        refusal = self.refusal_by_id.get(command.machine_id)
        if refusal is not None:
            return _order_failed(command, refusal), False
        machine = self.machine_by_id.get(command.machine_id)
        if machine is None:
            return _order_failed(command, UpkeepRefusal.NO_SUCH_MACHINE), False
        accepted = UpkeepOrderAccepted(wave=command.wave, machine_id=command.machine_id)
        if command.wave in machine.completed_waves:
            return accepted, False
        if now < machine.up_at:
            return _order_failed(command, UpkeepRefusal.CANNOT_GO_DOWN), False
        down = [
            other
            for other in self.machine_by_id.values()
            if now < other.up_at and command.wave == other.last_wave
        ]
        if len(down) >= self.limit_by_wave.get(command.wave, 1):
            self.violations.append(f"too many machines down for wave {command.wave}")
        machine.completed_waves.add(command.wave)
        machine.up_at = now + self.upkeep_duration_s
        machine.last_wave = command.wave
        self.taken_down.append(command.machine_id)
        return accepted, True

    def _check_order(self, command: OrderUpkeep, now: float) -> None:
        for before, at in zip(self.orders, self.ordered_at, strict=True):
            if before.holder != command.holder and now - at < MIN_HANDOVER_DELAY_S:
                self.violations.append("orders of two holders too close in time")
            if before.token > command.token:
                self.violations.append("a lower token came after a higher one")
            if before.token == command.token and before.holder != command.holder:
                self.violations.append("two holders with the same token")


def _state_of(
    machine: FakeMachine, server_by_host: dict[str, str], now: float
) -> MachineState:
    if now < machine.up_at:
        return MachineState.UPKEEP
    return MachineState.UP if machine.host in server_by_host else MachineState.DOWN


def _order_failed(command: OrderUpkeep, refusal: UpkeepRefusal) -> UpkeepOrderFailed:
    return UpkeepOrderFailed(
        wave=command.wave,
        machine_id=command.machine_id,
        refusal=refusal,
        reason=refusal.value,
    )
