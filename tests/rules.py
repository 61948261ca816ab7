"""A plain checker of the protocol's rules, fed with what the stand-ins see."""

import math
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster
    from tests.simulation.workers import Machine

LIMITS = {"core": 48.0, "edge": 40.0, "guest": 64.0}
ANSWER_TIMEOUT_S = 75.0
MAX_START_DELAY_S = 240.0
MAX_PLACEMENT_DELAY_S = 90.0
# A start that was on its way when a cancellation was confirmed: the news and the image take so long.
START_IN_FLIGHT_S = 3.0


class RuleChecker:
    def __init__(self, cluster: "SimulatedCluster") -> None:
        self.cluster = cluster
        self.machine_by_task: dict[str, Machine] = {}
        self.violations: list[str] = []
        self.completed_tasks: set[str] = set()
        self.last_phase: dict[str, str] = {}
        self.cancel_requests: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.final_at: dict[str, float] = {}
        self.longest_after_cancel_s = 0.0
        """The longest time from a confirmed cancellation to the last moment of one of its tasks."""
        self.refused_starts: Counter[str] = Counter()
        """Starts that workers refused, by what was over: the token or the session they were sent under."""
        self.starts = 0
        self.starts_by_task: dict[str, int] = {}
        self.submitted_at: dict[str, float] = {}
        self.started_at: dict[str, float] = {}
        self.unanswered_since: dict[str, float] = {}
        """Since when no question about a job was answered."""
        self.faults_until = 0.0
        self.accepted_at: dict[str, float] = {}
        """When a node first told anybody that the job is known."""
        self.infeasible_jobs: set[str] = set()
        """Jobs that no machine or team can ever take."""
        self.late_starts: list[str] = []
        """Tasks that started well after their job's cancellation was confirmed."""
        self.placeable_since: dict[str, float] = {}
        """Since when a job's task waits beside a machine that has room for it, and no task of it was started."""

    def count_starts(self, tasks: set[str]) -> int:
        """How often any of these tasks has begun."""
        return sum(self.starts_by_task.get(task, 0) for task in tasks)

    def job_of(self, task: str) -> dict[str, Any]:
        return self.cluster.jobs[task.rpartition("/")[0]]

    def record_violation(self, rule: str, what: str) -> None:
        self.violations.append(f"{self.cluster.now:.2f} {rule}: {what}")

    def task_started(self, task: str, machine: "Machine", now: float) -> None:
        self.starts += 1
        self.starts_by_task[task] = self.starts_by_task.get(task, 0) + 1
        name = task.rpartition("/")[0]
        self.placeable_since.pop(name, None)  # it is being served: of a job of thousands some task always waits
        if self.job_of(task)["shape"] != "gang":  # a gang begins when all its tasks run
            self.started_at.setdefault(task.rpartition("/")[0], now)
        other = self.machine_by_task.get(task)
        if other is not None and other is not machine:
            self.record_violation("ran_twice", f"{task} is on {other.name} and starts on {machine.name}")
        job = self.job_of(task)
        at = self.cancelled_at.get(job["nameId"])
        if at is not None and now > at + self.cluster.CANCEL_S:
            self.record_violation("ran_cancelled", f"{task} starts")
        if at is not None and now > at + START_IN_FLIGHT_S:
            self.late_starts.append(f"{now:.2f} {task}, {now - at:.1f} s after its cancellation was confirmed")
        if (
            (job["builds"] and machine.kind["label"] not in job["builds"])
            or (machine.spot and not job["loaner"])
            or (job["yard"] and machine.zone != job["yard"])
        ):
            self.record_violation("wrong_place", f"{task} on {machine.name}")
        zones = [m.zone for t, m in self.machine_by_task.items() if t != task and t.startswith(job["nameId"] + "/")]
        if job["together"] and any(zone != machine.zone for zone in zones):
            self.record_violation("wrong_place", f"{task} is not with the others")
        if job["spread"] and zones.count(machine.zone) + 1 > (job["pieces"] + 1) // 2:
            self.record_violation("wrong_place", f"{task} is with too many others")
        self.machine_by_task[task] = machine
        used = sum(self.job_of(t)["vcpus"] for t in self.machine_by_task if self.job_of(t)["crew"] == job["crew"])
        if used > LIMITS[job["crew"]] + 1e-6:
            self.record_violation("quota", f"{job['crew']} uses {used}")

    def task_ended(self, task: str, machine: "Machine") -> None:
        if self.machine_by_task.get(task) is machine:
            del self.machine_by_task[task]
            cancelled_at = self.cancelled_at.get(task.rpartition("/")[0], self.cluster.now)
            self.longest_after_cancel_s = max(self.longest_after_cancel_s, self.cluster.now - cancelled_at)

    def task_completed(self, task: str) -> None:
        self.completed_tasks.add(task)

    def cancel_requested(self, job: str) -> None:
        self.cancel_requests.add(job)

    def is_final(self, job: str) -> bool:
        return self.last_phase.get(job) in ("done", "aborted")

    def observe_status(self, job: str, answer: dict[str, Any] | None, asked_at: float = math.inf) -> None:  # noqa: C901 - one case a rule
        """An answer that some node gave now to a question of then; the nodes are not told apart.

        What any of them has said by the time of a question binds all of them in their answer.
        """
        if answer is None:
            if self.accepted_at.get(job, math.inf) < asked_at:
                self.record_violation("forgotten", job)
            return
        phase, before = answer["phase"], self.last_phase.get(job)
        if job not in self.cluster.jobs:
            self.record_violation("invented", job)
            return
        if job in self.infeasible_jobs:
            self.record_violation("accepted", f"{job}, which can't run")
        self.accepted_at.setdefault(job, self.cluster.now)
        if before in ("done", "aborted") and phase != before:
            if phase in ("done", "aborted") or self.final_at[job] < asked_at:
                self.record_violation("went_back", f"{job} from {before} to {phase}")
            return
        if phase == "aborted":
            if job not in self.cancel_requests:
                self.record_violation("went_back", f"{job} is called cancelled")
            self.cancelled_at.setdefault(job, self.cluster.now)
        if phase == "done":
            missing = [i for i in range(self.cluster.jobs[job]["pieces"]) if f"{job}/{i}" not in self.completed_tasks]
            if missing:
                self.record_violation("not_done", f"{job} lacks {missing}")
        if phase in ("done", "aborted"):
            self.final_at.setdefault(job, self.cluster.now)
        self.last_phase[job] = phase

    def request_sent(self, job: str) -> None:
        self.unanswered_since.setdefault(job, self.cluster.now)

    def request_answered(self, job: str) -> None:
        self.unanswered_since.pop(job, None)

    def check_answered(self) -> None:
        """To be called now and then: once all troubles are over, each accepted job's questions are answered."""
        for job, since in self.unanswered_since.items():
            if job in self.last_phase and self.cluster.now - max(since, self.faults_until) > ANSWER_TIMEOUT_S:
                self.record_violation("forgotten", f"no question about {job} was answered since {since:.1f}")

    def check_served(self) -> None:
        """To be called at the end: what was served of each class, each team, and each class's largest jobs."""
        groups: dict[str, list[str]] = {}
        for job, body in self.cluster.jobs.items():
            if job not in self.cancel_requests and job in self.last_phase:
                groups.setdefault(f"class {body['lane']}", []).append(job)
                groups.setdefault(f"team {body['crew']}", []).append(job)
        for name in [name for name in groups if name.startswith("class ")]:
            jobs = sorted(
                groups[name], key=lambda job: -self.cluster.jobs[job]["pieces"] * self.cluster.jobs[job]["vcpus"]
            )
            largest = groups[f"largest of {name}"] = jobs[: max(1, len(jobs) // 4)]
            for job in largest:
                waited = self.started_at.get(job, self.cluster.now) - self.submitted_at[job]
                if waited > MAX_START_DELAY_S:
                    self.record_violation("not_served", f"{job}, a large one of {name}, waited {waited:.0f} s")
        for name, jobs in groups.items():
            served = sum(1 for job in jobs if job in self.started_at)
            if served * 2 < len(jobs):
                self.record_violation("not_served", f"{served} of {len(jobs)} of {name}")

    def check_waiting(self) -> None:
        """To be called every few seconds: nothing waits for long beside a machine with room, once troubles are over."""
        placed = {
            task: machine
            for machine in self.cluster.cloud.machines.values()
            for task, state in machine.tasks.items()
            if state["phase"] != "exited"
        }
        used: dict[str, float] = {}
        for task in placed:
            job = self.job_of(task)
            used[job["crew"]] = used.get(job["crew"], 0.0) + job["vcpus"]
        free = {
            name: machine.kind["vcpus"]
            - sum(self.job_of(task)["vcpus"] for task, on in placed.items() if on is machine)
            for name, machine in self.cluster.cloud.machines.items()
            if machine.up and not machine.hung and machine.preempted_at is None
        }
        for name, job in self.cluster.jobs.items():
            tasks = [f"{name}/{i}" for i in range(job["pieces"])]
            waits = (
                name in self.last_phase
                and not self.is_final(name)
                and any(task not in placed and task not in self.completed_tasks for task in tasks)
            )
            if waits and job["shape"] == "array" and self._has_room(job, used, free, placed):
                since = max(self.placeable_since.setdefault(name, self.cluster.now), self.faults_until)
                if self.cluster.now - since > MAX_PLACEMENT_DELAY_S:
                    self.record_violation("left_waiting", f"{name} waits beside room since {since:.0f}")
            else:
                self.placeable_since.pop(name, None)

    def _has_room(
        self, job: dict[str, Any], used: dict[str, float], free: dict[str, float], placed: "dict[str, Machine]"
    ) -> bool:
        if used.get(job["crew"], 0.0) + job["vcpus"] > LIMITS[job["crew"]]:
            return False
        zones = [machine.zone for task, machine in placed.items() if task.startswith(job["nameId"] + "/")]
        for name, left in free.items():
            machine = self.cluster.cloud.machines[name]
            fits = (
                left >= job["vcpus"]
                and (not job["builds"] or machine.kind["label"] in job["builds"])
                and (job["loaner"] or not machine.spot)
                and job["yard"] in (None, machine.zone)
            )
            together = not job["together"] or all(zone == machine.zone for zone in zones)
            apart = not job["spread"] or zones.count(machine.zone) + 1 <= (job["pieces"] + 1) // 2
            if fits and together and apart:
                return True
        return False

    def check_cancelled(self) -> None:
        """To be called now and then: nothing of a cancelled job may still be on a machine."""
        for task, machine in self.machine_by_task.items():
            at = self.cancelled_at.get(task.rpartition("/")[0])
            if at is not None and self.cluster.now > at + self.cluster.CANCEL_S:
                self.record_violation("ran_cancelled", f"{task} is on {machine.name}")
