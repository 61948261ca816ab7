"""The machines that the leader knows."""

from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.machines.image_locations import ImageLocations
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.transport.clock import Clock


class MachineRegistry:
    """Looks up machines by id, and adds new ones. Called with the cluster's lock held."""

    def __init__(self, cluster: ClusterState, tokens: FencingTokens, images: ImageLocations, clock: Clock) -> None:
        self._cluster = cluster
        self._tokens = tokens
        self._images = images
        self._clock = clock

    def get_or_create(self, machine_id: str) -> Machine:
        """Returns the machine with this id; adds it if it is new to the leader."""
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, first_seen_at=self._clock.seconds(), token=self._tokens.first)
            machine.images = dict.fromkeys(self._images.take_loaded(machine_id))
            self._cluster.machines[machine_id] = machine
        return machine
