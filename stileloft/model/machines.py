"""Machines, and what the leader knows of the tasks on them."""

from dataclasses import dataclass, field
from typing import Any

from stileloft.model.inflight_starts import AttemptKey, InflightStarts
from stileloft.model.placements import Placement, TaskKey
from stileloft.protocol.messages import JobSpec, MachineType

MAX_SEND_FAILURES = 2
"""A machine gets no more tasks after this many consecutive commands to it have failed, until one is answered."""


@dataclass(slots=True)
class OrphanedTask:
    """A task on a machine that the store does not place there."""

    attempt: int
    cpus: float
    gpus: float
    memory_gb: float
    team: str


@dataclass(frozen=True, slots=True)
class PendingForget:
    """An exited attempt that the worker has to forget."""

    due_at: float
    """Earliest time of the forget command, by this leader's clock."""
    done: bool


@dataclass(slots=True)
class Machine:
    """A machine as the leader knows it. Times are by the leader's clock."""

    id: str
    type: str = ""
    """Name of the machine type; empty until it is known."""
    zone: str = ""
    spot: bool = False
    address: str = ""
    """Host and port of the worker, from its heartbeats or else from the cloud's list."""
    first_seen_at: float = 0.0
    """When this leader first learned of the machine."""

    # Heartbeats of the worker.
    epoch: int = 0
    """The worker's incarnation, which changes with each restart."""
    sequence: int = 0
    """Sequence number of the newest accepted heartbeat within the epoch."""
    has_current_token: bool = False
    """Whether the newest heartbeat carries a token of this leader."""
    heartbeat_received: bool = False
    last_heartbeat_at: float = 0.0
    claimed: bool = False
    """Whether a token of this leader has arrived in a heartbeat: no former leader can then command the worker."""
    last_pushed_heartbeat_at: float = float("-inf")
    """When the worker last sent an unsolicited heartbeat; answers to commands renew no lease and do not count."""
    last_reachable_at: float = float("-inf")
    """When the worker was last known to receive this leader's messages."""

    # Lifecycle in the cloud.
    up_since: float | None = None
    """When this leader received the first heartbeat; None before."""
    provisioned_at: float = 0.0
    """When the machine was requested from the cloud; 0 if unknown."""
    boot_overdue: bool = False
    """Whether the machine was not up in time, and is no longer counted as coming up."""
    reclaim_at: float | None = None
    """When the cloud reclaims the spot instance; None if no reclaim is announced."""
    cloud_state: str = ""
    """State in the cloud's newest list; empty if the machine was not listed yet."""
    releasing: bool = False
    """Whether the machine's release is queued or requested."""
    drain_reason: str | None = None
    """Why no more tasks are started on the machine; None if it is not drained."""

    # Tasks and images on the machine.
    placements: dict[TaskKey, Placement] = field(default_factory=dict)
    orphaned_tasks: dict[str, OrphanedTask] = field(default_factory=dict)
    """Tasks that the machine runs but the store does not place there, by name."""
    pending_forgets: dict[AttemptKey, PendingForget] = field(default_factory=dict)
    """Exited attempts that the worker has to forget; a worker may report several attempts of a task."""
    images: dict[str, None] = field(default_factory=dict)
    """Images that the machine probably has; the most recently used one is last."""
    images_recorded: bool = True
    """Whether the store holds the machine's current images."""

    # Commands to the worker.
    command_in_flight: bool = False
    """Whether a command was sent and has not been answered; at most one command is in flight."""
    send_failures: int = 0
    """Consecutive commands that failed; an answered command resets it, so failures have to be followed by a probe."""
    retry_at: float = 0.0
    """No command is sent before this time."""
    token: int = 0
    """The fencing token in this leader's commands and answers to the worker; never lowered."""
    token_raised_at: float = float("-inf")
    """When the token was last raised."""
    acknowledged_token: int = 0
    """Highest token that the worker has seen, by its newest heartbeat: it executes no command with a lower one."""
    inflight_starts: InflightStarts = field(default_factory=InflightStarts)
    fenced_starts: dict[str, int] = field(default_factory=dict)
    """Attempts, by task name, whose start was fenced in this epoch before it was executed."""

    # Input of scheduling decisions.
    failed_jobs: set[str] = field(default_factory=set)
    """Ids of jobs with a task that failed on this machine."""
    failure_count: int = 0
    slow_jobs: set[str] = field(default_factory=set)
    """Ids of jobs whose tasks run slowly on this machine."""
    idle_since: float | None = None
    """When the machine was first found without tasks; None while it has tasks."""
    scheduling_view: Any = None
    """The copy of the machine that scheduling uses; None after a change, until a new copy is made."""
    scheduling_view_at: float = 0.0
    """When `scheduling_view` was made."""

    @property
    def accepts_commands(self) -> bool:
        """Whether commands to the worker are answered, as far as the newest ones show."""
        return self.send_failures < MAX_SEND_FAILURES


def fits_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Whether a task of the job may run on machines of this type, and fits on an empty one."""
    return (
        (spec.types is None or machine_type.name in spec.types)
        and spec.cpus <= machine_type.cpus
        and (spec.gpus or 0.0) <= machine_type.gpus
        and spec.memory_gb <= machine_type.memory_gb
        and (spec.zone is None or spec.zone in machine_type.zones)
    )
