"""Placement constraints of jobs: machine types, zones and spot instances."""

from stileloft.protocol.messages import JobSpec
from stileloft.scheduling.machine_view import MachineView


def machine_allowed(spec: JobSpec, machine: MachineView) -> bool:
    """Whether the job's fixed constraints on type, zone and spot instances allow the machine, whatever runs on it."""
    return (
        (spec.types is None or machine.type.name in spec.types)
        and (spec.zone is None or spec.zone == machine.zone)
        and (not machine.spot or bool(spec.spot))
    )


def zone_allowed(spec: JobSpec, placed_by_zone: dict[str, int], zone: str) -> bool:
    """Whether one more task of the job may be placed in the zone, given how many are placed in each zone.

    A job with `spread` has at most half of its tasks, rounded up, in one zone.
    """
    if spec.one_zone and any(count > 0 for other, count in placed_by_zone.items() if other != zone):
        return False
    return not (spec.spread and placed_by_zone.get(zone, 0) + 1 > (spec.tasks + 1) // 2)
