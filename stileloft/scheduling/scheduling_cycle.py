"""State of one scheduling cycle that its jobs share, and the changes that its decisions make to the snapshot."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from stileloft.model.nominations import Nomination
from stileloft.model.placements import TaskKey
from stileloft.model.quota import TeamQuotas
from stileloft.model.resources import EPSILON, requested
from stileloft.scheduling.machine_scoring import MachineSizes
from stileloft.scheduling.machine_view import MachineView, RunningTask
from stileloft.scheduling.preemption import Preemption
from stileloft.scheduling.preemption_search import ReclaimableRoomIndex
from stileloft.scheduling.snapshot import PendingJob, Snapshot


class TaskPlacement(NamedTuple):
    """A task to place, and its machine."""

    key: TaskKey
    machine_id: str


class TaskPreemption(NamedTuple):
    """A task that needs room on a machine, and the preemption that makes it."""

    key: TaskKey
    preemption: Preemption


class UnmetDemand(NamedTuple):
    """Number of tasks of a job that were neither placed nor nominated."""

    job: PendingJob
    task_count: int


@dataclass(slots=True)
class Decision:
    """The decisions of a scheduling cycle."""

    placed: list[TaskPlacement] = field(default_factory=list)
    preemptions: list[TaskPreemption] = field(default_factory=list)
    unmet: list[UnmetDemand] = field(default_factory=list)
    promoted: frozenset[str] = frozenset()
    """Ids of jobs that went before jobs of higher priority because of their age."""


@dataclass(frozen=True, slots=True)
class CycleLimits:
    """Upper bounds of the decisions of one cycle."""

    max_placed: int
    max_preemptions: int


class SmallestRequest(NamedTuple):
    """The smallest request of any waiting task, for each resource separately."""

    cpus: float
    memory_gb: float


class SchedulingCycle:
    """State that all jobs of a cycle share, and the decisions made so far."""

    def __init__(self, snapshot: Snapshot, limits: CycleLimits, nominations: Iterable[Nomination]) -> None:
        specs = [job.spec for job in snapshot.pending_jobs]
        self.snapshot = snapshot
        self.quotas: TeamQuotas = snapshot.quotas
        self.limits = limits
        self.decision = Decision(promoted=frozenset(job.spec.id for job in snapshot.pending_jobs if job.promoted))
        self.sizes = MachineSizes.of(snapshot.types.values(), specs)
        self.nominations_by_machine: dict[str, list[Nomination]] = {}
        for nomination in nominations:
            self.nominations_by_machine.setdefault(nomination.machine_id, []).append(nomination)
        self.reclaimable = ReclaimableRoomIndex(snapshot.machines)
        self.teams_saving_quota: set[str] = set()
        """Teams at their limits whose quota is held back for a promoted job as it becomes free."""
        self._machine_ids_with_room = [machine.id for machine in snapshot.schedulable_machines()]
        """Ids of schedulable machines that may have room for a waiting task."""
        self._smallest_request = SmallestRequest(
            min((spec.cpus for spec in specs), default=0.0), min((spec.memory_gb for spec in specs), default=0.0)
        )
        self._placed_at_last_drop = -1

    def machines_with_room(self) -> list[MachineView]:
        """Returns the schedulable machines that may have room for a waiting task."""
        return [self.snapshot.machines[machine_id] for machine_id in self._machine_ids_with_room]

    def drop_full_machines(self) -> None:
        """Drops machines without room for any waiting task, if tasks were placed since the last call."""
        placed = len(self.decision.placed)
        if placed == self._placed_at_last_drop:
            return
        self._placed_at_last_drop = placed
        cpus, memory_gb = self._smallest_request
        self._machine_ids_with_room = [
            machine.id
            for machine in self.machines_with_room()
            if machine.free_cpus + EPSILON >= cpus and machine.free_memory_gb + EPSILON >= memory_gb
        ]

    def place_task(self, job: PendingJob, index: int, target: MachineView) -> None:
        """Places a task on a machine, and updates the snapshot and the quota usage."""
        spec, snapshot = job.spec, self.snapshot
        key = (spec.id, index)
        machine = snapshot.writable(target.id)
        reservation = snapshot.reservations.get(machine.id)
        if reservation is not None and job.estimate_s > reservation.available_in_s:
            reservation.leftover = reservation.leftover.minus(requested(spec))
        machine.add_task(RunningTask.from_spec(spec, key, job.promoted, job.estimate_s))
        if spec.image not in machine.images:
            machine.fetching |= {spec.image}
        self.quotas.usage_of(spec.team).add(spec.cpus, spec.gpus or 0.0)
        job.placed_by_zone[machine.zone] = job.placed_by_zone.get(machine.zone, 0) + 1
        job.waiting_count -= 1
        self.decision.placed.append(TaskPlacement(key, machine.id))
        snapshot.nominations.pop(key, None)

    def nominate_task(self, job: PendingJob, index: int, preemption: Preemption) -> None:
        """Nominates a task to the machine of a preemption, where it is placed once the victims are gone."""
        spec, snapshot = job.spec, self.snapshot
        key, machine_id = (spec.id, index), preemption.machine_id
        self.decision.preemptions.append(TaskPreemption(key, preemption))
        self._stop_victims(preemption)
        nominated = self.nominations_by_machine.setdefault(machine_id, [])
        for lower in [nomination for nomination in nominated if nomination.rank < spec.rank]:
            # Tasks of lower rank lose their nominations and wait again.
            nominated.remove(lower)
            snapshot.nominations.pop(lower.key, None)
        nomination = Nomination(key, machine_id, spec.rank, spec, 0.0)
        snapshot.nominations[key] = nomination
        nominated.append(nomination)
        self.quotas.usage_of(spec.team).add(spec.cpus, spec.gpus or 0.0)

    def _stop_victims(self, preemption: Preemption) -> None:
        """Marks the victims and the other tasks of their gangs, on all machines, as being stopped."""
        if preemption.victims:
            self.snapshot.writable(preemption.machine_id).mark_stopping(preemption.victims)
            self.reclaimable.task_stopped(preemption.machine_id)
        gangs = {task.key[0] for task in preemption.victims if task.group_size > 1}
        if not gangs:
            return
        for machine in list(self.snapshot.machines.values()):
            gang_tasks = [task for task in machine.tasks if task.key[0] in gangs]
            if gang_tasks:
                self.snapshot.writable(machine.id).mark_stopping(gang_tasks)
                self.reclaimable.task_stopped(machine.id)
