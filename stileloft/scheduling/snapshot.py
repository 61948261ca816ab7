"""The copy of the cluster's state that a scheduling cycle computes its decisions from."""

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
    """Tasks that room is kept for before they are submitted."""

    spec: JobSpec
    task_count: int


@dataclass(slots=True)
class PendingJob:
    """A job with tasks that wait for a machine, and the cycle's state of it."""

    spec: JobSpec
    submitted_at: float
    """Unix time in seconds."""
    waiting_count: int
    """Number of waiting tasks."""
    task_indices: list[int]
    """Indices of the waiting tasks that the cycle considers, in ascending order."""
    placed_by_zone: dict[str, int]
    """Number of placed tasks in each zone."""
    estimate_s: float
    """Expected run time of a task, in seconds."""
    start_objective_s: float | None = None
    """The time within which jobs of its class should start; None without such an objective."""
    excluded_machines: frozenset[str] = frozenset()
    """Ids of machines on which placing the job is in back-off."""
    aged: bool = False
    """Whether the job has waited long enough for priority aging."""
    promoted: bool = False
    """Whether the job goes before jobs of higher priority in this cycle. No job preempts tasks that start this way."""
    started: bool = True
    """Whether one of its tasks has run."""
    starving: bool = False
    """Whether none of the job's tasks was placed for long; it may then use room kept for expected gangs or for jobs
    that are not promoted."""

    def split(self, count: int) -> "PendingJob":
        """Keeps the first `count` tasks, and returns the others as a job that is not promoted.

        Both share `placed_by_zone`, so that tasks placed for either count for both.
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
    """Room on a machine kept for waiting tasks of one job, so that smaller tasks do not starve it."""

    available_in_s: float
    """Seconds until enough room is expected to be free. Tasks that end before may use the room until then."""
    leftover: Resources
    """Resources free at that time in addition to those reserved."""
    exclusive_job_id: str = ""
    """Id of the promoted job that the room is kept for; no other job preempts tasks there. Empty if not promoted."""

    @classmethod
    def for_job(cls, job: PendingJob, available_in_s: float, room: Resources, count: int = 1) -> "Reservation":
        """Returns a reservation of room for `count` tasks out of the resources that will be free."""
        leftover = room.minus(requested(job.spec), count)
        return cls(available_in_s, leftover, job.spec.id if job.promoted else "")

    def admits(self, spec: JobSpec, estimate_s: float, starving: bool = False) -> bool:
        """Whether a task of another job may use the reserved room; `starving` as in `PendingJob`."""
        if starving and not self.exclusive_job_id:
            return True  # a starving job does not wait while reserved room stays empty
        # Run time estimates are too imprecise to delay a promoted job, which has already waited long.
        ends_before = not self.exclusive_job_id and estimate_s <= self.available_in_s
        return ends_before or self.leftover.covers(requested(spec))


@dataclass(slots=True)
class Snapshot:
    """The cluster's state as one scheduling cycle sees it; the cycle modifies it."""

    now: float
    """Unix time in seconds, for deadlines."""
    machines: dict[str, MachineView]
    pending_jobs: list[PendingJob]
    teams: dict[str, Team]
    usage: dict[str, QuotaUsage]
    nominations: dict[TaskKey, Nomination]
    types: dict[str, MachineType]
    expected_gangs: list[ExpectedTasks] = field(default_factory=list)
    """Tasks of gangs that room is kept for before they are submitted."""
    reservations: dict[str, Reservation] = field(default_factory=dict)
    """Reservations made in this cycle, by machine id."""
    copied_machine_ids: set[str] = field(default_factory=set)
    """Ids of machines whose views this cycle has copied, so that it may change them."""
    _total_cpus: float | None = None
    _schedulable_ids: list[str] | None = None

    @property
    def quotas(self) -> TeamQuotas:
        """The teams' quotas, with this snapshot's usage."""
        return TeamQuotas(self.teams, self.usage)

    def total_cpus(self) -> float:
        """Returns the processors of all machines, including those not up yet."""
        if self._total_cpus is None:
            self._total_cpus = sum(machine.type.cpus for machine in self.machines.values())
        return self._total_cpus

    def schedulable_machines(self) -> list[MachineView]:
        """Returns the machines that are up and ready; the set is fixed at the first call in a cycle."""
        if self._schedulable_ids is None:
            self._schedulable_ids = [machine.id for machine in self.machines.values() if machine.schedulable]
        return [self.machines[machine_id] for machine_id in self._schedulable_ids]

    def writable(self, machine_id: str) -> MachineView:
        """Returns this cycle's own copy of the machine's view, made at the first call for the machine."""
        machine = self.machines[machine_id]
        if machine_id not in self.copied_machine_ids:
            machine = self.machines[machine_id] = machine.copy()
            self.copied_machine_ids.add(machine_id)
        return machine
