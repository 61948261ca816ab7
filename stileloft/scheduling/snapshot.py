"""A copy of the cluster's state that the scheduling decisions are functions of."""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from stileloft.model.nominations import Nomination
from stileloft.model.placements import TaskKey
from stileloft.model.quota import QuotaUsage, TeamQuotas
from stileloft.model.resources import Resources, requested
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.machine_view import MachineView
from stileloft.settings import Team


class ExpectedTasks(NamedTuple):
    """Tasks for which there should be room before they are submitted."""

    spec: JobSpec
    task_count: int


@dataclass(slots=True)
class PendingJob:
    """A job with tasks that wait for a machine."""

    spec: JobSpec
    submitted_at: float
    waiting_count: int
    """How many tasks wait."""
    task_indices: list[int]
    """Some of the waiting tasks, lowest numbers first."""
    placed_by_zone: dict[str, int]
    """How many tasks are placed in each zone."""
    estimate_s: float
    start_objective_s: float | None = None
    """How soon its class is to start, by the objectives."""
    excluded_machines: frozenset[str] = frozenset()
    """Machines on which the job failed."""
    aged: bool = False
    """It has waited for long enough for priority aging."""
    promoted: bool = False
    """It goes before more pressing work in this cycle, which does not preempt what it begins."""
    started: bool = True
    """One of its tasks was placed already."""
    starving: bool = False
    """Nothing of it was placed for so long that it may use room kept for what is only expected."""

    def split(self, count: int) -> "PendingJob":
        """Keeps its first `count` tasks, and returns the others as a job that is not promoted.

        What is placed of either counts for both, by zone.
        """
        others = replace(
            self,
            waiting_count=self.waiting_count - count,
            task_indices=self.task_indices[count:],
            promoted=False,
        )
        self.waiting_count, self.task_indices = count, self.task_indices[:count]
        return others


@dataclass(slots=True)
class Reservation:
    """Room kept for a task that waits, so that smaller ones don't starve it."""

    available_in_s: float
    """When enough room is expected; what ends before may use the room meanwhile."""
    leftover: Resources
    """What is left then beside the task."""
    exclusive_job_id: str = ""
    """The job that the room is kept for, if it is promoted: no preemption gives the room to others."""

    @classmethod
    def for_job(cls, job: PendingJob, available_in_s: float, room: Resources, count: int = 1) -> "Reservation":
        """Keeps room for `count` tasks out of what will be free."""
        leftover = room.minus(requested(job.spec), count)
        return cls(available_in_s, leftover, job.spec.id if job.promoted else "")

    def admits(self, spec: JobSpec, estimate_s: float, starving: bool = False) -> bool:
        """Whether a job may use the room meanwhile; `starving`: nothing of it was placed for long."""
        if starving and not self.exclusive_job_id:
            return True  # nothing is to wait beside room that stays empty for long
        # Estimates are too rough for a promoted job, which has waited for long already.
        ends_before = not self.exclusive_job_id and estimate_s <= self.available_in_s
        return ends_before or self.leftover.covers(requested(spec))


@dataclass(slots=True)
class Snapshot:
    """What one scheduling cycle knows of the cluster; it is used up by the cycle."""

    now: float
    """Time of day, for deadlines."""
    machines: dict[str, MachineView]
    pending_jobs: list[PendingJob]
    teams: dict[str, Team]
    usage: dict[str, QuotaUsage]
    nominations: dict[TaskKey, Nomination]
    types: dict[str, MachineType]
    expected_gangs: list[ExpectedTasks] = field(default_factory=list)
    """Tasks of gangs for which room is to be kept before they are submitted."""
    reservations: dict[str, Reservation] = field(default_factory=dict)
    """Room reserved in this cycle, by machine."""
    copied_machine_ids: set[str] = field(default_factory=set)
    """Machines that this cycle has a copy of."""
    _total_cpus: float | None = None
    _schedulable_ids: list[str] | None = None

    @property
    def quotas(self) -> TeamQuotas:
        """The teams' quotas, with this snapshot's usage."""
        return TeamQuotas(self.teams, self.usage)

    def total_cpus(self) -> float:
        """Processors of all machines."""
        if self._total_cpus is None:
            self._total_cpus = sum(machine.type.cpus for machine in self.machines.values())
        return self._total_cpus

    def schedulable_machines(self) -> list[MachineView]:
        """The machines that are up and take tasks, which stay the same ones during the cycle."""
        if self._schedulable_ids is None:
            self._schedulable_ids = [machine.id for machine in self.machines.values() if machine.schedulable]
        return [self.machines[machine_id] for machine_id in self._schedulable_ids]

    def writable(self, machine_id: str) -> MachineView:
        """The machine's copy that may be changed."""
        machine = self.machines[machine_id]
        if machine_id not in self.copied_machine_ids:
            machine = self.machines[machine_id] = machine.copy()
            self.copied_machine_ids.add(machine_id)
        return machine
