"""A simulated deployment."""

import random
from collections.abc import Callable
from typing import Any

from stileloft.controller.controller import Controller
from stileloft.features import Features
from stileloft.model.records import split_task
from tests.rules import RuleChecker
from tests.simulation.cloud import Cloud
from tests.simulation.controllers import Controllers
from tests.simulation.gangs import Gang
from tests.simulation.network import Network
from tests.simulation.processes import Clock
from tests.simulation.state_service import StateService
from tests.simulation.users import Users
from tests.simulation.workers import Machine
from tests.versions import CURRENT, Version

NAMES = ("node-0", "node-1", "node-2")


class SimulatedCluster(Controllers, Network, Users):
    """Three controllers with fakes of their environment, and a checker of the protocol's rules."""

    # Values of the settings; a subclass that overrides them must also override `settings`.
    REPORT_S, LEASE_S, CANCEL_S = 2.0, 12.0, 30.0
    FEATURES: Features | None = None
    """The features of the controllers if the constructor gets none."""
    LEASE_CHECK_S = 0.2
    """The interval at which a worker checks whether its lease has expired."""

    def __init__(
        self,
        seed: int,
        capacity: int = 3,
        loss: float = 0.002,
        value_kb: float = 4.0,
        upcoming_limits: dict[str, float] | None = None,
        version: Version = CURRENT,
        features: Features | None = None,
    ) -> None:
        """Starts the controllers.

        `capacity` is the number of machines of each type, zone and pricing that the cloud has, and `loss` the share of
        lost messages. `upcoming_limits` are announced limits of the state service. `version` is the version that all
        controllers run at first.
        """
        self.features = dict.fromkeys(NAMES, features or self.FEATURES)
        """The features of each controller's next process."""
        self.value_kb = value_kb
        self.upcoming_limits = upcoming_limits or {}
        # Gangs by job and attempt.
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.saved_progress: dict[str, float] = {}
        """Checkpointed progress of gang jobs, in seconds."""
        self.gang_rollbacks = 0
        """The number of gangs that lost a task and were rolled back to their last checkpoint."""
        self.random = random.Random(seed)
        self.clock = Clock()
        self.loss = loss
        self.names = list(NAMES)
        self.versions = dict.fromkeys(self.names, version)
        self.jobs: dict[str, dict[str, Any]] = {}
        # Run times of tasks in seconds.
        self.run_times: dict[str, float] = {}
        # Jobs whose tasks fail on each machine.
        self.failing_jobs: set[str] = set()
        # Machines on which each task fails.
        self.faulty_machines: set[str] = set()
        # Machines rented so far, returned ones included.
        self.all_machines: dict[str, Machine] = {}
        self.inbound_blocked: dict[str, float] = {}
        """Hosts that receive no message until the given time, while what they send arrives."""
        # Controllers whose process is frozen until the given time.
        self.frozen_until: dict[str, float] = {}
        self.init_connections()
        self.expired_leases = 0
        """The number of worker leases that have expired."""
        self.peers_refuse_until = 0.0
        """Controllers refuse each other's connections until this time."""
        self.outbound_blocked: dict[str, float] = {}
        """Machines whose requests are lost until the given time, while requests to them arrive and are answered."""
        self.slow_commands = (0.0, 0.0)
        """An end time, and the maximum delay of each command to a machine until then, in seconds."""
        self.duplicate_share = 0.0
        """The share of heartbeats of which a late duplicate arrives; for requests of all kinds, a quarter of it."""
        self.leader_listeners: list[Callable[[str], None]] = []
        """Functions called with the name of each new leader."""
        self.kept_heartbeats: list[Any] = []
        """Duplicates of heartbeats that reach all controllers when the next leader begins."""
        self.keep_heartbeats_until = 0.0
        """Until this time, a tenth of the heartbeats goes to `kept_heartbeats`."""
        self.dense_polling_until = 0.0
        """Until this time, users query all controllers and resubmit shortly after each acceptance or end of a job."""
        self.init_network()
        # The number of each controller's current process; it changes when the process starts or is killed.
        self.processes = {name: 0 for name in self.names}
        # The running controllers; None while the process is down.
        self.nodes: dict[str, Controller | None] = dict.fromkeys(self.names)
        self.checker = RuleChecker(self)
        self.state = StateService(self)
        self.cloud = Cloud(self, capacity)
        for name in self.names:
            self.start(name)

    @property
    def now(self) -> float:
        return self.clock.seconds()

    def run(self, seconds: float) -> None:
        """Advances the simulated clock in steps of 10 ms."""
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(0.01)

    def run_time_s(self, name: str) -> float:
        """Returns the run time of a task: half to one and a half times the job's estimate."""
        return self.run_times.setdefault(name, self.random.uniform(0.5, 1.5) * self.jobs[split_task(name)[0]]["guessS"])
