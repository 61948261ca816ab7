"""Builds the snapshot that a scheduling cycle computes its decisions from."""

from collections.abc import Callable

from stileloft.leadership.lease import LeaderLease
from stileloft.machines.catalog import MachineCatalog
from stileloft.machines.scale_out import MachineProvisioner
from stileloft.model.cluster import ClusterState
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import MachineType
from stileloft.scheduling.instance_offers import view_of_offer
from stileloft.scheduling.machine_view import MachineView
from stileloft.scheduling.machine_view_cache import MachineViewCache
from stileloft.scheduling.pending_jobs import PendingJobs
from stileloft.scheduling.snapshot import ExpectedTasks, Snapshot
from stileloft.scheduling.workload import Workload
from stileloft.settings import Team
from stileloft.transport.clock import Clock, WallClock


class SnapshotBuilder:
    """Copies the cluster's state for the scheduling thread. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        lease: LeaderLease,
        views: MachineViewCache,
        pending_jobs: PendingJobs,
        workload: Workload,
        catalog: MachineCatalog,
        provisioner: MachineProvisioner,
        teams: dict[str, Team],
        operator_settings: Callable[[], OperatorSettings],
        clock: Clock,
        wall_clock: WallClock,
        settled_after_s: float,
    ) -> None:
        """`settled_after_s`: seconds from the start of a leadership until a class without jobs counts as unseen."""
        self._cluster = cluster
        self._lease = lease
        self._views = views
        self._pending_jobs = pending_jobs
        self._workload = workload
        self._catalog = catalog
        self._provisioner = provisioner
        self._teams = teams
        self._operator_settings = operator_settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._settled_after_s = settled_after_s

    def build(self) -> Snapshot:
        """Returns a snapshot of all machines and waiting jobs."""
        cluster = self._cluster
        now = self._clock.seconds()
        types = dict(self._catalog.types)
        machines = self._machines(types, now)
        return Snapshot(
            now=self._wall_clock(),
            machines=machines,
            pending_jobs=self._pending_jobs.collect(machines.values(), now),
            teams=self._teams,
            usage=cluster.usage(self._teams),
            nominations=dict(cluster.nominations),
            types=types,
            expected_gangs=self.headroom(gang=True),
        )

    def headroom(self, gang: bool) -> list[ExpectedTasks]:
        """Returns the tasks that room is kept for before they are submitted, of gangs or of other jobs."""
        # Shortly after the start of a leadership, a class may have jobs that were not read from the store yet.
        settled = self._clock.seconds() - self._lease.began_at > self._settled_after_s
        return self._workload.headroom(gang, self._operator_settings(), include_unseen=gang and settled)

    def _machines(self, types: dict[str, MachineType], now: float) -> dict[str, MachineView]:
        """Returns views of all machines by id, including those of provisioning requests in flight."""
        views: dict[str, MachineView] = {}
        for machine in self._cluster.machines.values():
            machine_type = types.get(machine.type)
            if machine_type is not None:
                views[machine.id] = self._views.view(machine, machine_type, now)
        for request, (offer, count) in self._provisioner.pending.items():
            for number in range(count):
                view = view_of_offer(f"{request}-{number}", offer, types)
                views[view.id] = view
        return views
