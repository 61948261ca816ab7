"""Random histories of delayed, lost and duplicate commands, cancellations and failovers: the rules hold in each."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests.simulation.network import Hold
from tests.simulation.world import World
from tests.test_rules import run_until_jobs_end

HELD_VERBS = st.sampled_from([None, "launch", "launch", "stop", "forget"])


class FencingHistories(RuleBasedStateMachine):
    """A world in which messages are delayed by up to three times `cancel_s`; at its end every job has ended."""

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        self.world = World(seed, loss=0.0)
        self.world.run(5.0)
        for number in range(4):
            self.world.submit(self.world.job(number, pieces=3, vcpus=2.0, guessS=60.0))
        self.world.run(20.0)

    @rule(pieces=st.integers(1, 4), length_s=st.floats(5.0, 60.0), gang=st.booleans(), cancel_s=st.floats(0.5, 20.0))
    def submit_and_cancel(self, pieces: int, length_s: float, gang: bool, cancel_s: float) -> None:
        shape = "gang" if gang and pieces > 1 else "array"
        body = self.world.job(len(self.world.jobs), pieces=pieces, vcpus=0.5, guessS=length_s, shape=shape)
        self.world.submit(body)
        self.world.clock.callLater(cancel_s, self.world.cancel, body["nameId"])

    @rule(verb=HELD_VERBS, period_s=st.floats(0.5, 15.0), held_s=st.floats(0.5, 90.0), answers=st.booleans())
    def hold(self, verb: str | None, period_s: float, held_s: float, answers: bool) -> None:
        now = self.world.now
        self.world.holds = [hold for hold in self.world.holds if hold.until > now]
        self.world.holds.append(Hold(now + period_s, held_s / 2, held_s, verb=verb, answers=answers))

    @rule(which=st.integers(0, 2), back_s=st.floats(0.2, 5.0))
    def kill(self, which: int, back_s: float) -> None:
        self.world.kill(self.world.leader() or self.world.names[which], back_s)

    @rule(seconds=st.floats(0.5, 12.0))
    def freeze_leader(self, seconds: float) -> None:
        self.world.freeze(self.world.leader() or self.world.names[0], seconds)

    @rule(seconds=st.floats(0.5, 25.0))
    def outage(self, seconds: float) -> None:
        self.world.state.outage(seconds)

    @rule(seconds=st.floats(0.5, 20.0))
    def refuse_leader(self, seconds: float) -> None:
        name = self.world.leader()
        if name is not None:
            self.world.state.refuses[name] = self.world.now + seconds

    @rule(seconds=st.floats(0.5, 10.0), share=st.floats(0.1, 0.6))
    def late_writes(self, seconds: float, share: float) -> None:
        self.world.state.late_writes = self.world.now + seconds, share, False

    @rule(which=st.integers(0, 20), seconds=st.floats(1.0, 20.0), how=st.sampled_from(["deaf", "mute"]))
    def silence(self, which: int, seconds: float, how: str) -> None:
        machines = [machine for machine in self.world.cloud.machines.values() if machine.up]
        for machine in machines[which : which + 2]:
            getattr(self.world, how)[machine.name] = self.world.now + seconds

    @precondition(lambda self: self.world.copies == 0.0)
    @rule(seconds=st.floats(5.0, 30.0))
    def copies(self, seconds: float) -> None:
        self.world.copies = 0.1
        self.world.clock.callLater(seconds, setattr, self.world, "copies", 0.0)

    @rule(seconds=st.floats(0.1, 15.0))
    def go_on(self, seconds: float) -> None:
        end = self.world.now + seconds
        while self.world.now < end:
            self.world.run(0.25)
            self.world.rules.check_cancelled()
        assert self.world.rules.broken == []

    def teardown(self) -> None:
        if hasattr(self, "world"):
            run_until_jobs_end(self.world)
            assert self.world.rules.broken == []


TestFencingHistories = FencingHistories.TestCase
TestFencingHistories.settings = settings(
    max_examples=25,
    stateful_step_count=16,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
