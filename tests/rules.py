"""A checker of the protocol's rules, fed with the events that the fakes of workers and users observe."""

import math
from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster
    from tests.simulation.workers import Machine

TEAM_LIMITS = {"core": 48.0, "edge": 40.0, "guest": 64.0}
"""Teams' hard limits of processors, as in the simulated deployment's settings."""
ANSWER_TIMEOUT_S = 75.0
"""Longest time without an answer to requests about a job, after the last fault."""
MAX_START_DELAY_S = 240.0
"""Longest time from the submission of a large job to its first start."""
MAX_PLACEMENT_DELAY_S = 90.0
"""Longest time that a task waits although a machine has room for it, after the last fault."""
START_IN_FLIGHT_S = 3.0
"""Latest regular start after a confirmed cancellation: the leader learns of the cancellation, and the image of a start
that was already sent is fetched, within this time."""


class RuleChecker:
    """Observes tasks, submissions, cancellations and answers of one cluster, and records each violated rule."""

    def __init__(self, cluster: "SimulatedCluster") -> None:
        self.cluster = cluster
        self.machine_by_task: dict[str, Machine] = {}
        """Running tasks, each with its machine."""
        self.violations: list[str] = []
        """Violations in the form `<seconds> <rule>: <evidence>`."""
        self.completed_tasks: set[str] = set()
        self.last_phase: dict[str, str] = {}
        """The phase that the last answer gave for each job."""
        self.cancel_requests: set[str] = set()
        """Jobs that a user has tried to cancel."""
        self.cancelled_at: dict[str, float] = {}
        """When a user first received the answer that a job is cancelled."""
        self.final_at: dict[str, float] = {}
        """When a user first received a final phase of a job."""
        self.longest_after_cancel_s = 0.0
        """The longest time from a confirmed cancellation to the end of one of the job's tasks."""
        self.refused_starts: Counter[str] = Counter()
        """Starts that workers refused, by the stale part: `token` or `epoch`."""
        self.starts = 0
        self.starts_by_task: dict[str, int] = {}
        self.submitted_at: dict[str, float] = {}
        self.started_at: dict[str, float] = {}
        self.unanswered_since: dict[str, float] = {}
        """The time of the first request about a job since the last answered one."""
        self.faults_until = 0.0
        """When the last injected fault ends; time limits count from then."""
        self.accepted_at: dict[str, float] = {}
        """When a controller first answered that it knows the job."""
        self.infeasible_jobs: set[str] = set()
        """Jobs that exceed every machine type or their team's limit."""
        self.late_starts: list[str] = []
        """Starts later than `START_IN_FLIGHT_S` after the confirmed cancellation of their job."""
        self.placeable_since: dict[str, float] = {}
        """Since when a job has had a waiting task for which a machine has room, while none of its tasks was started."""

    def count_starts(self, tasks: set[str]) -> int:
        """Returns the total number of starts of the tasks."""
        return sum(self.starts_by_task.get(task, 0) for task in tasks)

    def job_of(self, task: str) -> dict[str, Any]:
        return self.cluster.jobs[task.rpartition("/")[0]]

    def record_violation(self, rule: str, evidence: str) -> None:
        self.violations.append(f"{self.cluster.now:.2f} {rule}: {evidence}")

    def task_started(self, task: str, machine: "Machine", now: float) -> None:
        self.starts += 1
        self.starts_by_task[task] = self.starts_by_task.get(task, 0) + 1
        job_id = task.rpartition("/")[0]
        # The job progresses: in a job of thousands of tasks some task always waits.
        self.placeable_since.pop(job_id, None)
        if self.job_of(task)["shape"] != "gang":  # a gang has started once all its tasks run
            self.started_at.setdefault(task.rpartition("/")[0], now)
        other = self.machine_by_task.get(task)
        if other is not None and other is not machine:
            self.record_violation("ran_twice", f"{task} runs on {other.name} and starts on {machine.name}")
        job = self.job_of(task)
        cancelled_at = self.cancelled_at.get(job["nameId"])
        if cancelled_at is not None and now > cancelled_at + self.cluster.CANCEL_S:
            self.record_violation(
                "ran_cancelled",
                f"{task} starts on {machine.name} {now - cancelled_at:.1f} s after its cancellation was confirmed",
            )
        if cancelled_at is not None and now > cancelled_at + START_IN_FLIGHT_S:
            self.late_starts.append(
                f"{now:.2f} {task}, {now - cancelled_at:.1f} s after its cancellation was confirmed"
            )
        if (
            (job["builds"] and machine.kind["label"] not in job["builds"])
            or (machine.spot and not job["loaner"])
            or (job["yard"] and machine.zone != job["yard"])
        ):
            self.record_violation("wrong_place", f"{task} starts on {machine.name}, which its job excludes")
        zones = [m.zone for t, m in self.machine_by_task.items() if t != task and t.startswith(job["nameId"] + "/")]
        if job["together"] and any(zone != machine.zone for zone in zones):
            self.record_violation(
                "wrong_place", f"{task} starts in zone {machine.zone}, outside the zone of its job's other tasks"
            )
        if job["spread"] and zones.count(machine.zone) + 1 > (job["pieces"] + 1) // 2:
            self.record_violation(
                "wrong_place",
                f"{task} starts in zone {machine.zone} beside {zones.count(machine.zone)} tasks of its job",
            )
        self.machine_by_task[task] = machine
        used = sum(self.job_of(t)["vcpus"] for t in self.machine_by_task if self.job_of(t)["crew"] == job["crew"])
        if used > TEAM_LIMITS[job["crew"]] + 1e-6:
            self.record_violation("quota", f"{job['crew']} uses {used} of {TEAM_LIMITS[job['crew']]} processors")

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

    def observe_status(self, job: str, answer: dict[str, Any] | None, requested_at: float = math.inf) -> None:  # noqa: C901 - one case a rule
        """Checks an answer, received now, to a status request sent at `requested_at`; None: the job is unknown.

        The controllers count as one service: an answer that any of them gave before `requested_at` must not be
        contradicted by another one.
        """
        if answer is None:
            if self.accepted_at.get(job, math.inf) < requested_at:
                self.record_violation("forgotten", f"{job} is answered as unknown after its acceptance")
            return
        phase, before = answer["phase"], self.last_phase.get(job)
        if job not in self.cluster.jobs:
            self.record_violation("invented", f"{job} was never submitted")
            return
        if job in self.infeasible_jobs:
            self.record_violation("accepted", f"{job}, which can never be placed")
        self.accepted_at.setdefault(job, self.cluster.now)
        if before in ("done", "aborted") and phase != before:
            if phase in ("done", "aborted") or self.final_at[job] < requested_at:
                self.record_violation("went_back", f"{job} from {before} to {phase}")
            return
        if phase == "aborted":
            if job not in self.cancel_requests:
                self.record_violation("went_back", f"{job} is answered as cancelled, which no user requested")
            self.cancelled_at.setdefault(job, self.cluster.now)
        if phase == "done":
            missing = [i for i in range(self.cluster.jobs[job]["pieces"]) if f"{job}/{i}" not in self.completed_tasks]
            if missing:
                self.record_violation("not_done", f"{job} is answered as done without tasks {missing}")
        if phase in ("done", "aborted"):
            self.final_at.setdefault(job, self.cluster.now)
        self.last_phase[job] = phase

    def request_sent(self, job: str) -> None:
        self.unanswered_since.setdefault(job, self.cluster.now)

    def request_answered(self, job: str) -> None:
        self.unanswered_since.pop(job, None)

    def check_answered(self) -> None:
        """Checks that requests about accepted jobs are answered in time; called periodically."""
        for job, since in self.unanswered_since.items():
            if job in self.last_phase and self.cluster.now - max(since, self.faults_until) > ANSWER_TIMEOUT_S:
                self.record_violation("forgotten", f"no request about {job} was answered since {since:.1f} s")

    def check_served(self) -> None:
        """Checks that no class, no team and none of the largest jobs of a class starved; called at the end of a run.

        At least half of the jobs of each class, each team and each class's largest quarter have started, and no job of
        that quarter waited for longer than `MAX_START_DELAY_S`.
        """
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
                    self.record_violation("not_served", f"{job}, one of the largest of {name}, waited {waited:.0f} s")
        for name, jobs in groups.items():
            served = sum(1 for job in jobs if job in self.started_at)
            if served * 2 < len(jobs):
                self.record_violation("not_served", f"{served} of {len(jobs)} jobs of {name} have started")

    def check_waiting(self) -> None:
        """Checks that no task waits too long although a machine has room for it; called every few seconds."""
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
                    self.record_violation(
                        "left_waiting", f"{name} waits since {since:.0f} s beside a machine with room"
                    )
            else:
                self.placeable_since.pop(name, None)

    def _has_room(
        self, job: dict[str, Any], used: dict[str, float], free: dict[str, float], placed: "dict[str, Machine]"
    ) -> bool:
        if used.get(job["crew"], 0.0) + job["vcpus"] > TEAM_LIMITS[job["crew"]]:
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
        """Checks that no task of a cancelled job runs `CANCEL_S` after the confirmation; called periodically."""
        for task, machine in self.machine_by_task.items():
            cancelled_at = self.cancelled_at.get(task.rpartition("/")[0])
            if cancelled_at is not None and self.cluster.now > cancelled_at + self.cluster.CANCEL_S:
                self.record_violation(
                    "ran_cancelled",
                    f"{task} runs on {machine.name}; its cancellation was confirmed at {cancelled_at:.1f} s",
                )
