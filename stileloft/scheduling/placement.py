"""Decides one scheduling cycle: which waiting tasks are placed where, and for which room is made."""

from stileloft.model.nominations import Nomination
from stileloft.scheduling.candidate_machines import CandidateMachines
from stileloft.scheduling.constraints import zone_allowed
from stileloft.scheduling.gang_placement import find_gang_machines
from stileloft.scheduling.gang_reservations import expected_gang_nominations, reserve_gang_room
from stileloft.scheduling.machine_view import MachineView
from stileloft.scheduling.preemption import fits_beside_nominations
from stileloft.scheduling.preemption_search import PreemptionContext, PreemptionSearch
from stileloft.scheduling.queue_order import promote_aged_jobs, queue_position
from stileloft.scheduling.reservations import MAX_RESERVATIONS, reserve_room
from stileloft.scheduling.scheduling_cycle import CycleLimits, Decision, SchedulingCycle, UnmetDemand
from stileloft.scheduling.snapshot import PendingJob, Snapshot


def decide(snapshot: Snapshot, max_placed: int, max_preemptions: int) -> Decision:
    """One scheduling cycle. Works on the snapshot, which is used up by it."""
    promote_aged_jobs(snapshot)
    nominations = [*snapshot.nominations.values(), *expected_gang_nominations(snapshot)]
    cycle = SchedulingCycle(snapshot, CycleLimits(max_placed, max_preemptions), nominations)
    for job in sorted(snapshot.pending_jobs, key=lambda job: queue_position(job, snapshot)):
        cycle.drop_full_machines()
        if job.spec.is_gang:
            place_gang(job, cycle)
        else:
            JobPlacer(job, cycle).place_tasks()
    return cycle.decision


def place_gang(job: PendingJob, cycle: SchedulingCycle) -> None:
    """Places all tasks of a gang, or leaves everything as it was and reserves room. Waiting gangs preempt nothing."""
    found = find_gang_machines(job, cycle)
    if found is not None:
        for index, machine in found:
            cycle.place_task(job, index, machine)
        return
    if not any(job.placed_by_zone.values()) and cycle.quotas.within_limit(job.spec, job.waiting_count):
        if len(cycle.snapshot.reservations) < MAX_RESERVATIONS:
            reserve_gang_room(job, cycle.snapshot)
        cycle.decision.unmet.append(UnmetDemand(job, job.waiting_count))


class JobPlacer:
    """Serves one job of a cycle: places its tasks, makes room for those that fit nowhere, or reserves room."""

    def __init__(self, job: PendingJob, cycle: SchedulingCycle) -> None:
        self._job = job
        self._spec = job.spec
        self._cycle = cycle
        self._snapshot = cycle.snapshot
        self._candidates: CandidateMachines | None = None
        self._preemption_search: PreemptionSearch | None = None
        self._nominated = 0

    def place_tasks(self) -> None:
        """Serves the job's tasks in their order, as far as the cycle's limits and its team's limit allow."""
        decision, quotas = self._cycle.decision, self._cycle.quotas
        for index in self._job.task_indices:
            if len(decision.placed) >= self._cycle.limits.max_placed:
                break
            if not quotas.within_limit(self._spec):
                self._save_quota()
                break
            if not self._place_or_make_room(index):
                break
        left = self._job.waiting_count - self._nominated
        if self._preemption_search is not None and left > 0 and quotas.within_limit(self._spec):
            decision.unmet.append(UnmetDemand(self._job, left))

    def _save_quota(self) -> None:
        """Keeps what the team gives up for a promoted job: small tasks would take each bit as it becomes free."""
        spec, cycle = self._spec, self._cycle
        if self._job.promoted and spec.team not in cycle.teams_saving_quota:
            cycle.teams_saving_quota.add(spec.team)
            cycle.quotas.usage_of(spec.team).add(spec.cpus, spec.gpus or 0.0)
            reserve_room(self._job, self._snapshot)

    def _place_or_make_room(self, index: int) -> bool:
        """Places a task, or makes room for it; returns whether the job's next task is worth looking at."""
        nomination = self._snapshot.nominations.get((self._spec.id, index))
        target = self._nominated_machine(nomination)
        if target is None and self._preemption_search is None:
            target = self._best_machine()
        if target is not None:
            self._cycle.place_task(self._job, index, target)
            if self._candidates is not None:
                self._candidates.machine_changed(target.id)
            return True
        if nomination is not None:
            self._cycle.nominations_by_machine[nomination.machine_id].append(nomination)
            self._nominated += 1
            return True
        return self._make_room(index)

    def _best_machine(self) -> MachineView | None:
        """The best machine that has room for one of the job's tasks."""
        if self._candidates is None:
            self._candidates = CandidateMachines(self._job, self._cycle)
        return self._candidates.best()

    def _nominated_machine(self, nomination: Nomination | None) -> MachineView | None:
        """The machine that the task is nominated to, if it fits there by now."""
        if nomination is None:
            return None
        others = self._cycle.nominations_by_machine[nomination.machine_id]
        others.remove(nomination)  # its own nomination must not stand in its way
        machine = self._snapshot.machines.get(nomination.machine_id)
        if machine is None:
            return None
        usable = machine.ready and zone_allowed(self._spec, self._job.placed_by_zone, machine.zone)
        if usable and fits_beside_nominations(self._spec, machine, others):
            return machine
        if self._candidates is not None:
            self._candidates.machine_changed(machine.id)
        return None

    def _make_room(self, index: int) -> bool:
        """Nominates the task to the machine that the trials find best; returns whether there is one."""
        if self._preemption_search is None:
            self._preemption_search = self._start_preemption_search()
        if len(self._cycle.decision.preemptions) >= self._cycle.limits.max_preemptions:
            return False
        preemption = self._preemption_search.best()
        if preemption is None:
            return False  # the job's other tasks are alike: no trial helps them either
        self._cycle.nominate_task(self._job, index, preemption)
        self._preemption_search.machine_changed(preemption.machine_id)
        if any(task.group_size > 1 for task in preemption.victims):
            self._preemption_search.invalidate()  # a gang has gone from other machines too
        self._nominated += 1
        return True

    def _start_preemption_search(self) -> PreemptionSearch:
        """Reserves room for one task, and prepares trials on the machines that are not kept for other jobs."""
        job, cycle, snapshot = self._job, self._cycle, self._snapshot
        reserve_room(job, snapshot)
        kept_for_others = {
            machine_id
            for machine_id, reservation in snapshot.reservations.items()
            if reservation.exclusive_job_id not in ("", self._spec.id)
        }
        context = PreemptionContext(snapshot.machines, cycle.nominations_by_machine, cycle.quotas, cycle.reclaimable)
        return PreemptionSearch(self._spec, job.placed_by_zone, job.excluded_machines | kept_for_others, context)
