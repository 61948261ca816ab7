"""Faults of controllers, machines, links and outside services; each begins when its function is called."""

from collections.abc import Callable

from tests.simulation.cluster import SimulatedCluster


def crash_leader(cluster: SimulatedCluster) -> None:
    name = cluster.leader()
    if name is not None:
        cluster.kill(name)


def crash_all_controllers(cluster: SimulatedCluster) -> None:
    for name in cluster.names:
        cluster.kill(name, 4.0)


def restart_all_controllers(cluster: SimulatedCluster) -> None:
    for name in cluster.names:
        cluster.kill(name, 0.2)


def crash_all_controllers_in_outage(cluster: SimulatedCluster) -> None:
    cluster.state.outage(12.0)
    crash_all_controllers(cluster)


def rolling_restart(cluster: SimulatedCluster) -> None:
    for number, name in enumerate(cluster.names):
        cluster.clock.callLater(number * 8.0, cluster.kill, name, 0.3)


def restart_during_elections(cluster: SimulatedCluster) -> None:
    """Kills the controllers in turn, one every 0.7 s, beginning with the first; each restarts after 0.2 s."""
    for number in range(6):
        cluster.clock.callLater(number * 0.7, cluster.kill, cluster.names[number % 3], 0.2)


def outage(cluster: SimulatedCluster) -> None:
    cluster.state.outage(20.0)


def refuse_leader(cluster: SimulatedCluster) -> None:
    name = cluster.leader()
    if name is not None:
        cluster.state.refused_until[name] = cluster.now + 25.0


def partition_leader_from_state_service(cluster: SimulatedCluster) -> None:
    cluster.partition(cluster.leader() or "node-0", "state", 15.0, hold=True)


def partition_leader_from_workers(cluster: SimulatedCluster) -> None:
    name = cluster.leader() or "node-0"
    for machine in list(cluster.cloud.machines):
        cluster.partition(name, machine, 25.0, hold=True)


def partition_leader_from_most_workers(cluster: SimulatedCluster) -> None:
    """Partitions the leader from all machines but one.

    As in an incident at Bluebonnet: the leader still receives some heartbeats and therefore does not step down.
    """
    name = cluster.leader() or "node-0"
    for machine in list(cluster.cloud.machines)[1:]:
        cluster.partition(name, machine, 30.0, hold=True)


def reclaim_spot_machines(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.spot][::2]:
        machine.preempted_at = cluster.now + 6.0

        def reclaim(machine=machine) -> None:
            cluster.cloud.machines.pop(machine.name, None)
            machine.die()

        cluster.clock.callLater(6.0, reclaim)


def crash_machines(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.up][:2]:
        machine.die()


def hang_machines(machines: list, seconds: float) -> None:
    for machine in machines:
        machine.hung = True

        def resume(machine=machine) -> None:
            machine.hung = False
            machine.check_lease()

        machine.cluster.clock.callLater(seconds, resume)


def hang_two_machines(seconds: float) -> Callable[[SimulatedCluster], None]:
    return lambda cluster: hang_machines([m for m in cluster.cloud.machines.values() if m.up][:2], seconds)


def partition_machines(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.up][:2]:
        for name in cluster.names:
            cluster.partition(name, machine.name, 10.0, hold=True)


def cloud_outage(cluster: SimulatedCluster) -> None:
    cluster.cloud.down_until = cluster.now + 25.0


def make_machine_faulty(cluster: SimulatedCluster) -> None:
    cluster.faulty_machines.update([m.name for m in cluster.cloud.machines.values() if m.up][:1])


def block_traffic_to_machines(seconds: float) -> Callable[[SimulatedCluster], None]:
    """Returns a fault: two machines receive no answers and no commands, while their heartbeats arrive."""

    def start(cluster: SimulatedCluster) -> None:
        for machine in [m for m in cluster.cloud.machines.values() if m.up][:2]:
            cluster.inbound_blocked[machine.name] = cluster.now + seconds

    return start


def duplicate_messages(cluster: SimulatedCluster) -> None:
    cluster.duplicate_share = 0.3


def isolate_leader_with_workers(cluster: SimulatedCluster) -> None:
    """Partitions the leader from the state service and its peers, but not from the workers.

    Users cancel jobs through the other controllers at the same time.
    """
    name = cluster.leader() or "node-0"
    for other in ["state", *(n for n in cluster.names if n != name)]:
        cluster.partition(name, other, 60.0, hold=True)


def partition_zone_of_leader(cluster: SimulatedCluster) -> None:
    """Partitions the leader and the machines of zone a from everything else; no machine can be released."""
    name = cluster.leader() or "node-0"
    inside = [name, *(m.name for m in cluster.cloud.machines.values() if m.zone == "a")]
    outside = [
        "state",
        "cloud",
        *(n for n in cluster.names if n != name),
        *(m.name for m in cluster.cloud.machines.values() if m.zone != "a"),
    ]
    for one in inside:
        for other in outside:
            cluster.partition(one, other, 55.0, hold=True)
    cluster.cloud.down_until = cluster.now + 55.0


def freeze_leader(cluster: SimulatedCluster) -> None:
    """Freezes the leader for longer than all leases; when it resumes, all its timers are due at once."""
    cluster.freeze(cluster.leader() or "node-0", 25.0)


def freeze_standbys(cluster: SimulatedCluster) -> None:
    leader = cluster.leader()
    for name in cluster.names:
        if name != leader:
            cluster.freeze(name, 14.0)


def freeze_during_elections(cluster: SimulatedCluster) -> None:
    """Freezes the leader and each of its successors, shortly after or during its election."""
    for number in range(24):
        cluster.clock.callLater(number * 0.35, freeze_leader_or_candidate, cluster, number)


def freeze_leader_or_candidate(cluster: SimulatedCluster, number: int) -> None:
    name = cluster.leader() or cluster.names[number % 3]
    if number % 2 == 0 and cluster.frozen_until.get(name, 0.0) <= cluster.now:
        cluster.freeze(name, cluster.random.uniform(1.0, 6.0))


def refuse_peer_connections(cluster: SimulatedCluster) -> None:
    cluster.peers_refuse_until = cluster.now + 40.0


def fail_most_machines(cluster: SimulatedCluster) -> None:
    """Crashes some machines, hangs or partitions others, and reclaims half of the spot machines."""
    up = [m for m in cluster.cloud.machines.values() if m.up]
    for machine in up[::4]:
        machine.die()
    for machine in up[1::4]:
        for name in cluster.names:
            cluster.partition(name, machine.name, 18.0, hold=True)
    hang_two_machines(15.0)(cluster)
    reclaim_spot_machines(cluster)


def restart_machines(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.up][:3]:
        machine.restart()
