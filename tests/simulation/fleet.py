"""A simulated deployment of thousands of machines, with far fewer sockets at each controller than machines."""

from stileloft.features import Features
from stileloft.model import records
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.deployment import MACHINE_TYPES, with_settings

JOBS, TASKS = 20, 100


class FleetCluster(SimulatedCluster):
    """A cluster of many machines, with longer heartbeat and lease intervals to keep the simulation fast."""

    REPORT_S, LEASE_S, CANCEL_S = 6.0, 24.0, 60.0
    LEASE_CHECK_S = 2.0
    SOCKETS = 600

    def __init__(self, seed: int, machines: int, booted: bool = True, features: Features | None = None) -> None:
        """Rents the machines; with `booted` false they appear in the cloud's list and boot at the usual pace."""
        super().__init__(seed, capacity=machines, loss=0.0, features=features)
        self.max_sockets = self.SOCKETS
        self.cloud.max_machines = 2 * machines
        # Idle machines are kept: otherwise the controllers would release them before the first job arrives.
        self.state.items[records.SETTINGS] = {"keep_idle_boots": 100.0}, 1, None
        self.state.revision = 1
        for number in range(machines):
            machine = self.cloud.add(MACHINE_TYPES[0], "ab"[number % 2], True)
            if booted and not machine.up:
                # Random boot times spread the heartbeats over the interval.
                self.clock.callLater(self.random.uniform(0.0, self.REPORT_S), machine.boot_once)

    def settings(self, name: str) -> str:
        changes = {
            "report_s = 2.0": f"report_s = {self.REPORT_S}",
            "lease_s = 12.0": f"lease_s = {self.LEASE_S}",
            "cancel_s = 30.0": f"cancel_s = {self.CANCEL_S}",
            "max_sockets = 200": f"max_sockets = {self.SOCKETS}",
        }
        return with_settings(super().settings(name), changes)

    def submit_batch(self, after_s: float) -> None:
        """Submits `JOBS` jobs of `TASKS` small tasks, 0.2 s apart; four tasks fill a machine's memory."""
        for number in range(JOBS):
            body = self.job(
                number,
                pieces=TASKS,
                vcpus=0.01,
                memGb=8.0,
                guessS=10.0,
                bundle=f"img-{number % 5}",
                crew=("core", "edge")[number % 2],
            )
            self.clock.callLater(after_s + 0.2 * number, self.submit, body)
