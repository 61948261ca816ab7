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
    zone: str = ""
    spot: bool = False
    address: str = ""
    epoch: int = 0
    sequence: int = 0
    has_current_token: bool = False
    """Its newest report carries our own token."""
    heartbeat_received: bool = False
    last_heartbeat_at: float = 0.0
    claimed: bool = False
    """A report with our own token has come: no former leader renews its lease any more."""
    lease_renewed_at: float = float("-inf")
    """When its worker's lease last began anew, or may have: an answer of ours, a claim, a new session."""
    last_pushed_heartbeat_at: float = float("-inf")
    """When a report of its own last came here. An answer to a command is none: its lease is not renewed by that."""
    last_reachable_at: float = float("-inf")
    """When it was last known to hear us."""
    first_seen_at: float = 0.0
    up_since: float | None = None
    provisioned_at: float = 0.0
    boot_overdue: bool = False
    """It was not up when it should have been, and does not count as coming any more."""
    reclaim_at: float | None = None
    cloud_state: str = ""
    releasing: bool = False
    drain_reason: str | None = None
    """Why nothing more is started here."""
    placements: dict[TaskKey, Placement] = field(default_factory=dict)
    orphaned_tasks: dict[str, OrphanedTask] = field(default_factory=dict)
    pending_forgets: dict[str, PendingForget] = field(default_factory=dict)
    """Exited tasks to be forgotten."""
    images: dict[str, None] = field(default_factory=dict)
    """Images it has, as far as seen; the one used last comes last."""
    images_recorded: bool = True
    command_in_flight: bool = False
    send_failures: int = 0
    retry_at: float = 0.0
    token: int = 0
    """What our commands and answers to it carry; never lowered."""
    token_raised_at: float = float("-inf")
    acknowledged_token: int = 0
    """The highest that its worker has seen, by its newest report: it executes nothing under a lower one."""
    inflight_starts: InflightStarts = field(default_factory=InflightStarts)
    fenced_starts: dict[str, int] = field(default_factory=dict)
    """Tasks, with their attempts, whose start was barred in this session before it was executed."""
    failed_jobs: set[str] = field(default_factory=set)
    failure_count: int = 0
    idle_since: float | None = None
    slow_jobs: set[str] = field(default_factory=set)
    scheduling_view: Any = None
    """Its copy for the decisions, until something changes."""
    scheduling_view_at: float = 0.0


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    return (
        (spec.types is None or kind.name in spec.types)
        and spec.cpus <= kind.cpus
        and (spec.gpus or 0.0) <= kind.gpus
        and spec.memory_gb <= kind.memory_gb
        and (spec.zone is None or spec.zone in kind.zones)
    )
