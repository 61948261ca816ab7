"""Decisions of one scheduling cycle: where waiting tasks are placed, and for which tasks others are preempted."""

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
    """Runs one scheduling cycle, which modifies the snapshot, and returns its decision."""
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
    """Places all tasks of a gang; otherwise places none and reserves room. A waiting gang preempts nothing."""
    assignments = find_gang_machines(job, cycle)
    if assignments is not None:
        for index, machine in assignments:
            cycle.place_task(job, index, machine)
        return
    if not any(job.placed_by_zone.values()) and cycle.quotas.within_limit(job.spec, job.waiting_count):
        if len(cycle.snapshot.reservations) < MAX_RESERVATIONS:
            reserve_gang_room(job, cycle.snapshot)
        cycle.decision.unmet.append(UnmetDemand(job, job.waiting_count))


class JobPlacer:
    """Serves one job in a cycle: places its tasks, preempts others for those that fit nowhere, or reserves room."""

    def __init__(self, job: PendingJob, cycle: SchedulingCycle) -> None:
        self._job = job
        self._spec = job.spec
        self._cycle = cycle
        self._snapshot = cycle.snapshot
        self._candidates: CandidateMachines | None = None
        self._preemption_search: PreemptionSearch | None = None
        self._nominated = 0

    def place_tasks(self) -> None:
        """Serves the job's tasks in order, within the limits of the cycle and of its team."""
        decision, quotas = self._cycle.decision, self._cycle.quotas
        for index in self._job.task_indices:
            if len(decision.placed) >= self._cycle.limits.max_placed:
                break
            if not quotas.within_limit(self._spec):
                self._save_quota()
                break
            if not self._place_or_make_room(index):
                break
        unmet_count = self._job.waiting_count - self._nominated
        if self._preemption_search is not None and unmet_count > 0 and quotas.within_limit(self._spec):
            decision.unmet.append(UnmetDemand(self._job, unmet_count))

    def _save_quota(self) -> None:
        """Holds back quota for a promoted job, so that small tasks do not take each part of it that becomes free."""
        spec, cycle = self._spec, self._cycle
        if self._job.promoted and spec.team not in cycle.teams_saving_quota:
            cycle.teams_saving_quota.add(spec.team)
            cycle.quotas.usage_of(spec.team).add(spec.cpus, spec.gpus or 0.0)
            reserve_room(self._job, self._snapshot)

    def _place_or_make_room(self, index: int) -> bool:
        """Places a task or makes room for it; returns whether the job's next task should be tried."""
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
        """Returns the best machine with room for one of the job's tasks; None if there is none."""
        if self._candidates is None:
            self._candidates = CandidateMachines(self._job, self._cycle)
        return self._candidates.best()

    def _nominated_machine(self, nomination: Nomination | None) -> MachineView | None:
        """Returns the machine that the task is nominated to, or None if it does not fit there yet.

        Removes the nomination from the machine in either case.
        """
        if nomination is None:
            return None
        others = self._cycle.nominations_by_machine[nomination.machine_id]
        others.remove(nomination)  # the task must not be blocked by its own nomination
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
        """Nominates the task to the machine with the cheapest preemption.

        Returns False if no preemption helps or the cycle's limit of preemptions is reached.
        """
        if self._preemption_search is None:
            self._preemption_search = self._start_preemption_search()
        if len(self._cycle.decision.preemptions) >= self._cycle.limits.max_preemptions:
            return False
        preemption = self._preemption_search.best()
        if preemption is None:
            return False  # the job's other tasks are alike, so preemption helps none of them
        self._cycle.nominate_task(self._job, index, preemption)
        self._preemption_search.machine_changed(preemption.machine_id)
        if any(task.group_size > 1 for task in preemption.victims):
            self._preemption_search.invalidate()  # the gang's tasks on other machines are stopped too
        self._nominated += 1
        return True

    def _start_preemption_search(self) -> PreemptionSearch:
        """Reserves room for one task, and returns a search of the machines not reserved exclusively for other jobs."""
        job, cycle, snapshot = self._job, self._cycle, self._snapshot
        reserve_room(job, snapshot)
        reserved_for_others = {
            machine_id
            for machine_id, reservation in snapshot.reservations.items()
            if reservation.exclusive_job_id not in ("", self._spec.id)
        }
        context = PreemptionContext(snapshot.machines, cycle.nominations_by_machine, cycle.quotas, cycle.reclaimable)
        return PreemptionSearch(self._spec, job.placed_by_zone, job.excluded_machines | reserved_for_others, context)
