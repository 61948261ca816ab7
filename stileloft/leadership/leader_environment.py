"""The dependencies that a controller passes to its leader."""

from collections.abc import Callable
from dataclasses import dataclass

from stileloft.leadership.invariants import InvariantMonitor
from stileloft.machines.catalog import MachineCatalog
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.cloud import CloudClient
from stileloft.protocol.peers import PeerClient
from stileloft.protocol.state import StateClient
from stileloft.protocol.workers import WorkerClient
from stileloft.scheduling.scheduling_loop import RunInThread
from stileloft.settings import Settings
from stileloft.store.integrity import StoreIntegrity
from stileloft.store.record_format import RecordFormat
from stileloft.transport.clock import Clock, WallClock
from stileloft.transport.rate_limit import TokenBucket


@dataclass(frozen=True, slots=True)
class LeaderEnvironment:
    """The dependencies that a controller passes to its leader."""

    settings: Settings
    clock: Clock
    wall_clock: WallClock
    state: StateClient
    cloud: CloudClient
    workers: WorkerClient
    peers: PeerClient
    write_budget: TokenBucket
    catalog: MachineCatalog
    record_format: RecordFormat
    integrity: StoreIntegrity
    invariants: InvariantMonitor
    operator_settings: Callable[[], OperatorSettings]
    """Returns the operator settings in force."""
    run_in_thread: RunInThread
    nonce: str
    """Random identifier of this process; makes the identifiers of its requests to the cloud unique."""
