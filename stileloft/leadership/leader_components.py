"""The components of a leader, and the dependencies between them."""

from stileloft.jobs.failure_attribution import FailureAttribution
from stileloft.jobs.job_backoff import JobBackoff
from stileloft.jobs.job_watch import JobWatch
from stileloft.jobs.registry import JobRegistry
from stileloft.jobs.task_exits import TaskExitHandler
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.authority import Authority
from stileloft.leadership.failover import Failover
from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.leadership.leader_environment import LeaderEnvironment
from stileloft.leadership.lease import LeaderLease
from stileloft.machines.boot_monitor import BootMonitor
from stileloft.machines.image_locations import ImageLocations
from stileloft.machines.inventory import MachineInventory
from stileloft.machines.partition_detector import PartitionDetector
from stileloft.machines.provision_records import ProvisionRecords
from stileloft.machines.registry import MachineRegistry
from stileloft.machines.scale_in import MachineReleaser
from stileloft.machines.scale_out import MachineProvisioner
from stileloft.machines.supervisor import MachineSupervisor
from stileloft.machines.timeouts import FailureTimeouts
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.rebuild.unresolved_task_manager import UnresolvedTaskManager
from stileloft.scheduling.decision_applier import DecisionApplier
from stileloft.scheduling.machine_view_cache import MachineViewCache
from stileloft.scheduling.pending_jobs import PendingJobs
from stileloft.scheduling.scheduling_loop import SchedulingLoop
from stileloft.scheduling.snapshot_builder import SnapshotBuilder
from stileloft.scheduling.workload import Workload
from stileloft.store.commit_applier import CommitApplier
from stileloft.store.commit_queue import CommitQueue
from stileloft.store.flush_timer import FlushTimer
from stileloft.store.format_upgrade import FormatUpgrade
from stileloft.store.job_reloader import JobReloader
from stileloft.store.job_write_set import JobWriteSet
from stileloft.store.leader_store import LeaderStore
from stileloft.store.limits import StoreLimits
from stileloft.workers.command_assertions import CommandAssertions
from stileloft.workers.command_metrics import CommandMetrics
from stileloft.workers.command_planner import CommandPlanner
from stileloft.workers.dispatcher import CommandDispatcher, DispatchSettings
from stileloft.workers.fencing import MachineFencing
from stileloft.workers.forget_scheduler import ForgetScheduler
from stileloft.workers.heartbeat_responder import HeartbeatResponder
from stileloft.workers.heartbeats import HeartbeatProcessor
from stileloft.workers.task_reconciliation import TaskReconciler
from stileloft.workers.task_states import TaskStateTracker
from stileloft.workers.transmission import CommandTransmitter

HEARTBEAT_FLUSH_DELAY_S = 0.02
"""Delay of the commit of changes from heartbeats, in seconds, so that many changes share one commit."""


class LeaderComponents:
    """Builds the components that act while this controller leads.

    Each component gets its dependencies as constructor arguments, and a callback where a dependency would be circular.
    """

    def __init__(self, environment: LeaderEnvironment, lease: LeaderLease, tokens: FencingTokens) -> None:
        self._environment = environment
        self._clock = environment.clock
        self._deployment = environment.settings.deployment
        self._timings = self._deployment.workers
        self.timeouts = FailureTimeouts.from_settings(self._timings)
        self._teams = {team.name: team for team in self._deployment.teams}
        self.lease = lease
        self.tokens = tokens
        self.cluster = ClusterState()
        self.flush_timer = FlushTimer(self._clock)
        self._build_jobs()
        self._build_store()
        self._build_workers()
        self._build_scale_in()
        self._build_scale_out()
        self._build_membership()
        self._build_dispatcher()
        self._build_snapshots()
        self._build_scheduling_loop()
        self._build_failover()

    def _build_jobs(self) -> None:
        """Builds the registries of jobs and machines, and the life cycle of tasks."""
        env, clock = self._environment, self._clock
        self.store = LeaderStore(
            env.state, env.write_budget, StoreLimits(self._deployment.state), env.record_format, self.lease
        )
        self.workload = Workload(self._deployment.objectives, env.wall_clock, lambda: env.catalog.types)
        self.images = ImageLocations(self.store, self.cluster, self.lease, clock)
        self.machine_registry = MachineRegistry(self.cluster, self.tokens, self.images, clock)
        self.job_registry = JobRegistry(
            self.cluster, self.workload, env.record_format, self.store.limits, clock, env.wall_clock
        )
        self.forgets = ForgetScheduler(clock, self._timings.lease_s)
        self.lifecycle = TaskLifecycle(
            self.cluster,
            self.machine_registry,
            self.lease,
            self.forgets,
            self.flush_timer,
            self.workload,
            clock,
            self._timings,
            self._send_commands,
        )
        backoff = JobBackoff(self.cluster, clock, self.request_scheduling)
        attribution = FailureAttribution(self.cluster, self.lifecycle, backoff, clock, self._timings.lease_s)
        self.exits = TaskExitHandler(self.cluster, self.lifecycle, attribution, backoff, self.workload, self._timings)

    def _build_store(self) -> None:
        """Builds the components that write the store, reload jobs from it, and watch it."""
        env, clock = self._environment, self._clock
        self.reloader = JobReloader(
            self.store,
            self.cluster,
            self.job_registry,
            self.lifecycle,
            clock,
            self._flush,
            self.request_scheduling,
        )
        self.commit_queue = CommitQueue(
            self.store,
            self.cluster,
            self.lease,
            self.tokens,
            env.integrity,
            CommitApplier(self.job_registry, self.lifecycle, clock),
            self.flush_timer,
            clock,
            self.reloader.reload,
            self._after_commit,
        )
        self.upgrade = FormatUpgrade(
            self.store, self.cluster, self.lease, env.peers, env.settings, clock, self.request_scheduling
        )
        self.watch = JobWatch(
            self.lease,
            env.state,
            self.cluster,
            self.job_registry,
            self.lifecycle,
            env.integrity,
            clock,
            env.record_format.legacy_chunk_size,
            self.reloader.reload,
            self.request_scheduling,
        )

    def _build_workers(self) -> None:
        """Builds the components that decide which commands may be sent to workers, and under which token."""
        env = self._environment
        self.authority = Authority(self.lease, self.tokens, self.cluster, self.job_registry, self.watch)
        self.fencing = MachineFencing(
            self.cluster, self.tokens, env.invariants, env.integrity, self.flush_timer, self._timings
        )
        self.planner = CommandPlanner(
            self.cluster, self.authority, self.fencing, self._clock, self._timings.heartbeat_s
        )

    def _build_scale_in(self) -> None:
        """Builds the components of scale-in: boot monitor, and release of machines."""
        env, clock, lease_s = self._environment, self._clock, self._timings.lease_s
        lag_s, failure_s = self._deployment.cloud.list_lag_s, self.timeouts.failure_s
        self.boots = BootMonitor(self.lease, env.catalog, clock, failure_s, lease_s, lag_s)
        self.releaser = MachineReleaser(
            self.cluster,
            self.lease,
            self.authority,
            self.lifecycle,
            self.images,
            env.cloud,
            clock,
            lease_s,
            self.request_scheduling,
        )

    def _build_scale_out(self) -> None:
        """Builds the components of scale-out, which provision machines and record them for a successor."""
        env, clock, lag_s = self._environment, self._clock, self._deployment.cloud.list_lag_s
        self.provision_records = ProvisionRecords(self.store, self.machine_registry, clock, env.wall_clock, lag_s)
        self.provisioner = MachineProvisioner(
            self.cluster,
            self.machine_registry,
            self.lease,
            self.authority,
            self.boots,
            self.provision_records,
            env.cloud,
            clock,
            f"r-{env.nonce}-{self.tokens.first}",
            self.request_scheduling,
        )

    def _build_membership(self) -> None:
        """Builds the machine inventory, and failure detection."""
        env, clock, lease_s = self._environment, self._clock, self._timings.lease_s
        self.inventory = MachineInventory(
            self.cluster,
            self.machine_registry,
            self.releaser,
            self.lease,
            env.cloud,
            clock,
            self._deployment.cloud.list_lag_s,
            self.request_scheduling,
        )
        self.supervisor = MachineSupervisor(
            self.cluster,
            self.lease,
            PartitionDetector(self.cluster.lock, self.lease, env.peers, clock, self.timeouts, lease_s),
            self.boots,
            self.releaser,
            self.lifecycle,
            clock,
            self.timeouts.failure_s,
        )

    def _build_dispatcher(self) -> None:
        """Builds the processing of heartbeats, and the dispatch of commands to workers."""
        env = self._environment
        self.heartbeats = HeartbeatProcessor(
            self.cluster,
            self.machine_registry,
            self.tokens,
            self.boots,
            self._build_reconciler(),
            self._clock,
            self.request_scheduling,
        )
        metrics = CommandMetrics()
        assertions = CommandAssertions(self.cluster, self.tokens, env.invariants)
        transmitter = CommandTransmitter(
            self.authority,
            assertions,
            self.lease,
            self.tokens,
            env.integrity,
            env.workers,
            self._clock,
            self._timings.heartbeat_s,
            metrics,
        )
        self.dispatcher = CommandDispatcher(
            self.cluster,
            self.authority,
            self.planner,
            self.fencing,
            transmitter,
            self.heartbeats,
            self._clock,
            DispatchSettings(
                self._timings.heartbeat_s, self.timeouts.reachability_s, self._deployment.quota.max_sockets
            ),
            metrics,
            self._after_heartbeat,
        )
        self.responder = HeartbeatResponder(
            self.machine_registry,
            self.heartbeats,
            self.planner,
            self.fencing,
            assertions,
            self.dispatcher,
            self._clock,
            metrics,
        )

    def _build_reconciler(self) -> TaskReconciler:
        states = TaskStateTracker(self.cluster, self.exits, self.images, self.flush_timer, self._environment.wall_clock)
        return TaskReconciler(
            self.cluster,
            self.lifecycle,
            states,
            self.fencing,
            self.forgets,
            self.authority,
            self.request_scheduling,
        )

    def _build_snapshots(self) -> None:
        """Builds the snapshots of the cluster state on which scheduling decisions are made."""
        env, clock = self._environment, self._clock
        self.machine_views = MachineViewCache(
            self.cluster,
            self.lifecycle,
            self.workload,
            clock,
            self.timeouts.heartbeat_overdue_s,
            self.dispatcher.is_reachable,
        )
        self.snapshots = SnapshotBuilder(
            self.cluster,
            self.lease,
            self.machine_views,
            PendingJobs(self.cluster, self.workload, env.catalog, env.wall_clock),
            self.workload,
            env.catalog,
            self.provisioner,
            self._teams,
            env.operator_settings,
            clock,
            env.wall_clock,
            self._timings.heartbeat_s,
        )

    def _build_scheduling_loop(self) -> None:
        """Builds the scheduling loop, and the component that applies its decisions."""
        env, clock = self._environment, self._clock
        applier = DecisionApplier(
            self.cluster,
            self.lifecycle,
            self.provisioner,
            self.releaser,
            env.catalog,
            self._teams,
            clock,
            env.wall_clock,
            self._timings.heartbeat_s,
        )
        self.scheduling = SchedulingLoop(
            self.cluster,
            self.lease,
            self.snapshots,
            applier,
            self.workload,
            self.provisioner,
            self.boots,
            env.catalog,
            env.operator_settings,
            clock,
            env.run_in_thread,
            self._deployment.state.txn_ops,
            self._flush,
        )

    def _build_failover(self) -> None:
        """Builds the components that recover the former leader's jobs, machines and records."""
        self.unresolved_tasks = UnresolvedTaskManager(
            self.store,
            self.cluster,
            self.job_registry,
            self._environment.integrity,
            self.flush_timer,
            self._clock,
            self.request_scheduling,
        )
        self.failover = Failover(
            self.store,
            self.cluster,
            self.lease,
            self.job_registry,
            self.lifecycle,
            self.watch,
            self.upgrade,
            self.provision_records,
            self.images,
            self.unresolved_tasks,
            self._clock,
        )

    # -- callbacks --------------------------------------------------------------------

    def request_scheduling(self) -> None:
        """Requests a scheduling cycle."""
        self.scheduling.request()

    def _after_heartbeat(self) -> None:
        """Schedules the commit of what a heartbeat has changed."""
        if self.cluster.dirty and self.cluster.loaded:
            self.flush_timer.flush_within(HEARTBEAT_FLUSH_DELAY_S)

    def _after_commit(self, parts: list[JobWriteSet]) -> None:
        """Sends commands for new placements and awaited spare tokens, and requests scheduling if capacity was freed."""
        machine_ids = dict.fromkeys(placement.machine for part in parts for placement in part.new_placements)
        machine_ids |= dict.fromkeys(self.fencing.take_machines_awaiting_token())
        with self.cluster.lock:
            for machine_id in machine_ids:
                machine = self.cluster.machines.get(machine_id)
                if machine is not None:
                    self.dispatcher.send(machine)
        if any(part.cleared_placements for part in parts):
            self.request_scheduling()

    def _send_commands(self, machine: Machine) -> None:
        self.dispatcher.send(machine)

    def _flush(self) -> None:
        self.commit_queue.flush()
