"""Machines, and what the leader knows of the tasks on them."""

from dataclasses import dataclass, field
from typing import Any

from stileloft.model.inflight_starts import InflightStarts
from stileloft.model.placements import Placement, TaskKey
from stileloft.protocol.messages import JobSpec, MachineType


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
    """An exited task that its machine is to forget."""

    attempt: int
    due_at: float
    """From when on, by this leader's clock."""
    done: bool


@dataclass(slots=True)
class Machine:
    """A machine as the leader knows it."""

    id: str
    type: str = ""
    """The name of its machine type; empty until the cloud's list or its provisioning told."""
    zone: str = ""
    spot: bool = False
    address: str = ""
    """Host and port of its worker, by its heartbeats or else by the cloud's list."""
    first_seen_at: float = 0.0
    """When this leader first knew of it."""

    # Its worker's heartbeats.
    epoch: int = 0
    """The worker's incarnation: another one after each restart."""
    sequence: int = 0
    """The number of the newest believed heartbeat within the epoch."""
    has_current_token: bool = False
    """Its newest heartbeat carries our own token."""
    heartbeat_received: bool = False
    last_heartbeat_at: float = 0.0
    claimed: bool = False
    """A heartbeat with our own token has come: no former leader renews its lease any more."""
    lease_renewed_at: float = float("-inf")
    """When its worker's lease last began anew, or may have: an answer of ours, a claim, a new epoch."""
    last_pushed_heartbeat_at: float = float("-inf")
    """When it last sent a heartbeat by itself. An answer to a command is none: its lease is not renewed by that."""
    last_reachable_at: float = float("-inf")
    """When it was last known to hear us."""

    # Its life in the cloud.
    up_since: float | None = None
    """When this leader heard its first heartbeat; None before."""
    provisioned_at: float = 0.0
    """When it was asked for; 0 if that is not known."""
    boot_overdue: bool = False
    """It was not up when it should have been, and does not count as coming any more."""
    reclaim_at: float | None = None
    """When the cloud takes the spot instance away; None if nothing is announced."""
    cloud_state: str = ""
    """Its state in the cloud's newest list."""
    releasing: bool = False
    """The cloud was asked to take it back, or is about to be."""
    drain_reason: str | None = None
    """Why nothing more is started here."""

    # What is on it.
    placements: dict[TaskKey, Placement] = field(default_factory=dict)
    orphaned_tasks: dict[str, OrphanedTask] = field(default_factory=dict)
    """Tasks, by their names, that it runs and that the store does not place here."""
    pending_forgets: dict[str, PendingForget] = field(default_factory=dict)
    """Exited tasks, by their names, that it is to forget."""
    images: dict[str, None] = field(default_factory=dict)
    """Images it has, as far as seen; the one used last comes last."""
    images_recorded: bool = True
    """Whether the store holds them."""

    # Commands to it.
    command_in_flight: bool = False
    """A command was sent and not answered yet; only one is at a time."""
    send_failures: int = 0
    """Commands in a row that failed."""
    retry_at: float = 0.0
    """No command is sent before."""
    token: int = 0
    """The fencing token that our commands and answers to it carry; never lowered."""
    token_raised_at: float = float("-inf")
    """When the token was last raised."""
    acknowledged_token: int = 0
    """The highest that its worker has seen, by its newest heartbeat: it executes nothing under a lower one."""
    inflight_starts: InflightStarts = field(default_factory=InflightStarts)
    fenced_starts: dict[str, int] = field(default_factory=dict)
    """Tasks, with their attempts, whose start was fenced in this epoch before it was executed."""

    # What the decisions are based on.
    failed_jobs: set[str] = field(default_factory=set)
    """Jobs of which a task failed here."""
    failure_count: int = 0
    slow_jobs: set[str] = field(default_factory=set)
    """Jobs whose tasks run slowly here."""
    idle_since: float | None = None
    """Since when it has no tasks, as far as known; None while it has."""
    scheduling_view: Any = None
    """The copy of it that decisions are made on, until something changes."""
    scheduling_view_at: float = 0.0
    """When the copy was made."""


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    """Whether a task of the job may run on machines of this type, and has room on an empty one."""
    return (
        (spec.types is None or kind.name in spec.types)
        and spec.cpus <= kind.cpus
        and (spec.gpus or 0.0) <= kind.gpus
        and spec.memory_gb <= kind.memory_gb
        and (spec.zone is None or spec.zone in kind.zones)
    )
