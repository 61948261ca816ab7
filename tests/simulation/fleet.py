"""A deployment of thousands of machines, whose nodes have far fewer sockets than there are machines."""

from stileloft.features import Features
from stileloft.model import records
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.deployment import MACHINE_TYPES, with_settings

JOBS, TASKS = 20, 100


class FleetCluster(SimulatedCluster):
    """Machines are up from the start; reports come less often than elsewhere, as each costs time to play."""

    REPORT_S, LEASE_S, CANCEL_S = 6.0, 24.0, 60.0
    LEASE_CHECK_S = 2.0
    SOCKETS = 600

    def __init__(self, seed: int, machines: int, booted: bool = True, features: Features | None = None) -> None:
        """`booted`: whether the machines are up; else they are only to be found in the cloud's list."""
        super().__init__(seed, capacity=machines, loss=0.0, features=features)
        self.max_sockets = self.SOCKETS
        self.cloud.max_machines = 2 * machines
        # Operators who keep idle machines, or all of them would be returned before there is work.
        self.state.items[records.SETTINGS] = {"keep_idle_boots": 100.0}, 1, None
        self.state.revision = 1
        for number in range(machines):
            machine = self.cloud.add(MACHINE_TYPES[0], "ab"[number % 2], True)
            if booted and not machine.up:
                # They would else all report at the same moments.
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
        """Small tasks by the thousand, four of which fill a machine's memory."""
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
