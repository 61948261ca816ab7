"""What the cloud offers: machine types in zones, on demand or as spot instances."""

from collections.abc import Collection
from typing import NamedTuple

from stileloft.model.machines import fits_type
from stileloft.model.resources import Resources
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.machine_view import MachineView


class InstanceOffer(NamedTuple):
    """A kind of machine that can be provisioned; stored in this order in the records of provisioned machines."""

    machine_type: str
    zone: str
    spot: bool


class PricedOffer(NamedTuple):
    """An offer, and the price of one task's share of its machine."""

    price_per_task: float
    offer: InstanceOffer


def machine_price(kind: MachineType, spot: bool) -> float:
    """The price of a whole machine."""
    return kind.spot_price if spot else kind.price


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
    for kind in types.values():
        if not fits_type(spec, kind):
            continue
        slots = max(1, Resources(kind.cpus, kind.gpus, kind.memory_gb).slots(spec))
        for zone in kind.zones:
            if spec.zone is not None and spec.zone != zone:
                continue
            for spot in (True, False) if spec.spot else (False,):
                offer = InstanceOffer(kind.name, zone, spot)
                if offer not in without_capacity:
                    found.append(PricedOffer(machine_price(kind, spot) / slots, offer))
    return found
