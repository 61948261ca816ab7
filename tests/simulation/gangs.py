"""One attempt of a gang, as its tasks see each other."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster
    from tests.simulation.workers import Machine

GANG_WAIT_S, GANG_PEER_S = 20.0, 3.0


class Gang:
    """One attempt of a gang, as its tasks see each other."""

    def __init__(self, cluster: "SimulatedCluster", job: dict[str, Any]) -> None:
        self.cluster, self.job = cluster, job
        self.members: dict[str, tuple[Machine, dict[str, Any]]] = {}
        self.running_since: float | None = None
        self.stopping_since: dict[str, float] = {}
        """Tasks that were told to stop with time to save, and when."""
        self.progress = 0.0
        self.finished = False
        self.waiting_since: list[float] = []
        """When each of its tasks began to wait."""

    def present(self, name: str) -> bool:
        machine, state = self.members[name]
        return (
            not machine.gone and not machine.hung and machine.tasks.get(name) is state and (state["phase"] != "exited")
        )

    def join(self, name: str, machine: "Machine", state: dict[str, Any]) -> None:
        self.members[name] = machine, state
        self.waiting_since.append(self.cluster.now)
        self.cluster.clock.callLater(GANG_WAIT_S, self.time_out, name, state)
        here = [other for other in self.members if self.present(other)]
        if self.running_since is None and len(here) == self.job["pieces"]:
            self.running_since = self.cluster.now
            self.cluster.checker.started_at.setdefault(self.job["nameId"], self.cluster.now)
            for member, member_state in self.members.values():
                member_state["phase"] = "running"
                member.send_heartbeat()
            self.watch(None)

    def time_out(self, name: str, state: dict[str, Any]) -> None:
        machine = self.members[name][0]
        if state["phase"] != "gathering" or machine.gone or machine.tasks.get(name) is not state:
            return
        if machine.hung:
            self.cluster.clock.callLater(0.5, self.time_out, name, state)
        else:
            machine.finish(name, "incomplete")

    def current_progress(self) -> float:
        """Progress of the job by now; it stops with the first stop."""
        if self.running_since is None or self.stopping_since:
            return self.progress
        return self.cluster.saved_progress.get(self.job["nameId"], 0.0) + self.cluster.now - self.running_since

    def watch(self, lost_at: float | None) -> None:
        """All of a running gang complete together; if one is lost the others notice."""
        if self.finished:
            return
        now = self.cluster.now
        lost = [name for name in self.members if not self.present(name)]
        if lost:
            lost_at = now if lost_at is None else lost_at
            if now - lost_at >= 0.8 * GANG_PEER_S:
                self.roll_back("mates_gone")
                return
        elif self.stopping_since:
            self.checkpoint()
        elif self.current_progress() >= self.cluster.run_time_s(self.job["nameId"] + "/0"):
            self.finished = True
            for name, (machine, _) in self.members.items():
                machine.finish(name, "done")
        self.cluster.clock.callLater(0.25, self.watch, lost_at)

    def stop(self, name: str, machine: "Machine", grace_s: float) -> None:
        if self.job["snapshotS"] <= 0 or grace_s < self.job["stashS"]:
            self.progress = self.current_progress()
            machine.finish(name, "halted")
            return
        self.progress = self.current_progress()
        self.stopping_since.setdefault(name, self.cluster.now)
        machine.tasks[name]["phase"] = "flushing"

    def checkpoint(self) -> None:
        now, first = self.cluster.now, min(self.stopping_since.values())
        if (
            len(self.stopping_since) == len(self.members)
            and now >= max(self.stopping_since.values()) + self.job["stashS"]
        ):
            self.finished = True
            self.cluster.saved_progress[self.job["nameId"]] = self.progress
            for name, (machine, state) in self.members.items():
                state["kept"] = True
                machine.finish(name, "halted")
        elif len(self.stopping_since) < len(self.members) and now - first > GANG_PEER_S:
            self.roll_back("mates_gone")

    def roll_back(self, why: str) -> None:
        self.finished = True
        every_s = self.job["snapshotS"]
        progress = self.current_progress()
        before = self.cluster.saved_progress.get(self.job["nameId"], 0.0)
        self.cluster.saved_progress[self.job["nameId"]] = max(before, progress // every_s * every_s) if every_s else 0.0
        self.cluster.gang_rollbacks += 1
        for name in self.members:
            self.exit(name, why)

    def exit(self, name: str, why: str) -> None:
        """One on a machine that hangs exits when it goes on."""
        machine, _state = self.members[name]
        if machine.hung and not machine.gone:
            self.cluster.clock.callLater(0.3, self.exit, name, why)
        elif self.present(name):
            machine.finish(name, why)
