"""Offers of the cloud: machine types in zones, on demand or as spot instances."""

from collections.abc import Collection
from typing import NamedTuple

from stileloft.model.machines import fits_type
from stileloft.model.resources import Resources
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.machine_view import MachineView

MAX_PRICED_SLOTS = 1000
"""Upper bound of the tasks that share a machine's price, for a resource that the job does not use."""


class InstanceOffer(NamedTuple):
    """A kind of machine that can be provisioned. Records of provisioned machines store the fields in this order."""

    machine_type: str
    zone: str
    spot: bool


class PricedOffer(NamedTuple):
    """An offer with the price of one task's share of the machine."""

    price_per_task: float
    offer: InstanceOffer


def machine_price(machine_type: MachineType, spot: bool) -> float:
    """Returns the price of a whole machine."""
    return machine_type.spot_price if spot else machine_type.price


def view_of_offer(machine_id: str, offer: InstanceOffer, types: dict[str, MachineType]) -> MachineView:
    """Returns the view of an empty machine of this offer that is not up yet."""
    machine = MachineView(machine_id, types[offer.machine_type], offer.zone, offer.spot, ready=True, up=False)
    machine.recompute_free()
    return machine


def offers_for(
    spec: JobSpec, types: dict[str, MachineType], without_capacity: Collection[InstanceOffer]
) -> list[PricedOffer]:
    """Returns the offers that fit a task of the job and its constraints, without those in `without_capacity`."""
    offers: list[PricedOffer] = []
    for machine_type in types.values():
        if not fits_type(spec, machine_type):
            continue
        capacity = Resources(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        task_count = max(1, capacity.slots(spec, unbounded=MAX_PRICED_SLOTS))
        for zone in machine_type.zones:
            if spec.zone is not None and spec.zone != zone:
                continue
            for spot in (True, False) if spec.spot else (False,):
                offer = InstanceOffer(machine_type.name, zone, spot)
                if offer not in without_capacity:
                    offers.append(PricedOffer(machine_price(machine_type, spot) / task_count, offer))
    return offers
