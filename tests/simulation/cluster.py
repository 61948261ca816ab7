"""A whole deployment, and the rules it has to keep."""

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
    """Everything outside the nodes, the nodes, and the rules they have to keep."""

    # Of the settings; a subclass that changes them has to change its `settings` alike.
    REPORT_S, LEASE_S, CANCEL_S = 2.0, 12.0, 30.0
    FEATURES: Features | None = None
    """What is on if a world's maker does not say."""
    LEASE_CHECK_S = 0.2
    """How often a worker looks whether its lease has run out."""

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
        """`coming` are the limits that the state service will have; `version` is what the nodes run at first."""
        self.features = dict.fromkeys(NAMES, features or self.FEATURES)
        """Which features each node's next process has."""
        self.value_kb = value_kb
        self.upcoming_limits = upcoming_limits or {}
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.saved_progress: dict[str, float] = {}
        """Saved progress of gangs."""
        self.gang_rollbacks = 0
        """How often a gang fell back to its last checkpoint."""
        self.random = random.Random(seed)
        self.clock = Clock()
        self.loss = loss
        self.names = list(NAMES)
        self.versions = dict.fromkeys(self.names, version)
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_times: dict[str, float] = {}
        self.failing_jobs: set[str] = set()
        self.faulty_machines: set[str] = set()
        self.all_machines: dict[str, Machine] = {}
        self.inbound_blocked: dict[str, float] = {}
        """Hosts to which nothing comes through until then, while what they send arrives."""
        self.frozen_until: dict[str, float] = {}
        self.init_connections()
        self.expired_leases = 0
        """How many workers' leases have run out."""
        self.peers_refuse_until = 0.0
        """Until when controllers refuse each other's connections."""
        self.outbound_blocked: dict[str, float] = {}
        """Machines that reach no controller until then, while what is sent to them arrives and is answered."""
        self.slow_commands = (0.0, 0.0)
        """Until when, and how many seconds at the most, commands to machines or their answers are held up."""
        self.duplicate_share = 0.0
        """The part of the reports and requests of which a copy comes late."""
        self.leader_listeners: list[Callable[[str], None]] = []
        """Called with the name of each new leader."""
        self.kept_heartbeats: list[Any] = []
        """Reports of which a copy is kept until the next leader begins, and then reaches all controllers."""
        self.keep_heartbeats_until = 0.0
        """Until when a tenth of the reports is kept so."""
        self.dense_polling_until = 0.0
        """Until when users ask at all nodes, and submit again, within milliseconds of each answer that counts."""
        self.init_network()
        self.processes = {name: 0 for name in self.names}
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
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(0.01)

    def run_time_s(self, name: str) -> float:
        return self.run_times.setdefault(name, self.random.uniform(0.5, 1.5) * self.jobs[split_task(name)[0]]["guessS"])
