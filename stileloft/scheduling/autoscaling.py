"""Scale-out and scale-in: selection of the machines to provision and to release."""

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
"""How long idle on-demand machines are kept, as a multiple of their boot time."""


@dataclass(frozen=True, slots=True)
class ScalingPlan:
    """Machines to provision and to release."""

    provision: dict[InstanceOffer, int] = field(default_factory=dict)
    """Number of machines by offer."""
    release: list[str] = field(default_factory=list)
    """Machine ids."""


class Autoscaler:
    """Computes one plan: machines for tasks that the fleet will not serve in time, and idle machines to release."""

    def __init__(self, snapshot: Snapshot, demand: ScalingDemand, settings: OperatorSettings) -> None:
        self._snapshot = snapshot
        self._demand = demand
        self._settings = settings
        self._planner = ProvisioningPlanner(snapshot, demand, settings)
        # Machines that stay anyway are filled first, and idle on-demand machines last, so that they can be released.
        self._usable = sorted(
            (machine for machine in self._planner.machines if machine.ready),
            key=lambda machine: (not machine.spot, not machine.tasks, machine.id),
        )

    def plan(self) -> ScalingPlan:
        """Returns the plan. Gangs, which need room for all tasks at once, go first, then waiting tasks and headroom."""
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
        """Assigns a gang to existing room and provisions the missing room, first in the zone of smallest shortage."""
        present = [machine for machine in self._usable if machine.up] + self._planner.pending
        machine_types = self._snapshot.types.values()
        possible = sorted(
            {zone for machine_type in machine_types if fits_type(spec, machine_type) for zone in machine_type.zones}
        )
        for _, zone in shortage_by_zone(spec, count, present, possible):
            zones = {zone: 1} if spec.one_zone else {}
            # Machines in use come first, so that others become idle and are released.
            machines = sorted(present, key=lambda machine: (not machine.tasks, machine.id))
            count_left = self._planner.fill(spec, count, zones, machines)
            count_left = self._planner.provision_for(spec, count_left, zones, spot_only=False)
            if not count_left or not spec.one_zone:
                return

    def _provide_for_waiting(self, job: PendingJob, count: int) -> None:
        """Provisions machines for tasks that neither pending nor present machines will serve soon."""
        zones = dict(job.placed_by_zone)
        count_left = self._planner.fill(job.spec, count, zones, self._planner.pending)
        if count_left and not can_be_served_soon(job.spec, count_left, self._snapshot, self._planner.machines):
            spot_only = not needs_on_demand(job, self._snapshot)
            self._planner.provision_for(job.spec, count_left, zones, spot_only)

    def _provide_headroom(self, spec: JobSpec, count: int) -> None:
        """Provisions headroom for a class whose next jobs cannot wait for a boot."""
        urgent = spec.rank >= URGENT_RANK
        machines = [machine for machine in self._usable if machine.spot or machine.tasks or urgent]
        machines += self._planner.planned
        if spec.cpus <= self._planner.smallest_cpus and self._has_large_tasks():
            # Other tasks need the large machines, so headroom is counted on small machines only, and is kept also for
            # the tasks of this class that now run on large ones.
            count += self._tasks_on_large_machines(spec.job_class)
            machines = [machine for machine in machines if machine.type.cpus <= self._planner.smallest_cpus]
        count_left = self._planner.fill(spec, count, {}, machines)
        self._planner.provision_for(spec, count_left, None, spot_only=True)

    def _has_large_tasks(self) -> bool:
        """Whether a task on the machines needs more processors than the smallest machine type has."""
        return any(
            task.cpus > self._planner.smallest_cpus
            for machine in self._snapshot.machines.values()
            for task in machine.tasks
        )

    def _tasks_on_large_machines(self, job_class: str) -> int:
        """Returns the number of tasks of a class on machines larger than the smallest type."""
        return sum(
            task.spec is not None and task.spec.job_class == job_class
            for machine in self._snapshot.machines.values()
            if machine.type.cpus > self._planner.smallest_cpus
            for task in machine.tasks
        )

    def _replace_on_demand(self, machine_type: MachineType) -> None:
        """Provisions a spot instance to replace an on-demand machine, which can then become idle and be released."""
        machines = self._snapshot.machines.values()
        same_type = [machine for machine in machines if machine.type.name == machine_type.name]
        replaceable = sum(
            not machine.spot and bool(machine.tasks) and all_tasks_allow_spot(machine) for machine in same_type
        )
        pending_count = sum(machine.type.name == machine_type.name for machine in self._planner.pending)
        # Running tasks are not moved: a spot instance serves only tasks that are placed later.
        has_room = any(
            machine.spot and machine.ready and machine.free_cpus >= machine_type.cpus / 2 for machine in same_type
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
        """Returns overdue machines if no demand is unmet, and machines idle for long, the most expensive first."""
        to_release: list[str] = []
        if not self._demand.unmet:
            to_release += [machine.id for machine in self._planner.machines if not machine.up and not machine.ready]
        by_price = sorted(
            self._usable,
            key=lambda machine: (machine.spot, -machine_price(machine.type, machine.spot), machine.id),
        )
        for machine in by_price:
            keep_boots = self._settings.keep_idle_boots if machine.spot else KEEP_IDLE_ON_DEMAND_BOOTS
            if machine.up and not machine.tasks and machine.idle_s > keep_boots * machine.type.boot_s:
                to_release.append(machine.id)
        return to_release
