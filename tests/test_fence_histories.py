"""Random histories of delayed, lost and duplicate commands, cancellations and failovers: the rules hold in each."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.simulation.cluster import SimulatedCluster
from tests.simulation.command_copies import CommandCopies
from tests.simulation.faults import hang_machines
from tests.simulation.network import MessageDelay
from tests.simulation.workloads import run_until_jobs_end

DELAYED_VERBS = st.sampled_from([None, "launch", "launch", "stop", "forget"])


class FencingHistories(RuleBasedStateMachine):
    """A cluster in which messages are delayed by up to three times `cancel_s`; at its end every job has ended."""

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        self.cluster = SimulatedCluster(seed, loss=0.0)
        self.cluster.run(5.0)
        for number in range(4):
            self.cluster.submit(self.cluster.job(number, pieces=3, vcpus=2.0, guessS=60.0))
        self.cluster.run(20.0)

    @rule(pieces=st.integers(1, 4), length_s=st.floats(5.0, 60.0), gang=st.booleans(), cancel_s=st.floats(0.5, 20.0))
    def submit_and_cancel(self, pieces: int, length_s: float, gang: bool, cancel_s: float) -> None:
        shape = "gang" if gang and pieces > 1 else "array"
        body = self.cluster.job(len(self.cluster.jobs), pieces=pieces, vcpus=0.5, guessS=length_s, shape=shape)
        self.cluster.submit(body)
        self.cluster.clock.callLater(cancel_s, self.cluster.cancel, body["nameId"])

    @rule(verb=DELAYED_VERBS, period_s=st.floats(0.5, 15.0), delay_s=st.floats(0.5, 90.0), answers=st.booleans())
    def delay_messages(self, verb: str | None, period_s: float, delay_s: float, answers: bool) -> None:
        now = self.cluster.now
        self.cluster.message_delays = [delay for delay in self.cluster.message_delays if delay.until > now]
        self.cluster.message_delays.append(
            MessageDelay(now + period_s, delay_s / 2, delay_s, verb=verb, answers=answers)
        )

    @rule(which=st.integers(0, 2), restart_after_s=st.floats(0.2, 5.0))
    def restart_controller(self, which: int, restart_after_s: float) -> None:
        self.cluster.kill(self.cluster.leader() or self.cluster.names[which], restart_after_s)

    @rule(seconds=st.floats(0.5, 12.0))
    def freeze_leader(self, seconds: float) -> None:
        self.cluster.freeze(self.cluster.leader() or self.cluster.names[0], seconds)

    @rule(seconds=st.floats(0.5, 25.0))
    def outage(self, seconds: float) -> None:
        self.cluster.state.outage(seconds)

    @rule(seconds=st.floats(0.5, 20.0))
    def refuse_leader(self, seconds: float) -> None:
        name = self.cluster.leader()
        if name is not None:
            self.cluster.state.refused_until[name] = self.cluster.now + seconds

    @rule(seconds=st.floats(0.5, 10.0), share=st.floats(0.1, 0.6))
    def delay_writes(self, seconds: float, share: float) -> None:
        self.cluster.state.late_writes = self.cluster.now + seconds, share, False

    @rule(
        which=st.integers(0, 20),
        seconds=st.floats(1.0, 20.0),
        how=st.sampled_from(["inbound_blocked", "outbound_blocked"]),
    )
    def block_one_direction(self, which: int, seconds: float, how: str) -> None:
        machines = [machine for machine in self.cluster.cloud.machines.values() if machine.up]
        for machine in machines[which : which + 2]:
            getattr(self.cluster, how)[machine.name] = self.cluster.now + seconds

    @precondition(lambda self: self.cluster.duplicate_share == 0.0)
    @rule(seconds=st.floats(5.0, 30.0))
    def duplicate_messages(self, seconds: float) -> None:
        self.cluster.duplicate_share = 0.1
        self.cluster.clock.callLater(seconds, setattr, self.cluster, "duplicate_share", 0.0)

    @rule(which=st.integers(0, 20), seconds=st.floats(1.0, 25.0))
    def hang_machines(self, which: int, seconds: float) -> None:
        """Hangs machines for less than `cancel_s`: while the cloud is out, nobody can end their tasks."""
        machines = [machine for machine in self.cluster.cloud.machines.values() if machine.up and not machine.hung]
        hang_machines(machines[which : which + 2], seconds)

    @rule(seconds=st.floats(1.0, 40.0))
    def cloud_outage(self, seconds: float) -> None:
        self.cluster.cloud.down_until = self.cluster.now + seconds

    @rule(delay_s=st.floats(0.1, 120.0))
    def copy_commands(self, delay_s: float) -> None:
        self.cluster.command_copies = CommandCopies(self.cluster.now + 10.0, (0.3 * delay_s, delay_s))

    @rule(seconds=st.floats(0.1, 15.0))
    def run_checking_cancellations(self, seconds: float) -> None:
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.run(0.25)
            self.cluster.checker.check_cancelled()
        assert self.cluster.checker.violations == []

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            run_until_jobs_end(self.cluster)
            assert self.cluster.checker.violations == []


TestFencingHistories = FencingHistories.TestCase
TestFencingHistories.settings = settings(
    max_examples=25,
    stateful_step_count=16,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
