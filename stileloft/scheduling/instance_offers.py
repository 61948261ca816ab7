"""What the cloud offers: machine types in zones, on demand or as spot instances."""

from collections.abc import Collection
from typing import NamedTuple

from stileloft.model.machines import fits_type
from stileloft.model.resources import Resources
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.machine_view import MachineView

# Tasks that share the price of a machine, as far as a resource goes of which they take nothing.
MAX_PRICED_SLOTS = 1000


class InstanceOffer(NamedTuple):
    """A kind of machine that can be provisioned; stored in this order in the records of provisioned machines."""

    machine_type: str
    zone: str
    spot: bool


class PricedOffer(NamedTuple):
    """An offer, and the price of one task's share of its machine."""

    price_per_task: float
    offer: InstanceOffer


def machine_price(machine_type: MachineType, spot: bool) -> float:
    """The price of a whole machine."""
    return machine_type.spot_price if spot else machine_type.price


def view_of_offer(machine_id: str, offer: InstanceOffer, types: dict[str, MachineType]) -> MachineView:
    """An empty machine of this offer that is not up yet."""
    machine = MachineView(machine_id, types[offer.machine_type], offer.zone, offer.spot, ready=True, up=False)
    machine.recompute_free()
    return machine


def offers_for(
    spec: JobSpec, types: dict[str, MachineType], without_capacity: Collection[InstanceOffer]
) -> list[PricedOffer]:
    """What could be provisioned for a task of this job."""
    found: list[PricedOffer] = []
    for machine_type in types.values():
        if not fits_type(spec, machine_type):
            continue
        whole = Resources(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        slots = max(1, whole.slots(spec, unbounded=MAX_PRICED_SLOTS))
        for zone in machine_type.zones:
            if spec.zone is not None and spec.zone != zone:
                continue
            for spot in (True, False) if spec.spot else (False,):
                offer = InstanceOffer(machine_type.name, zone, spot)
                if offer not in without_capacity:
                    found.append(PricedOffer(machine_price(machine_type, spot) / slots, offer))
    return found
