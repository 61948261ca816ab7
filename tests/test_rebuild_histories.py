"""Random histories of submissions, cancellations, losses and other troubles: the rules hold in each."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.simulation.cluster import SimulatedCluster
from tests.test_rebuild import REBUILD_ENABLED, finish

CLASSES = st.sampled_from(["batch", "quick"])


class Histories(RuleBasedStateMachine):
    """A world whose troubles are drawn; at its end all of them are over, and every job has one final answer."""

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        self.cluster = SimulatedCluster(seed, features=REBUILD_ENABLED, loss=0.0)
        self.cluster.run(5.0)
        self.older = self.cluster.state.backup()
        self.losses = 0

    @rule(pieces=st.integers(1, 8), length_s=st.floats(1.0, 30.0), gang=st.booleans(), job_class=CLASSES)
    def submit(self, pieces: int, length_s: float, gang: bool, job_class: str) -> None:
        number = len(self.cluster.jobs)
        shape = "gang" if gang and pieces > 1 else "array"
        body = self.cluster.job(number, pieces=pieces, vcpus=1.0, guessS=length_s, shape=shape, lane=job_class)
        self.cluster.submit(body)

    @precondition(lambda self: self.cluster.jobs)
    @rule(which=st.integers(0, 100))
    def cancel(self, which: int) -> None:
        jobs = sorted(self.cluster.jobs)
        self.cluster.cancel(jobs[which % len(jobs)])

    @rule(seconds=st.floats(0.1, 8.0))
    def go_on(self, seconds: float) -> None:
        self.cluster.run(seconds)
        self.cluster.checker.check_cancelled()
        assert self.cluster.checker.violations == []

    @rule()
    def remember(self) -> None:
        """The service's operators take a copy."""
        if all(node is not None and node.integrity.is_sound() for node in self.cluster.nodes.values()):
            self.older = self.cluster.state.backup()

    @precondition(lambda self: self.losses < 3)
    @rule(kind=st.sampled_from(["wiped", "counting", "older"]))
    def lose(self, kind: str) -> None:
        # What was changed in the last moments may be known to one controller alone, which is still there.
        self.losses += 1
        if kind == "older":
            self.cluster.state.restore(*self.older)
        else:
            self.cluster.state.wipe(keeps_counting=kind == "counting")

    @rule(which=st.integers(0, 2), seconds=st.floats(0.5, 12.0))
    def freeze(self, which: int, seconds: float) -> None:
        self.cluster.freeze(self.cluster.names[which], seconds)

    @rule(which=st.integers(0, 20), seconds=st.floats(1.0, 20.0))
    def cut_machine(self, which: int, seconds: float) -> None:
        machines = [machine for machine in self.cluster.cloud.machines.values() if machine.up]
        for machine in machines[which : which + 2]:
            for name in self.cluster.names:
                self.cluster.partition(machine.name, name, seconds, hold=which % 2 == 0)

    @rule(seconds=st.floats(0.5, 10.0))
    def outage(self, seconds: float) -> None:
        self.cluster.state.outage(seconds)

    @rule(seconds=st.floats(5.0, 30.0))
    def late_reports(self, seconds: float) -> None:
        self.cluster.duplicate_share = 0.1
        self.cluster.clock.callLater(seconds, setattr, self.cluster, "duplicate_share", 0.0)

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            finish(self.cluster)


TestHistories = Histories.TestCase
TestHistories.settings = settings(
    max_examples=25,
    stateful_step_count=16,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
