"""Scale-out and scale-in: which machines to provision and which to release."""

from dataclasses import dataclass, field

from stileloft.model.machines import fits_type
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.gang_placement import shortage_by_zone
from stileloft.scheduling.instance_offers import InstanceOffer, machine_price
from stileloft.scheduling.machine_scoring import URGENT_RANK
from stileloft.scheduling.provisioning_planner import ProvisioningPlanner, ScalingDemand
from stileloft.scheduling.scaling_criteria import all_tasks_allow_spot, can_be_served_soon, needs_on_demand
from stileloft.scheduling.snapshot import PendingJob, Snapshot

KEEP_IDLE_ON_DEMAND_BOOTS = 0.3
"""Idle on-demand machines are kept for this multiple of their boot time."""


@dataclass(frozen=True, slots=True)
class ScalingPlan:
    """Machines to provision, by offer, and machines to release."""

    provision: dict[InstanceOffer, int] = field(default_factory=dict)
    release: list[str] = field(default_factory=list)


class Autoscaler:
    """One plan: machines for what will not be served in time, and idle machines to release."""

    def __init__(self, snapshot: Snapshot, demand: ScalingDemand, settings: OperatorSettings) -> None:
        self._snapshot = snapshot
        self._demand = demand
        self._settings = settings
        self._planner = ProvisioningPlanner(snapshot, demand, settings)
        # Room that is there anyway comes first, and idle on-demand machines last.
        self._usable = sorted(
            (machine for machine in self._planner.machines if machine.ready),
            key=lambda machine: (not machine.spot, not machine.tasks, machine.id),
        )

    def plan(self) -> ScalingPlan:
        """Gangs first, which need room side by side; then what waits, and then headroom."""
        for job, count in self._demand.unmet:
            if job.spec.is_gang:
                self._provide_for_gang(job.spec, count)
        for spec, count in self._snapshot.expected_gangs:
            self._provide_for_gang(spec, count)
        for job, count in self._demand.unmet:
            if not job.spec.is_gang:
                self._provide_for_waiting(job, count)
        for spec, count in self._demand.headroom:
            self._provide_headroom(spec, count)
        for machine_type in self._snapshot.types.values():
            self._replace_on_demand(machine_type)
        return ScalingPlan(self._planner.provision, self._machines_to_release())

    def _provide_for_gang(self, spec: JobSpec, count: int) -> None:
        """Provisions what a gang lacks, in the zone that lacks the least; what room there is is taken."""
        present = [machine for machine in self._usable if machine.up] + self._planner.pending
        machine_types = self._snapshot.types.values()
        possible = sorted(
            {zone for machine_type in machine_types if fits_type(spec, machine_type) for zone in machine_type.zones}
        )
        for _, zone in shortage_by_zone(spec, count, present, possible):
            zones = {zone: 1} if spec.one_zone else {}
            # Machines in use come first, so that others run empty and are released.
            machines = sorted(present, key=lambda machine: (not machine.tasks, machine.id))
            left = self._planner.fill(spec, count, zones, machines)
            left = self._planner.provision_for(spec, left, zones, spot_only=False)
            if not left or not spec.one_zone:
                return

    def _provide_for_waiting(self, job: PendingJob, count: int) -> None:
        """Provisions for tasks that neither machines on their way nor the present ones will serve soon."""
        zones = dict(job.placed_by_zone)
        left = self._planner.fill(job.spec, count, zones, self._planner.pending)
        if left and not can_be_served_soon(job.spec, left, self._snapshot, self._planner.machines):
            spot_only = not needs_on_demand(job, self._snapshot)
            self._planner.provision_for(job.spec, left, zones, spot_only)

    def _provide_headroom(self, spec: JobSpec, count: int) -> None:
        """Keeps room for a class whose next jobs could not wait for a boot."""
        urgent = spec.rank >= URGENT_RANK
        machines = [machine for machine in self._usable if machine.spot or machine.tasks or urgent]
        machines += self._planner.planned
        if spec.cpus <= self._planner.smallest_cpus and self._large_tasks_run():
            # Others can only run on large machines: this class's usual tasks get small ones instead.
            count += self._tasks_on_large_machines(spec.job_class)
            machines = [machine for machine in machines if machine.type.cpus <= self._planner.smallest_cpus]
        left = self._planner.fill(spec, count, {}, machines)
        self._planner.provision_for(spec, left, None, spot_only=True)

    def _large_tasks_run(self) -> bool:
        """Whether some task needs more than the smallest type of machine has."""
        return any(
            task.cpus > self._planner.smallest_cpus
            for machine in self._snapshot.machines.values()
            for task in machine.tasks
        )

    def _tasks_on_large_machines(self, job_class: str) -> int:
        """How many tasks of a class are on machines larger than the smallest."""
        return sum(
            task.spec is not None and task.spec.job_class == job_class
            for machine in self._snapshot.machines.values()
            if machine.type.cpus > self._planner.smallest_cpus
            for task in machine.tasks
        )

    def _replace_on_demand(self, machine_type: MachineType) -> None:
        """Provisions a spot instance in place of an on-demand machine, which then runs empty and is released."""
        machines = self._snapshot.machines.values()
        alike = [machine for machine in machines if machine.type.name == machine_type.name]
        replaceable = sum(
            not machine.spot and bool(machine.tasks) and all_tasks_allow_spot(machine) for machine in alike
        )
        pending_count = sum(machine.type.name == machine_type.name for machine in self._planner.pending)
        # What runs now stays where it is: a spot instance is of use to tasks that come later.
        has_room = any(
            machine.spot and machine.ready and machine.free_cpus >= machine_type.cpus / 2 for machine in alike
        )
        if (
            not self._demand.jobs_arriving
            or has_room
            or replaceable <= pending_count
            or machine_type.spot_price >= machine_type.price
        ):
            return
        offers = [InstanceOffer(machine_type.name, zone, True) for zone in machine_type.zones]
        offers = [offer for offer in offers if offer not in self._demand.without_capacity]
        if not offers or not self._planner.may_provision():
            return
        spot_zones = [machine.zone for machine in machines if machine.spot]
        self._planner.add_machine(min(offers, key=lambda offer: (spot_zones.count(offer.zone), offer.zone)))

    def _machines_to_release(self) -> list[str]:
        """Machines idle for long enough, the dearest first, and overdue ones that nothing waits for."""
        found: list[str] = []
        if not self._demand.unmet:
            found += [machine.id for machine in self._planner.machines if not machine.up and not machine.ready]
        by_price = sorted(
            self._usable,
            key=lambda machine: (machine.spot, -machine_price(machine.type, machine.spot), machine.id),
        )
        for machine in by_price:
            boots = self._settings.keep_idle_boots if machine.spot else KEEP_IDLE_ON_DEMAND_BOOTS
            if machine.up and not machine.tasks and machine.idle_s > boots * machine.type.boot_s:
                found.append(machine.id)
        return found
